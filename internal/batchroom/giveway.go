package batchroom

import "math"

const (
	// questionsLeft is how many more back ends a request asks for a place that has an
	// item give way, at the least for most requests: they ask up to eight, and have an
	// item give way for every second one without a place.
	questionsLeft = 6
	// placelessShare is the part of such requests that may find no place even so; they
	// wait for one, and have further items give way.
	placelessShare = 0.01
)

// MustGiveWay reports whether an item gives way to a request that found no place at some
// back ends. Where much room is left, that was chance: the request finds a place at one of
// the next, and the item would only be sent anew. Of the load of a moment ago the room is
// less by what online work has risen since.
func MustGiveWay(sight Sight) bool {
	load := sight.Load
	load.Online += sight.Demand.Rise(sight.Age)
	return load.BackEnds == 0 || load.room(0) < Roomy(load)
}

// Roomy is how many slots must be free for a request to find a place by asking, though it
// knew nothing of the back ends' loads.
func Roomy(load Load) int {
	perBackEnd := float64(load.Slots) / float64(max(load.BackEnds, 1))
	busyShare := math.Pow(placelessShare, 1/(questionsLeft*max(perBackEnd, 1)))
	return int(math.Ceil(float64(load.Slots) * (1 - busyShare)))
}
