package job_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/failure"
	"topazpulley/internal/job"
	"topazpulley/internal/table"
	"topazpulley/internal/table/tabletest"
)

// TestEveryItemCompletesOnce: a job is read at another daemon than the one
// that runs it.
func TestEveryItemCompletesOnce(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	owner, reader := startDaemon(t, "a", store, runner), startDaemon(t, "b", store, runner)
	accepted := newJob("j1", 20)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	requireAllCompleted(t, reader, accepted)
	body, err := reader.Body(t.Context(), "j1", "j1-item3")
	require.NoError(t, err)
	require.Equal(t, []byte{3}, body)
	_, err = reader.Results(t.Context(), "other", 0, 0)
	require.True(t, failure.Is(err, failure.KindNotFound))
}

// TestBrokenItemsGoOnBehindTheirLastEvent: the text is whole although runs
// break off.
func TestBrokenItemsGoOnBehindTheirLastEvent(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	runner.breakShare = 0.5
	owner := startDaemon(t, "a", store, runner)
	accepted := newJob("j1", 10)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	requireAllCompleted(t, owner, accepted)
}

// TestResentJobIsTakenOnce: at any daemon, during and after the first run.
func TestResentJobIsTakenOnce(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	first, second := startDaemon(t, "a", store, runner), startDaemon(t, "b", store, runner)
	accepted := newJob("j1", 5)
	require.NoError(t, first.Submit(t.Context(), accepted))
	require.NoError(t, second.Submit(t.Context(), accepted))
	requireAllCompleted(t, second, accepted)
	require.NoError(t, second.Submit(t.Context(), accepted))
	for _, item := range accepted.Items {
		require.Equal(t, 1, runner.started(item.ID))
	}
}

// TestLostAcceptanceIsTakenUp: the answer to the acceptance is lost, the job
// exists and is run all the same, by the daemon that sent it.
func TestLostAcceptanceIsTakenUp(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	owner := startDaemon(t, "a", store, runner)
	first := true
	store.SetDecide(func(call string) tabletest.Fault {
		if call == "commit" && first {
			first = false
			return tabletest.FaultLose
		}
		return tabletest.FaultNone
	})
	accepted := newJob("j1", 5)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	requireAllCompleted(t, owner, accepted)
}

// TestUnsettledAcceptanceIsNeverPromisedNotRun: the store loses the first
// answer and then refuses; the acceptance may take effect later.
func TestUnsettledAcceptanceIsNeverPromisedNotRun(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	owner := startDaemon(t, "a", store, runner)
	first := true
	store.SetDecide(func(call string) tabletest.Fault {
		switch {
		case call == "commit" && first:
			first = false
			return tabletest.FaultLate
		case call == "commit":
			return tabletest.FaultRefuse
		}
		return tabletest.FaultNone
	})
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	accepted := newJob("j1", 5)
	err := owner.Submit(ctx, accepted)
	require.Error(t, err)
	require.False(t, failure.From(err).NotRun, "promised not run although the job may come to exist")
	store.SetDecide(nil)
	store.Settle()
	requireAllCompleted(t, owner, accepted)
}

// TestUnsettledEndIsNeverPromisedNotDone: the store loses the answer to the end of
// a job and then refuses. The caller was told 503, "not done", while the job had
// ended or was about to.
func TestUnsettledEndIsNeverPromisedNotDone(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	owner := startDaemon(t, "a", store, runner)
	accepted := newJob("j1", 5)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	first := true
	store.SetDecide(func(call string) tabletest.Fault {
		switch {
		case call == "commit" && first:
			first = false
			return tabletest.FaultLate
		case call == "commit":
			return tabletest.FaultRefuse
		}
		return tabletest.FaultNone
	})
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	err := owner.End(ctx, accepted.ID)
	require.Error(t, err)
	require.False(t, failure.From(err).NotRun, "promised not done although the end may take effect")
}

