// Package serving is the core that answers one online request: it chooses backends,
// sends attempts, retries and resumes where that is allowed, and decides
// what the caller is told. It knows no protocol: callers stand behind
// Responder, backends behind Sender.
package serving

import (
	"context"
	"time"

	"topazpulley/internal/backend"
	"topazpulley/internal/boottime"
	"topazpulley/internal/quarantine"
	"topazpulley/internal/route"
	"topazpulley/internal/routing"
	"topazpulley/internal/tenant"
)

// Field is one header field that is passed on end to end.
type Field struct {
	Name  string
	Value string
}

// Request is one caller's request, read in full.
type Request struct {
	// ID is the caller's; every attempt at a backend carries it.
	ID string
	// Caller is the address of the connection on which the request came, for logs.
	Caller string
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Fields []Field
	Body   []byte
	Route  *route.Route
	// Tenant is who calls; nil where nobody has to say so.
	Tenant *tenant.Tenant
	// ConfigVersion is the version of the configuration that Route is from.
	ConfigVersion int64
	// Service is where the route sends this request.
	Service string
	// Prompt is the parts of the prompt in order; empty for plain services.
	Prompt []routing.PromptPart
	// Tokens is the size of the prompt and the longest output together; 0 means
	// unknown.
	Tokens  int
	Arrived time.Time
	// ArrivedMark is Arrived by a clock that counts sleep too; zero means the moment
	// at which it is served.
	ArrivedMark boottime.Mark
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// LastEvent is the last event of the stream that the caller has; 0 means
	// that it has none.
	LastEvent int64
}

// tenantName is the name that backends are told; empty means none.
func (r *Request) tenantName() string {
	if r.Tenant == nil {
		return ""
	}
	return r.Tenant.Name
}

// fingerprint identifies the request's content whatever its id.
func (r *Request) fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(r.Method, r.Target, r.tenantName(), r.Body)
}

// Attempt is one dispatch of a request to a backend.
type Attempt struct {
	Instance backend.Instance
	// Tenant is the name of the tenant for which the request is made; empty means
	// none.
	Tenant string
	// MaxConnections bounds this daemon's connections to the backend.
	MaxConnections int
	ID             string
	// Fingerprint identifies the request's content whatever its id.
	Fingerprint quarantine.Fingerprint
	Method      string
	Target      string
	Host        string
	Fields      []Field
	Body        []byte
	// Remaining is how long the backend may work.
	Remaining time.Duration
	// TimeLeft tells how long that is at the moment at which it is called: the machine
	// may have slept, or a connection may have taken its time, since Remaining was set.
	// Nil means that it does not change.
	TimeLeft func() time.Duration
	// LastEvent asks a stream to go on behind this event; 0 means from the
	// start.
	LastEvent int64
	// Stream tells that the answer is a series of events.
	Stream bool
	// Reservation names a place that was set aside at the backend; empty means none.
	Reservation string
	// Permit is asked once the connection is there, just before the first byte leaves;
	// an error, which is an *AttemptError, takes the attempt back. Nil permits it.
	Permit func() error
}

// CheckSendable returns an error, which is an *AttemptError, if the attempt must not reach
// its backend any more: who asked for it has left, its time is over, or its permit
// is refused. It also brings what is left of its time up to date. Connections are
// made, and processes wait for a processor, between the decision to send and the first
// byte.
func (a *Attempt) CheckSendable(ctx context.Context) error {
	if ctx.Err() != nil {
		return &AttemptError{Outcome: OutcomeNotRun, Reason: ReasonRequestEnded, Cause: ctx.Err()}
	}
	if a.TimeLeft != nil {
		a.Remaining = min(a.Remaining, a.TimeLeft())
		if a.Remaining < minimumRemaining {
			return &AttemptError{Outcome: OutcomeNotRun, Reason: ReasonRequestEnded}
		}
	}
	if a.Permit == nil {
		return nil
	}
	return a.Permit()
}

// Head is the beginning of an answer.
type Head struct {
	Status int
	Fields []Field
	// Signed tells that the backend signed the answer.
	Signed bool
	// Events tells that the body is a series of events.
	Events bool
}

// Successful reports whether the status is one of success.
func (h Head) Successful() bool { return h.Status >= 200 && h.Status < 300 }

// Event is one whole event of a stream.
type Event struct {
	// ID rises by one from event to event.
	ID int64
	// Raw is the event as the backend sent it, its empty line included. It is
	// valid until the next call.
	Raw []byte
	// Data is the event's data without the line's name. It is valid until the
	// next call.
	Data []byte
}

// Answer is a backend's answer whose head has come.
type Answer interface {
	Head() Head
	// Load returns what the backend told of its load.
	Load() (backend.Report, bool)
	// Body reads the rest of an answer that is not a series of events.
	Body() ([]byte, error)
	// Next returns the next event, or io.EOF behind the last one of a stream
	// that ended as complete.
	Next() (Event, error)
	// Detach gives the connection to the backend back, and the answer up if it has not
	// ended. What was read of it stays.
	Detach()
	// Close gives the answer up if it has not ended; the backend then stops. What was
	// read of it counts as held no more.
	Close()
}

