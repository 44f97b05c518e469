// Package serving implements the core that serves one online request: it chooses backends,
// makes attempts, retries and resumes where that is allowed, and decides the answer to the
// caller. It is independent of protocols: Responder is the interface to the caller and
// Sender the interface to backends.
package serving

import (
	"context"
	"time"

	"github.com/pkg/errors"

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
	// ID is chosen by the caller; every attempt carries it.
	ID string
	// Caller is the remote address of the caller's connection, for logs.
	Caller string
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Fields []Field
	Body   []byte
	Route  *route.Route
	// Tenant is the calling tenant; nil where callers need not authenticate.
	Tenant *tenant.Tenant
	// ConfigVersion is the version of the configuration that Route is from.
	ConfigVersion int64
	// Service is the service that the route selected for the request.
	Service string
	// Prompt is the parts of the prompt in order; empty for services without prompts.
	Prompt []routing.PromptPart
	// Tokens is the size of the prompt plus the maximum output; 0 means unknown.
	Tokens  int
	Arrived time.Time
	// ArrivedMark is Arrived by a clock that includes suspension; zero means the time at
	// which Serve is called.
	ArrivedMark boottime.Mark
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// LastEvent is the last event of the stream that the caller has received; 0 means
	// none.
	LastEvent int64
	// Resumes is the id of the caller's earlier request that received the stream's first
	// event; empty means that the caller names none.
	Resumes string

	// pin restricts the rest of a stream to one software version.
	pin softwarePin
}

// tenantName returns the tenant's name as sent to backends; empty means none.
func (r *Request) tenantName() string {
	if r.Tenant == nil {
		return ""
	}
	return r.Tenant.Name
}

// fingerprint identifies the request's content, independent of its id.
func (r *Request) fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(r.Method, r.Target, r.tenantName(), r.Body)
}

// Attempt is one dispatch of a request to a backend.
type Attempt struct {
	Instance backend.Instance
	// Tenant is the name of the tenant; empty means none.
	Tenant string
	// MaxConnections bounds this daemon's connections to the backend.
	MaxConnections int
	ID             string
	// Fingerprint identifies the request's content, independent of its id.
	Fingerprint quarantine.Fingerprint
	// Parts identify the parts of the prompt.
	Parts quarantine.Parts
	// IsItem is set for an item of a job. Items don't crash backends by themselves: a crash is
	// no evidence against them, and they are not refused because of a quarantine.
	IsItem bool
	Method string
	Target string
	Host   string
	Fields []Field
	Body   []byte
	// Remaining is the time within which the backend has to answer.
	Remaining time.Duration
	// TimeLeft returns the current value of Remaining, which changes while a connection is
	// made or the machine is suspended. Nil means that Remaining is final.
	TimeLeft func() time.Duration
	// LastEvent is the event after which a stream resumes; 0 means from the start.
	LastEvent int64
	// Software is the software version at which a stream that resumes began.
	Software string
	// Stream is set if the answer is expected to be a series of events.
	Stream bool
	// Reservation names the reservation at the backend; empty means none.
	Reservation string
	// Permit is called once the connection is made, just before the first byte is sent. An
	// error, which is an *AttemptError, cancels the attempt. Nil permits it.
	Permit func() error
}

// CheckSendable returns an error, which is an *AttemptError, if the attempt must no longer
// be sent: its context has ended, its time has run out, or its permit is refused. It also
// updates Remaining. Senders call it just before the first byte, since time passes while a
// connection is made.
func (a *Attempt) CheckSendable(ctx context.Context) error {
	if ctx.Err() != nil {
		return &AttemptError{Outcome: OutcomeNotRun, Reason: ReasonRequestEnded, Cause: ctx.Err()}
	}
	if a.TimeLeft != nil {
		a.Remaining = min(a.Remaining, a.TimeLeft())
		if a.Remaining < minRemaining {
			return &AttemptError{Outcome: OutcomeNotRun, Reason: ReasonRequestEnded}
		}
	}
	if a.Permit == nil {
		return nil
	}
	return a.Permit()
}

// isAtOtherSoftware reports whether the attempt resumes a stream at a backend that is not known to
// have the software version at which the stream began.
func (a *Attempt) isAtOtherSoftware() bool {
	return a.Stream && a.LastEvent > 0 && (a.Software == "" || a.Software != a.Instance.Version)
}

