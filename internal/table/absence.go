package table

import (
	"slices"
	"time"

	"topazpulley/internal/boottime"
)

// A row that is missing may have been removed by its owner, or have expired while the store was away
// and its owner could not renew it. Nobody tells which. What such a row describes is used on for a
// Grace, whose end counts from what was known before the row was missed, never from the moment at
// which this daemon notices: the bound for a removed row counts from the store's acknowledgement.

// AbsenceBounds are the times by which a missing row is judged.
type AbsenceBounds struct {
	// Present is how long what a row describes may be used after the row was last known to be in the
	// store. A removal is acknowledged later than that.
	Present time.Duration
	// Return is how long it may be used after the start of the last call that found the store away: by
	// then the owners of expired rows have written them again.
	Return time.Duration
	// Outage is the shortest time without an answer to any daemon that counts as an outage of the
	// store. Rows expire in longer ones, and other daemons have told by then if the store serves them.
	Outage time.Duration
}

// Doubt is why a follower does not take a missing row for a removed one at once.
type Doubt string

// The doubts.
const (
	// DoubtNone means that a missing row is a removed one.
	DoubtNone Doubt = ""
	// DoubtCallFailed means that a call was refused or not answered since the rows were last
	// confirmed.
	DoubtCallFailed Doubt = "call_failed"
	// DoubtStoreAway means that the store has answered no daemon for AbsenceBounds.Outage or longer.
	DoubtStoreAway Doubt = "store_away"
	// DoubtPeer means that the rows are a copy of another daemon, which may have heard of an
	// outage that this one has not noticed yet.
	DoubtPeer Doubt = "copy_of_peer"
	// DoubtUpstream means that the rows come from an upstream that has a doubt.
	DoubtUpstream Doubt = "upstream"
)

// Grace is how long what a missing row describes is used on. The zero value is over.
type Grace struct {
	Doubt Doubt
	// left returns the rest of the grace; 0 or less if it is over.
	left func() time.Duration
}

// NewGrace returns a grace. left returns the rest of it; 0 or less if it is over.
func NewGrace(doubt Doubt, left func() time.Duration) Grace { return Grace{Doubt: doubt, left: left} }

// Left returns the rest of the grace; 0 if it is over.
func (g Grace) Left() time.Duration {
	if g.left == nil {
		return 0
	}
	return max(g.left(), 0)
}

// IsOver reports whether the grace is over.
func (g Grace) IsOver() bool { return g.Left() == 0 }

// unansweredCall is a call that the store refused or did not answer.
type unansweredCall struct {
	startedAt, endedAt boottime.Instant
	// isSilent is set if there was no answer until the call's time limit.
	isSilent bool
}

// contact is what a follower knows about the store's answers when rows arrive.
type contact struct {
	// presentAt is the latest time at which the rows seen so far were known to be current.
	presentAt boottime.Instant
	// answeredAt is when the store is last known to have answered this daemon or another one.
	answeredAt boottime.Instant
	// unanswered are this daemon's calls that the store refused or did not answer, in order.
	unanswered []unansweredCall
	// arrivedAt is a time at which the rows that arrive were current.
	arrivedAt boottime.Instant
	// awayAt is the last time at which the store was known to be away; zero if it never was.
	awayAt boottime.Instant
}

// lastAway returns the last time at which the store was known to be away, given the rows that arrive.
// Calls that fail after these were current show no outage: the store has answered others.
func (c contact) lastAway(bounds AbsenceBounds) boottime.Instant {
	isLater := func(call unansweredCall) bool { return call.startedAt >= c.answeredAt && call.startedAt <= c.arrivedAt }
	first := slices.IndexFunc(c.unanswered, isLater)
	if first < 0 {
		return c.awayAt
	}
	calls := slices.DeleteFunc(slices.Clone(c.unanswered[first:]), func(call unansweredCall) bool { return !isLater(call) })
	last := calls[len(calls)-1].startedAt
	if last.Sub(silenceBegan(calls, c.answeredAt)) < bounds.Outage {
		return c.awayAt
	}
	return last
}

// silenceBegan returns from when on calls without an answer count, the last answer being from answeredAt.
// One call that reached its time limit shows nothing: it waited for changes, and the answer may be late.
func silenceBegan(calls []unansweredCall, answeredAt boottime.Instant) boottime.Instant {
	isLateAtMost := calls[0].isSilent && (len(calls) == 1 || !calls[1].isSilent)
	if isLateAtMost {
		return calls[0].endedAt
	}
	return answeredAt
}

// hasFailedSince reports whether a call was refused or not answered since an instant.
func (c contact) hasFailedSince(instant boottime.Instant) bool {
	return len(c.unanswered) > 0 && c.unanswered[len(c.unanswered)-1].startedAt > instant
}

// judge returns the doubt about missing rows and until when what they describe may be used.
// otherDoubt is that of the rows' source.
func (c contact) judge(bounds AbsenceBounds, now boottime.Instant, otherDoubt Doubt) (Doubt, boottime.Instant) {
	until := c.presentAt.Add(bounds.Present)
	returned := c.awayAt.Add(bounds.Return)
	switch {
	case c.awayAt > 0 && now < returned:
		return DoubtStoreAway, max(until, returned)
	case c.hasFailedSince(c.presentAt):
		return DoubtCallFailed, until
	}
	return otherDoubt, until
}
