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

// TestFiresEarlyOnlyIfItMay: else the first sign of life has the rest of its time.
func TestFiresEarlyOnlyIfItMay(t *testing.T) {
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

// TestSignsOfLifeAreWaitedForByThePause, and nobody is asked any more.
func TestSignsOfLifeAreWaitedForByThePause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asked := 0
		watched := watchdog.StartEarly(early, latest, pause, func() bool { asked++; return false }, func() {})
		time.Sleep(early / 2)
		watched.Feed()
		time.Sleep(pause - time.Millisecond)
		require.False(t, watched.Fired())
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		require.True(t, watched.Fired())
		require.Zero(t, asked)
	})
}