// TestUnsettledEndOfADaemonThatStopsIsNeverPromisedNotDone: the end is given up with
// the daemon while its caller waits.
func TestUnsettledEndOfADaemonThatStopsIsNeverPromisedNotDone(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	runner.pause = time.Minute
	owner := startDaemon(t, "a", store, runner)
	accepted := newJob("j1", 5)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	first := true
	store.SetDecide(func(call string) tabletest.Fault {
		switch {
		case call == "commit" && first:
			first = false
			return tabletest.FaultLate
		case call == "commit":
			return tabletest.FaultRefuse
		}
		return tabletest.FaultNone
	})
	time.AfterFunc(300*time.Millisecond, owner.cancel)
	err := owner.End(t.Context(), accepted.ID)
	require.Error(t, err)
	require.False(t, failure.From(err).NotRun, "promised not done although the end may take effect")
}

// TestResentJobIsNotRefusedUnlessItIsKnownToBeNew: a job that does not fit is sent
// again after its acceptance, whose answer was lost. While the store does not tell
// whether the job exists, 429 would promise that no part of it runs.
func TestResentJobIsNotRefusedUnlessItIsKnownToBeNew(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	owner := startDaemon(t, "a", store, runner)
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
	require.True(t, failure.From(err).NotRun, "it is known not to exist")
	require.NoError(t, owner.Submit(t.Context(), newJob("j1", 5)))
	require.NoError(t, owner.RefuseUnlessAccepted(t.Context(), newJob("j1", 5), full))
}

