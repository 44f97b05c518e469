package serving

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"topazpulley/internal/backend"
	"topazpulley/internal/boottime"
	"topazpulley/internal/periodic"
	"topazpulley/internal/quarantine"
	"topazpulley/internal/ratelimit"
	"topazpulley/internal/route"
	"topazpulley/internal/routing"
	"topazpulley/internal/runrecord"
)

const (
	// maxSends bounds the attempts of one request, including those that backends refuse.
	maxSends = 8
	// refusalPause is the pause before backends are tried again when all have refused.
	refusalPause = 40 * time.Millisecond
	// eventTimeout is the longest pause between the events of a resumable stream.
	eventTimeout = 1500 * time.Millisecond
	// retryAfterFull is the retry delay when backends failed or refused the request,
	// and retryAfterNone when none can be chosen.
	retryAfterFull = 300 * time.Millisecond
	retryAfterNone = 500 * time.Millisecond
	// codeOverloaded means that requests that can be on time need all slots.
	codeOverloaded = "no_place_in_time"
	// minRemaining is the least remaining time for which an attempt is made.
	minRemaining = 5 * time.Millisecond
)

// exchange is the state of one request while it is served. It is used by one goroutine; a search for
// a successor of a silent attempt works on a copy.
type exchange struct {
	core      *Core
	request   Request
	responder Responder
	caller    context.Context
	end       time.Time
	// arrived is the arrival time by a clock that includes suspension.
	arrived boottime.Mark
	// readAt is when the request had been read completely.
	readAt time.Time

	// excluded are the ids of the backends that are not chosen for the next attempt.
	excluded map[string]bool
	// silent are the ids of the backends that fell silent on this request. No successor is sought
	// among them.
	silent map[string]bool
	sends  int
	// runs counts the runs that count toward the route's maximum; ran records whether any
	// attempt may have run.
	runs int
	ran  runrecord.Record
	// lastSend is the attempt whose answer is awaited; zero if it is not sent.
	lastSend runrecord.Send
	hasBegun bool
	// fingerprint identifies the request's content, independent of its id.
	fingerprint quarantine.Fingerprint
	// parts identify the parts of the prompt.
	parts     quarantine.Parts
	lastEvent int64
	// origin is the software version of the backend that sent the stream's first event;
	// empty if no event was received or the version is unknown.
	origin  string
	events  int
	firstAt time.Time
	// eventAt is when the last event was received.
	eventAt time.Time

	// noSlotCount counts the backends that had no slot for the request; waited is the
	// total time that it waited for a slot.
	noSlotCount int
	waited      time.Duration
	// isDeprioritized is set when the request is overdue and yields to requests that can
	// be on time.
	isDeprioritized bool
	// rejectRetryAfter is the retry delay of a request that is rejected due to
	// overload; 0 if it is not rejected.
	rejectRetryAfter time.Duration
	// reservedAt is when the last attempt was sent with a reservation; zero if it had
	// none.
	reservedAt time.Time
	// reserved is a reservation made during the wait for a slot and not used yet.
	reserved reservedSlot
	// isQueued is set when the request no longer waits for a slot here but is sent to
	// queue at a backend.
	isQueued bool

	// successor has taken the request over from the last attempt; nil if none has.
	successor *successor
	// search is the search that works on this copy; nil for the exchange itself.
	search *search

	// admission is the decision on the request's tenant limit.
	admission ratelimit.Decision

	// attemptedAt is when the last attempt began.
	attemptedAt time.Time

	// last is the backend of the last attempt, and cost its routing candidate.
	last    backend.Instance
	cost    routing.Candidate
	reason  Reason
	outcome string
	// transfer is what was received of the last attempt's answer.
	transfer Transfer
}

