package table

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"topazpulley/internal/boottime"
)

// graceUntil returns a grace that ends at an instant. If the machine is suspended meanwhile, it ends once
// a state from that instant or later is confirmed: the rows may be back.
func (f *Follower) graceUntil(doubt Doubt, until boottime.Instant) Grace {
	given := f.Clock.Mark()
	return NewGrace(doubt, func() time.Duration {
		if !f.Clock.HasSleptSince(given) {
			return until.Sub(f.Now())
		}
		return until.Sub(boottime.Instant(f.confirmed.Load()))
	})
}

// Grace returns the grace for the rows that are missing from those that the consumer is receiving. It
// may be called by the consumer within Replace and Change.
func (f *Follower) Grace() Grace {
	given := f.grace.Load()
	if given == nil {
		return Grace{}
	}
	return *given
}

// giveGrace decides on the rows that are missing from those that arrive. delivery must be held.
func (f *Follower) giveGrace(arrivedAt boottime.Instant, otherDoubt Doubt) {
	known := contact{
		presentAt: boottime.Instant(f.confirmed.Load()), answeredAt: boottime.Instant(f.answered.Load()),
		unanswered: f.unanswered, arrivedAt: arrivedAt, awayAt: f.awayAt,
	}
	f.awayAt = known.lastAway(f.Bounds)
	known.awayAt = f.awayAt
	doubt, until := known.judge(f.Bounds, f.Now(), otherDoubt)
	if doubt == DoubtNone {
		f.grace.Store(nil)
		return
	}
	given := f.graceUntil(doubt, until)
	f.grace.Store(&given)
	if doubt == DoubtStoreAway {
		f.outageGrace.Store(&given)
	}
}

// recordCall records whether the store has answered a call that has just ended. Errors that the store
// derives from its state or its limits are answers, and so are stale reads. After an unanswered call
// the next one does not wait for changes: a late answer must not be taken for none.
func (f *Follower) recordCall(err error, started boottime.Instant) {
	isUnanswered := !errors.Is(err, errStaleRead) && (IsKind(err, ErrorNotDone) || IsKind(err, ErrorUnknown))
	if !isUnanswered {
		f.recordAnswered(f.Now())
		return
	}
	f.isUnconfirmed = true
	f.delivery.Lock()
	defer f.delivery.Unlock()
	ended := f.Now()
	isSilent := IsKind(err, ErrorUnknown) && ended.Sub(started) > f.Wait
	f.unanswered = append(f.unanswered, unansweredCall{startedAt: started, endedAt: ended, isSilent: isSilent})
	if len(f.unanswered) > maxUnanswered {
		f.unanswered = slices.Delete(f.unanswered, 0, 1)
	}
}

// maxUnanswered is the number of unanswered calls that are remembered: those of some seconds.
const maxUnanswered = 64

// recordAnswered records a time at which the store answered this daemon or another one.
func (f *Follower) recordAnswered(at boottime.Instant) {
	if int64(at) > f.answered.Load() {
		f.answered.Store(int64(at))
	}
}

// IsSettled reports whether a missing row means for other daemons too that the row was removed. It is
// false while the store does not answer this daemon, and for a time after an outage of the store.
func (f *Follower) IsSettled() bool {
	after := f.outageGrace.Load()
	return !f.isStoreLost.Load() && (after == nil || after.IsOver())
}
