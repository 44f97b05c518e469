package submissionbuffer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/submissionbuffer"
)

// TestSmallDaemonsHoldLittle: with 160 MB and a share of a twentieth, jobs of 150 KB in
// the mean are held by the dozen and one of 4 MB is not.
func TestSmallDaemonsHoldLittle(t *testing.T) {
	room := submissionbuffer.New(submissionbuffer.LimitsOf(160, 0.05))
	_, isHeld := room.Add(4 << 20)
	require.False(t, isHeld)
	leaves := []func(){}
	for {
		leave, isHeld := room.Add(150 << 10)
		if !isHeld {
			break
		}
		leaves = append(leaves, leave)
	}
	require.InDelta(t, 18, len(leaves), 1)
	for _, leave := range leaves {
		leave()
	}
	require.Zero(t, room.Count())
	_, isHeld = room.Add(150 << 10)
	require.True(t, isHeld)
}

// TestNumberIsBoundedToo: contents may be tiny.
func TestNumberIsBoundedToo(t *testing.T) {
	room := submissionbuffer.New(submissionbuffer.LimitsOf(0, 0.05))
	held := 0
	for range 1000 {
		if _, isHeld := room.Add(1); isHeld {
			held++
		}
	}
	require.Equal(t, 64, held)
}

// TestNothingIsHeldWithoutAShare.
func TestNothingIsHeldWithoutAShare(t *testing.T) {
	_, isHeld := submissionbuffer.New(submissionbuffer.LimitsOf(160, 0)).Add(1)
	require.False(t, isHeld)
}

// TestOutageIsExpectedToLastAsLongAgain, within what callers can wait for.
func TestOutageIsExpectedToLastAsLongAgain(t *testing.T) {
	require.Equal(t, 500*time.Millisecond, submissionbuffer.RetryAfter(100*time.Millisecond, false))
	require.Equal(t, 2*time.Second, submissionbuffer.RetryAfter(2*time.Second, false))
	require.Equal(t, 3*time.Second, submissionbuffer.RetryAfter(time.Minute, false))
	require.Less(t, submissionbuffer.RetryAfter(2*time.Second, true), 200*time.Millisecond, "it is held again wherever it comes")
}