// run makes attempts until the request has its final answer.
func (e *exchange) run(ctx context.Context) {
	for {
		if e.refuseQuarantined() {
			return
		}
		if e.mustWaitForSlot() {
			e.waitForSlot(ctx)
		}
		if e.refuseStopping() {
			return
		}
		if e.rejectRetryAfter > 0 {
			e.reason = ReasonNoSlot
			e.giveUp(e.rejectRetryAfter, codeOverloaded)
			return
		}
		lease, chosen, found := e.target()
		if !found && e.lacksSoftware() {
			e.reason = ReasonOtherSoftware
			e.giveUp(retryAfterNone, codeNoSoftware)
			return
		}
		if !found {
			if e.waitForBackend(ctx) {
				continue
			}
			e.giveUp(retryAfterNone, e.codeWithoutBackend())
			return
		}
		e.last, e.cost = lease.Instance(), chosen
		if e.reserved.name == "" {
			e.preempt()
		}
		err := e.attempt(ctx, lease)
		if err == nil {
			return
		}
		if isNoSlot(err) {
			e.excluded[e.last.ID] = true
			continue
		}
		if e.takeOver(err) {
			continue
		}
		if !e.mayRetry(ctx, err) {
			if e.refuseQuarantined() {
				return
			}
			e.giveUp(retryAfterFull, string(e.reason))
			return
		}
	}
}

// codeNoBackend means that no backend can be chosen.
const codeNoBackend = "no_back_end"

// codeWithoutBackend returns why no backend can be chosen.
func (e *exchange) codeWithoutBackend() string {
	if e.core.HasConnection(e.request.Service) {
		return codeNoBackend
	}
	e.reason = ReasonNoConnection
	return string(ReasonNoConnection)
}

// target picks the backend for the next attempt and acquires a lease on it.
func (e *exchange) target() (*backend.Lease, routing.Candidate, bool) {
	if e.reserved.name == "" {
		return e.core.choose(&e.request, e.excluded, e.allowedPreemption())
	}
	candidate := e.reserved.candidate
	lease, found := e.core.Backends.AcquireIncarnation(backend.Incarnation{ID: candidate.ID, StartMillis: candidate.StartMillis}, backend.Online, e.request.Prompt)
	if !found {
		e.reserved = reservedSlot{} // the backend left or restarted: the reservation is lost
	}
	return lease, candidate, found
}

// waitForBackend pauses when no backend can be chosen and reports whether to try again.
func (e *exchange) waitForBackend(ctx context.Context) bool {
	if !e.hasBegun && e.core.Backends.IsEvacuated(e.request.Service) {
		return false // an evacuation takes longer than callers wait
	}
	latest := e.request.Arrived.Add(e.request.Route.Objective)
	if len(e.excluded) == 0 {
		// No backend is excluded, so none is available: refuse early so that the caller
		// can retry.
		latest = e.request.Arrived.Add(e.request.Route.Objective / 4)
	}
	if e.outlivesRefusals() {
		latest = e.end
	}
	if time.Now().After(latest) || e.runs >= e.request.Route.MaxAttempts {
		return false
	}
	if !periodic.Sleep(ctx, refusalPause) {
		return false
	}
	e.resetExcluded()
	return true
}

// outlivesRefusals reports whether the request is not given up because backends refuse it: its answer
// has begun, or it was taken from a silent attempt, which might have gone on.
func (e *exchange) outlivesRefusals() bool { return e.hasBegun || len(e.silent) > 0 }

// resetExcluded makes backends eligible again. With the last run, those that fell silent on the
// request remain excluded if there are others: nothing may replace that run.
func (e *exchange) resetExcluded() {
	clear(e.excluded)
	if len(e.silent) == 0 || e.runs+1 < e.request.Route.MaxAttempts {
		return
	}
	e.excludeSilent()
	if _, found := e.core.pick(&e.request, e.excluded, e.allowedPreemption()); !found {
		clear(e.excluded)
	}
}

// remaining returns the time until the caller's deadline, less the time during which the
// machine was suspended.
func (e *exchange) remaining() time.Duration {
	return time.Until(e.end) - e.core.Clock.SleptSince(e.arrived)
}

// attempt sends the request to one backend and releases the lease. It returns nil when the request
// has its final answer.
func (e *exchange) attempt(ctx context.Context, lease *backend.Lease) error {
	e.transfer, e.lastSend = Transfer{}, 0 // nothing of an earlier attempt
	defer lease.Release()
	if e.remaining() < minRemaining {
		return &AttemptError{Outcome: OutcomeNotRun, Reason: ReasonRequestEnded}
	}
	attempt := e.newAttempt()
	if e.reserved.name != "" {
		attempt.Reservation, e.reserved = e.reserved.name, reservedSlot{}
	} else if err := e.reserve(ctx, &attempt); err != nil {
		return err
	}
	e.reservedAt = time.Time{}
	if attempt.Reservation != "" {
		e.reservedAt = time.Now()
	}
	err := e.exchangeWith(ctx, attempt, lease)
	for err != nil && e.successor != nil && e.successor.beside != nil {
		lease.Release() // the silent backend: its attempt has ended
		err = e.continueBeside(ctx, err)
	}
	return err
}

