package backend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestServiceLoadCountsUsableSlots checks that requests beyond a backend's slots don't
// count, and neither do draining or ejected backends.
func TestServiceLoadCountsUsableSlots(t *testing.T) {
	set, now := NewSet(), time.Now()
	set.Put(Instance{ID: "a", Service: "s", Slots: 4})
	set.Put(Instance{ID: "b", Service: "s", Slots: 4})
	set.Put(Instance{ID: "leaving", Service: "s", Slots: 4, Draining: true})
	set.Put(Instance{ID: "unreachable", Service: "s", Slots: 4})
	set.Put(Instance{ID: "other", Service: "t", Slots: 4})
	set.Unreachable(Incarnation{ID: "unreachable"}, now)
	set.SetPeerLoads("d1", map[string]PeerLoad{"a": {Online: 7, Batch: 2}, "b": {Online: 1, Batch: 1}, "leaving": {Online: 2}}, 0)
	_, found := set.Acquire("b", Batch, nil)
	require.True(t, found)
	require.Equal(t, ServiceLoad{Backends: 2, Slots: 8, Online: 5, Batch: 2}, set.ServiceLoad("s", now))
	require.Equal(t, 1, set.OwnBatch("s"))
}
