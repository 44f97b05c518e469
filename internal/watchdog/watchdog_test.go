package watchdog_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/watchdog"
)

const (
	early  = 50 * time.Millisecond
	latest = 600 * time.Millisecond
	pause  = time.Second
)

// TestFiresEarlyOnlyIfAllowed: if mayFire returns false, the watchdog fires after latest.
func TestFiresEarlyOnlyIfAllowed(t *testing.T) {
	for _, mayFire := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			started := time.Now()
			firedAfter := time.Duration(0)
			watched := watchdog.StartEarly(early, latest, pause, func() bool { return mayFire }, func() { firedAfter = time.Since(started) })
			time.Sleep(2 * time.Second)
			synctest.Wait()
			require.True(t, watched.Fired())
			require.Equal(t, map[bool]time.Duration{true: early, false: latest}[mayFire], firedAfter)
		})
	}
}

// TestPauseAppliesAfterFirstFeed: after the first activity the limit is pause, and
// mayFire is not called.
func TestPauseAppliesAfterFirstFeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		watched := watchdog.StartEarly(early, latest, pause, func() bool { calls++; return false }, func() {})
		time.Sleep(early / 2)
		watched.Feed()
		time.Sleep(pause - time.Millisecond)
		require.False(t, watched.Fired())
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		require.True(t, watched.Fired())
		require.Zero(t, calls)
	})
}
