package job

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/batchcapacity"
)

// preemptInWindow sends an owner a number of preemption requests at one time and returns how many
// it granted.
func preemptInWindow(owner *capacityTracker, load backend.ServiceLoad, own, requests int, from time.Time) int {
	preempted := 0
	for range requests {
		if owner.mustPreempt("s", load, own, window, from) {
			preempted++
		}
	}
	return preempted
}

// TestOwnersPreemptTheirShareOnce: all owners together preempt the excess on average, however
// many requests arrive within the window.
func TestOwnersPreemptTheirShareOnce(t *testing.T) {
	const owners, own, requests, rounds = 20, 7, maxDeclined, 200
	load := backend.ServiceLoad{Backends: 90, Slots: 720, Online: 560, Batch: owners * own}
	excess := batchcapacity.ExcessItems(batchcapacity.Observation{Load: batchcapacity.Load(load), Demand: &batchcapacity.Demand{}})
	require.Positive(t, excess)
	random := rand.New(rand.NewPCG(11, 11))
	preempted := 0
	for range rounds {
		for range owners {
			preempted += preemptInWindow(newCapacityTracker(batchcapacity.PolicyPeriodic, random), load, own, requests, time.Unix(1000, 0))
		}
	}
	require.InDelta(t, float64(min(excess, owners*requests)), float64(preempted)/rounds, 4)
}

// TestItemsPreemptedAfterRepeatedRequests: where free slots are reported, a few preemption
// requests are declined and further ones within the window are granted.
func TestItemsPreemptedAfterRepeatedRequests(t *testing.T) {
	load := backend.ServiceLoad{Backends: 90, Slots: 720, Online: 300, Batch: 140}
	owner, now := newCapacityTracker(batchcapacity.PolicyPeriodic, rand.New(rand.NewPCG(12, 12))), time.Unix(1000, 0)
	require.Zero(t, preemptInWindow(owner, load, 10, maxDeclined, now))
	require.Equal(t, 2, preemptInWindow(owner, load, 10, 2, now))
	require.Zero(t, preemptInWindow(owner, load, 10, maxDeclined, now.Add(window)))
}
