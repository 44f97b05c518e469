package job

import (
	"time"

	"topazpulley/internal/quarantine"
)

const (
	// heldPartCalm is how long no backend must have crashed under a quarantined prompt part
	// before an item with that part is tried.
	heldPartCalm = 2 * time.Second
	// maxHeldPartWait is how long an item waits for that calm.
	maxHeldPartWait = 6 * time.Second
	// heldPartTrialInterval is the time between two trials of items with one part, so that
	// items do not crash one backend after the other if the part does.
	heldPartTrialInterval = 2 * time.Second
)

// heldParts paces items whose prompt has a part that is quarantined for online requests. Items
// don't crash backends by themselves, so that they are still due: one is tried at a time, and
// its output lifts the quarantine. It belongs to the dispatcher's goroutine.
type heldParts struct {
	// triedAt is the time of the last trial, by prompt part.
	triedAt map[quarantine.Fingerprint]time.Time
}

func newHeldParts() *heldParts {
	return &heldParts{triedAt: map[quarantine.Fingerprint]time.Time{}}
}

// mayTry reports whether an item that waits since a time may be tried now, given the verdict on
// a part of its prompt.
func (h *heldParts) mayTry(verdict quarantine.Verdict, waitingSince, now time.Time) bool {
	isCalm := now.Sub(verdict.Since) >= heldPartCalm
	isOverdue := now.Sub(waitingSince) >= maxHeldPartWait
	if !isCalm && !isOverdue {
		return false
	}
	return now.Sub(h.triedAt[verdict.Fingerprint]) >= heldPartTrialInterval
}

// record records that an item with the part was sent. It forgets the trials that don't delay
// others any more.
func (h *heldParts) record(part quarantine.Fingerprint, now time.Time) {
	for each, at := range h.triedAt {
		if now.Sub(at) >= heldPartTrialInterval {
			delete(h.triedAt, each)
		}
	}
	h.triedAt[part] = now
}
