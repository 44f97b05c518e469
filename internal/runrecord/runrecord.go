// Package runrecord records whether a request may have run at backends. Senders update the
// record when they send an attempt; the answer to the caller may state that the request
// has not run only if the record says so, because callers then send the request again.
package runrecord

import (
	"slices"

	"topazpulley/internal/failure"
)

// Send is the number of an attempt that was sent, from 1 on. The zero value is that of none.
type Send int

// Record is the state of one request. Its zero value means that no attempt was sent. It is
// used by one goroutine.
type Record struct {
	last Send
	// open are the attempts that may have run.
	open []Send
}

// Sent records that an attempt is about to be sent to a backend. The request may have run
// from now on, unless NeverRan is called for the attempt.
func (r *Record) Sent() Send {
	r.last++
	r.open = append(r.open, r.last)
	return r.last
}

// NeverRan records that an attempt did not run and never will: no byte of it was sent, or the
// backend reported that it did not run. It says nothing of other attempts.
func (r *Record) NeverRan(send Send) {
	r.open = slices.DeleteFunc(r.open, func(each Send) bool { return each == send })
}

// MayHaveRun reports whether any attempt may have run.
func (r *Record) MayHaveRun() bool { return len(r.open) > 0 }

// Copy returns a record that does not change with this one.
func (r *Record) Copy() Record { return Record{last: r.last, open: slices.Clone(r.open)} }

// MarkNotRun marks a failure as not run unless an attempt may have run; then it returns
// the failure unchanged.
func (r *Record) MarkNotRun(failed *failure.Error) *failure.Error {
	if r.MayHaveRun() {
		return failed
	}
	return failed.WithNotRun()
}

// Refuse returns the failure for a request that is given up: the given one marked as not
// run, or, if an attempt may have run, one of KindOutcomeUnknown with the same code.
func (r *Record) Refuse(refusal *failure.Error) *failure.Error {
	if !r.MayHaveRun() {
		return refusal.WithNotRun()
	}
	return failure.Wrap(refusal, failure.KindOutcomeUnknown, refusal.Code, "an attempt was sent and its outcome is unknown; then: %s", refusal.Message)
}
