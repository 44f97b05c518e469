// Package runrecord keeps what is known of whether a request has run at backends. A
// caller that is told that its request has not run sends it again; if that is not
// true, the work is done twice. So the record is written where bytes leave for a
// backend, and read where a caller is answered: both doors decide by it, and by
// nothing else, whether they may say so.
package runrecord

import "topazpulley/internal/failure"

// Record is what is known of one request. Its zero value tells that nothing has
// been sent. It is used by one goroutine.
type Record struct {
	sent     int
	neverRan int
}

// Sent notes that an attempt is about to leave for a backend. From now on the
// request may have run, until NeverRan says otherwise.
func (r *Record) Sent() { r.sent++ }

// NeverRan notes that the attempt that was sent last did not run and never will:
// no byte of it has left, or the backend said so.
func (r *Record) NeverRan() {
	if r.neverRan < r.sent {
		r.neverRan++
	}
}

// MayHaveRun reports whether some attempt may have run.
func (r *Record) MayHaveRun() bool { return r.sent > r.neverRan }

// MarkNotRun adds the promise that nothing has run to a failure, if that is true, and
// leaves it as it is otherwise.
func (r *Record) MarkNotRun(failed *failure.Error) *failure.Error {
	if r.MayHaveRun() {
		return failed
	}
	return failed.WithNotRun()
}

// Refuse makes the failure of a request that is given up: the given one, with the
// promise that nothing has run, if that is true, else one that promises nothing
// and keeps the code.
func (r *Record) Refuse(refusal *failure.Error) *failure.Error {
	if !r.MayHaveRun() {
		return refusal.WithNotRun()
	}
	return failure.Wrap(refusal, failure.KindOutcomeUnknown, refusal.Code, "an attempt was sent and its outcome cannot be learnt; then: %s", refusal.Message)
}
