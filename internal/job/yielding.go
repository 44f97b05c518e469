package job

import (
	"math/rand/v2"
	"time"

	"topazpulley/internal/routing"
)

// yielder decides how many of its own items an owner takes back from a backend
// where online requests wait for a slot, beside those that requests preempt
// themselves once backends have refused them. Owners learn of each other's
// decisions only a moment later. Until then a look shows the same excess again,
// less only what this owner took back itself; answering it anew at every look
// would take back many times what is too much. It belongs to the dispatcher's
// goroutine.
type yielder struct {
	random *rand.Rand
	// answered is the excess that has been answered, by backend.
	answered map[string]answeredExcess
	// crowdedSince is since when backends are crowded although there is room elsewhere.
	crowdedSince map[string]time.Time
}

// standingExcess is how long a backend is crowded, where there is room elsewhere, until its
// items give way: a request that asks for a place there is counted for some milliseconds
// and goes elsewhere; one that stays longer waits there.
const standingExcess = 20 * time.Millisecond

// answeredExcess is an excess of which this owner has taken back its part.
type answeredExcess struct {
	at time.Time
	// left is what the other owners have yet to take back.
	left int
}

func newYielder(random *rand.Rand) *yielder {
	return &yielder{random: random, answered: map[string]answeredExcess{}, crowdedSince: map[string]time.Time{}}
}

// crowding returns how many batch items a backend has too many: those that
// hold slots for which online requests wait.
func crowding(candidate routing.Candidate) int {
	over := candidate.Online + candidate.Batch - candidate.Slots
	if over <= 0 || candidate.Batch == 0 || candidate.Online == 0 {
		return 0
	}
	return min(over, candidate.Batch)
}

// stands reports whether an excess at the backend is to be answered now: at once, or where
// there is room elsewhere once it has stood.
func (y *yielder) stands(candidate routing.Candidate, isRoomy bool, now time.Time) bool {
	if !isRoomy || crowding(candidate) == 0 {
		delete(y.crowdedSince, candidate.ID)
		return true
	}
	since, isKnown := y.crowdedSince[candidate.ID]
	if !isKnown {
		y.crowdedSince[candidate.ID] = now
		return false
	}
	return now.Sub(since) >= standingExcess
}

// nextLook is the time until the next look at backends without being woken.
func (y *yielder) nextLook() time.Duration {
	if len(y.crowdedSince) > 0 {
		return standingExcess
	}
	return yieldInterval
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
	for id, since := range y.crowdedSince {
		if now.Sub(since) >= yieldInterval+window {
			delete(y.crowdedSince, id)
		}
	}
}
