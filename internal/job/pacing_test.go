package job

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/batchcapacity"
	"topazpulley/internal/routing"
)

// window is a time in which owners do not see each other's placements.
const window = 300 * time.Millisecond

// noBound leaves the room to the backends' own slots.
func noBound(string, time.Time) batchcapacity.Capacity {
	return batchcapacity.Capacity{Urgent: math.MaxInt32, Deferrable: math.MaxInt32}
}

// rounds is enough for means to settle.
const rounds = 2000

// TestOwnersTogetherPlaceWhatThereIsRoomFor: on average, although none knows
// what the others do in the same window.
func TestOwnersTogetherPlaceWhatThereIsRoomFor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		room, owners := rapid.IntRange(0, 20).Draw(t, "room"), rapid.IntRange(1, 20).Draw(t, "owners")
		random := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		placed := 0
		for range rounds * owners {
			placed += shareOf(room, 1, owners, random)
		}
		require.InDelta(t, float64(room), float64(placed)/rounds, 0.35)
	})
}

// TestItemsGiveWayOnlyToOnlineRequests, and all owners together give up what
// is too much, on average no more and no less, and never what they do not have.
func TestItemsGiveWayOnlyToOnlineRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 40).Draw(t, "slots")
		online := rapid.IntRange(0, 60).Draw(t, "online")
		parts := rapid.SliceOfN(rapid.IntRange(0, 10), 1, 8).Draw(t, "parts")
		random := rand.New(rand.NewPCG(2, rapid.Uint64().Draw(t, "seed")))
		batch := 0
		for _, part := range parts {
			batch += part
		}
		taken := 0
		for range rounds {
			for _, part := range parts {
				share := newPreemptor(random).share(routing.Candidate{Slots: slots, Online: online, Batch: batch, OwnBatch: part}, time.Now(), window)
				require.LessOrEqual(t, share, part)
				require.GreaterOrEqual(t, share, 0)
				taken += share
			}
		}
		over := online + batch - slots
		if over <= 0 || online == 0 {
			require.Zero(t, taken)
			return
		}
		require.InDelta(t, float64(min(over, batch)), float64(taken)/rounds, 0.35)
	})
}

// TestRoomIsNotTakenBackAtOnce: items fill no more than the slots, and what was
// placed into the room stays while nothing else comes.
func TestRoomIsNotTakenBackAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidate := routing.Candidate{
			Slots: rapid.IntRange(1, 40).Draw(t, "slots"), Online: rapid.IntRange(0, 40).Draw(t, "online"), Batch: rapid.IntRange(0, 40).Draw(t, "batch"),
		}
		room := freeBatchSlots(candidate)
		require.GreaterOrEqual(t, room, 0)
		if room == 0 {
			return
		}
		require.LessOrEqual(t, candidate.Online+candidate.Batch+room, candidate.Slots)
		candidate.Batch += room
		candidate.OwnBatch = candidate.Batch
		require.Zero(t, newPreemptor(rand.New(rand.NewPCG(5, 5))).share(candidate, time.Now(), window))
	})
}

func fleetOf(count, slots, online int) []routing.Candidate {
	candidates := []routing.Candidate{}
	for index := range count {
		candidates = append(candidates, routing.Candidate{ID: fmt.Sprint("b", index), Slots: slots, Online: online})
	}
	return candidates
}

// TestOwnersDoNotPlaceTwiceIntoTheSameRoom: within a window in which owners
// cannot see each other's placements, many owners with many items each place
// no more than the service's share for batch, however many passes they make.
func TestOwnersDoNotPlaceTwiceIntoTheSameRoom(t *testing.T) {
	const owners, passes, items, backends, slots = 10, 3, 200, 40, 10
	seen := fleetOf(backends, slots, 2)
	placed := 0
	start := time.Now()
	for owner := range uint64(owners) {
		placing := newPlacer(rand.New(rand.NewPCG(3, owner)), "", noBound)
		for pass := range passes {
			placing.begin(items, items*(owners-1), start.Add(time.Duration(pass)*dispatchInterval), window)
			for range items {
				if _, found := placing.choose("s", nil, seen); found {
					placed++
				}
			}
		}
	}
	const room = (slots - 2) * backends
	require.LessOrEqual(t, placed, room+owners)
	require.Greater(t, placed, room/2)
}

// TestItemsEnterNoFullService: they take the last free slot and never wait at a
// backend, where online requests would wait behind them; nor do they go where
// anything waits already.
func TestItemsEnterNoFullService(t *testing.T) {
	placing := newPlacer(rand.New(rand.NewPCG(4, 4)), "", noBound)
	placing.begin(3, 0, time.Now(), window)
	for range 2 {
		_, found := placing.choose("s", nil, fleetOf(1, 20, 18))
		require.True(t, found, "a slot is free")
	}
	_, found := placing.choose("s", nil, fleetOf(1, 20, 18))
	require.False(t, found, "both free slots are taken in this window")
	require.True(t, placing.isFull("s"))
	placing.begin(1, 0, time.Now().Add(window), window)
	_, found = placing.choose("s", nil, fleetOf(20, 20, 20))
	require.False(t, found, "no slot is free")
	waiting := fleetOf(1, 20, 10)
	waiting[0].ID, waiting[0].Waiting = "other", 1
	_, found = placing.choose("s", nil, waiting)
	require.False(t, found, "work waits there")
}

// TestItemsUseIdleBackendsOfAnySize: also one that has a single slot, however
// far away the time is at which they are due.
func TestItemsUseIdleBackendsOfAnySize(t *testing.T) {
	for _, slots := range []int{1, 2, 3} {
		for _, count := range []int{1, 2, 5} {
			placing := newPlacer(rand.New(rand.NewPCG(6, 6)), "", noBound)
			placing.begin(1, 0, time.Now(), window)
			_, found := placing.choose("s", nil, fleetOf(count, slots, 0))
			require.True(t, found, "%d back ends of %d slots", count, slots)
		}
	}
}

// TestUrgencyFollowsTheTimeThatItemsTake.
func TestUrgencyFollowsTheTimeThatItemsTake(t *testing.T) {
	clock := itemTimes{}
	require.False(t, clock.isUrgent(0, 20*time.Second))
	require.True(t, clock.isUrgent(0, 10*time.Second))
	require.False(t, clock.isUrgent(4*time.Second, 10*time.Second), "most of it has run")
	require.False(t, clock.isUrgent(0, -time.Second), "its time is over")
	for range 200 {
		clock.add(time.Second)
	}
	require.False(t, clock.isUrgent(0, 10*time.Second), "items turned out to be short")
}

// TestSlotThatAnItemLeftIsLeftAlone until all owners know of the request for
// which it gave way.
func TestSlotThatAnItemLeftIsLeftAlone(t *testing.T) {
	placing, now := newPlacer(rand.New(rand.NewPCG(10, 10)), "", noBound), time.Now()
	placing.avoid("b0", now.Add(window))
	placing.begin(1, 0, now, window)
	_, found := placing.choose("s", nil, fleetOf(1, 4, 0))
	require.False(t, found)
	placing.begin(1, 0, now.Add(window), window)
	_, found = placing.choose("s", nil, fleetOf(1, 4, 0))
	require.True(t, found)
}
