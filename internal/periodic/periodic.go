// Package periodic runs steps at an interval and pauses within a context.
package periodic

import (
	"context"
	"time"
)

// Run calls step once an interval until the context ends. A step that takes
// longer than the interval delays the next one; none are made up for.
func Run(ctx context.Context, interval time.Duration, step func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			step()
		}
	}
}
