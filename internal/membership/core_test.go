package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/membership"
)

func member(name string, incarnation int64, state membership.State) membership.Member {
	return membership.Member{Name: name, Address: name, Zone: "zone", Incarnation: incarnation, State: state}
}

func newCore(name string, now time.Time) *membership.Core {
	return membership.New(membership.DefaultConfig(time.Second), member(name, 1, membership.StateAlive), rand.New(rand.NewPCG(1, 2)), now)
}

func gossip(from string, updates ...membership.Member) membership.Packet {
	return membership.Packet{Kind: membership.PacketGossip, From: from, FromAddress: from, Members: updates}
}

// TestUpdateOrderDoesNotMatter checks that any order of the same updates gives
// the same state, and that an older state never replaces a newer one.
func TestUpdateOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		updates := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) membership.Member {
			return member("b", rapid.Int64Range(1, 3).Draw(t, "incarnation"), membership.State(rapid.IntRange(0, 3).Draw(t, "state")))
		}), 1, 8).Draw(t, "updates")
		first, second := newCore("a", now), newCore("a", now)
		highest := updates[0]
		for _, update := range updates {
			first.Receive(now, gossip("x", update))
			if update.Incarnation > highest.Incarnation || (update.Incarnation == highest.Incarnation && update.State > highest.State) {
				highest = update
			}
		}
		for _, index := range rapid.Permutation(indexes(len(updates))).Draw(t, "order") {
			second.Receive(now, gossip("x", updates[index]))
		}
		one, _ := first.Member("b")
		other, _ := second.Member("b")
		require.Equal(t, highest, one)
		require.Equal(t, one, other)
	})
}

// TestNamesWithLostForgetsInTime fails if a lost member isn't listed until its time is over, or a
// member that left is.
func TestNamesWithLostForgetsInTime(t *testing.T) {
	const lostFor = time.Minute
	now := time.Unix(1000, 0)
	core := newCore("self", now)
	core.Receive(now, gossip("live", member("live", 1, membership.StateAlive), member("lost", 1, membership.StateAlive), member("left", 1, membership.StateAlive)))
	core.Receive(now, gossip("live", member("lost", 1, membership.StateDead), member("left", 1, membership.StateLeft)))
	require.ElementsMatch(t, []string{"self", "live", "lost"}, core.NamesWithLost(lostFor, now.Add(lostFor-1)))
	require.ElementsMatch(t, []string{"self", "live"}, core.NamesWithLost(lostFor, now.Add(lostFor)))
	core.Receive(now, gossip("live", member("lost", 2, membership.StateAlive)))
	require.ElementsMatch(t, []string{"self", "live", "lost"}, core.NamesWithLost(lostFor, now.Add(2*lostFor)))
}

func indexes(count int) []int {
	list := make([]int, count)
	for index := range list {
		list[index] = index
	}
	return list
}

// TestItemsConverge checks that members which receive the same items in any order
// store the same ones, also when two publishers chose the same version.
func TestItemsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		items := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) membership.Item {
			return membership.Item{
				Key: "k", Version: rapid.Int64Range(1, 3).Draw(t, "version"), Priority: membership.PriorityState,
				Payload: []byte(rapid.StringMatching(`[a-c]`).Draw(t, "payload")),
			}
		}), 1, 8).Draw(t, "items")
		first, second := newCore("a", now), newCore("b", now)
		for _, item := range items {
			first.Receive(now, membership.Packet{Kind: membership.PacketGossip, Items: []membership.Item{item}})
		}
		for _, index := range rapid.Permutation(indexes(len(items))).Draw(t, "order") {
			second.Receive(now, membership.Packet{Kind: membership.PacketGossip, Items: []membership.Item{items[index]}})
		}
		one, _ := first.Item("k")
		other, _ := second.Item("k")
		require.Equal(t, one, other)
	})
}

func TestSuspectedMemberRefutes(t *testing.T) {
	now := time.Unix(1000, 0)
	core := newCore("a", now)
	core.Receive(now, gossip("x", member("a", 1, membership.StateSuspect)))
	require.Equal(t, int64(2), core.Self().Incarnation)
	require.Equal(t, membership.StateAlive, core.Self().State)
}

func TestItemsOfOtherZonesAreIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	core := newCore("a", now)
	core.Receive(now, membership.Packet{Kind: membership.PacketGossip, Items: []membership.Item{{Key: "k", Version: 1, Zone: "elsewhere"}}})
	_, known := core.Item("k")
	require.False(t, known)
}

// TestGossipStaysWithinByteLimit checks that gossip does not exceed BytesPerSecond
// when more is published.
func TestGossipStaysWithinByteLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	config := membership.DefaultConfig(time.Second)
	core := membership.New(config, member("a", 1, membership.StateAlive), rand.New(rand.NewPCG(1, 2)), now)
	core.Receive(now, gossip("x", member("b", 1, membership.StateAlive)))
	const seconds = 60
	gossiped := 0
	for step := range seconds * 20 {
		now = now.Add(50 * time.Millisecond)
		// The update keeps the other member alive.
		core.Receive(now, gossip("b", member("b", int64(step+2), membership.StateAlive)))
		core.Publish(membership.Item{Key: fmt.Sprint(step % 200), Priority: membership.PriorityLoad, Payload: make([]byte, 100)}, now)
		for _, datagram := range core.Tick(now) {
			if datagram.Packet.Kind == membership.PacketGossip {
				for _, item := range datagram.Packet.Items {
					gossiped += len(item.Payload)
				}
			}
		}
	}
	require.Less(t, gossiped, int(config.BytesPerSecond)*(seconds+2))
	require.Positive(t, gossiped)
}

// TestPauseRaisesNoSuspicion checks that a process which is paused after
// it sent a probe does not suspect the target when it resumes.
func TestPauseRaisesNoSuspicion(t *testing.T) {
	now := time.Unix(1000, 0)
	core := newCore("a", now)
	core.Receive(now, gossip("x", member("b", 1, membership.StateAlive)))
	var ping membership.Packet
	for ping.Sequence == 0 {
		now = now.Add(50 * time.Millisecond)
		for _, datagram := range core.Tick(now) {
			if datagram.Packet.Kind == membership.PacketPing && datagram.Packet.Target == "b" {
				ping = datagram.Packet
			}
		}
	}
	now = now.Add(30 * time.Second)
	core.Tick(now)
	target, _ := core.Member("b")
	require.Equal(t, membership.StateAlive, target.State)
	core.Receive(now, membership.Packet{Kind: membership.PacketAck, From: "b", FromAddress: "b", Sequence: ping.Sequence})
	core.Tick(now.Add(50 * time.Millisecond))
	require.Zero(t, core.Statistics().Suspicions)
}

// TestJoiningMemberPingsSeveralSeeds checks that a joining member pings several
// seeds in each of its short reconnect intervals, and that a member which has joined,
// or has been alone for a minute, pings few.
func TestJoiningMemberPingsSeveralSeeds(t *testing.T) {
	now := time.Unix(1000, 0)
	pings := func(core *membership.Core, from time.Time, length time.Duration) int {
		count := 0
		for at := from; at.Before(from.Add(length)); at = at.Add(50 * time.Millisecond) {
			for _, datagram := range core.Tick(at) {
				if datagram.Packet.Kind == membership.PacketPing {
					count++
				}
			}
		}
		return count
	}
	core := membership.New(membership.DefaultConfig(500*time.Millisecond), member("a", 1, membership.StateAlive), rand.New(rand.NewPCG(1, 2)), now)
	core.SetSeeds([]string{"b", "c", "d", "e", "f"})
	require.GreaterOrEqual(t, pings(core, now, 500*time.Millisecond), 12)
	require.LessOrEqual(t, pings(core, now.Add(time.Minute), 2*time.Second), 3)
	joined := membership.New(membership.DefaultConfig(500*time.Millisecond), member("a", 1, membership.StateAlive), rand.New(rand.NewPCG(1, 2)), now)
	joined.SetSeeds([]string{"b", "c", "d", "e", "f"})
	joined.Receive(now, gossip("b", member("b", 1, membership.StateAlive)))
	require.LessOrEqual(t, pings(joined, now, 2*time.Second), 8)
}
