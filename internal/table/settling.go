package table

import (
	"time"

	"topazpulley/internal/boottime"
)

// returnTime is how long those that keep entries in a table need to write them
// again after the store was away: about two seconds by the platform's word, and
// short of the two after which a backend that has left must get nothing.
const returnTime = 1800 * time.Millisecond

// settling is a return of the store, after which rows that lapsed meanwhile are
// written again.
type settling struct {
	// isAway tells that the store has not returned yet.
	isAway bool
	// regained is when it returned, and mark the same moment by a clock that counts
	// sleep too. The time of day serves neither: it may be set back.
	regained time.Time
	mark     boottime.Mark
	// wholeAt is when the store holds again all that belongs there.
	wholeAt boottime.Instant
}

// settle notes that rows may be missing that belong into the table, for returnTime.
func (f *Follower) settle() {
	f.settling.Store(&settling{regained: time.Now(), mark: f.Clock.Mark(), wholeAt: f.Now().Add(returnTime)})
}

// IsSettled reports whether a row that is missing is gone: not while the store
// is away, nor just after its return, since rows may have lapsed meanwhile. A machine
// that slept since then has not seen what was written again, until it hears anew.
func (f *Follower) IsSettled() bool {
	last := f.settling.Load()
	if last == nil {
		return true
	}
	if last.isAway {
		return false
	}
	if f.Clock.HasSleptSince(last.mark) {
		return boottime.Instant(f.confirmed.Load()) >= last.wholeAt
	}
	return time.Since(last.regained) >= returnTime
}
