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

func work(online int) loads {
	return loads{inFlight: map[string]backend.PeerLoad{"one": {Online: online, PendingTokens: online * 10}}, waiting: online}
}

// TestRelayTellsEachDaemonTheOthersWork: whatever daemons and zones told, in
// whatever order, a daemon's sum is everybody's newest work but its own.
func TestRelayTellsEachDaemonTheOthersWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gathered, now := newRelay(), time.Now()
		members, zones := map[string]int{}, map[string]int{}
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			online := rapid.IntRange(0, 9).Draw(t, "online")
			name := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "name"))
			if rapid.Bool().Draw(t, "zone") {
				zones[name] = online
				gathered.noteZone(name, work(online), news{}, now)
				continue
			}
			members[name] = online
			gathered.noteMember(name, work(online), news{}, now)
		}
		total := 0
		for _, part := range []map[string]int{members, zones} {
			for _, online := range part {
				total += online
			}
		}
		for name, own := range members {
			others := gathered.othersOf(name, gathered.fleetTotal())
			require.Equal(t, total-own, others.inFlight["one"].Online)
			require.Equal(t, (total-own)*10, others.inFlight["one"].PendingTokens)
			require.Equal(t, total-own, others.waiting)
		}
	})
}

// TestRelayForgetsTheSilent.
func TestRelayForgetsTheSilent(t *testing.T) {
	gathered, now := newRelay(), time.Now()
	gathered.noteMember("old", work(3), news{}, now.Add(-time.Minute))
	gathered.noteZone("cut", work(4), news{}, now.Add(-time.Minute))
	gathered.noteMember("new", work(1), news{}, now)
	gathered.forgetSilent(now.Add(-forgetAfter))
	require.Equal(t, 1, gathered.fleetTotal().waiting)
	gathered.forgetMember("new")
	require.Zero(t, gathered.fleetTotal().waiting)
}

// TestNewsAreToldOnceAndNeverBack: a failure counts once at every daemon, and
// not again at the one that saw it; what another zone told is not told on to
// other zones.
func TestNewsAreToldOnceAndNeverBack(t *testing.T) {
	gathered, now := newRelay(), time.Now()
	told := news{reads: []backend.PromptRead{{Incarnation: backend.Incarnation{ID: "one"}, Part: "p"}}, failures: map[backend.Incarnation]int{{ID: "one"}: 2}}
	gathered.noteMember("a", work(1), told, now)
	gathered.noteMember("a", work(2), told, now)
	gathered.noteZone("far", work(1), told, now)
	pending := gathered.takeNews()
	require.Equal(t, 4+2, pending.forMember("b").failures[backend.Incarnation{ID: "one"}])
	require.Equal(t, 2, pending.forMember("a").failures[backend.Incarnation{ID: "one"}])
	require.Equal(t, 4, pending.forZones().failures[backend.Incarnation{ID: "one"}])
	require.True(t, gathered.takeNews().forMember("b").isEmpty())
}

// TestNewsAreBounded.
func TestNewsAreBounded(t *testing.T) {
	gathered := news{}
	for range newsLimit {
		gathered.add(news{reads: []backend.PromptRead{{}, {}}})
	}
	require.Len(t, gathered.reads, newsLimit)
}

func fleet(count int) []membership.Member {
	members := []membership.Member{}
	for index := range count {
		members = append(members, membership.Member{Name: fmt.Sprintf("d%02d", index), Zone: fmt.Sprint("z", index%3)})
	}
	return members
}

// TestEveryZoneHasRelaysThatAllAgreeOn, that reach every daemon of their zone,
// and the relays of each other zone.
func TestEveryZoneHasRelaysThatAllAgreeOn(t *testing.T) {
	members := fleet(topology.FullMeshLimit + 5)
	relays := map[string][]string{}
	for _, self := range members {
		found := audienceOf(self, members, topology.FullMeshLimit, section{})
		require.True(t, found.isRelayed)
		require.Empty(t, found.members)
		require.Len(t, found.relays, relaysPerZone)
		if relays[self.Zone] == nil {
			relays[self.Zone] = found.relays
		}
		require.Equal(t, relays[self.Zone], found.relays)
	}
	for _, self := range members {
		found := audienceOf(self, members, topology.FullMeshLimit, section{})
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

// TestSmallFleetsTellAllDirectly.
func TestSmallFleetsTellAllDirectly(t *testing.T) {
	members := fleet(topology.FullMeshLimit)
	found := audienceOf(members[0], members, topology.FullMeshLimit, section{})
	require.False(t, found.isRelayed)
	require.Len(t, found.members, topology.FullMeshLimit-1)
}

// TestLoadsSurviveTheWire.
func TestLoadsSurviveTheWire(t *testing.T) {
	sent := loads{inFlight: map[string]backend.PeerLoad{"one": {Online: 1, Batch: 2, PendingTokens: 3}, "idle": {}}, waiting: 7}
	told := news{reads: []backend.PromptRead{{Incarnation: backend.Incarnation{ID: "one"}, Part: "p"}}, failures: map[backend.Incarnation]int{{ID: "one"}: 2}}
	payload, err := encode(sent, told)
	require.NoError(t, err)
	got, gotNews, err := decode(payload)
	require.NoError(t, err)
	delete(sent.inFlight, "idle")
	require.True(t, sent.equal(got))
	require.Equal(t, told, gotNews)
	_, _, err = decode([]byte{1, 2, 3})
	require.Error(t, err)
}

// TestLargeFleetsTellNeighbors: daemons that know a section of the backends tell those that
// share some with them, however large the fleet, and use no relays.
func TestLargeFleetsTellNeighbors(t *testing.T) {
	for _, size := range []int{300, 900} {
		members := fleet(size)
		found := audienceOf(members[0], members, topology.FullMeshLimit, section{width: 6 / float64(size), isPart: true})
		require.False(t, found.isRelayed)
		require.Empty(t, found.relays)
		require.NotEmpty(t, found.members)
		require.Less(t, len(found.members), topology.FullMeshLimit)
	}
	small := fleet(10)
	found := audienceOf(small[0], small, topology.FullMeshLimit, section{width: 0.001, isPart: true})
	require.Len(t, found.members, 9, "a small fleet tells all")
}
