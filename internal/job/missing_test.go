package job_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/failure"
	"topazpulley/internal/table/tabletest"
)

// TestDaemonThatHearsNothingMissesNoJob.
//
// What the soak saw: two jobs that had been accepted seconds before were answered 404,
// and an end of such a job would have been.
// Order of events: a daemon is paused for three seconds; jobs are accepted elsewhere;
// the store serves old reads; the daemon goes on, and has not heard of anything yet
// when it is asked, two milliseconds later. Cause: it took an old read for the present
// state, although it had not heard of the store's versions for seconds.
// Evidence: seed 1796248059104903313, daemon-0, log lines "not_found/no_job" two
// milliseconds behind its pause.
func TestDaemonThatHearsNothingMissesNoJob(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	runner.pause = time.Minute
	muted := &mutedStore{Store: store}
	owner, other := startDaemon(t, "a", store, runner), startDaemon(t, "b", muted, runner)
	require.Eventually(t, func() bool {
		_, err := other.Of("").Results(t.Context(), "j1", 0, 0)
		return failure.Is(err, failure.KindNotFound)
	}, patience, pollTime, "a daemon that hears is sure")
	muted.isMuted.Store(true)
	time.Sleep(lastWatch)
	store.Freeze()
	require.NoError(t, owner.Submit(t.Context(), newJob("j1", 3)))
	time.Sleep(cancelTime)
	_, err := other.Of("").Results(t.Context(), "j1", 0, 0)
	require.True(t, failure.Is(err, failure.KindUnavailable), "%v", err)
	bounded, cancel := context.WithTimeout(t.Context(), lastWatch)
	defer cancel()
	require.False(t, failure.Is(other.End(bounded, "j1"), failure.KindNotFound))
	store.Thaw()
	muted.isMuted.Store(false)
	require.Eventually(t, func() bool { return owner.Owned() == 0 }, patience, pollTime, "the end goes on")
}
