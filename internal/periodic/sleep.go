package periodic

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for the pause; it reports false when the context ends first.
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

// SleepAbout waits for half to one and a half times the pause, so that many
// waiters do not come back at once.
func SleepAbout(ctx context.Context, pause time.Duration) bool {
	return Sleep(ctx, pause/2+rand.N(pause))
}
