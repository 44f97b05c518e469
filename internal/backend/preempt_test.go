package backend

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPreemptionGoesToItemOwner checks that a preemption goes to this daemon if it has an
// item at the backend, else to the other daemons. None is queued for a removed backend.
func TestPreemptionGoesToItemOwner(t *testing.T) {
	set := NewSet()
	set.Put(Instance{ID: "one", Service: "s", Slots: 1})
	set.Preempt("gone")
	set.Preempt("one")
	require.Equal(t, "one", <-set.Preemptions())
	lease, found := set.Acquire("one", Batch, nil)
	require.True(t, found)
	set.Preempt("one")
	require.Equal(t, "one", <-set.OwnPreemptions())
	require.Empty(t, set.Preemptions())
	lease.Release()
	set.SetPeerLoads("b", map[string]PeerLoad{"one": {Batch: 2}}, 0)
	set.SetPeerLoads("c", map[string]PeerLoad{"one": {Online: 1}}, 0)
	require.Equal(t, map[string]int{"b": 2}, set.PeerBatch("one"))
}

// TestPreemptDoesNotBlock checks that Preempt doesn't block when its queue is full.
func TestPreemptDoesNotBlock(t *testing.T) {
	set := NewSet()
	set.Put(Instance{ID: "one", Service: "s", Slots: 1})
	for range 3 * maxQueuedPreemptions {
		set.Preempt("one")
	}
	require.Len(t, set.Preemptions(), maxQueuedPreemptions)
}
