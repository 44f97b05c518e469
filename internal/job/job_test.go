package job_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/failure"
	"topazpulley/internal/job"
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

// TestOneItemGivesWayPerRequest: each online request that waits takes one item
// from its backend, and the item completes elsewhere or later.
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
