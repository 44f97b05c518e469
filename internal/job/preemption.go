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
type preemptor struct {
	random *rand.Rand
	// answered is the excess that has been answered, by backend.
	handled map[string]handledExcess
	// overloadedSince is since when backends are crowded although there is room elsewhere.
	overloadedSince map[string]time.Time
}

// excessDelay is how long a backend is crowded, where there is room elsewhere, until its
// items give way: a request that asks for a place there is counted for some milliseconds
// and goes elsewhere; one that stays longer waits there.
const excessDelay = 20 * time.Millisecond

// handledExcess is an excess of which this owner has taken back its part.
type handledExcess struct {
	at time.Time
	// left is what the other owners have yet to take back.
	remaining int
}

func newPreemptor(random *rand.Rand) *preemptor {
	return &preemptor{random: random, handled: map[string]handledExcess{}, overloadedSince: map[string]time.Time{}}
}

// crowding returns how many batch items a backend has too many: those that
// hold slots for which online requests wait.
func batchExcess(candidate routing.Candidate) int {
	over := candidate.Online + candidate.Batch - candidate.Slots
	if over <= 0 || candidate.Batch == 0 || candidate.Online == 0 {
		return 0
	}
	return min(over, candidate.Batch)
}

// stands reports whether an excess at the backend is to be answered now: at once, or where
// there is room elsewhere once it has stood.
func (y *preemptor) isExcessDue(candidate routing.Candidate, hasFreeSlots bool, now time.Time) bool {
	if !hasFreeSlots || batchExcess(candidate) == 0 {
		delete(y.overloadedSince, candidate.ID)
		return true
	}
	since, isKnown := y.overloadedSince[candidate.ID]
	if !isKnown {
		y.overloadedSince[candidate.ID] = now
		return false
	}
	return now.Sub(since) >= excessDelay
}

// nextCheck is the time until the next look at backends without being woken.
func (y *preemptor) nextCheck() time.Duration {
	if len(y.overloadedSince) > 0 {
		return excessDelay
	}
	return preemptInterval
}

// share returns how many of its own items the owner takes back now: its part of
// the excess that was not there before, or that still stands after the window
// in which all owners hear of each other.
func (y *preemptor) share(candidate routing.Candidate, now time.Time, window time.Duration) int {
	excess := batchExcess(candidate)
	if excess == 0 {
		delete(y.handled, candidate.ID)
		return 0
	}
	handled := y.handled[candidate.ID]
	isRecent := now.Sub(handled.at) < window
	if !isRecent {
		handled = handledExcess{at: now}
	}
	handled.remaining = min(handled.remaining, excess)
	count := min(shareOf(excess-handled.remaining, candidate.OwnBatch, candidate.Batch, y.random), candidate.OwnBatch)
	handled.remaining = excess - count
	y.handled[candidate.ID] = handled
	return count
}

// forget drops what is older than the window.
func (y *preemptor) forget(now time.Time, window time.Duration) {
	for id, handled := range y.handled {
		if now.Sub(handled.at) >= window {
			delete(y.handled, id)
		}
	}
	for id, since := range y.overloadedSince {
		if now.Sub(since) >= preemptInterval+window {
			delete(y.overloadedSince, id)
		}
	}
}
