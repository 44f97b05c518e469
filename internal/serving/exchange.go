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
	"topazpulley/internal/watchdog"
)

const (
	// maxSends bounds how often one request is offered to backends that
	// refuse it.
	maxSends = 8
	// refusalPause is the pause when all backends refuse.
	refusalPause = 40 * time.Millisecond
	// eventPatience is how long a resumable stream may pause.
	eventPatience  = 1500 * time.Millisecond
	retryAfterFull = 300 * time.Millisecond
	retryAfterNone = 500 * time.Millisecond
	// codeCrowded tells that others, who can be in time, need all places.
	codeCrowded = "no_place_in_time"
	// minimumRemaining is the least time for which an attempt is worth it.
	minimumRemaining = 5 * time.Millisecond
)

// exchange is one request on its way. It is used by one goroutine.
type exchange struct {
	core      *Core
	request   Request
	responder Responder
	caller    context.Context
	end       time.Time
	// arrived is when the request came, by a clock that counts sleep too.
	arrived boottime.Mark

	excluded map[string]bool
	sends    int
	// runs counts the runs that the route's greatest number allows for; ran is what
	// is known of whether any attempt ran.
	runs  int
	ran   runrecord.Record
	begun bool
	// fingerprint identifies the request's content whatever its id.
	fingerprint quarantine.Fingerprint
	lastEvent   int64
	events      int
	firstAt     time.Time

	// unplaced counts the backends that had no place for the request, and waited
	// is how long it waited for one since.
	unplaced int
	waited   time.Duration
	// isBehind tells that the request is late and makes way for those in time.
	isBehind bool
	// turnedAway is when the caller should come back if the request gets no place; 0
	// means that it goes on.
	turnedAway time.Duration
	// placedAt is when the last attempt had a place; zero means that it had none.
	placedAt time.Time
	// held is a place that was found after a wait and is not used yet.
	held heldPlace
	// isQueued tells that the request waits for no place any more, but in a backend's
	// own queue.
	isQueued bool

	// admission is what the request was granted of its tenant's limit.
	admission ratelimit.Decision

	// attemptedAt is when the last attempt began.
	attemptedAt time.Time

	last    backend.Instance
	cost    routing.Candidate
	reason  Reason
	outcome string
}

// run sends attempts until the request has its final answer.
func (e *exchange) run(ctx context.Context) {
	for {
		if e.refuseQuarantined() {
			return
		}
		if e.mustAwaitPlace() {
			e.awaitPlace(ctx)
		}
		if e.turnedAway > 0 {
			e.reason = ReasonNoSlot
			e.giveUp(e.turnedAway, codeCrowded)
			return
		}
		lease, chosen, found := e.target()
		if !found {
			if e.awaitRoom(ctx) {
				continue
			}
			e.giveUp(retryAfterNone, "no_back_end")
			return
		}
		e.last, e.cost = lease.Instance(), chosen
		if e.held.name == "" {
			e.preempt()
		}
		err := e.attempt(ctx, lease)
		lease.Release()
		if err == nil {
			return
		}
		if isUnplaced(err) {
			e.excluded[e.last.ID] = true
			continue
		}
		if !e.mayGoOn(ctx, err) {
			if e.refuseQuarantined() {
				return
			}
			e.giveUp(retryAfterFull, string(e.reason))
			return
		}
	}
}

// target returns the backend to which the request goes next and counts it there.
func (e *exchange) target() (*backend.Lease, routing.Candidate, bool) {
	if e.held.name == "" {
		return e.core.choose(&e.request, e.excluded, e.allowedPreemption())
	}
	candidate := e.held.candidate
	lease, found := e.core.Backends.AcquireIncarnation(backend.Incarnation{ID: candidate.ID, StartMillis: candidate.StartMillis}, backend.Online, e.request.Prompt)
	if !found {
		e.held = heldPlace{} // the backend left with the place, or started again without it
	}
	return lease, candidate, found
}

// awaitRoom waits a moment for backends when none can be chosen and reports
// whether trying again makes sense.
func (e *exchange) awaitRoom(ctx context.Context) bool {
	if !e.begun && e.core.Backends.IsEvacuated(e.request.Service) {
		return false // the operator's order stands for longer than a caller waits
	}
	patience := e.request.Arrived.Add(e.request.Route.Objective)
	if len(e.excluded) == 0 {
		// No backend is known at all: a caller that comes back soon does
		// better than one that waits here.
		patience = e.request.Arrived.Add(e.request.Route.Objective / 4)
	}
	if e.begun {
		patience = e.end
	}
	if time.Now().After(patience) || e.runs >= e.request.Route.MaxAttempts {
		return false
	}
	if !periodic.Sleep(ctx, refusalPause) {
		return false
	}
	clear(e.excluded)
	return true
}

// remaining is how long the caller still waits. Time for which the machine slept
// counts: for the caller it went by.
func (e *exchange) remaining() time.Duration {
	return time.Until(e.end) - e.core.Clock.SleptSince(e.arrived)
}

