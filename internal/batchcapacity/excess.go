package batchcapacity

import "math"

const (
	// remainingAttempts is the number of further backends that most requests try after
	// they preempted an item.
	remainingAttempts = 6
	// noSlotShare is the accepted share of such requests that find no slot. They are
	// queued and preempt further items.
	noSlotShare = 0.01
)

// ExcessItems returns how many batch items of all owners should be preempted for online
// requests. It is 0 if enough slots are free: a request refused by some backends then finds a
// slot at another one. The load is corrected by the rise of online work since it was observed
// and by the forecast.
func ExcessItems(observed Observation) int {
	load := observed.Load
	load.Online += observed.Demand.Rise(observed.Age)
	if expected, isKnown := observed.Demand.Forecast(0, observed.Age); isKnown {
		load.Online = max(load.Online, expected)
	}
	return min(max(load.Online+load.Batch+FreeSlotsNeeded(load)-load.Slots, 0), load.Batch)
}

// FreeSlotsNeeded returns how many slots must be free so that a request finds one by trying
// random backends.
func FreeSlotsNeeded(load Load) int {
	perBackend := float64(load.Slots) / float64(max(load.Backends, 1))
	busyShare := math.Pow(noSlotShare, 1/(remainingAttempts*max(perBackend, 1)))
	return int(math.Ceil(float64(load.Slots) * (1 - busyShare)))
}
