package batchcapacity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func excess(load Load, demand *Demand) int {
	return ExcessItems(Observation{Load: load, Demand: demand, Age: loadAge})
}

// TestNoExcessWithFreeSlots checks that no item is excess while requests find a free slot
// at another backend.
func TestNoExcessWithFreeSlots(t *testing.T) {
	require.Zero(t, excess(fleet(500, 140), &Demand{}))
	require.Positive(t, excess(fleet(540, 140), &Demand{}))
	require.Equal(t, 30, excess(fleet(800, 30), &Demand{}), "the excess is limited to the running items")
	oneSlotEach := Load{Backends: 720, Slots: slots, Online: 500, Batch: 140}
	require.Positive(t, excess(oneSlotEach, &Demand{}), "one slot per backend needs more free slots")
}

// TestExcessFollowsOnlineRise checks that a significant rise of online work since the load
// was observed adds to the excess.
func TestExcessFollowsOnlineRise(t *testing.T) {
	rising := demandOf(func(at time.Duration) float64 { return 110 + 100*max(at.Seconds()-9, 0)*10 }, 9300*time.Millisecond, 1)
	require.Zero(t, excess(fleet(310, 250), &Demand{}))
	require.Positive(t, excess(fleet(310, 250), rising))
	steady := demandOf(func(time.Duration) float64 { return 310 }, 9*time.Second, 1)
	require.Zero(t, excess(fleet(310, 250), steady))
}