// TestRefusedJobNeverRuns: every try was refused.
func TestRefusedJobNeverRuns(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	owner := startDaemon(t, "a", store, runner)
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

// TestEndedJobStops: no item is sent once the end was acknowledged and the
// owner has heard of it.
func TestEndedJobStops(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	runner.pause = 20 * time.Millisecond
	owner, other := startDaemon(t, "a", store, runner), startDaemon(t, "b", store, runner)
	accepted := newJob("j1", 200)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	require.NoError(t, other.End(t.Context(), "j1"))
	require.NoError(t, other.End(t.Context(), "j1"))
	require.Eventually(t, func() bool { return owner.Owned() == 0 }, patience, pollTime)
	before, _ := allResults(t, other, "j1")
	time.Sleep(300 * time.Millisecond)
	after, _ := allResults(t, other, "j1")
	require.Equal(t, before, after)
}

// deafStore never tells of changes.
type deafStore struct {
	table.Store
}

func (d deafStore) Watch(ctx context.Context, _ string, _ table.Version, _ time.Duration) (table.Changes, error) {
	<-ctx.Done()
	return table.Changes{}, &table.Error{Kind: table.ErrorUnknown, Call: "watch"}
}

// TestOwnerThatHearsNothingCommitsNothingAfterTheEnd: the claim alone keeps an
// owner from listing results of a job that was ended.
func TestOwnerThatHearsNothingCommitsNothingAfterTheEnd(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	runner.pause = 40 * time.Millisecond
	owner, other := startDaemon(t, "a", deafStore{store}, runner), startDaemon(t, "b", store, runner)
	// Its one read of the claims must be over, or it tells the owner of the end.
	require.Eventually(t, func() bool { return owner.Followed() > 0 }, patience, pollTime)
	require.NoError(t, owner.Submit(t.Context(), newJob("j1", 100)))
	require.NoError(t, other.End(t.Context(), "j1"))
	before, _ := allResults(t, other, "j1")
	require.Eventually(t, func() bool { return owner.Owned() == 0 }, patience, pollTime)
	after, _ := allResults(t, other, "j1")
	require.Equal(t, before, after)
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

// TestLargeJobsLieInAnObject: their content fits no transaction.
func TestLargeJobsLieInAnObject(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	owner, reader := startDaemon(t, "a", store, runner), startDaemon(t, "b", store, runner)
	accepted := newJob("j1", 100)
	for index := range accepted.Items {
		accepted.Items[index].Body = make([]byte, 10000)
	}
	require.NoError(t, owner.Submit(t.Context(), accepted))
	requireAllCompleted(t, reader, accepted)
	body, err := reader.Body(t.Context(), "j1", "j1-item99")
	require.NoError(t, err)
	require.Len(t, body, 10000)
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

// TestImpossibleItemsAreAbandoned: one is refused for good, one fails at every
// run, and neither is sent without end.
func TestImpossibleItemsAreAbandoned(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	runner.status["j1-item0"] = 422
	runner.status["j1-item1"] = 500
	owner := startDaemon(t, "a", store, runner)
	require.NoError(t, owner.Submit(t.Context(), newJob("j1", 3)))
	states := map[string]job.State{}
	require.Eventually(t, func() bool {
		listed, _ := allResults(t, owner, "j1")
		for _, result := range listed {
			states[result.Item] = result.State
		}
		return len(listed) == 3
	}, patience, pollTime)
	require.Equal(t, map[string]job.State{"j1-item0": job.StateAbandoned, "j1-item1": job.StateAbandoned, "j1-item2": job.StateCompleted}, states)
	require.Equal(t, 1, runner.started("j1-item0"))
	require.Equal(t, 3, runner.started("j1-item1"))
}

// TestItemsWaitUntilOthersWorkIsKnown: a daemon that has just started places
// nothing until it hears of other daemons' work, or has waited for it.
func TestItemsWaitUntilOthersWorkIsKnown(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	patient := startSettling(t, "a", store, runner, time.Hour)
	accepted := newJob("j1", 3)
	require.NoError(t, patient.Submit(t.Context(), accepted))
	require.Never(t, func() bool { return runner.started("j1-item0") > 0 }, 400*time.Millisecond, pollTime)
	patient.backends.SetPeerLoads("b", map[string]backend.PeerLoad{}, 0)
	requireAllCompleted(t, patient, accepted)
	alone := startSettling(t, "c", store, runner, 300*time.Millisecond)
	second := newJob("j2", 3)
	require.NoError(t, alone.Submit(t.Context(), second))
	requireAllCompleted(t, alone, second)
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

// TestRandomStoreFaults: refused, throttled, lost and late calls, two takeovers
// and broken runs; every accepted job completes with each item once.
func TestRandomStoreFaults(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	runner.pause = 5 * time.Millisecond
	runner.breakShare = 0.1
	daemons := []*daemon{startDaemon(t, "a", store, runner), startDaemon(t, "b", store, runner), startDaemon(t, "c", store, runner)}
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
		survivor.peers.kill("a")
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

// TestOneItemGivesWayPerRequest: each online request that waits takes one item
// from its back end, and the item completes elsewhere or later.
func TestOneItemGivesWayPerRequest(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	runner.events, runner.pause = 50, 20*time.Millisecond
	owner := startDaemon(t, "a", store, runner)
	accepted := newJob("j1", 4)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	require.Eventually(t, func() bool { return owner.backends.OwnLoads()["one"].Batch == len(accepted.Items) }, patience, pollTime)
	owner.backends.Preempt("one")
	require.Eventually(t, func() bool { return owner.backends.OwnLoads()["one"].Batch == len(accepted.Items)-1 }, patience, pollTime)
	requireAllCompleted(t, owner, accepted)
	again := 0
	for _, item := range accepted.Items {
		again += runner.started(item.ID) - 1
	}
	require.Equal(t, 1, again, "runs beyond the first")
}

// TestOwnerThatGaveWaySendsNothingForAWhile: online requests find no places, so
// that a slot which looks free elsewhere is one of theirs.
func TestOwnerThatGaveWaySendsNothingForAWhile(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	runner.events, runner.pause = 100, 20*time.Millisecond
	owner := startDaemon(t, "a", store, runner)
	accepted := newJob("j1", 4)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	require.Eventually(t, func() bool { return owner.backends.OwnLoads()["one"].Batch == len(accepted.Items) }, patience, pollTime)
	owner.backends.Put(backend.Instance{ID: "two", Service: service, Slots: 100})
	owner.backends.Preempt("one")
	gaveWayAt := time.Now()
	require.Eventually(t, func() bool { return owner.backends.OwnLoads()["two"].Batch == 1 }, patience, time.Millisecond)
	require.Greater(t, time.Since(gaveWayAt), 200*time.Millisecond)
	requireAllCompleted(t, owner, accepted)
}