// Head is the status and header of an answer.
type Head struct {
	Status int
	Fields []Field
	// Signed is set if the backend signed the answer.
	Signed bool
	// Events is set if the body is a series of events.
	Events bool
}

// Successful reports whether the status is a success.
func (h Head) Successful() bool { return h.Status >= 200 && h.Status < 300 }

// Event is one complete event of a stream.
type Event struct {
	// ID increases by one from event to event.
	ID int64
	// Raw is the event as the backend sent it, including its empty line. It is valid until
	// the next call.
	Raw []byte
	// Data is the event's data without the field name. It is valid until the next call.
	Data []byte
}

// Answer is a backend's answer whose head has been read.
type Answer interface {
	Head() Head
	// Load returns the load that the backend reported with the answer.
	Load() (backend.Report, bool)
	// Body reads the rest of an answer that is not a series of events.
	Body() ([]byte, error)
	// Next returns the next event of a stream and EndingNone, or after the last one EndingWhole or
	// EndingPresumedWhole. An error, which is an *AttemptError, means that the stream was broken
	// off, whatever caused it.
	Next() (Event, Ending, error)
	// Transfer returns what was received so far.
	Transfer() Transfer
	// Detach releases the connection to the backend and aborts the answer if it has not
	// ended. What was read remains valid.
	Detach()
	// Close aborts the answer if it has not ended, which stops the backend's work. What
	// was read no longer counts as memory in use.
	Close()
}

// LongAnswer is an Answer that may wait for memory before its body is read.
type LongAnswer interface {
	// IsLong reports whether the body has to wait until it fits.
	IsLong() bool
	// Reserve takes the memory for the body. An error is an *AttemptError.
	Reserve() error
}

// Sender sends attempts to backends. An error is an *AttemptError. The answer is aborted
// when the context ends.
type Sender interface {
	Send(ctx context.Context, attempt Attempt) (Answer, error)
}

// Connector is a Sender that keeps connections to backends.
type Connector interface {
	// Connected returns the backend incarnations to which an idle connection is open.
	Connected() map[backend.Incarnation]bool
	// Exhausted returns the backend incarnations to which no request can be sent now, given the
	// maximum number of connections to each.
	Exhausted(limit int) map[backend.Incarnation]bool
}

// Responder sends the answer to the caller. Exactly one of Whole, Refuse, Finish and Abort
// ends it; Begin and Event precede Finish or Abort.
type Responder interface {
	// Begin sends the head of a stream, Event one event, and Finish the end.
	Begin(head Head) error
	Event(raw []byte) error
	Finish() error
	// Whole sends a complete answer that is not a stream.
	Whole(head Head, body []byte) error
	// Refuse sends an answer of the daemon's own.
	Refuse(refusal Refusal) error
	// Abort closes the connection so that the answer is not taken for a complete one.
	Abort()
}

// Outcome says whether an attempt without an answer ran.
type Outcome uint8

// The outcomes of attempts without an answer.
const (
	// OutcomeNotRun means that the backend did not run the request and never will.
	OutcomeNotRun Outcome = iota
	// OutcomeFailed means that the backend ran the request and failed.
	OutcomeFailed
	// OutcomeUnknown means that the request was sent and its outcome is unknown.
	OutcomeUnknown
)

// String returns the name used in logs.
func (o Outcome) String() string { return [...]string{"not_run", "failed", "unknown"}[o] }

// Reason says why an attempt gave no answer.
type Reason string

