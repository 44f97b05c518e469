package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/backend"
	"topazpulley/internal/membership"
	"topazpulley/internal/topology"
)

func loads(online int) loadSet {
	return loadSet{inFlight: map[string]backend.PeerLoad{"one": {Online: online, PendingTokens: online * 10}}, waiting: online}
}

// TestRelaySendsLoadsOfOthers: in any order of messages, a daemon gets the total of the
// latest loads of all other daemons and zones.
func TestRelaySendsLoadsOfOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		collected, now := newRelay(), time.Now()
		members, zones := map[string]int{}, map[string]int{}
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			online := rapid.IntRange(0, 9).Draw(t, "online")
			name := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "name"))
			if rapid.Bool().Draw(t, "zone") {
				zones[name] = online
				collected.setZone(name, loads(online), eventSet{}, now)
				continue
			}
			members[name] = online
			collected.setMember(name, loads(online), eventSet{}, now)
		}
		total := 0
		for _, part := range []map[string]int{members, zones} {
			for _, online := range part {
				total += online
			}
		}
		for name, own := range members {
			others := collected.othersOf(name, collected.fleetTotal())
			require.Equal(t, total-own, others.inFlight["one"].Online)
			require.Equal(t, (total-own)*10, others.inFlight["one"].PendingTokens)
			require.Equal(t, total-own, others.waiting)
		}
	})
}

func TestRelayDropsStaleLoads(t *testing.T) {
	collected, now := newRelay(), time.Now()
	collected.setMember("old", loads(3), eventSet{}, now.Add(-time.Minute))
	collected.setZone("cut", loads(4), eventSet{}, now.Add(-time.Minute))
	collected.setMember("new", loads(1), eventSet{}, now)
	collected.removeStale(now.Add(-loadTimeout))
	require.Equal(t, 1, collected.fleetTotal().waiting)
	collected.removeMember("new")
	require.Zero(t, collected.fleetTotal().waiting)
}

// TestEventsAreForwardedOnce: each event is forwarded once to every daemon but its
// origin, and events of another zone are not forwarded to other zones.
func TestEventsAreForwardedOnce(t *testing.T) {
	collected, now := newRelay(), time.Now()
	events := eventSet{reads: []backend.PromptRead{{Incarnation: backend.Incarnation{ID: "one"}, Part: "p"}}, failures: map[backend.Incarnation]int{{ID: "one"}: 2}}
	collected.setMember("a", loads(1), events, now)
	collected.setMember("a", loads(2), events, now)
	collected.setZone("far", loads(1), events, now)
	pending := collected.takeEvents()
	require.Equal(t, 4+2, pending.forMember("b").failures[backend.Incarnation{ID: "one"}])
	require.Equal(t, 2, pending.forMember("a").failures[backend.Incarnation{ID: "one"}])
	require.Equal(t, 4, pending.forZones().failures[backend.Incarnation{ID: "one"}])
	require.True(t, collected.takeEvents().forMember("b").isEmpty())
}

func TestReadsAreLimited(t *testing.T) {
	collected := eventSet{}
	for range maxReads {
		collected.add(eventSet{reads: []backend.PromptRead{{}, {}}})
	}
	require.Len(t, collected.reads, maxReads)
}

func fleet(count int) []membership.Member {
	members := []membership.Member{}
	for index := range count {
		members = append(members, membership.Member{Name: fmt.Sprintf("d%02d", index), Zone: fmt.Sprint("z", index%3)})
	}
	return members
}

// TestDaemonsAgreeOnRelays: all daemons of a zone use the same relays, which reach every
// daemon of the zone and a relay of each other zone.
func TestDaemonsAgreeOnRelays(t *testing.T) {
	members := fleet(topology.FullMeshLimit + 5)
	relays := map[string][]string{}
	for _, self := range members {
		found := recipientsOf(self, members, topology.FullMeshLimit, section{})
		require.True(t, found.isRelayed)
		require.Empty(t, found.members)
		require.Len(t, found.relays, relaysPerZone)
		if relays[self.Zone] == nil {
			relays[self.Zone] = found.relays
		}
		require.Equal(t, relays[self.Zone], found.relays)
	}
	for _, self := range members {
		found := recipientsOf(self, members, topology.FullMeshLimit, section{})
		if !found.isRelay(self.Name) {
			require.Empty(t, found.zone)
			require.Empty(t, found.zoneRelays)
			continue
		}
		require.Len(t, found.zone, len(members)/3-1)
		require.Len(t, found.zoneRelays, 2)
		for _, name := range found.zoneRelays {
			require.NotContains(t, relays[self.Zone], name)
		}
	}
}

func TestSmallFleetUsesFullMesh(t *testing.T) {
	members := fleet(topology.FullMeshLimit)
	found := recipientsOf(members[0], members, topology.FullMeshLimit, section{})
	require.False(t, found.isRelayed)
	require.Len(t, found.members, topology.FullMeshLimit-1)
}

func TestLoadsRoundTrip(t *testing.T) {
	sent := loadSet{inFlight: map[string]backend.PeerLoad{"one": {Online: 1, Batch: 2, PendingTokens: 3}, "idle": {}}, waiting: 7}
	events := eventSet{reads: []backend.PromptRead{{Incarnation: backend.Incarnation{ID: "one"}, Part: "p"}}, failures: map[backend.Incarnation]int{{ID: "one"}: 2}}
	payload, err := encode(sent, events)
	require.NoError(t, err)
	got, gotEvents, err := decode(payload)
	require.NoError(t, err)
	delete(sent.inFlight, "idle")
	require.True(t, sent.equal(got))
	require.Equal(t, events, gotEvents)
	_, _, err = decode([]byte{1, 2, 3})
	require.Error(t, err)
}

// TestPartialSectionUsesNeighbors: in a large fleet a daemon with a partial section sends
// to a bounded number of neighbors and uses no relays.
func TestPartialSectionUsesNeighbors(t *testing.T) {
	for _, size := range []int{300, 900} {
		members := fleet(size)
		found := recipientsOf(members[0], members, topology.FullMeshLimit, section{width: 6 / float64(size), isPartial: true})
		require.False(t, found.isRelayed)
		require.Empty(t, found.relays)
		require.NotEmpty(t, found.members)
		require.Less(t, len(found.members), topology.FullMeshLimit)
	}
	small := fleet(10)
	found := recipientsOf(small[0], small, topology.FullMeshLimit, section{width: 0.001, isPartial: true})
	require.Len(t, found.members, 9, "a small fleet uses a full mesh")
}
