package serving

import (
	"io"
	"time"

	"github.com/pkg/errors"

	"topazpulley/internal/backend"
	"topazpulley/internal/responsetimeout"
	"topazpulley/internal/watchdog"
)

// passWhole reads an answer to its end before the caller sees any of it.
func (e *exchange) passWhole(answer Answer, lease *backend.Lease, watched *watchdog.Watchdog) error {
	head := answer.Head()
	body, err := answer.Body()
	watched.Stop()
	if err != nil {
		return err
	}
	lease.Started()
	freeBackend(answer, lease)
	if !head.Successful() && e.mayRepeatFailure(head) {
		return &AttemptError{Outcome: OutcomeFailed, Reason: ReasonError}
	}
	if e.begun {
		return &AttemptError{Outcome: OutcomeFailed, Reason: ReasonError}
	}
	e.runs++
	if head.Successful() {
		e.core.Backends.Succeeded(e.last.Incarnation(), time.Now())
		e.noteAnswered(responsetimeout.KindComplete)
	}
	e.firstAt = time.Now()
	e.outcome = "served"
	if !head.Successful() {
		e.outcome = "failure_passed_on"
	}
	if isBackendFault(head.Status) {
		e.core.Backends.Failed(e.last.Incarnation(), time.Now())
	}
	if err := e.responder.Whole(head, body); err != nil {
		e.outcome = "caller_gone"
	}
	return nil
}

// freeBackend gives up what is held at a backend whose answer was read to its end,
// before its caller has: one who reads nothing would hold a place until it is cut.
func freeBackend(answer Answer, lease *backend.Lease) {
	answer.Detach()
	lease.Release()
}

// isBackendFault tells a backend's own failures from those of requests that
// ran out of time.
func isBackendFault(status int) bool {
	return status >= 500 && status != gatewayTimeout
}

// gatewayTimeout is a backend's answer to a request whose time is over.
const gatewayTimeout = 504

// mayRepeatFailure reports whether a backend's own failure is tried again
// elsewhere and not passed on.
func (e *exchange) mayRepeatFailure(head Head) bool {
	isServerFault := head.Status >= 500
	return isServerFault && e.request.Route.Repeatable() && e.runs+1 < e.request.Route.MaxAttempts && e.remaining() > minimumRemaining
}

// relay passes events on as they come.
func (e *exchange) relay(answer Answer, lease *backend.Lease, watched *watchdog.Watchdog) error {
	for isFirst := true; ; isFirst = false {
		event, err := answer.Next()
		if errors.Is(err, io.EOF) {
			return e.finish(answer, lease)
		}
		if err != nil {
			return err
		}
		if event.ID != 0 && event.ID != e.lastEvent+1 {
			return &AttemptError{Outcome: OutcomeUnknown, Reason: ReasonCorrupt}
		}
		watched.Feed()
		if isFirst {
			e.noteAnswered(responsetimeout.KindFirstEvent)
		}
		lease.Started()
		if err := e.passEvent(answer, event); err != nil {
			e.outcome = "caller_gone"
			return nil
		}
	}
}

func (e *exchange) passEvent(answer Answer, event Event) error {
	if err := e.begin(answer); err != nil {
		return err
	}
	e.lastEvent = event.ID
	e.events++
	return e.responder.Event(event.Raw)
}

// begin sends the head once: a resumed stream keeps the first one.
func (e *exchange) begin(answer Answer) error {
	if e.begun {
		return nil
	}
	e.begun = true
	e.firstAt = time.Now()
	if !e.placedAt.IsZero() {
		e.core.Backends.ObserveFirstOutput(e.request.Service, e.firstAt.Sub(e.placedAt))
	}
	return e.responder.Begin(answer.Head())
}

func (e *exchange) finish(answer Answer, lease *backend.Lease) error {
	freeBackend(answer, lease)
	e.runs++
	e.core.Backends.Succeeded(e.last.Incarnation(), time.Now())
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
