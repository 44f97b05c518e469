package job

import (
	"math/rand/v2"
	"time"

	"topazpulley/internal/routing"
)

// yielder decides how many of its own items an owner takes back from a back
// end that stays crowded although requests which wait preempt items themselves:
// a preemption was lost, or the item's owner was not known. The picture that
// shows the excess is a moment old, so that an excess must stand for the time in
// which owners hear of each other; then each takes back its part of it, once, and
// not at every look until the others hear of it. It belongs to the dispatcher's
// goroutine.
type yielder struct {
	random *rand.Rand
	// since is when an excess was first seen, or last answered, by back end.
	since map[string]time.Time
}

func newYielder(random *rand.Rand) *yielder {
	return &yielder{random: random, since: map[string]time.Time{}}
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
// an excess that has stood for the window in which all owners hear of each other.
func (y *yielder) share(candidate routing.Candidate, now time.Time, window time.Duration) int {
	excess := crowding(candidate)
	if excess == 0 {
		delete(y.since, candidate.ID)
		return 0
	}
	since, isKnown := y.since[candidate.ID]
	if !isKnown {
		y.since[candidate.ID] = now
		return 0
	}
	if now.Sub(since) < window {
		return 0
	}
	y.since[candidate.ID] = now
	return min(shareOf(excess, candidate.OwnBatch, candidate.Batch, y.random), candidate.OwnBatch)
}

// forgetWindows is for how many windows an excess is remembered that is not
// looked at again, because no own item runs there any more.
const forgetWindows = 3

// forget drops what was not looked at for long.
func (y *yielder) forget(now time.Time, window time.Duration) {
	for id, since := range y.since {
		if now.Sub(since) >= forgetWindows*window {
			delete(y.since, id)
		}
	}
}