// Sender sends attempts to backends. An error is an *AttemptError. The answer
// is given up when the context ends.
type Sender interface {
	Send(ctx context.Context, attempt Attempt) (Answer, error)
}

// Connector is a Sender that keeps connections to backends.
type Connector interface {
	// Connected returns the lives of backends to which an idle connection is open.
	Connected() map[backend.Incarnation]bool
}

// Responder is the caller's side of a request. One of Whole, Refuse, Finish
// and Abort ends it; Begin and Event come before Finish or Abort.
type Responder interface {
	Begin(head Head) error
	Event(raw []byte) error
	Finish() error
	Whole(head Head, body []byte) error
	Refuse(refusal Refusal) error
	// Abort closes the connection so that the answer cannot look complete.
	Abort()
}

// Outcome says what is known of an attempt that gave no answer.
type Outcome uint8

// The outcomes.
const (
	// OutcomeNotRun tells that the backend did not run the request and never
	// will.
	OutcomeNotRun Outcome = iota
	// OutcomeFailed tells that the backend ran the request and failed.
	OutcomeFailed
	// OutcomeUnknown tells that the request was sent and that its end cannot
	// be learnt.
	OutcomeUnknown
)

// String returns the name that logs carry.
func (o Outcome) String() string { return [...]string{"not_run", "failed", "unknown"}[o] }

// Reason says why an attempt gave no answer.
type Reason string

// The reasons.
const (
	ReasonUnreachable   Reason = "unreachable"
	ReasonRefused       Reason = "refused"
	ReasonOtherInstance Reason = "other_instance"
	ReasonNoConnection  Reason = "no_connection"
	ReasonBroken        Reason = "broken"
	ReasonCorrupt       Reason = "spoiled"
	ReasonSilent        Reason = "silent"
	ReasonRequestEnded  Reason = "ended"
	ReasonError         Reason = "error"
	// ReasonNoSlot tells that the backend set no place aside.
	ReasonNoSlot Reason = "no_place"
	// ReasonPermitRefused tells that the permit to send was refused.
	ReasonPermitRefused Reason = "withheld"
	// ReasonMalformed tells that the attempt cannot be written as one request.
	ReasonMalformed Reason = "malformed"
	// ReasonQuarantined tells that backends have ended under the request, so that
	// no further one is sent it.
	ReasonQuarantined Reason = "quarantined"
	// ReasonBudget tells that a further attempt was allowed but for the bound
	// on retries.
	ReasonBudget Reason = "retry_budget_spent"
)

// AttemptError tells why an attempt gave no answer.
type AttemptError struct {
	Outcome Outcome
	Reason  Reason
	Cause   error
}

// Error implements error.
func (e *AttemptError) Error() string {
	text := "attempt " + e.Outcome.String() + ": " + string(e.Reason)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause, or nil.
func (e *AttemptError) Unwrap() error { return e.Cause }

// Verdict is what a caller is told when no backend's answer is passed on.
type Verdict uint8

// The verdicts.
const (
	// VerdictNotRun promises that the request did not run and never will.
	VerdictNotRun Verdict = iota
	// VerdictUnknown promises nothing.
	VerdictUnknown
	// VerdictTimeout tells that the time was over; it promises nothing.
	VerdictTimeout
	// VerdictNoRoute tells that no configured route takes the request.
	VerdictNoRoute
	// VerdictInvalid tells that the request is malformed.
	VerdictInvalid
	// VerdictTooLarge tells that the body exceeds the limit.
	VerdictTooLarge
	// VerdictHeaderTooLarge tells that the header exceeds the limit.
	VerdictHeaderTooLarge
	// VerdictHeaderTimeout tells that the request did not come in time.
	VerdictHeaderTimeout
	// VerdictOverQuota promises like VerdictNotRun; too much waits already.
	VerdictOverQuota
	// VerdictOverRate promises like VerdictNotRun; the tenant has used up its
	// limit.
	VerdictOverRate
	// VerdictUnauthorized tells that the call carries no key that is known.
	VerdictUnauthorized
	// VerdictQuarantined promises, for this call, like VerdictNotRun: backends ended
	// under earlier calls of the same request, and until the time to come back is
	// over it is not sent to any.
	VerdictQuarantined
)

// String returns the name that logs and metrics carry.
func (v Verdict) String() string {
	return [...]string{"not_run", "unknown", "timeout", "no_route", "invalid", "too_large", "header_too_large", "header_timeout", "over_quota", "over_rate", "unauthorized", "quarantined"}[v]
}

// Refusal is an answer of the daemon's own.
type Refusal struct {
	Verdict Verdict
	// RetryAfter tells when to come back; 0 means no advice.
	RetryAfter time.Duration
	// Code names the exact cause.
	Code string
}
