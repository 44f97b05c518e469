package serving

import (
	"context"
	"time"

	"topazpulley/internal/periodic"
	"topazpulley/internal/routing"
	"topazpulley/internal/slotqueue"
)

// A request for which no backend has a free slot waits in the daemon and repeats its
// reservation attempts at different backends. Queueing at one backend would bind it to
// that backend's slots while others become free elsewhere.
//
// Requests close to their objective try more often than overdue ones. Overdue requests
// also yield to requests that can still be on time, according to the queue stats of all
// daemons (package slotqueue).
const (
	// queueAfterObjectives is the multiple of the objective after which a request stops
	// waiting for a slot and queues at a backend. maxSlotWait bounds that time; it is
	// below the time after which callers abandon a stream without events.
	queueAfterObjectives = 4
	maxSlotWait          = 1500 * time.Millisecond
	// attemptsPerRound is the number of reservation attempts after which backends that had
	// no slot may be tried again.
	attemptsPerRound = 8
)

// reservedSlot is a reservation that a backend has made for the request.
type reservedSlot struct {
	candidate routing.Candidate
	name      string
}

// mustWaitForSlot reports whether the request has to wait for a slot because enough
// backends had none.
func (e *exchange) mustWaitForSlot() bool {
	return e.reserved.name == "" && !e.isQueued && e.reservesSlots() && e.noSlotCount >= attemptedBackends(e.backendCount())
}

// waitForSlot attempts reservations until one succeeds, or until the request is rejected,
// is quarantined or has to queue at a backend.
func (e *exchange) waitForSlot(ctx context.Context) {
	started := time.Now()
	defer func() { e.waited += time.Since(started) }()
	onTimeUntil := e.onTimeUntil(started)
	waiting := e.core.Backends.TrackWaiting(e.request.Service, onTimeUntil)
	defer waiting.Done()
	latest := e.slotWaitBegan(started).Add(min(e.request.Route.Objective*queueAfterObjectives, maxSlotWait))
	attempts := 0
	for e.waitForAttempt(ctx, onTimeUntil, latest) {
		if _, isQuarantined := e.quarantined(); isQuarantined {
			return
		}
		if !time.Now().Before(latest) {
			break
		}
		if attempts%attemptsPerRound == 0 {
			clear(e.excluded)
		}
		attempts++
		if e.tryReserve(ctx) {
			return
		}
	}
	if ctx.Err() == nil && e.rejectIfOverloaded() {
		return
	}
	e.isQueued = true
	clear(e.excluded)
}

// slotWaitBegan returns when the time for which the request waits for a slot began: when it arrived,
// or when an answer that has begun needed another backend.
func (e *exchange) slotWaitBegan(now time.Time) time.Time {
	if e.hasBegun {
		return now
	}
	return e.request.Arrived
}

// maxRejectRetryAfter bounds the retry delay of rejected requests: it is derived from
// the slots freed in the last second, and the free capacity can change quickly.
const maxRejectRetryAfter = 3 * time.Second

// rejectIfOverloaded decides, after the longest wait for a slot, whether the request is
// rejected. If it queued at a backend instead, it would get a slot there before requests
// that can still be on time. It does not reject a stream of which the caller has received
// a part, or a request that may have run, since its caller could not be promised that it
// did not run.
func (e *exchange) rejectIfOverloaded() bool {
	if !e.core.OrdersWaiting || e.lastEvent > 0 || e.ran.MayHaveRun() {
		return false
	}
	fleet := e.core.Backends.FleetQueueStats(e.request.Service, time.Now())
	if !fleet.IsOverloaded(e.request.Route.Objective) || e.mayPreempt() {
		return false
	}
	e.rejectRetryAfter = min(max(fleet.DrainTime(), retryAfterFull), maxRejectRetryAfter)
	e.core.Metrics.TurnedAway.WithLabelValues(e.request.Service).Inc()
	e.core.Logger.Info("request_turned_away", "id", e.request.ID, "service", e.request.Service, "fleet_in_time", fleet.OnTime,
		"fleet_late", fleet.Overdue, "fleet_freed", fleet.FreedSlots, "retry_after_ms", e.rejectRetryAfter.Milliseconds(), "unplaced", e.noSlotCount)
	return true
}

