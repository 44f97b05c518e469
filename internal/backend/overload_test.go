package backend_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
)

func isSignalled(wake <-chan struct{}) bool {
	select {
	case <-wake:
		return true
	default:
		return false
	}
}

func setWithItem(t *testing.T) *backend.Set {
	t.Helper()
	set := backend.NewSet()
	set.Put(backend.Instance{ID: "one", Service: "s", Slots: 2})
	_, found := set.Acquire("one", backend.Batch, nil)
	require.True(t, found)
	return set
}

// TestOverloadSignal checks that an overload is signalled whether the online requests come
// from this or another daemon, and not while there is a free slot.
func TestOverloadSignal(t *testing.T) {
	set := setWithItem(t)
	_, _ = set.Acquire("one", backend.Online, nil)
	require.False(t, isSignalled(set.Overloaded()), "every request has a slot")
	_, _ = set.Acquire("one", backend.Online, nil)
	require.True(t, isSignalled(set.Overloaded()))
	require.True(t, isSignalled(set.PublishSignal()), "other daemons must be notified at once")

	set = setWithItem(t)
	set.SetPeerLoads("other", map[string]backend.PeerLoad{"one": {Online: 1}}, 0)
	require.False(t, isSignalled(set.Overloaded()))
	set.SetPeerLoads("other", map[string]backend.PeerLoad{"one": {Online: 2}}, 0)
	require.True(t, isSignalled(set.Overloaded()))
}

// TestPreemptedItemIsPublished checks that the release of a preempted item is published at
// once, so that no other owner preempts a second one.
func TestPreemptedItemIsPublished(t *testing.T) {
	set := backend.NewSet()
	set.Put(backend.Instance{ID: "one", Service: "s", Slots: 1})
	item, _ := set.Acquire("one", backend.Batch, nil)
	_, _ = set.Acquire("one", backend.Online, nil)
	require.True(t, isSignalled(set.PublishSignal()))
	item.Release()
	require.True(t, isSignalled(set.PublishSignal()))
	require.True(t, isSignalled(set.Overloaded()))
}

// TestBatchAloneIsNoOverload checks that batch items beyond the slots are no overload
// without online requests.
func TestBatchAloneIsNoOverload(t *testing.T) {
	set := setWithItem(t)
	for range 3 {
		_, _ = set.Acquire("one", backend.Batch, nil)
	}
	require.False(t, isSignalled(set.Overloaded()))
}