// attempt sends the request to one backend. It returns nil when the request
// has its final answer.
func (e *exchange) attempt(ctx context.Context, lease *backend.Lease) error {
	remaining := e.remaining()
	if remaining < minimumRemaining {
		return &AttemptError{Outcome: OutcomeNotRun, Reason: ReasonRequestEnded}
	}
	attempt := Attempt{
		Instance: e.last, Tenant: e.request.tenantName(), MaxConnections: e.core.ConnectionShare(e.request.Service),
		ID: e.request.ID, Fingerprint: e.fingerprint, Method: e.request.Method, Target: e.request.Target, Host: e.request.Host,
		Fields: e.request.Fields, Body: e.request.Body, Remaining: remaining, TimeLeft: e.remaining,
		LastEvent: e.lastEvent, Stream: e.request.Route.Kind == route.KindStream,
	}
	if e.held.name != "" {
		attempt.Reservation, e.held = e.held.name, heldPlace{}
	} else if err := e.reserve(ctx, &attempt); err != nil {
		return err
	}
	e.placedAt = time.Time{}
	if attempt.Reservation != "" {
		e.placedAt = time.Now()
	}
	attempt.Permit = func() error {
		e.noteSent(&attempt)
		return nil
	}
	e.sends++
	e.ran.Sent()
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	e.attemptedAt = time.Now()
	watched := e.startWatchdog(cancel)
	defer watched.Stop()
	answer, err := e.core.Sender.Send(bounded, attempt)
	if err != nil {
		err = explain(watched, err)
		if attemptError(err).Outcome == OutcomeNotRun {
			e.ran.NeverRan()
		}
		e.noteFailure(err)
		return err
	}
	defer answer.Close()
	if report, told := answer.Load(); told {
		e.core.Backends.RecordReport(e.last.Incarnation(), report, time.Now())
	}
	if answer.Head().Events && answer.Head().Successful() {
		err = e.relay(answer, lease, watched)
	} else {
		err = e.passWhole(answer, lease, watched)
	}
	if err != nil {
		err = explain(watched, err)
		e.noteFailure(err)
		return err
	}
	return nil
}

// explain names silence as the reason of a failure that a watchdog caused. An
// attempt that never left has not run, whatever ended it.
func explain(watched *watchdog.Watchdog, err error) error {
	if !watched.Fired() || attemptError(err).Outcome == OutcomeNotRun {
		return err
	}
	return &AttemptError{Outcome: OutcomeUnknown, Reason: ReasonSilent, Cause: err}
}

// noteFailure records a failed attempt against its backend.
func (e *exchange) noteFailure(err error) {
	failed := attemptError(err)
	e.reason = failed.Reason
	if e.caller.Err() != nil {
		return
	}
	RecordFailure(e.core.Backends, e.last.Incarnation(), failed.Reason, time.Now())
	e.core.Metrics.Attempts.WithLabelValues(failed.Outcome.String(), string(failed.Reason)).Inc()
	e.core.Logger.Info("attempt_failed", "id", e.request.ID, "backend", e.last.ID, "outcome", failed.Outcome.String(),
		"reason", string(failed.Reason), "cause", failed.Cause, "last_event", e.lastEvent, "fingerprint", e.fingerprint.String())
}

// RecordFailure records a failed attempt against the backend's health.
func RecordFailure(backends *backend.Set, life backend.Incarnation, reason Reason, now time.Time) {
	switch reason {
	case ReasonUnreachable:
		backends.Unreachable(life, now)
	case ReasonBroken, ReasonCorrupt, ReasonSilent, ReasonError:
		backends.Failed(life, now)
	case ReasonOtherInstance:
		backends.RemoveIncarnation(life)
	}
}

func attemptError(err error) *AttemptError {
	var failed *AttemptError
	if errors.As(err, &failed) {
		return failed
	}
	return &AttemptError{Outcome: OutcomeUnknown, Reason: ReasonBroken, Cause: err}
}

// mayGoOn decides after a failed attempt whether another backend may take the
// request.
func (e *exchange) mayGoOn(ctx context.Context, err error) bool {
	failed := attemptError(err)
	e.reason = failed.Reason
	e.excluded[e.last.ID] = true
	if failed.Reason == ReasonSilent && e.core.Patience.PrefersOtherZones() {
		e.avoidZone(e.last.Zone)
	}
	if failed.Outcome != OutcomeNotRun {
		if e.counts(failed) {
			e.runs++
		}
	}
	if failed.Reason == ReasonQuarantined || ctx.Err() != nil || e.sends >= maxSends || e.remaining() < minimumRemaining {
		return false
	}
	isAllowed := failed.Outcome == OutcomeNotRun || (e.request.Route.Repeatable() && e.runs < e.request.Route.MaxAttempts)
	if !isAllowed {
		return false
	}
	if !e.core.retries.Spend() {
		e.reason = ReasonBudget
		return false
	}
	if failed.Outcome != OutcomeNotRun {
		e.chargeRun()
	}
	return true
}

// counts reports whether a failed attempt counts against the greatest number
// of attempts: one at a backend that has ended does not.
func (e *exchange) counts(failed *AttemptError) bool {
	if failed.Reason != ReasonBroken {
		return true
	}
	return e.core.Backends.IsListed(e.last.Incarnation())
}