// The reasons for which attempts give no answer.
const (
	ReasonUnreachable Reason = "unreachable"
	ReasonRefused     Reason = "refused"
	// ReasonOtherInstance means that another instance answered at the backend's address.
	ReasonOtherInstance Reason = "other_instance"
	// ReasonNoConnection means that all allowed connections to the backend are in use.
	ReasonNoConnection Reason = "no_connection"
	// ReasonLeft means that the backend left while a connection was made.
	ReasonLeft Reason = "left"
	// ReasonBroken means that the connection broke before the answer was complete.
	ReasonBroken Reason = "broken"
	// ReasonCorrupt means that the answer is invalid.
	ReasonCorrupt Reason = "spoiled"
	// ReasonSilent means that the backend did not respond within its timeout.
	ReasonSilent Reason = "silent"
	// ReasonRequestEnded means that the caller disconnected or the deadline passed.
	ReasonRequestEnded Reason = "ended"
	// ReasonError means that the backend answered with a failure status, or not with the
	// expected stream.
	ReasonError Reason = "error"
	// ReasonStatus means that the backend answered with a status that says nothing of the request.
	ReasonStatus Reason = "status"
	// ReasonNoSlot means that the backend made no reservation.
	ReasonNoSlot Reason = "no_place"
	// ReasonOtherSoftware means that the backend does not have the software version at which
	// the stream began.
	ReasonOtherSoftware Reason = "other_software"
	// ReasonOriginUnknown means that it is not certain where a stream that the caller resumes
	// began, or that the route has left the service.
	ReasonOriginUnknown Reason = "origin_unknown"
	// ReasonPermitRefused means that Permit refused the attempt.
	ReasonPermitRefused Reason = "withheld"
	// ReasonMalformed means that the attempt cannot be written as one request.
	ReasonMalformed Reason = "malformed"
	// ReasonQuarantined means that the request crashed backends and is not sent to others.
	ReasonQuarantined Reason = "quarantined"
	// ReasonBudget means that a further attempt was allowed but the retry budget is spent.
	ReasonBudget Reason = "retry_budget_spent"
	// ReasonMemory means that this daemon had no memory for the answer. The backend is sound.
	ReasonMemory Reason = "memory_full"
	// ReasonStopping means that the daemon stops and the request does not end before that.
	ReasonStopping Reason = "stopping"
)

// AttemptError is the error of an attempt that gave no answer.
type AttemptError struct {
	Outcome Outcome
	Reason  Reason
	// Cause is for logs. It is not part of the error's chain: what ended a connection does not
	// say how the attempt ended.
	Cause error
	// Receipt is for logs, too: what was received before the attempt failed, if no answer to it was
	// returned.
	Receipt Receipt
}

// because returns the error with another reason; the one before is the cause.
func (e *AttemptError) because(reason Reason) *AttemptError {
	return &AttemptError{Outcome: e.Outcome, Reason: reason, Cause: e, Receipt: e.Receipt}
}

// ReceiptOf returns the receipt of a failed attempt; the zero value if err is none.
func ReceiptOf(err error) Receipt {
	var failed *AttemptError
	if errors.As(err, &failed) {
		return failed.Receipt
	}
	return Receipt{}
}

// Error implements error.
func (e *AttemptError) Error() string {
	text := "attempt " + e.Outcome.String() + ": " + string(e.Reason)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Verdict is the daemon's own answer to a caller, given when no backend's answer is passed
// on.
type Verdict uint8

// The verdicts.
const (
	// VerdictNotRun promises that the request did not run and never will.
	VerdictNotRun Verdict = iota
	// VerdictUnknown means that the request may have run.
	VerdictUnknown
	// VerdictTimeout means that the time ran out; the request may have run.
	VerdictTimeout
	// VerdictNoRoute means that no configured route matches the request.
	VerdictNoRoute
	// VerdictInvalid means that the request is malformed.
	VerdictInvalid
	// VerdictTooLarge means that the body exceeds the limit.
	VerdictTooLarge
	// VerdictHeaderTooLarge means that the header exceeds the limit.
	VerdictHeaderTooLarge
	// VerdictHeaderTimeout means that the request was not received within the header
	// timeout.
	VerdictHeaderTimeout
	// VerdictOverQuota means that the quota of waiting work is used up. It promises the
	// same as VerdictNotRun.
	VerdictOverQuota
	// VerdictOverRate means that the tenant's limit is used up. It promises the same as
	// VerdictNotRun.
	VerdictOverRate
	// VerdictUnauthorized means that the call carries no known key.
	VerdictUnauthorized
	// VerdictQuarantined means that the request crashed backends and is not sent to any
	// until the retry delay has passed. It promises the same as VerdictNotRun, but for this
	// call only.
	VerdictQuarantined
)

// String returns the name used in logs and metrics.
func (v Verdict) String() string {
	return [...]string{"not_run", "unknown", "timeout", "no_route", "invalid", "too_large", "header_too_large", "header_timeout", "over_quota", "over_rate", "unauthorized", "quarantined"}[v]
}

// CodePanic is the code of requests that ended with a programming error of the daemon.
const CodePanic = "internal_error"

// Refusal is an answer that the daemon makes itself.
type Refusal struct {
	Verdict Verdict
	// RetryAfter is the time after which the caller should retry; 0 means no advice.
	RetryAfter time.Duration
	// Code names the exact cause.
	Code string
}
