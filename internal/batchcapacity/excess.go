package batchcapacity

import "math"

const (
	// questionsLeft is how many more backends a request asks for a place that has an
	// item give way, at the least for most requests: they ask up to eight, and have an
	// item give way for every second one without a place.
	questionsLeft = 6
	// placelessShare is the part of such requests that may find no place even so; they
	// wait for one, and have further items give way.
	placelessShare = 0.01
)

// ExcessItems is how many batch items of all owners stand in the way of online requests.
// Where much room is left it is none: that a request found no place at some backends was
// chance, and it finds one at the next. To the load of a moment ago comes what online work
// has risen by since, or what the rhythm brings.
func ExcessItems(sight Observation) int {
	load := sight.Load
	load.Online += sight.Demand.Rise(sight.Age)
	if coming, isKnown := sight.Demand.Forecast(0, sight.Age); isKnown {
		load.Online = max(load.Online, coming)
	}
	return min(max(load.Online+load.Batch+FreeSlotsNeeded(load)-load.Slots, 0), load.Batch)
}

// FreeSlotsNeeded is how many slots must be free for a request to find a place by asking, though it
// knew nothing of the backends' loads.
func FreeSlotsNeeded(load Load) int {
	perBackend := float64(load.Slots) / float64(max(load.Backends, 1))
	busyShare := math.Pow(placelessShare, 1/(questionsLeft*max(perBackend, 1)))
	return int(math.Ceil(float64(load.Slots) * (1 - busyShare)))
}
