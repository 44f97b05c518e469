package job_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpulley/internal/job"
	"topazpulley/internal/table"
	"topazpulley/internal/table/tabletest"
)

// throttleCommits throttles all commits.
func throttleCommits(call string) tabletest.Fault {
	if call == "commit" {
		return tabletest.FaultThrottle
	}
	return tabletest.FaultNone
}

// cancelWithoutWaiting sends a cancel request without waiting for the answer.
func cancelWithoutWaiting(t *testing.T, at *daemon, tenant, id string) {
	t.Helper()
	left, leave := context.WithCancel(t.Context())
	leave()
	require.Error(t, at.Of(tenant).Cancel(left, id))
}

// kill stops a daemon without releasing its jobs and waits for its pending cancellations.
func (d *daemon) kill(t *testing.T) {
	t.Helper()
	d.cancel()
	d.AwaitCancellations(t.Context())
}

// requireFollowed waits until the daemons have followed all claims.
func requireFollowed(t *testing.T, store *tabletest.Memory, daemons ...*daemon) {
	t.Helper()
	for _, each := range daemons {
		require.Eventually(t, func() bool { return each.Followed() >= store.Version() }, testTimeout, pollInterval)
	}
}

// TestOwnerContinuesCancelAfterReceiverStops: the owner completes a cancellation, and sends no
// items, if the daemon that received the call stops while the store throttles commits.
func TestOwnerContinuesCancelAfterReceiverStops(t *testing.T) {
	for name, tenant := range map[string]string{"by a caller without a tenant": "", "by a tenant": "acme"} {
		t.Run(name, func(t *testing.T) {
			store, fake := tabletest.NewMemory(), newFakeBackends()
			fake.pause = time.Minute
			owner, receiver := startDaemon(t, "a", store, fake), startDaemon(t, "b", store, fake)
			receiver.peers.connect(owner)
			owner.backends.Put(backendWithSlots(0))
			accepted := newJob("j1", 100)
			accepted.Tenant = tenant
			require.NoError(t, owner.Submit(t.Context(), accepted))
			requireFollowed(t, store, owner, receiver)
			store.SetDecide(throttleCommits)
			cancelWithoutWaiting(t, receiver, tenant, "j1")
			time.Sleep(watchWait) // the cancel request is received and throttled
			receiver.kill(t)
			store.SetDecide(nil)
			owner.backends.Put(backendWithSlots(100))
			time.Sleep(cancelTime)
			assert.Zero(t, fake.total(), "items of the cancelled job were sent")
			require.Eventually(t, func() bool { return owner.Owned() == 0 }, testTimeout, pollInterval, "the job was not cancelled")
			require.Zero(t, fake.total())
		})
	}
}

// refusingStore throttles all commits.
type refusingStore struct{ table.Store }

func (refusingStore) Commit(context.Context, table.Transaction) (table.Version, error) {
	return 0, &table.Error{Kind: table.ErrorThrottled, Call: "commit"}
}

// TestCancelRequestReachesNextOwner: the receiver cannot commit and the owner stops: the
// daemon that takes the job over must get the cancel request.
func TestCancelRequestReachesNextOwner(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.pause = time.Minute
	owner, next := startDaemon(t, "a", store, fake), startDaemon(t, "c", store, fake)
	receiver := startDaemon(t, "b", refusingStore{Store: store}, fake)
	receiver.peers.connect(next)
	require.NoError(t, owner.Submit(t.Context(), newJob("j1", 20)))
	requireFollowed(t, store, receiver, next)
	cancelWithoutWaiting(t, receiver, "", "j1")
	owner.kill(t)
	next.peers.markGone("a")
	require.Eventually(t, func() bool { return next.Owned() == 1 }, testTimeout, pollInterval, "the job was not taken over")
	require.Eventually(t, func() bool { return !next.KnowsOpen("j1") && next.Owned() == 0 }, testTimeout, pollInterval, "the job was not cancelled")
}

// TestReceiverContinuesCancelAfterOwnerStops: the receiver completes a cancellation when the
// notified owner stops.
func TestReceiverContinuesCancelAfterOwnerStops(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.pause = time.Minute
	owner, receiver := startDaemon(t, "a", store, fake), startDaemon(t, "b", store, fake)
	receiver.peers.connect(owner)
	require.NoError(t, owner.Submit(t.Context(), newJob("j1", 20)))
	requireFollowed(t, store, owner, receiver)
	store.SetDecide(throttleCommits)
	cancelWithoutWaiting(t, receiver, "", "j1")
	time.Sleep(watchWait)
	owner.kill(t)
	store.SetDecide(nil)
	require.Eventually(t, func() bool { return !receiver.KnowsOpen("j1") }, testTimeout, pollInterval, "the job was not cancelled")
}

