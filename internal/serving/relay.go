package serving

import (
	"context"
	"time"

	"topazpulley/internal/backend"
	"topazpulley/internal/responsetimeout"
)

// passComplete reads a complete answer before it passes any of it to the caller.
func (e *exchange) passComplete(answer Answer, lease *backend.Lease, waiting *standby) error {
	head := answer.Head()
	if err := awaitMemory(answer, waiting); err != nil {
		return err
	}
	body, err := answer.Body()
	if err != nil {
		return err
	}
	waiting.ended()
	lease.Started()
	releaseBackend(answer, lease)
	if !head.Successful() && e.mayRepeatFailure(head) {
		return &AttemptError{Outcome: OutcomeFailed, Reason: ReasonError}
	}
	if e.hasBegun {
		return &AttemptError{Outcome: OutcomeFailed, Reason: ReasonError}
	}
	e.runs++
	if head.Successful() {
		e.core.Backends.Succeeded(e.last.Incarnation(), time.Now())
		e.observeResponseTime(responsetimeout.KindComplete)
		e.observeDuration()
	}
	e.firstAt = time.Now()
	e.outcome = "served"
	if !head.Successful() {
		e.outcome = "failure_passed_on"
	}
	if IsBackendFault(head.Status) {
		e.core.Backends.Failed(e.last.Incarnation(), time.Now())
	}
	if err := e.responder.Whole(head, body); err != nil {
		e.outcome = "caller_gone"
	}
	return nil
}

// awaitMemory takes the memory for a long answer. The wait does not count as the backend's silence.
func awaitMemory(answer Answer, waiting *standby) error {
	long, mayWait := answer.(LongAnswer)
	if !mayWait || !long.IsLong() {
		return nil
	}
	if !waiting.arrived() {
		return errTakenOver
	}
	if err := long.Reserve(); err != nil {
		return err
	}
	waiting.await()
	return nil
}

// releaseBackend releases the connection and the lease once the answer is read in full.
// Otherwise a caller that reads slowly would occupy a slot.
func releaseBackend(answer Answer, lease *backend.Lease) {
	answer.Detach()
	lease.Release()
}

// IsBackendFault reports whether a status is a failure of the backend. A gateway timeout
// is not: the request ran out of time.
func IsBackendFault(status int) bool {
	return status >= 500 && status != gatewayTimeout
}

// gatewayTimeout is the status with which a backend answers a request whose time has run
// out.
const gatewayTimeout = 504

// mayRepeatFailure reports whether a request that the backend failed is retried at another
// backend instead of passing the failure on.
func (e *exchange) mayRepeatFailure(head Head) bool {
	isServerFault := head.Status >= 500
	return isServerFault && e.request.Route.Repeatable() && e.runs+1 < e.request.Route.MaxAttempts && e.remaining() > minRemaining
}

// relay passes events to the caller as they arrive.
func (e *exchange) relay(ctx context.Context, answer Answer, lease *backend.Lease, waiting *standby) error {
	for isFirst := true; ; isFirst = false {
		event, ending, err := answer.Next()
		if err != nil {
			return err
		}
		if ending != EndingNone {
			waiting.ended()
			return e.finish(answer, lease)
		}
		if !waiting.arrived() {
			return errTakenOver
		}
		if event.ID != 0 && event.ID != e.lastEvent+1 {
			return &AttemptError{Outcome: OutcomeUnknown, Reason: ReasonCorrupt}
		}
		if isFirst && e.isOtherSoftware() {
			return &AttemptError{Outcome: OutcomeUnknown, Reason: ReasonOtherSoftware}
		}
		if isFirst {
			e.observeResponseTime(responsetimeout.KindFirstEvent)
		}
		lease.Started()
		if err := e.passEvent(ctx, answer, event); err != nil {
			e.outcome = "caller_gone"
			return nil
		}
		waiting.await()
	}
}

// errTakenOver is the error of an attempt whose output came after a successor had taken the request
// over.
var errTakenOver = &AttemptError{Outcome: OutcomeUnknown, Reason: ReasonSilent}

func (e *exchange) passEvent(ctx context.Context, answer Answer, event Event) error {
	if !e.request.pin.isSet {
		e.recordOrigin(ctx)
	}
	if err := e.begin(answer); err != nil {
		return err
	}
	if event.ID != 0 { // not a comment
		e.lastEvent = event.ID
	}
	e.eventAt = time.Now()
	e.events++
	return e.responder.Event(event.Raw)
}

// begin sends the head to the caller once. A resumed stream keeps its first head.
func (e *exchange) begin(answer Answer) error {
	if e.hasBegun {
		return nil
	}
	e.hasBegun = true
	e.firstAt = time.Now()
	if !e.reservedAt.IsZero() {
		e.core.Backends.ObserveFirstOutput(e.request.Service, e.firstAt.Sub(e.reservedAt))
	}
	return e.responder.Begin(answer.Head())
}

func (e *exchange) finish(answer Answer, lease *backend.Lease) error {
	releaseBackend(answer, lease)
	e.runs++
	e.core.Backends.Succeeded(e.last.Incarnation(), time.Now())
	e.observeDuration()
	e.outcome = "served"
	if err := e.begin(answer); err != nil {
		e.outcome = "caller_gone"
		return nil
	}
	if err := e.responder.Finish(); err != nil {
		e.outcome = "caller_gone"
	}
	return nil
}
