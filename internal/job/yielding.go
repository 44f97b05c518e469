package job

import (
	"math/rand/v2"
	"time"

	"topazpulley/internal/routing"
)

// yielder decides how many of its own items an owner takes back from a back
// end where online requests wait for a slot, beside those that requests preempt
// themselves once back ends have refused them. Owners learn of each other's
// decisions only a moment later. Until then a look shows the same excess again,
// less only what this owner took back itself; answering it anew at every look
// would take back many times what is too much. It belongs to the dispatcher's
// goroutine.
type yielder struct {
	random *rand.Rand
	// answered is the excess that has been answered, by back end.
	answered map[string]answeredExcess
}

// answeredExcess is an excess of which this owner has taken back its part.
type answeredExcess struct {
	at time.Time
	// left is what the other owners have yet to take back.
	left int
}

func newYielder(random *rand.Rand) *yielder {
	return &yielder{random: random, answered: map[string]answeredExcess{}}
}

// crowding returns how many batch items a back end has too many: those that
// hold slots for which online requests wait.
func crowding(candidate routing.Candidate) int {
	over := candidate.Online + candidate.Batch - candidate.Slots
	if over <= 0 || candidate.Batch == 0 || candidate.Online == 0 {
		return 0
	}
	return min(over, candidate.Batch)
}

// share returns how many of its own items the owner takes back now: its part of
// the excess that was not there before, or that still stands after the window
// in which all owners hear of each other.
func (y *yielder) share(candidate routing.Candidate, now time.Time, window time.Duration) int {
	excess := crowding(candidate)
	if excess == 0 {
		delete(y.answered, candidate.ID)
		return 0
	}
	answered := y.answered[candidate.ID]
	isFresh := now.Sub(answered.at) < window
	if !isFresh {
		answered = answeredExcess{at: now}
	}
	answered.left = min(answered.left, excess)
	count := min(shareOf(excess-answered.left, candidate.OwnBatch, candidate.Batch, y.random), candidate.OwnBatch)
	answered.left = excess - count
	y.answered[candidate.ID] = answered
	return count
}

// forget drops what is older than the window.
func (y *yielder) forget(now time.Time, window time.Duration) {
	for id, answered := range y.answered {
		if now.Sub(answered.at) >= window {
			delete(y.answered, id)
		}
	}
}
