// Package periodic runs a function at an interval and sleeps until a context ends.
package periodic

import (
	"context"
	"time"
)

// Run calls step once per interval until the context ends. If a step takes longer than
// the interval, the next one starts late and further missed steps are dropped.
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
