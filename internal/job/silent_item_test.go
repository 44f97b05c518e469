package job_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/table/tabletest"
)

// silentItemLimit is shorter than the time for which an item stays at a silent backend, so that
// what happens within it is not because of the silence.
const silentItemLimit = 2500 * time.Millisecond

// setPause changes the time between the events of attempts that are sent from now on.
func (f *fakeBackends) setPause(pause time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.pause = pause
}

// startSilentItem submits a job of one item, which its backend begins and then says nothing more.
func startSilentItem(t *testing.T, fake *fakeBackends, owner *daemon) {
	t.Helper()
	fake.setPause(time.Hour)
	require.NoError(t, owner.Submit(t.Context(), newJob("j1", 1)))
	require.Eventually(t, func() bool { return fake.started("j1-item0") == 1 }, testTimeout, pollInterval)
	fake.setPause(0)
}

// TestSilentItemIsPreempted checks that an item at a silent backend gives way to online requests
// and runs again once there is a slot.
func TestSilentItemIsPreempted(t *testing.T) {
	fake := newFakeBackends()
	owner := startDaemon(t, "a", tabletest.NewMemory(), fake)
	owner.backends.Put(backend.Instance{ID: "one", Version: "v1", Service: service, Slots: 1})
	startSilentItem(t, fake, owner)
	lease, found := owner.backends.Acquire("one", backend.Online, nil)
	require.True(t, found)
	require.Eventually(t, func() bool { return owner.backends.OwnBatch(service) == 0 }, silentItemLimit, pollInterval)
	lease.Release()
	requireAllCompleted(t, owner, newJob("j1", 1))
	require.Equal(t, 2, fake.started("j1-item0"))
}

// TestSilentItemIsHandedOver checks that a daemon that stops hands over an item at a silent backend
// at once.
func TestSilentItemIsHandedOver(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	owner, other := startDaemon(t, "a", store, fake), startDaemon(t, "b", store, fake)
	startSilentItem(t, fake, owner)
	began := time.Now()
	owner.Stop(t.Context())
	require.Less(t, time.Since(began), silentItemLimit)
	requireAllCompleted(t, other, newJob("j1", 1))
	require.Equal(t, 2, fake.started("j1-item0"))
}
