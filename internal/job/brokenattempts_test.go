package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/serving"
)

// noDeadline is a time until an item must run that shortens no pause.
const noDeadline = time.Hour

// after returns the state of an item that broke this many times in a row.
func after(breaks int) *brokenAttempts {
	broken := &brokenAttempts{}
	for range breaks {
		broken.broke()
	}
	return broken
}

// Guards against an item that ends backend after backend as fast as it can be sent, and against sound
// items that wait long after the first crash beside them.
func TestPausesGrowWithBrokenAttempts(t *testing.T) {
	for breaks := 1; breaks <= quickRetries; breaks++ {
		require.Equal(t, failedPause, after(breaks).pause(1, noDeadline), "%d broken attempts", breaks)
	}
	previous := failedPause
	for breaks := quickRetries + 1; previous < maxBrokenPause; breaks++ {
		longest := after(breaks).pause(1, noDeadline)
		require.Greater(t, longest, previous, "%d broken attempts", breaks)
		require.Less(t, after(breaks).pause(0, noDeadline), longest, "items that broke together are sent together")
		previous = longest
	}
	require.Equal(t, maxBrokenPause, after(1000).pause(1, noDeadline))
	require.GreaterOrEqual(t, after(1000).pause(0, noDeadline), maxBrokenPause/2)
}

// Guards against a pause after which an item cannot end by its due time or before it is given up.
func TestPauseAfterBrokenAttemptsLeavesTimeToRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		broken := after(rapid.IntRange(1, 50).Draw(t, "breaks"))
		random := rapid.Float64Range(0, 1).Draw(t, "random")
		untilDue := time.Duration(rapid.IntRange(-5000, 5000).Draw(t, "due")) * time.Millisecond
		untilGiveUp := untilDue + time.Duration(rapid.IntRange(0, 5000).Draw(t, "give_up"))*time.Millisecond
		pause := broken.pause(random, untilDue, untilGiveUp)
		require.GreaterOrEqual(t, pause, failedPause)
		require.LessOrEqual(t, pause, maxBrokenPause)
		for _, slack := range []time.Duration{untilDue, untilGiveUp} {
			if slack > 0 {
				require.LessOrEqual(t, pause, max(slack, failedPause))
			}
		}
	})
	require.Greater(t, after(10).pause(0, -time.Second), failedPause, "an item that is late anyway ends backends without a pause")
}

// Guards against long pauses of an item that a backend has run soundly since.
func TestSoundAttemptEndsPauses(t *testing.T) {
	broken := after(10)
	broken.begin(3)
	broken.yielded(3)
	require.Greater(t, broken.pause(1, noDeadline), failedPause, "an attempt without events shows nothing")
	broken.yielded(4)
	broken.broke()
	require.Equal(t, failedPause, broken.pause(1, noDeadline))
}

// Guards against long pauses after answers that say that the backend lives, or that the item did not run.
func TestOnlyBrokenConnectionsEndBackends(t *testing.T) {
	require.True(t, endedBackend(&serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonBroken}))
	require.False(t, endedBackend(&serving.AttemptError{Outcome: serving.OutcomeNotRun, Reason: serving.ReasonBroken}))
	for _, reason := range []serving.Reason{serving.ReasonSilent, serving.ReasonStatus, serving.ReasonError, serving.ReasonOtherSoftware} {
		require.False(t, endedBackend(&serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: reason}), reason)
	}
}
