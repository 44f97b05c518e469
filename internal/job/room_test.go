package job

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/batchcapacity"
)

// askedInWindow has so many requests ask one owner of so many items for their slots before
// it hears of others, and returns how many items gave way.
func askedInWindow(owner *capacityTracker, load backend.ServiceLoad, own, asked int, from time.Time) int {
	given := 0
	for range asked {
		if owner.mustPreempt("s", load, own, window, from) {
			given++
		}
	}
	return given
}

// TestOwnersGiveTheirPartOfAnExcessOnce: however often requests ask in the time in which
// owners see the same load, all owners together give what is too much, on average.
func TestOwnersGiveTheirPartOfAnExcessOnce(t *testing.T) {
	const owners, own, asked, rounds = 20, 7, maxDeclined, 200
	load := backend.ServiceLoad{Backends: 90, Slots: 720, Online: 560, Batch: owners * own}
	excess := batchcapacity.ExcessItems(batchcapacity.Observation{Load: batchcapacity.Load(load), Demand: &batchcapacity.Demand{}})
	require.Positive(t, excess)
	random := rand.New(rand.NewPCG(11, 11))
	given := 0
	for range rounds {
		for range owners {
			given += askedInWindow(newCapacityTracker(batchcapacity.PolicyPeriodic, random), load, own, asked, time.Unix(1000, 0))
		}
	}
	require.InDelta(t, float64(min(excess, owners*asked)), float64(given)/rounds, 4)
}

// TestItemsGiveWayToAShortageThatIsNotSeen: where room is seen some questions are chance,
// and many are not.
func TestItemsGiveWayToAShortageThatIsNotSeen(t *testing.T) {
	load := backend.ServiceLoad{Backends: 90, Slots: 720, Online: 300, Batch: 140}
	owner, now := newCapacityTracker(batchcapacity.PolicyPeriodic, rand.New(rand.NewPCG(12, 12))), time.Unix(1000, 0)
	require.Zero(t, askedInWindow(owner, load, 10, maxDeclined, now))
	require.Equal(t, 2, askedInWindow(owner, load, 10, 2, now))
	require.Zero(t, askedInWindow(owner, load, 10, maxDeclined, now.Add(window)))
}
