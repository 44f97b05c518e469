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

// TestEveryItemCompletesOnce: another daemon than the owner lists the results of a job.
func TestEveryItemCompletesOnce(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	owner, reader := startDaemon(t, "a", store, fake), startDaemon(t, "b", store, fake)
	accepted := newJob("j1", 20)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	requireAllCompleted(t, reader, accepted)
	body, err := reader.Body(t.Context(), "j1", "j1-item3")
	require.NoError(t, err)
	require.Equal(t, []byte{3}, body)
	_, err = reader.Results(t.Context(), "other", 0, 0)
	require.True(t, failure.Is(err, failure.KindNotFound))
}

// TestInterruptedItemsResumeAfterLastEvent: the text of an item is complete although runs
// break off.
func TestInterruptedItemsResumeAfterLastEvent(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.breakShare = 0.5
	owner := startDaemon(t, "a", store, fake)
	accepted := newJob("j1", 10)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	requireAllCompleted(t, owner, accepted)
}

// TestResubmittedJobRunsOnce: a job is submitted again at another daemon, during and after
// its run.
func TestResubmittedJobRunsOnce(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	first, second := startDaemon(t, "a", store, fake), startDaemon(t, "b", store, fake)
	accepted := newJob("j1", 5)
	require.NoError(t, first.Submit(t.Context(), accepted))
	require.NoError(t, second.Submit(t.Context(), accepted))
	requireAllCompleted(t, second, accepted)
	require.NoError(t, second.Submit(t.Context(), accepted))
	for _, item := range accepted.Items {
		require.Equal(t, 1, fake.started(item.ID))
	}
}

// TestCanceledJobStops: no result is listed after the owner has dropped a cancelled job.
func TestCanceledJobStops(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.pause = 20 * time.Millisecond
	owner, other := startDaemon(t, "a", store, fake), startDaemon(t, "b", store, fake)
	accepted := newJob("j1", 200)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	require.NoError(t, other.Cancel(t.Context(), "j1"))
	require.NoError(t, other.Cancel(t.Context(), "j1"))
	require.Eventually(t, func() bool { return owner.Owned() == 0 }, testTimeout, pollInterval)
	before, _ := allResults(t, other, "j1")
	time.Sleep(300 * time.Millisecond)
	after, _ := allResults(t, other, "j1")
	require.Equal(t, before, after)
}

// TestJobLargerThanTransaction: a job whose content does not fit a transaction completes and
// can be read at another daemon.
func TestJobLargerThanTransaction(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	owner, reader := startDaemon(t, "a", store, fake), startDaemon(t, "b", store, fake)
	accepted := newJob("j1", 100)
	for index := range accepted.Items {
		accepted.Items[index].Body = make([]byte, 10000)
	}
	fake.pause = 100 * time.Millisecond
	require.NoError(t, owner.Submit(t.Context(), accepted))
	body, err := reader.Body(t.Context(), "j1", "j1-item99")
	require.NoError(t, err)
	require.Len(t, body, 10000)
	requireAllCompleted(t, reader, accepted)
}

// TestFailingItemsAreAbandoned: an item that is rejected is sent once, an item that fails at
// every attempt three times.
func TestFailingItemsAreAbandoned(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.status["j1-item0"] = 422
	fake.status["j1-item1"] = 500
	owner := startDaemon(t, "a", store, fake)
	require.NoError(t, owner.Submit(t.Context(), newJob("j1", 3)))
	states := map[string]job.State{}
	require.Eventually(t, func() bool {
		listed, _ := allResults(t, owner, "j1")
		for _, result := range listed {
			states[result.Item] = result.State
		}
		return len(listed) == 3
	}, testTimeout, pollInterval)
	require.Equal(t, map[string]job.State{"j1-item0": job.StateAbandoned, "j1-item1": job.StateAbandoned, "j1-item2": job.StateCompleted}, states)
	require.Equal(t, 1, fake.started("j1-item0"))
	require.Equal(t, 3, fake.started("j1-item1"))
}

// TestOnlyServerErrorsAreFailuresOfItems guards against items that are abandoned although a backend
// answered with statuses that say nothing of the item, or that don't tell whether it has run.
func TestOnlyServerErrorsAreFailuresOfItems(t *testing.T) {
	statuses := []int{204, 400, 404, 429, 502, 503, 504}
	store, fake := tabletest.NewMemory(), newFakeBackends()
	owner := startDaemon(t, "a", store, fake)
	submitted := newJob("j1", len(statuses))
	for index, status := range statuses {
		fake.answerWith(submitted.Items[index].ID, status)
	}
	require.NoError(t, owner.Submit(t.Context(), submitted))
	for _, item := range submitted.Items {
		require.Eventually(t, func() bool { return fake.started(item.ID) > maxAttempts }, testTimeout, pollInterval)
		fake.answerWith(item.ID, 0)
	}
	requireAllCompleted(t, owner, submitted)
}

// TestItemsWaitForPeerLoads: a daemon that has just started dispatches no items until it has
// peer loads or the settling time is over.
func TestItemsWaitForPeerLoads(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	settling := startWithSettlingTime(t, "a", store, fake, time.Hour)
	accepted := newJob("j1", 3)
	require.NoError(t, settling.Submit(t.Context(), accepted))
	require.Never(t, func() bool { return fake.started("j1-item0") > 0 }, 400*time.Millisecond, pollInterval)
	settling.backends.SetPeerLoads("b", map[string]backend.PeerLoad{}, 0)
	requireAllCompleted(t, settling, accepted)
	single := startWithSettlingTime(t, "c", store, fake, 300*time.Millisecond)
	second := newJob("j2", 3)
	require.NoError(t, single.Submit(t.Context(), second))
	requireAllCompleted(t, single, second)
}

// TestOneItemPreemptedPerRequest: one preemption interrupts exactly one item, and the item
// completes in a later run.
func TestOneItemPreemptedPerRequest(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.events, fake.pause = 50, 20*time.Millisecond
	owner := startDaemon(t, "a", store, fake)
	accepted := newJob("j1", 4)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	require.Eventually(t, func() bool { return owner.backends.OwnLoads()["one"].Batch == len(accepted.Items) }, testTimeout, pollInterval)
	owner.backends.Preempt("one")
	require.Eventually(t, func() bool { return owner.backends.OwnLoads()["one"].Batch == len(accepted.Items)-1 }, testTimeout, pollInterval)
	requireAllCompleted(t, owner, accepted)
	again := 0
	for _, item := range accepted.Items {
		again += fake.started(item.ID) - 1
	}
	require.Equal(t, 1, again, "number of repeated runs")
}

// TestOwnerPausesAfterPreemption: after a preemption the owner sends no item for a pause,
// also not to another backend.
func TestOwnerPausesAfterPreemption(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.events, fake.pause = 100, 20*time.Millisecond
	owner := startDaemon(t, "a", store, fake)
	accepted := newJob("j1", 4)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	require.Eventually(t, func() bool { return owner.backends.OwnLoads()["one"].Batch == len(accepted.Items) }, testTimeout, pollInterval)
	owner.backends.Put(backend.Instance{ID: "two", Version: "v1", Service: service, Slots: 100})
	owner.backends.Preempt("one")
	preemptedAt := time.Now()
	require.Eventually(t, func() bool { return owner.backends.OwnLoads()["two"].Batch == 1 }, testTimeout, time.Millisecond)
	require.Greater(t, time.Since(preemptedAt), 200*time.Millisecond)
	requireAllCompleted(t, owner, accepted)
}
