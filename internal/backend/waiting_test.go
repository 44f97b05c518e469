package backend_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/waiting"
)

// TestSumsOfWhatWaits: requests here count as in time until their moment, then as late,
// until they leave; places count where they came free; what others told is added, and
// forgotten with them.
func TestSumsOfWhatWaits(t *testing.T) {
	set, now := backend.NewSet(), time.Now()
	set.Put(backend.Instance{ID: "one", Service: "s", Slots: 4})
	require.Empty(t, set.OwnSums(now))
	first := set.Await("s", now.Add(time.Second))
	second := set.Await("s", now.Add(time.Minute))
	lease, found := set.Acquire("one", backend.Online, nil)
	require.True(t, found)
	refused, found := set.Acquire("one", backend.Online, nil)
	require.True(t, found)
	refused.Release()
	lease.Started()
	lease.Release()
	lease.Release()
	now = time.Now()
	require.Equal(t, map[string]waiting.Sums{"s": {InTime: 2, Freed: 1}}, set.OwnSums(now))
	now = now.Add(2 * time.Second)
	require.Equal(t, map[string]waiting.Sums{"s": {InTime: 1, Late: 1}}, set.OwnSums(now))
	set.SetPeerSums("a", map[string]waiting.Sums{"s": {InTime: 3, Late: 4, Freed: 5}, "other": {Late: 9}})
	set.SetPeerSums("b", map[string]waiting.Sums{"s": {InTime: 10}})
	require.Equal(t, waiting.Sums{InTime: 14, Late: 5, Freed: 5}, set.FleetSums("s", now))
	set.SetPeerSums("a", nil)
	require.Equal(t, waiting.Sums{InTime: 11, Late: 1}, set.FleetSums("s", now))
	first.Leave()
	second.Leave()
	require.Empty(t, set.OwnSums(now))
}
