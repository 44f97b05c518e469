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

// TestOrphanedJobIsTakenOver: the owner is killed in the middle.
func TestOrphanedJobIsTakenOver(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	runner.pause = 20 * time.Millisecond
	owner, other := startDaemon(t, "a", store, runner), startDaemon(t, "b", store, runner)
	accepted := newJob("j1", 20)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	owner.cancel()
	other.peers.kill("a")
	requireAllCompleted(t, other, accepted)
}

// TestFalselySuspectedOwnerCommitsNothingTwice: both run the job; only the
// holder of the claim commits.
func TestFalselySuspectedOwnerCommitsNothingTwice(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	runner.pause = 30 * time.Millisecond
	owner, other := startDaemon(t, "a", store, runner), startDaemon(t, "b", store, runner)
	accepted := newJob("j1", 20)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	other.peers.kill("a")
	requireAllCompleted(t, other, accepted)
	requireAllCompleted(t, owner, accepted)
}

// TestDaemonsThatCannotHearEachOtherDoNotTakeAJobInTurn: both run it for a
// while, and it ends.
func TestDaemonsThatCannotHearEachOtherDoNotTakeAJobInTurn(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	runner.events, runner.pause = 60, 40*time.Millisecond
	first, second := startDaemon(t, "a", store, runner), startDaemon(t, "b", store, runner)
	first.peers.suspect("b")
	second.peers.suspect("a")
	accepted := newJob("j1", 4)
	require.NoError(t, first.Submit(t.Context(), accepted))
	before := store.Commits()
	requireAllCompleted(t, second, accepted)
	// One or two takeovers, a few checkpoints and the results.
	require.Less(t, store.Commits()-before, 25)
}

// TestReleasedJobGoesOnElsewhere: a planned stop.
func TestReleasedJobGoesOnElsewhere(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	runner.pause = 10 * time.Millisecond
	owner, other := startDaemon(t, "a", store, runner), startDaemon(t, "b", store, runner)
	accepted := newJob("j1", 120)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	owner.Stop(t.Context())
	require.Zero(t, owner.Owned())
	requireAllCompleted(t, other, accepted)
}

// TestNextOwnerGoesOnAtTheCheckpoint: after a kill and after a planned stop, an
// item's new run is asked to go on behind the events that were kept.
func TestNextOwnerGoesOnAtTheCheckpoint(t *testing.T) {
	for _, isPlanned := range []bool{false, true} {
		store, runner := tabletest.NewMemory(), newRunners()
		runner.events, runner.pause = 200, 20*time.Millisecond
		owner, other := startDaemon(t, "a", store, runner), startDaemon(t, "b", store, runner)
		accepted := newJob("j1", 3)
		require.NoError(t, owner.Submit(t.Context(), accepted))
		require.Eventually(t, func() bool { return checkpointsOf(t, store, accepted) == len(accepted.Items) }, patience, pollTime)
		if isPlanned {
			owner.Stop(t.Context())
		} else {
			owner.cancel()
			other.peers.kill("a")
		}
		requireAllCompleted(t, other, accepted)
		for _, item := range accepted.Items {
			require.GreaterOrEqual(t, runner.resumedAt(item.ID), int64(16), "planned %v", isPlanned)
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

// gatedStore holds reads of jobs' content until it is opened.
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

// TestJobEndedDuringTakeoverIsNotRun: the end comes while the daemon that
// takes the job over still reads its items.
func TestJobEndedDuringTakeoverIsNotRun(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	runner.pause = 50 * time.Millisecond
	owner := startDaemon(t, "a", store, runner)
	accepted := newJob("j1", 200)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	owner.cancel()
	gated := &gatedStore{Store: store, reached: make(chan struct{}), open: make(chan struct{})}
	late := newRunners()
	successor, third := startDaemon(t, "b", gated, late), startDaemon(t, "c", store, runner)
	successor.peers.kill("a")
	<-gated.reached
	require.NoError(t, third.End(t.Context(), "j1"))
	ended := store.Version()
	require.Eventually(t, func() bool { return successor.Followed() >= ended }, patience, pollTime)
	close(gated.open)
	time.Sleep(300 * time.Millisecond)
	require.Zero(t, successor.Owned())
	require.Empty(t, late.starts)
}

// TestFailuresAreCountedOverOwners: an item that fails at every run is sent no
// more often because its job changes hands.
func TestFailuresAreCountedOverOwners(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	runner.status["j1-item0"] = 500
	owner, other := startDaemon(t, "a", store, runner), startDaemon(t, "b", store, runner)
	require.NoError(t, owner.Submit(t.Context(), newJob("j1", 1)))
	require.Eventually(t, func() bool { return runner.started("j1-item0") > 0 }, patience, pollTime)
	owner.Stop(t.Context())
	require.Eventually(t, func() bool {
		listed, _ := allResults(t, other, "j1")
		return len(listed) == 1 && listed[0].State == job.StateAbandoned
	}, patience, pollTime)
	require.Equal(t, 3, runner.started("j1-item0"))
}
