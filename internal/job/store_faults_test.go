package job_test

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/failure"
	"topazpulley/internal/job"
	"topazpulley/internal/table"
	"topazpulley/internal/table/tabletest"
)

// TestJobRunsAfterLostAcceptanceReply: the reply to the acceptance is lost; the job runs all
// the same.
func TestJobRunsAfterLostAcceptanceReply(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	owner := startDaemon(t, "a", store, fake)
	store.SetDecide(tabletest.CommitFaults(tabletest.FaultLose, tabletest.FaultNone))
	accepted := newJob("j1", 5)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	requireAllCompleted(t, owner, accepted)
}

// TestUnsettledAcceptanceIsNotReportedNotRun: a submission must not be reported as not run if its
// first commit had no reply and may take effect later.
func TestUnsettledAcceptanceIsNotReportedNotRun(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	owner := startDaemon(t, "a", store, fake)
	store.SetDecide(tabletest.CommitFaults(tabletest.FaultLate, tabletest.FaultRefuse))
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	accepted := newJob("j1", 5)
	err := owner.Submit(ctx, accepted)
	require.Error(t, err)
	require.False(t, failure.From(err).NotRun, "reported as not run although the job may be accepted")
	store.SetDecide(nil)
	store.Settle()
	requireAllCompleted(t, owner, accepted)
}

// TestUnsettledCancelIsNotReportedNotDone: a cancellation must not be reported as not done if its
// first commit had no reply and may take effect later.
func TestUnsettledCancelIsNotReportedNotDone(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	owner := startDaemon(t, "a", store, fake)
	accepted := newJob("j1", 5)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	store.SetDecide(tabletest.CommitFaults(tabletest.FaultLate, tabletest.FaultRefuse))
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	err := owner.Cancel(ctx, accepted.ID)
	require.Error(t, err)
	require.False(t, failure.From(err).NotRun, "reported as not done although the cancellation may take effect")
}

// TestUnsettledCancelAtStopIsNotReportedNotDone: the daemon stops while the caller waits for
// an unsettled cancellation.
func TestUnsettledCancelAtStopIsNotReportedNotDone(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.pause = time.Minute
	owner := startDaemon(t, "a", store, fake)
	accepted := newJob("j1", 5)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	store.SetDecide(tabletest.CommitFaults(tabletest.FaultLate, tabletest.FaultRefuse))
	time.AfterFunc(300*time.Millisecond, owner.cancel)
	err := owner.Cancel(t.Context(), accepted.ID)
	require.Error(t, err)
	require.False(t, failure.From(err).NotRun, "reported as not done although the cancellation may take effect")
}

// TestResubmittedJobIsRefusedOnlyIfNew: a resubmitted job that exceeds the limit may exist
// already. While the store cannot be read, the failure must not say that the job did not run.
func TestResubmittedJobIsRefusedOnlyIfNew(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	owner := startDaemon(t, "a", store, fake)
	store.SetDecide(func(call string) tabletest.Fault {
		if call == "read" {
			return tabletest.FaultRefuse
		}
		return tabletest.FaultNone
	})
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	full := failure.New(failure.KindOverloaded, "too_much_waits", "too much waits").WithNotRun()
	err := owner.RefuseUnlessAccepted(ctx, newJob("j1", 5), full)
	require.Error(t, err)
	require.False(t, failure.From(err).NotRun)
	store.SetDecide(nil)
	err = owner.RefuseUnlessAccepted(t.Context(), newJob("j1", 5), full)
	require.True(t, failure.From(err).NotRun, "the job is known not to exist")
	require.NoError(t, owner.Submit(t.Context(), newJob("j1", 5)))
	require.NoError(t, owner.RefuseUnlessAccepted(t.Context(), newJob("j1", 5), full))
}

// TestRefusedJobNeverRuns: all attempts of the acceptance are refused: the job must not
// exist.
func TestRefusedJobNeverRuns(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	owner := startDaemon(t, "a", store, fake)
	store.SetDecide(func(call string) tabletest.Fault {
		if call == "commit" {
			return tabletest.FaultThrottle
		}
		return tabletest.FaultNone
	})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	err := owner.Submit(ctx, newJob("j1", 5))
	require.True(t, failure.From(err).NotRun)
	store.SetDecide(nil)
	_, err = owner.Results(t.Context(), "j1", 0, 0)
	require.True(t, failure.Is(err, failure.KindNotFound))
	require.Zero(t, store.Commits())
}

// firstWatchStore serves the first watch call and blocks later ones.
type firstWatchStore struct {
	table.Store
	watches atomic.Int64
}

func (s *firstWatchStore) Watch(ctx context.Context, name string, after table.Version, wait time.Duration) (table.Changes, error) {
	if s.watches.Add(1) == 1 {
		return s.Store.Watch(ctx, name, after, wait)
	}
	return blockWatch(ctx)
}

// blockWatch blocks until the call ends and returns an error.
func blockWatch(ctx context.Context) (table.Changes, error) {
	<-ctx.Done()
	return table.Changes{}, &table.Error{Kind: table.ErrorUnknown, Call: "watch"}
}

// TestOwnerWithoutWatchCommitsNothingAfterCancel: the claim condition alone keeps an owner
// without a watch from listing results of a cancelled job.
func TestOwnerWithoutWatchCommitsNothingAfterCancel(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.pause = 40 * time.Millisecond
	limited := &firstWatchStore{Store: store}
	owner, other := startDaemon(t, "a", limited, fake), startDaemon(t, "b", store, fake)
	// The first watch must have returned: it could report the cancellation.
	require.Eventually(t, func() bool { return limited.watches.Load() > 1 }, testTimeout, pollInterval)
	require.NoError(t, owner.Submit(t.Context(), newJob("j1", 100)))
	require.NoError(t, other.Cancel(t.Context(), "j1"))
	before, _ := allResults(t, other, "j1")
	require.Eventually(t, func() bool { return owner.Owned() == 0 }, testTimeout, pollInterval)
	after, _ := allResults(t, other, "j1")
	require.Equal(t, before, after)
}

// TestRandomStoreFaults: store faults, a stopped daemon and interrupted runs: every accepted
// job completes with each item once.
func TestRandomStoreFaults(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.pause = 5 * time.Millisecond
	fake.breakShare = 0.1
	daemons := []*daemon{startDaemon(t, "a", store, fake), startDaemon(t, "b", store, fake), startDaemon(t, "c", store, fake)}
	random := rand.New(rand.NewPCG(1, rand.Uint64()))
	store.SetDecide(func(string) tabletest.Fault {
		if random.Float64() < 0.7 {
			return tabletest.FaultNone
		}
		return tabletest.Fault(random.IntN(int(tabletest.FaultLate) + 1))
	})
	accepted := []job.Job{}
	for index, id := range []string{"j1", "j2", "j3", "j4", "j5", "j6"} {
		submitted := newJob(id, 15)
		for daemons[index%3].Submit(t.Context(), submitted) != nil {
		}
		accepted = append(accepted, submitted)
	}
	for _, survivor := range daemons[1:] {
		survivor.peers.markGone("a")
	}
	daemons[0].cancel()
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(30 * time.Millisecond):
				store.Settle()
			}
		}
	}()
	defer close(stop)
	for _, submitted := range accepted {
		requireAllCompleted(t, daemons[1], submitted)
	}
}