// exchangeWith sends an attempt and passes its answer to the caller. It returns nil when the request
// has its final answer.
func (e *exchange) exchangeWith(ctx context.Context, attempt Attempt, lease *backend.Lease) error {
	e.countSend(&attempt)
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	e.attemptedAt = time.Now()
	return e.exchangeOver(ctx, lease, cancel, func() (Answer, error) { return e.core.Sender.Send(bounded, attempt) })
}

// exchangeOver waits for the answer to an attempt and passes it to the caller. cancel ends the
// attempt. It returns nil when the request has its final answer.
func (e *exchange) exchangeOver(ctx context.Context, lease *backend.Lease, cancel context.CancelFunc, await func() (Answer, error)) error {
	e.transfer = Transfer{}
	waiting := e.startStandby(ctx, cancel)
	answer, err := await()
	if err != nil {
		err = e.explain(waiting, err)
		e.transfer.Receipt = ReceiptOf(err)
		if attemptError(err).Outcome == OutcomeNotRun {
			e.ran.NeverRan(e.lastSend)
		}
		e.recordAttemptFailure(err)
		return err
	}
	defer answer.Close()
	return e.receive(ctx, answer, lease, waiting)
}

// newAttempt returns the next attempt, without a reservation, at the last chosen backend.
func (e *exchange) newAttempt() Attempt {
	return Attempt{
		Instance: e.last, Tenant: e.request.tenantName(), MaxConnections: e.core.ConnectionShare(e.request.Service),
		ID: e.request.ID, Fingerprint: e.fingerprint, Parts: e.parts, Method: e.request.Method, Target: e.request.Target, Host: e.request.Host,
		Fields: e.request.Fields, Body: e.request.Body, Remaining: e.remaining(), TimeLeft: e.remaining,
		LastEvent: e.lastEvent, Software: e.request.pin.version, Stream: e.request.Route.Kind == route.KindStream,
	}
}

// countSend counts an attempt that is about to be sent and makes it log its first byte.
func (e *exchange) countSend(attempt *Attempt) {
	attempt.Permit = func() error {
		e.logSent(attempt)
		CountContinuation(e.core.Metrics, attempt, e.origin)
		return nil
	}
	e.sends++
	e.lastSend = e.ran.Sent()
}

// receive passes an answer to the caller. It returns nil when the request has its final answer.
func (e *exchange) receive(ctx context.Context, answer Answer, lease *backend.Lease, waiting *standby) error {
	if report, found := answer.Load(); found {
		e.core.Backends.RecordReport(e.last.Incarnation(), report, time.Now())
	}
	var err error
	if answer.Head().Events && answer.Head().Successful() {
		err = e.relay(ctx, answer, lease, waiting)
	} else {
		err = e.passComplete(answer, lease, waiting)
	}
	if err != nil {
		err = e.explain(waiting, err) // ends a search, which works on a copy of the exchange
	}
	e.transfer = answer.Transfer()
	if err != nil {
		e.recordAttemptFailure(err)
	}
	return err
}

// takeOver makes the successor of a silent attempt, if there is one, the next to be sent to.
func (e *exchange) takeOver(err error) bool {
	if e.successor == nil {
		return false
	}
	e.reserved = e.successor.reserved
	e.leaveSilent(err)
	return true
}

// leaveSilent counts the run of an attempt that a successor has replaced. Backends that refused the
// request before the silence are eligible again, as they were for the search.
func (e *exchange) leaveSilent(err error) {
	e.successor = nil
	e.silent[e.last.ID] = true
	e.excludeSilent()
	if attemptError(err).Outcome != OutcomeNotRun {
		e.runs++
		e.chargeRun()
	}
	e.avoidSilentZone()
}

// explain ends the wait for output of a failed attempt. If a successor has taken the request over,
// which ended the attempt, it replaces the error by one with ReasonSilent. An attempt that was not
// sent keeps its error: it has not run.
func (e *exchange) explain(waiting *standby, err error) error {
	waiting.failed()
	e.successor = waiting.takeSuccessor()
	if e.successor == nil || attemptError(err).Outcome == OutcomeNotRun {
		return err
	}
	return &AttemptError{Outcome: OutcomeUnknown, Reason: ReasonSilent, Cause: err, Receipt: ReceiptOf(err)}
}

