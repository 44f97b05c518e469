package job

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/routing"
)

// TestOwnersTogetherPlaceWhatThereIsRoomFor: on average, although none knows
// what the others do in the same round.
func TestOwnersTogetherPlaceWhatThereIsRoomFor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		room, owners := rapid.IntRange(0, 20).Draw(t, "room"), rapid.IntRange(1, 20).Draw(t, "owners")
		random := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		const rounds = 2000
		placed := 0
		for range rounds * owners {
			placed += quota(room, owners, random)
		}
		require.InDelta(t, float64(room), float64(placed)/rounds, 0.35)
	})
}

// TestItemsGiveWayOnlyToOnlineRequests, and all owners together give up what
// is too much, hardly more.
func TestItemsGiveWayOnlyToOnlineRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 40).Draw(t, "slots")
		online := rapid.IntRange(0, 60).Draw(t, "online")
		parts := rapid.SliceOfN(rapid.IntRange(0, 10), 1, 8).Draw(t, "parts")
		batch := 0
		for _, part := range parts {
			batch += part
		}
		taken := 0
		for _, part := range parts {
			share := excess(routing.Candidate{Slots: slots, Online: online, Batch: batch, OwnBatch: part})
			require.LessOrEqual(t, share, part)
			taken += share
		}
		over := online + batch - slots
		switch {
		case over <= 0 || online == 0:
			require.Zero(t, taken)
		case over > slots/queueTolerance:
			require.GreaterOrEqual(t, taken, min(batch, over-slots/queueTolerance))
			require.LessOrEqual(t, taken, over-slots/queueTolerance+len(parts))
		}
	})
}

// TestRoomLeavesTheReserve: batch items never fill the last slots.
func TestRoomLeavesTheReserve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidate := routing.Candidate{
			Slots: rapid.IntRange(1, 40).Draw(t, "slots"), Online: rapid.IntRange(0, 40).Draw(t, "online"), Batch: rapid.IntRange(0, 40).Draw(t, "batch"),
		}
		room := roomForBatch(candidate)
		require.GreaterOrEqual(t, room, 0)
		if room > 0 {
			require.Less(t, candidate.Online+candidate.Batch+room, candidate.Slots)
		}
	})
}
