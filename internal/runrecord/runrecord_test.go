package runrecord

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/failure"
)

// TestMayHaveRunOverRandomAttempts checks that the record reports that a request may have
// run exactly if at least one attempt is not known to have never run.
func TestMayHaveRunOverRandomAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record, unknown := Record{}, 0
		for range rapid.IntRange(0, 8).Draw(t, "attempts") {
			send := record.Sent()
			require.True(t, record.MayHaveRun(), "while the attempt is running")
			if rapid.Bool().Draw(t, "never ran") {
				record.NeverRan(send)
			} else {
				unknown++
			}
		}
		require.Equal(t, unknown > 0, record.MayHaveRun())
		refused := record.Refuse(failure.New(failure.KindOverloaded, "full", "all are full").WithRetryAfter(time.Second))
		require.Equal(t, unknown == 0, refused.NotRun)
		require.Equal(t, "full", refused.Code)
		if unknown > 0 {
			require.Equal(t, failure.KindOutcomeUnknown, refused.Kind)
			require.Zero(t, refused.RetryAfter)
		}
	})
}

// TestNeverRanSpeaksOfOneAttempt guards against an attempt that is said twice to have not run, which
// hides that another may have.
func TestNeverRanSpeaksOfOneAttempt(t *testing.T) {
	record := Record{}
	first, second := record.Sent(), record.Sent()
	copied := record.Copy()
	record.NeverRan(second)
	record.NeverRan(second)
	require.True(t, record.MayHaveRun())
	record.NeverRan(first)
	require.False(t, record.MayHaveRun())
	require.True(t, copied.MayHaveRun())
	copied.NeverRan(first)
	copied.NeverRan(second)
	require.False(t, copied.MayHaveRun())
}