// TestCancelAtOwnerContinuesAfterOwnerStops: the owner receives a cancel request and stops.
// Its successor must cancel the job and send no items.
func TestCancelAtOwnerContinuesAfterOwnerStops(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.pause = time.Minute
	owner, next := startDaemon(t, "a", store, fake), startDaemon(t, "b", store, fake)
	owner.peers.connect(next)
	owner.peers.successor = "b"
	owner.backends.Put(backendWithSlots(0))
	accepted := newJob("j1", 100)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	requireFollowed(t, store, owner, next)
	store.SetDecide(throttleCommits)
	cancelWithoutWaiting(t, owner, "", "j1")
	time.Sleep(watchWait) // the cancel request is received and throttled
	owner.kill(t)
	next.peers.markGone("a")
	store.SetDecide(nil)
	time.Sleep(cancelTime)
	assert.Zero(t, fake.total(), "items of the cancelled job were sent")
	require.Eventually(t, func() bool { return !next.KnowsOpen("j1") && next.Owned() == 0 }, testTimeout, pollInterval, "the job was not cancelled")
}

// TestCancelRequestOfOtherTenantIsIgnored: both the receiver and the owner ignore a cancel
// request of another tenant.
func TestCancelRequestOfOtherTenantIsIgnored(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.pause = time.Minute
	owner, receiver := startDaemon(t, "a", store, fake), startDaemon(t, "b", store, fake)
	owner.backends.Put(backendWithSlots(0))
	accepted := newJob("j1", 20)
	accepted.Tenant = "acme"
	require.NoError(t, owner.Submit(t.Context(), accepted))
	requireFollowed(t, store, owner, receiver)
	receiver.peers.connect(owner)
	require.Error(t, receiver.Of("other").Cancel(t.Context(), "j1"))
	require.Zero(t, owner.PendingCancellations(), "the cancel request was forwarded")
	owner.HandleCancelRequest(job.CancelRequest{Job: "j1", Tenant: "other", Remaining: time.Minute})
	owner.backends.Put(backendWithSlots(100))
	require.Eventually(t, func() bool { return fake.total() == 20 }, testTimeout, pollInterval, "items were stopped by another tenant")
	require.Eventually(t, func() bool { return owner.PendingCancellations() == 0 }, testTimeout, pollInterval)
	require.Equal(t, 1, owner.Owned())
}

// TestForwardedCancelRequestExpires: a forwarded cancel request expires after its remaining
// time. Otherwise daemons could forward it to each other forever.
func TestForwardedCancelRequestExpires(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.pause = time.Minute
	owner := startDaemon(t, "a", store, fake)
	require.NoError(t, owner.Submit(t.Context(), newJob("j1", 20)))
	store.SetDecide(throttleCommits)
	owner.HandleCancelRequest(job.CancelRequest{Job: "j1"})
	require.Zero(t, owner.PendingCancellations(), "an expired cancel request was accepted")
	owner.HandleCancelRequest(job.CancelRequest{Job: "j1", Remaining: 2 * time.Second})
	require.Equal(t, 1, owner.PendingCancellations())
	require.Eventually(t, func() bool { return owner.PendingCancellations() == 0 }, testTimeout, pollInterval)
	store.SetDecide(nil)
	require.Equal(t, 1, owner.Owned(), "the expired request took effect")
}

// TestCancelAtOwnerSucceedsAfterForwardedRequest: a cancel call at the owner succeeds while a
// forwarded request for the same job is pending.
func TestCancelAtOwnerSucceedsAfterForwardedRequest(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.pause = time.Minute
	owner := startDaemon(t, "a", store, fake)
	require.NoError(t, owner.Submit(t.Context(), newJob("j1", 20)))
	owner.HandleCancelRequest(job.CancelRequest{Job: "j1", Remaining: time.Minute})
	require.NoError(t, owner.Cancel(t.Context(), "j1"))
	require.Zero(t, owner.Owned())
}

// unreachableStore cannot be reached.
type unreachableStore struct{ table.Store }

func (unreachableStore) Read(context.Context, table.Range) (table.Page, error) {
	return table.Page{}, &table.Error{Kind: table.ErrorUnknown, Call: "read"}
}

func (unreachableStore) Watch(ctx context.Context, _ string, _ table.Version, _ time.Duration) (table.Changes, error) {
	return blockWatch(ctx)
}

func (unreachableStore) Commit(context.Context, table.Transaction) (table.Version, error) {
	return 0, &table.Error{Kind: table.ErrorUnknown, Call: "commit"}
}

// TestCancelOfUnknownJobContinuesAfterReceiverStops: the receiver has not seen the job,
// cannot reach the store and stops. Another daemon must complete the cancellation.
func TestCancelOfUnknownJobContinuesAfterReceiverStops(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.pause = time.Minute
	owner, next := startDaemon(t, "a", store, fake), startDaemon(t, "c", store, fake)
	receiver := startDaemon(t, "b", unreachableStore{Store: store}, fake)
	receiver.peers.connect(next)
	receiver.peers.successor = "c"
	require.NoError(t, owner.Submit(t.Context(), newJob("j1", 20)))
	requireFollowed(t, store, next)
	cancelWithoutWaiting(t, receiver, "", "j1")
	time.Sleep(watchWait)
	receiver.kill(t)
	require.Eventually(t, func() bool { return owner.Owned() == 0 }, testTimeout, pollInterval, "the job was not cancelled")
}
