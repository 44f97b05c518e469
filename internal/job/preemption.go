package job

import (
	"math/rand/v2"
	"time"

	"topazpulley/internal/routing"
)

// preemptor decides how many of its own items an owner preempts at a backend where online
// requests wait for a slot. For a request that found no slot, Service.preemptOne preempts an
// item instead.
//
// Preemptions are reported to other owners with a delay, and the excess appears unchanged
// until then. Each owner therefore preempts its share of an excess once per window. Only the
// dispatcher's goroutine uses it.
type preemptor struct {
	random *rand.Rand
	// handled is the excess that was acted on, by backend.
	handled map[string]handledExcess
	// overloadedSince is since when a backend has an excess although its service has free
	// slots.
	overloadedSince map[string]time.Time
}

// excessDelay is how long an excess must last before items are preempted, if the service
// has free slots elsewhere. A request that asks several backends for a slot is counted at
// each for a few milliseconds.
const excessDelay = 20 * time.Millisecond

// handledExcess is an excess of which this owner has preempted its share.
type handledExcess struct {
	at time.Time
	// remaining is what the other owners have yet to preempt.
	remaining int
}

func newPreemptor(random *rand.Rand) *preemptor {
	return &preemptor{random: random, handled: map[string]handledExcess{}, overloadedSince: map[string]time.Time{}}
}

// batchExcess returns the number of batch items at a backend that use slots for which
// online requests wait.
func batchExcess(candidate routing.Candidate) int {
	over := candidate.Online + candidate.Batch - candidate.Slots
	if over <= 0 || candidate.Batch == 0 || candidate.Online == 0 {
		return 0
	}
	return min(over, candidate.Batch)
}

// isExcessDue reports whether an excess at the backend is to be acted on now: at once, or
// after excessDelay if the service has free slots.
func (p *preemptor) isExcessDue(candidate routing.Candidate, hasFreeSlots bool, now time.Time) bool {
	if !hasFreeSlots || batchExcess(candidate) == 0 {
		delete(p.overloadedSince, candidate.ID)
		return true
	}
	since, isKnown := p.overloadedSince[candidate.ID]
	if !isKnown {
		p.overloadedSince[candidate.ID] = now
		return false
	}
	return now.Sub(since) >= excessDelay
}

// nextCheck returns the time until backends are checked again, unless an overload is
// signalled before.
func (p *preemptor) nextCheck() time.Duration {
	if len(p.overloadedSince) > 0 {
		return excessDelay
	}
	return preemptInterval
}

// share returns how many of its own items the owner preempts now: its share of the excess
// that is new, or that remains after the window.
func (p *preemptor) share(candidate routing.Candidate, now time.Time, window time.Duration) int {
	excess := batchExcess(candidate)
	if excess == 0 {
		delete(p.handled, candidate.ID)
		return 0
	}
	handled := p.handled[candidate.ID]
	isRecent := now.Sub(handled.at) < window
	if !isRecent {
		handled = handledExcess{at: now}
	}
	handled.remaining = min(handled.remaining, excess)
	count := min(shareOf(excess-handled.remaining, candidate.OwnBatch, candidate.Batch, p.random), candidate.OwnBatch)
	handled.remaining = excess - count
	p.handled[candidate.ID] = handled
	return count
}

// forget drops entries that are older than the window.
func (p *preemptor) forget(now time.Time, window time.Duration) {
	for id, handled := range p.handled {
		if now.Sub(handled.at) >= window {
			delete(p.handled, id)
		}
	}
	for id, since := range p.overloadedSince {
		if now.Sub(since) >= preemptInterval+window {
			delete(p.overloadedSince, id)
		}
	}
}