// onTimeUntil returns the latest time at which a slot lets the request be on time. For a
// stream of which the caller has received a part, the objective applies to the pause that
// begins now.
func (e *exchange) onTimeUntil(now time.Time) time.Time {
	objective := e.request.Route.Objective
	if !e.core.OrdersWaiting {
		return e.request.Arrived.Add(objective)
	}
	from := e.request.Arrived
	if e.lastEvent > 0 {
		from = now
	}
	return from.Add(objective - e.core.Backends.FirstOutputTime(e.request.Service, objective))
}

// waitForAttempt waits until the next reservation attempt is due, or until the given
// latest time. It reports false when the context ends.
func (e *exchange) waitForAttempt(ctx context.Context, onTimeUntil, latest time.Time) bool {
	since := time.Now()
	for {
		now := time.Now()
		remaining := since.Add(e.attemptPause(now, onTimeUntil)).Sub(now)
		if remaining <= 0 {
			return ctx.Err() == nil
		}
		pause := min(remaining, slotqueue.OverduePause)
		if untilLatest := latest.Sub(now); untilLatest < pause {
			return periodic.Sleep(ctx, max(untilLatest, 0))
		}
		if !periodic.SleepAbout(ctx, pause) {
			return false
		}
		if remaining <= slotqueue.OverduePause {
			return true
		}
	}
}

// attemptPause returns the pause before the next reservation attempt.
func (e *exchange) attemptPause(now, onTimeUntil time.Time) time.Duration {
	request := slotqueue.Request{Remaining: onTimeUntil.Sub(now)}
	if !e.core.OrdersWaiting || !request.IsOverdue() {
		return slotqueue.PauseWithoutStats(request)
	}
	fleet := e.core.Backends.FleetQueueStats(e.request.Service, now)
	pause := slotqueue.Pause(request, fleet)
	if !e.isDeprioritized {
		e.recordDeprioritized(request, fleet, pause)
	}
	return pause
}

// recordDeprioritized logs and counts, once, that the request is overdue and yields to
// requests that can be on time.
func (e *exchange) recordDeprioritized(request slotqueue.Request, fleet slotqueue.Stats, pause time.Duration) {
	e.isDeprioritized = true
	e.core.Metrics.Behind.WithLabelValues(e.request.Service).Inc()
	e.core.Logger.Info("request_behind", "id", e.request.ID, "service", e.request.Service, "late_ms", -request.Remaining.Milliseconds(),
		"fleet_in_time", fleet.OnTime, "fleet_late", fleet.Overdue, "fleet_freed", fleet.FreedSlots, "pause_ms", pause.Milliseconds(), "unplaced", e.noSlotCount)
}

// mayPreempt reports whether the backend that would be chosen runs a batch item that can
// be preempted. Online requests are not rejected while that is so.
func (e *exchange) mayPreempt() bool {
	chosen, found := e.core.pick(&e.request, nil, preemptAnywhere)
	return found && chosen.Batch > 0
}

// preemptForSlot preempts one batch item at the backend that would be chosen.
func (e *exchange) preemptForSlot() {
	chosen, found := e.core.pick(&e.request, e.excluded, preemptAnywhere)
	if found && chosen.Batch > 0 {
		e.preemptAt(chosen)
	}
}

// tryReserve attempts a reservation at one backend and reports whether it succeeded.
func (e *exchange) tryReserve(ctx context.Context) bool {
	chosen, found := e.core.pick(&e.request, e.excluded, preemptAnywhere)
	if !found {
		clear(e.excluded)
		return false
	}
	e.excluded[chosen.ID] = true
	return e.reserveAt(ctx, chosen)
}

// reserveAt attempts a reservation at a backend, stores it in reserved and reports whether it
// succeeded.
func (e *exchange) reserveAt(ctx context.Context, chosen routing.Candidate) bool {
	instance, found := e.core.Backends.Get(chosen.ID)
	if !found {
		return false
	}
	attempt := Attempt{Instance: instance, Fingerprint: e.fingerprint, Parts: e.parts, MaxConnections: e.core.ConnectionShare(e.request.Service)}
	if err := Reserve(ctx, e.core.Sender, e.core.Holder.Current(), &attempt, e.request.Tokens); err != nil {
		e.recordNoSlot()
		if reason := attemptError(err).Reason; reason != ReasonRefused && ctx.Err() == nil {
			RecordFailure(e.core.Backends, instance.Incarnation(), reason, time.Now())
		}
		return false
	}
	chosen.StartMillis = instance.StartMillis // the backend may have restarted since it was chosen
	e.reserved = reservedSlot{candidate: chosen, name: attempt.Reservation}
	return attempt.Reservation != ""
}
