package job_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/job"
	"topazpulley/internal/table"
	"topazpulley/internal/table/tabletest"
)

// TestOrphanedJobIsTakenOver: the owner stops without releasing the job.
func TestOrphanedJobIsTakenOver(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.pause = 20 * time.Millisecond
	owner, other := startDaemon(t, "a", store, fake), startDaemon(t, "b", store, fake)
	accepted := newJob("j1", 20)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	owner.cancel()
	other.peers.markGone("a")
	requireAllCompleted(t, other, accepted)
}

// TestFalselySuspectedOwnerCommitsNothingTwice: both daemons run the job; only the holder of
// the claim commits.
func TestFalselySuspectedOwnerCommitsNothingTwice(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.pause = 30 * time.Millisecond
	owner, other := startDaemon(t, "a", store, fake), startDaemon(t, "b", store, fake)
	accepted := newJob("j1", 20)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	other.peers.markGone("a")
	requireAllCompleted(t, other, accepted)
	requireAllCompleted(t, owner, accepted)
}

// TestPartitionedDaemonsDoNotAlternateOwnership: two daemons that suspect each other must
// complete a job without taking it over in turn.
func TestPartitionedDaemonsDoNotAlternateOwnership(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.events, fake.pause = 60, 40*time.Millisecond
	first, second := startDaemon(t, "a", store, fake), startDaemon(t, "b", store, fake)
	first.peers.suspect("b")
	second.peers.suspect("a")
	accepted := newJob("j1", 4)
	require.NoError(t, first.Submit(t.Context(), accepted))
	before := store.Commits()
	requireAllCompleted(t, second, accepted)
	// One or two takeovers, a few checkpoints and the results.
	require.Less(t, store.Commits()-before, 25)
}

// TestReleasedJobContinuesElsewhere: a stopping daemon releases its job and another one
// completes it.
func TestReleasedJobContinuesElsewhere(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.pause = 10 * time.Millisecond
	owner, other := startDaemon(t, "a", store, fake), startDaemon(t, "b", store, fake)
	accepted := newJob("j1", 120)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	owner.Stop(t.Context())
	require.Zero(t, owner.Owned())
	requireAllCompleted(t, other, accepted)
}

// TestNextOwnerResumesAtCheckpoint: after a crash and after a planned stop, items resume
// after the events of their checkpoints.
func TestNextOwnerResumesAtCheckpoint(t *testing.T) {
	for _, isPlanned := range []bool{false, true} {
		store, fake := tabletest.NewMemory(), newFakeBackends()
		fake.events, fake.pause = 200, 20*time.Millisecond
		owner, other := startDaemon(t, "a", store, fake), startDaemon(t, "b", store, fake)
		accepted := newJob("j1", 3)
		require.NoError(t, owner.Submit(t.Context(), accepted))
		require.Eventually(t, func() bool { return checkpointsOf(t, store, accepted) == len(accepted.Items) }, testTimeout, pollInterval)
		if isPlanned {
			owner.Stop(t.Context())
		} else {
			owner.cancel()
			other.peers.markGone("a")
		}
		requireAllCompleted(t, other, accepted)
		for _, item := range accepted.Items {
			require.GreaterOrEqual(t, fake.resumedAt(item.ID), int64(16), "planned %v", isPlanned)
		}
	}
}

// checkpointsOf counts the checkpoints of a job in the store.
func checkpointsOf(t *testing.T, store *tabletest.Memory, accepted job.Job) int {
	t.Helper()
	count := 0
	partitions, _, err := store.Partitions(t.Context(), "item_progress", "")
	require.NoError(t, err)
	for _, partition := range partitions {
		page, err := store.Read(t.Context(), table.Range{Table: "item_progress", Partition: partition, From: accepted.ID + "/", Before: accepted.ID + "0"})
		require.NoError(t, err)
		count += len(page.Rows)
	}
	return count
}

// gatedStore blocks reads of job content until open is closed.
type gatedStore struct {
	table.Store
	reached chan struct{}
	open    chan struct{}
	once    sync.Once
}

func (g *gatedStore) Read(ctx context.Context, wanted table.Range) (table.Page, error) {
	if wanted.Table == "job_content" {
		g.once.Do(func() { close(g.reached) })
		<-g.open
	}
	return g.Store.Read(ctx, wanted)
}

// TestJobCanceledDuringTakeoverIsNotRun: the job is cancelled while the daemon that takes it
// over reads its items.
func TestJobCanceledDuringTakeoverIsNotRun(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.pause = 50 * time.Millisecond
	owner := startDaemon(t, "a", store, fake)
	accepted := newJob("j1", 200)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	owner.cancel()
	gated := &gatedStore{Store: store, reached: make(chan struct{}), open: make(chan struct{})}
	late := newFakeBackends()
	successor, third := startDaemon(t, "b", gated, late), startDaemon(t, "c", store, fake)
	successor.peers.markGone("a")
	<-gated.reached
	require.NoError(t, third.Cancel(t.Context(), "j1"))
	ended := store.Version()
	require.Eventually(t, func() bool { return successor.Followed() >= ended }, testTimeout, pollInterval)
	close(gated.open)
	time.Sleep(300 * time.Millisecond)
	require.Zero(t, successor.Owned())
	require.Empty(t, late.starts)
}

// TestFailureCountSurvivesTakeover: a change of owner must not add attempts for an item that
// always fails.
func TestFailureCountSurvivesTakeover(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.status["j1-item0"] = 500
	owner, other := startDaemon(t, "a", store, fake), startDaemon(t, "b", store, fake)
	require.NoError(t, owner.Submit(t.Context(), newJob("j1", 1)))
	require.Eventually(t, func() bool { return fake.started("j1-item0") > 0 }, testTimeout, pollInterval)
	owner.Stop(t.Context())
	require.Eventually(t, func() bool {
		listed, _ := allResults(t, other, "j1")
		return len(listed) == 1 && listed[0].State == job.StateAbandoned
	}, testTimeout, pollInterval)
	require.Equal(t, 3, fake.started("j1-item0"))
}
