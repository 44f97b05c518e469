package backend_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/slotqueue"
)

// TestQueueStats checks that queued requests are counted until Done, freed slots once and
// only after output, and peer stats until the daemon is removed.
func TestQueueStats(t *testing.T) {
	set, now := backend.NewSet(), time.Now()
	set.Put(backend.Instance{ID: "one", Service: "s", Slots: 4})
	require.Empty(t, set.OwnQueueStats(now))
	first := set.TrackWaiting("s", now.Add(time.Second))
	second := set.TrackWaiting("s", now.Add(time.Minute))
	lease, found := set.Acquire("one", backend.Online, nil)
	require.True(t, found)
	refused, found := set.Acquire("one", backend.Online, nil)
	require.True(t, found)
	refused.Release()
	lease.Started()
	lease.Release()
	lease.Release()
	now = time.Now()
	require.Equal(t, map[string]slotqueue.Stats{"s": {OnTime: 2, FreedSlots: 1}}, set.OwnQueueStats(now))
	now = now.Add(2 * time.Second)
	require.Equal(t, map[string]slotqueue.Stats{"s": {OnTime: 1, Overdue: 1}}, set.OwnQueueStats(now))
	set.SetPeerQueueStats("a", map[string]slotqueue.Stats{"s": {OnTime: 3, Overdue: 4, FreedSlots: 5}, "other": {Overdue: 9}})
	set.SetPeerQueueStats("b", map[string]slotqueue.Stats{"s": {OnTime: 10}})
	require.Equal(t, slotqueue.Stats{OnTime: 14, Overdue: 5, FreedSlots: 5}, set.FleetQueueStats("s", now))
	set.SetPeerQueueStats("a", nil)
	require.Equal(t, slotqueue.Stats{OnTime: 11, Overdue: 1}, set.FleetQueueStats("s", now))
	first.Done()
	second.Done()
	require.Empty(t, set.OwnQueueStats(now))
}
