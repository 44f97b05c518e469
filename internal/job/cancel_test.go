package job_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/serving"
	"topazpulley/internal/table"
	"topazpulley/internal/table/tabletest"
)

// cancelTime is the time after an acknowledged cancellation within which its items may still reach a backend.
const cancelTime = 3 * time.Second

// TestCancelContinuesWithoutCaller: a cancellation that the store throttles must continue
// after its caller has left or timed out.
func TestCancelContinuesWithoutCaller(t *testing.T) {
	cases := map[string]func(t *testing.T, cancelJob func(ctx context.Context) error){
		"timed out": func(t *testing.T, cancelJob func(ctx context.Context) error) {
			bounded, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			require.Error(t, cancelJob(bounded))
		},
		"left": func(t *testing.T, cancelJob func(ctx context.Context) error) {
			left, leave := context.WithCancel(t.Context())
			leave()
			require.Error(t, cancelJob(left))
		},
	}
	for name, call := range cases {
		t.Run(name, func(t *testing.T) {
			store, fake := tabletest.NewMemory(), newFakeBackends()
			fake.pause = time.Minute
			owner, other := startDaemon(t, "a", store, fake), startDaemon(t, "b", store, fake)
			require.NoError(t, owner.Submit(t.Context(), newJob("j1", 200)))
			store.SetDecide(func(call string) tabletest.Fault {
				if call == "commit" {
					return tabletest.FaultThrottle
				}
				return tabletest.FaultNone
			})
			call(t, func(ctx context.Context) error { return other.Cancel(ctx, "j1") })
			store.SetDecide(nil)
			require.Eventually(t, func() bool { return owner.Owned() == 0 }, 2*cancelTime, pollInterval, "the job was not cancelled")
		})
	}
}

// stalledStore reports no changes while isStalled is set.
type stalledStore struct {
	table.Store
	isStalled atomic.Bool
}

func (s *stalledStore) Watch(ctx context.Context, name string, after table.Version, wait time.Duration) (table.Changes, error) {
	if s.isStalled.Load() {
		return blockWatch(ctx)
	}
	return s.Store.Watch(ctx, name, after, wait)
}

// watchWait exceeds the time that a watch call of the followers waits.
const watchWait = 300 * time.Millisecond

// backendWithSlots returns the backend "one" with the given slots.
func backendWithSlots(slots int) backend.Instance {
	return backend.Instance{ID: "one", Version: "v1", Service: service, Slots: slots}
}

// TestStaleClaimsBlockNewItems: an owner whose watch stalls is not notified that its job was
// cancelled elsewhere. It must send no items while its copy of the claims is stale.
func TestStaleClaimsBlockNewItems(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.pause = time.Minute
	stalled := &stalledStore{Store: store}
	owner, other := startDaemon(t, "a", stalled, fake), startDaemon(t, "b", store, fake)
	require.NoError(t, owner.Submit(t.Context(), newJob("j1", 200)))
	require.Eventually(t, func() bool { return fake.total() == 100 }, testTimeout, pollInterval)
	stalled.isStalled.Store(true)
	time.Sleep(watchWait) // lets the pending watch call return
	require.NoError(t, other.Cancel(t.Context(), "j1"))
	time.Sleep(cancelTime + time.Second)
	before := fake.total()
	owner.backends.Put(backendWithSlots(200))
	time.Sleep(time.Second)
	require.Equal(t, before, fake.total(), "items of a cancelled job were sent")
	stalled.isStalled.Store(false)
	require.Eventually(t, func() bool { return owner.Owned() == 0 }, testTimeout, pollInterval)
}

// TestItemsResumeWhenClaimsAreCurrent: items wait only while the copy of the claims is stale.
func TestItemsResumeWhenClaimsAreCurrent(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	stalled := &stalledStore{Store: store}
	owner := startDaemon(t, "a", stalled, fake)
	owner.backends.Put(backendWithSlots(0))
	accepted := newJob("j1", 20)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	stalled.isStalled.Store(true)
	time.Sleep(cancelTime)
	owner.backends.Put(backendWithSlots(100))
	stalled.isStalled.Store(false)
	requireAllCompleted(t, owner, accepted)
	for _, item := range accepted.Items {
		require.Equal(t, 1, fake.started(item.ID))
	}
}

// countingSender counts send calls.
type countingSender struct {
	serving.Sender
	sends atomic.Int64
}

func (c *countingSender) Send(ctx context.Context, attempt serving.Attempt) (serving.Answer, error) {
	c.sends.Add(1)
	return c.Sender.Send(ctx, attempt)
}

// TestItemsOfJobBeingCanceledAreNotDispatched: items of a job whose cancellation is pending at its
// owner must not be dispatched: each would use a slot and be refused a permit.
func TestItemsOfJobBeingCanceledAreNotDispatched(t *testing.T) {
	for name, tenant := range map[string]string{"by a caller without a tenant": "", "by a tenant": "acme"} {
		t.Run(name, func(t *testing.T) {
			store, fake := tabletest.NewMemory(), newFakeBackends()
			sender := &countingSender{Sender: fake}
			owner := startWithSender(t, "a", store, sender)
			owner.backends.Put(backendWithSlots(0))
			require.NoError(t, owner.Submit(t.Context(), newJob("j1", 50)))
			store.SetDecide(func(call string) tabletest.Fault {
				if call == "commit" {
					return tabletest.FaultThrottle
				}
				return tabletest.FaultNone
			})
			left, leave := context.WithCancel(t.Context())
			leave()
			require.Error(t, owner.Of(tenant).Cancel(left, "j1"))
			time.Sleep(watchWait) // lets a dispatch round that has begun complete
			owner.backends.Put(backendWithSlots(100))
			time.Sleep(time.Second)
			assert.Zero(t, sender.sends.Load(), "items were dispatched")
			assert.Zero(t, fake.total(), "items were sent")
		})
	}
}

// TestClaimRemovedNotificationStopsOwner: an owner whose watch stalls drops its job when notified
// of the removal of its claim, not of an older one. A repeated cancellation sends no notification.
func TestClaimRemovedNotificationStopsOwner(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.pause = time.Minute
	stalled := &stalledStore{Store: store}
	owner, other := startDaemon(t, "a", stalled, fake), startDaemon(t, "b", store, fake)
	require.NoError(t, owner.Submit(t.Context(), newJob("j1", 20)))
	require.Eventually(t, func() bool { return owner.Followed() >= store.Version() && fake.total() == 20 }, testTimeout, pollInterval)
	stalled.isStalled.Store(true)
	time.Sleep(watchWait) // lets the pending watch call return
	require.NoError(t, other.Cancel(t.Context(), "j1"))
	require.NoError(t, other.Cancel(t.Context(), "j1"))
	require.Len(t, other.peers.removed, 1)
	require.Equal(t, 1, owner.Owned())
	notified := other.peers.removed[0]
	require.Equal(t, "a", notified.owner)
	owner.HandleClaimRemoved(notified.job, notified.version-1)
	require.Equal(t, 1, owner.Owned(), "the job was dropped for an older claim")
	owner.HandleClaimRemoved(notified.job, notified.version)
	require.Zero(t, owner.Owned())
	time.Sleep(time.Second)
	require.Zero(t, owner.Owned(), "the job was owned again")
	require.Equal(t, 20, fake.total())
}
