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
	"topazpulley/internal/serving"
)

// window is the time in which placements are not yet reported to other owners.
const window = 300 * time.Millisecond

// noBound leaves the capacity unlimited.
func noBound(string, time.Time) batchcapacity.Capacity {
	return batchcapacity.Capacity{Urgent: math.MaxInt32, Deferrable: math.MaxInt32}
}

// rounds is the number of rounds of an average.
const rounds = 2000

// TestOwnersTogetherFillFreeSlots: all owners together place as many items as there are free
// slots, on average.
func TestOwnersTogetherFillFreeSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		freeSlots, owners := rapid.IntRange(0, 20).Draw(t, "room"), rapid.IntRange(1, 20).Draw(t, "owners")
		random := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		placed := 0
		for range rounds * owners {
			placed += shareOf(freeSlots, 1, owners, random)
		}
		require.InDelta(t, float64(freeSlots), float64(placed)/rounds, 0.35)
	})
}

// TestItemsPreemptedOnlyForOnlineRequests: all owners together preempt the excess on
// average, none without online requests, and no owner more items than it has.
func TestItemsPreemptedOnlyForOnlineRequests(t *testing.T) {
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
		excess := online + batch - slots
		if excess <= 0 || online == 0 {
			require.Zero(t, taken)
			return
		}
		require.InDelta(t, float64(min(excess, batch)), float64(taken)/rounds, 0.35)
	})
}

// TestPlacedItemsAreNotPreemptedAtOnce: items fill no more than the slots and are not
// preempted while the load does not change.
func TestPlacedItemsAreNotPreemptedAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidate := routing.Candidate{
			Slots: rapid.IntRange(1, 40).Draw(t, "slots"), Online: rapid.IntRange(0, 40).Draw(t, "online"), Batch: rapid.IntRange(0, 40).Draw(t, "batch"),
		}
		freeSlots := freeBatchSlots(candidate)
		require.GreaterOrEqual(t, freeSlots, 0)
		if freeSlots == 0 {
			return
		}
		require.LessOrEqual(t, candidate.Online+candidate.Batch+freeSlots, candidate.Slots)
		candidate.Batch += freeSlots
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

// TestOwnersDoNotOverfillWithinWindow: within one window, all owners together place no more items
// than there are free slots, plus one for each owner.
func TestOwnersDoNotOverfillWithinWindow(t *testing.T) {
	const owners, passes, items, backends, slots = 10, 3, 200, 40, 10
	seen := fleetOf(backends, slots, 2)
	placed := 0
	start := time.Now()
	for owner := range uint64(owners) {
		placing := newPlacer(rand.New(rand.NewPCG(3, owner)), "", noBound)
		for pass := range passes {
			placing.begin(items, items*(owners-1), start.Add(time.Duration(pass)*dispatchInterval), window)
			for range items {
				if _, found := placing.choose("s", nil, seen, false); found {
					placed++
				}
			}
		}
	}
	const freeSlots = (slots - 2) * backends
	require.LessOrEqual(t, placed, freeSlots+owners)
	require.Greater(t, placed, freeSlots/2)
}

// TestItemsAvoidFullBackends: items use the last free slot, but are not placed at full
// backends or where requests wait.
func TestItemsAvoidFullBackends(t *testing.T) {
	placing := newPlacer(rand.New(rand.NewPCG(4, 4)), "", noBound)
	placing.begin(3, 0, time.Now(), window)
	for range 2 {
		_, found := placing.choose("s", nil, fleetOf(1, 20, 18), false)
		require.True(t, found, "a free slot was not used")
	}
	_, found := placing.choose("s", nil, fleetOf(1, 20, 18), false)
	require.False(t, found, "more items than free slots in one window")
	require.True(t, placing.isFull("s"))
	placing.begin(1, 0, time.Now().Add(window), window)
	_, found = placing.choose("s", nil, fleetOf(20, 20, 20), false)
	require.False(t, found, "an item was placed at a full backend")
	waiting := fleetOf(1, 20, 10)
	waiting[0].ID, waiting[0].Waiting = "other", 1
	_, found = placing.choose("s", nil, waiting, false)
	require.False(t, found, "an item was placed where requests wait")
}

// TestItemsUseIdleBackendsOfAnySize: idle backends get items even with a single slot.
func TestItemsUseIdleBackendsOfAnySize(t *testing.T) {
	for _, slots := range []int{1, 2, 3} {
		for _, count := range []int{1, 2, 5} {
			placing := newPlacer(rand.New(rand.NewPCG(6, 6)), "", noBound)
			placing.begin(1, 0, time.Now(), window)
			_, found := placing.choose("s", nil, fleetOf(count, slots, 0), false)
			require.True(t, found, "%d backends of %d slots", count, slots)
		}
	}
}

// TestUrgencyFollowsItemDuration: urgency depends on the measured item duration and the
// elapsed running time.
func TestUrgencyFollowsItemDuration(t *testing.T) {
	clock := itemTimes{}
	require.False(t, clock.isUrgent(0, 20*time.Second))
	require.True(t, clock.isUrgent(0, 10*time.Second))
	require.False(t, clock.isUrgent(4*time.Second, 10*time.Second), "most of the item has run")
	require.False(t, clock.isUrgent(0, -time.Second), "the due time has passed")
	for range 200 {
		clock.add(time.Second)
	}
	require.False(t, clock.isUrgent(0, 10*time.Second), "measured items are short")
}

// TestPreemptedSlotIsAvoided: a backend at which an item was preempted gets no item within
// the window.
func TestPreemptedSlotIsAvoided(t *testing.T) {
	placing, now := newPlacer(rand.New(rand.NewPCG(10, 10)), "", noBound), time.Now()
	placing.avoid("b0", now.Add(window))
	placing.begin(1, 0, now, window)
	_, found := placing.choose("s", nil, fleetOf(1, 4, 0), false)
	require.False(t, found)
	placing.begin(1, 0, now.Add(window), window)
	_, found = placing.choose("s", nil, fleetOf(1, 4, 0), false)
	require.True(t, found)
}

// TestPauseGrowsWithUselessAnswers guards against items that every backend rejects and that keep the
// backends busy.
func TestPauseGrowsWithUselessAnswers(t *testing.T) {
	item := &ownedItem{}
	useless := &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonStatus}
	broken := &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonBroken}
	total := time.Duration(0)
	for range 100 {
		pause := item.pauseAfter(useless)
		require.LessOrEqual(t, pause, maxAnswerPause)
		total += pause
	}
	require.Greater(t, total, 90*maxAnswerPause)
	require.Equal(t, failedPause, item.pauseAfter(broken))
	require.Equal(t, failedPause, item.pauseAfter(useless))
}
