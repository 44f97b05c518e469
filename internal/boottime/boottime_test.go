package boottime_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/boottime"
)

// TestNowMatchesMonotonicClock guards against a clock that differs from the monotonic clock
// while the machine is awake.
func TestNowMatchesMonotonicClock(t *testing.T) {
	monotonic, before := time.Now(), boottime.Now()
	time.Sleep(20 * time.Millisecond)
	passed := boottime.Now().Sub(before)
	require.GreaterOrEqual(t, passed, 20*time.Millisecond)
	require.LessOrEqual(t, passed, time.Since(monotonic)+time.Millisecond)
	require.Equal(t, before.Add(passed).Sub(before), passed)
}

// TestSleptSinceCountsOnlySleep guards against counting time in which the machine is awake,
// and against a negative result.
func TestSleptSinceCountsOnlySleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started, slept := time.Now(), time.Duration(0)
		clock := boottime.Clock(func() boottime.Instant { return boottime.Instant(time.Since(started) + slept) })
		mark := clock.Mark()
		require.False(t, mark.IsZero())
		time.Sleep(time.Minute)
		require.Zero(t, clock.SleptSince(mark))
		slept = 5 * time.Second
		require.Equal(t, 5*time.Second, clock.SleptSince(mark))
		require.Zero(t, clock.SleptSince(clock.Mark()))
		slept = -time.Second
		require.Zero(t, clock.SleptSince(mark))
	})
	require.True(t, boottime.Mark{}.IsZero())
	require.Less(t, boottime.Clock(nil).SleptSince(boottime.Clock(nil).Mark()), time.Minute)
}

// TestNotifyAfterSleep guards against missing or repeated calls after a sleep, calls without
// a sleep, and calls after stop.
func TestNotifyAfterSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var slept atomic.Int64
		started := time.Now()
		wakeups := boottime.NewWakeups(func() boottime.Instant {
			return boottime.Instant(time.Since(started)) + boottime.Instant(slept.Load())
		}, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go wakeups.Run(ctx)
		calls, otherCalls := 0, 0
		stop := wakeups.Notify(func() { calls++ })
		wakeups.Notify(func() { otherCalls++ })
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Zero(t, calls)
		for range 2 {
			slept.Add(int64(time.Second))
			time.Sleep(time.Second)
			synctest.Wait()
		}
		require.Equal(t, 2, calls)
		stop()
		slept.Add(int64(time.Minute))
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, 2, calls)
		require.Equal(t, 3, otherCalls)
	})
	var none *boottime.Wakeups
	none.Notify(func() {})()
}

// TestDeadlinesIncludeSleep guards against contexts that end late after one or more sleeps,
// and against effects of a sleep after the end.
func TestDeadlinesIncludeSleep(t *testing.T) {
	for name, each := range map[string]struct {
		sleeps []time.Duration
		awake  time.Duration
	}{
		"none":         {nil, 10 * time.Second},
		"1s":           {[]time.Duration{time.Second}, 9 * time.Second},
		"5s":           {[]time.Duration{5 * time.Second}, 5 * time.Second},
		"1s and 5s":    {[]time.Duration{time.Second, 5 * time.Second}, 4 * time.Second},
		"60s":          {[]time.Duration{time.Minute}, time.Second},
		"5s and again": {[]time.Duration{5 * time.Second, 5 * time.Second}, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var slept atomic.Int64
				started := time.Now()
				clock := boottime.Clock(func() boottime.Instant {
					return boottime.Instant(time.Since(started)) + boottime.Instant(slept.Load())
				})
				wakeups := boottime.NewWakeups(clock, slog.New(slog.DiscardHandler))
				lifetime, stop := context.WithCancel(t.Context())
				defer stop()
				go wakeups.Run(lifetime)
				bounded, cancel := wakeups.WithDeadline(t.Context(), started.Add(10*time.Second), clock.Mark())
				defer cancel()
				for number, span := range each.sleeps {
					time.AfterFunc(time.Duration(number+1)*time.Second, func() { slept.Add(int64(span)) })
				}
				<-bounded.Done()
				require.GreaterOrEqual(t, time.Since(started), each.awake)
				require.LessOrEqual(t, time.Since(started), each.awake+500*time.Millisecond)
				cancel()
				slept.Add(int64(time.Minute))
				time.Sleep(time.Second)
			})
		})
	}
	var none *boottime.Wakeups
	bounded, cancel := none.WithDeadline(t.Context(), time.Now().Add(time.Minute), boottime.Mark{})
	require.NoError(t, bounded.Err())
	cancel()
	require.Error(t, bounded.Err())
}

// checkedTime is long enough for several checks for sleep.
const checkedTime = 4 * time.Second

// Guards against a sleep that no check detects because it falls between two readings of the clock.
func TestSleepAtAnyReadingIsDetected(t *testing.T) {
	for sleepsAt := 2; sleepsAt <= 8; sleepsAt++ {
		synctest.Test(t, func(t *testing.T) {
			started, readings, slept := time.Now(), 0, time.Duration(0)
			clock := func() boottime.Instant {
				if readings++; readings == sleepsAt {
					slept = time.Minute
				}
				return boottime.Instant(time.Since(started) + slept)
			}
			wakeups := boottime.NewWakeups(clock, slog.New(slog.DiscardHandler))
			detected := 0
			wakeups.Notify(func() { detected++ })
			ctx, cancel := context.WithTimeout(t.Context(), checkedTime)
			defer cancel()
			wakeups.Run(ctx)
			require.Equal(t, 1, detected, "a sleep at reading %d", sleepsAt)
		})
	}
}