// recordAttemptFailure records a failed attempt against its backend, unless the caller has
// disconnected.
func (e *exchange) recordAttemptFailure(err error) {
	failed := attemptError(err)
	if e.core.Stop.HasEnded() {
		failed = failed.because(ReasonStopping)
	}
	e.reason = failed.Reason
	if e.caller.Err() != nil {
		return
	}
	if failed.Reason != ReasonSilent { // charged when the silence began
		RecordFailure(e.core.Backends, e.last.Incarnation(), failed.Reason, time.Now())
	}
	e.core.Metrics.Attempts.WithLabelValues(failed.Outcome.String(), string(failed.Reason)).Inc()
	e.core.Logger.Info("attempt_failed", "id", e.request.ID, "backend", e.last.ID, "software", e.last.Version, "attempt", int(e.lastSend), "outcome", failed.Outcome.String(),
		"reason", string(failed.Reason), "cause", failed.Cause, "answer", e.transfer, "last_event", e.lastEvent, "fingerprint", e.fingerprint.String(), "parts", e.parts)
}

// RecordFailure records a failed attempt against the backend's health.
func RecordFailure(backends *backend.Set, incarnation backend.Incarnation, reason Reason, now time.Time) {
	switch reason {
	case ReasonUnreachable:
		backends.Unreachable(incarnation, now)
	case ReasonBroken, ReasonCorrupt, ReasonSilent, ReasonError:
		backends.Failed(incarnation, now)
	case ReasonOtherInstance:
		backends.RemoveIncarnation(incarnation)
	}
}

func attemptError(err error) *AttemptError {
	var failed *AttemptError
	if errors.As(err, &failed) {
		return failed
	}
	return &AttemptError{Outcome: OutcomeUnknown, Reason: ReasonBroken, Cause: err}
}

// mayRetry decides after a failed attempt whether the request is sent to another backend. The
// bounds on retries keep load low and end in a refusal. An answer that has begun cannot be refused
// any more, and a request that was taken from a silent attempt may have run: they are bounded by the
// route's maximum of runs and by their time only.
func (e *exchange) mayRetry(ctx context.Context, err error) bool {
	failed := attemptError(err)
	e.reason = failed.Reason
	e.excluded[e.last.ID] = true
	if failed.Outcome != OutcomeNotRun && e.countsAsRun(failed) {
		e.runs++
	}
	if failed.Reason == ReasonQuarantined || ctx.Err() != nil || e.remaining() < minRemaining {
		return false
	}
	isAllowed := failed.Outcome == OutcomeNotRun || (e.request.Route.Repeatable() && e.runs < e.request.Route.MaxAttempts)
	if !isAllowed {
		return false
	}
	if e.outlivesRefusals() {
		e.pace(ctx)
	} else if !e.isWithinRetryBounds(failed) {
		return false
	}
	if failed.Outcome != OutcomeNotRun {
		e.chargeRun()
	}
	return true
}

// isWithinRetryBounds reports whether a request that can still be refused may be sent again.
func (e *exchange) isWithinRetryBounds(failed *AttemptError) bool {
	if e.sends >= maxSends {
		return false
	}
	// An attempt that was not sent has cost no backend anything.
	isUnsent := failed.Reason == ReasonNoConnection || failed.Reason == ReasonLeft
	if !isUnsent && !e.core.retries.Spend() {
		e.reason = ReasonBudget
		return false
	}
	return true
}

// pace pauses before a request that outlives refusals is sent to a further backend, if many have
// refused it.
func (e *exchange) pace(ctx context.Context) {
	e.isQueued = false // wait for a slot again
	if e.sends >= maxSends {
		periodic.SleepAbout(ctx, searchPause(e.sends-maxSends+1))
	}
}

// countsAsRun reports whether a failed attempt counts toward the maximum number of
// attempts. An attempt at a backend that is no longer listed does not.
func (e *exchange) countsAsRun(failed *AttemptError) bool {
	if failed.Reason != ReasonBroken {
		return true
	}
	return e.core.Backends.IsListed(e.last.Incarnation())
}
