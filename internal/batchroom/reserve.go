package batchroom

import (
	"math"
	"time"
)

const (
	// reserveWeight is the weight of one more sight of room that was none. An owner has
	// few in a burst, and the first come from pictures of before it.
	reserveWeight = 0.3
	// reserveHalfLife is the time in which half of the reserve is forgotten while
	// nobody asks for room: longer than the pauses between bursts that matter to items,
	// which run for seconds.
	reserveHalfLife = 10 * time.Second
	// mostReserve bounds the reserve, as a part of the slots: with a sixth of them free
	// online requests find places whatever they know of the load.
	mostReserve = 1.0 / 6
)

// Reserve learns how much room must look free for online requests to find places in it.
// Daemons see loads of a moment ago, and a back end that looks free may be full: online
// requests have items give way while many slots look free. An item that is sent into such
// room is soon taken back. The zero value knows of nothing. It belongs to one goroutine.
type Reserve struct {
	slots float64
	at    time.Time
}

// Short records that room was short while so many slots looked free.
func (r *Reserve) Short(load Load, now time.Time) {
	free := max(float64(load.Slots-load.Online-load.Batch), 0)
	known := r.left(now)
	r.slots = known + reserveWeight*(min(free, mostReserve*float64(load.Slots))-known)
	r.at = now
}

// Slots is how many slots stay free.
func (r *Reserve) Slots(now time.Time) int { return int(r.left(now)) }

func (r *Reserve) left(now time.Time) float64 {
	return r.slots * math.Exp2(-float64(now.Sub(r.at))/float64(reserveHalfLife))
}
