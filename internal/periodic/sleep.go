package periodic

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for the pause. It reports false if the context ends first.
func Sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// SleepAbout waits for a random time between 0.5 and 1.5 times the pause, so
// that many callers do not resume at once. It reports false if the context ends first. The
// pause must be positive.
func SleepAbout(ctx context.Context, pause time.Duration) bool {
	return Sleep(ctx, pause/2+rand.N(pause))
}
