package serving

import (
	"context"
	"time"

	"topazpulley/internal/periodic"
	"topazpulley/internal/routing"
	"topazpulley/internal/slotqueue"
)

// While no backend has a place, requests wait here and go on asking, so that a
// place which becomes free anywhere is found by one of them. In the queue of one
// backend a request would wait for the slots of that one only, in the order in
// which requests came: a queue that happens to be long makes it late while slots
// are free elsewhere, and one that is late already keeps later ones from being in
// time. Requests that are near their objective ask more often, those beyond it
// seldom: they have time until their callers leave.
//
// Requests that can no longer be in time step behind those that can, by what all
// daemons tell of their waiting requests (package slotqueue).
const (
	// queueAfter is the multiple of the objective after which a request stops
	// waiting for a place and queues at a backend, and longestAwait the longest
	// time until then: callers leave streams without an event after two seconds or
	// more.
	queueAfter   = 4
	longestAwait = 1500 * time.Millisecond
	// recentAsks is after how many questions a backend may be asked again.
	recentAsks = 8
)

// heldPlace is a place that a backend has set aside for the request.
type heldPlace struct {
	candidate routing.Candidate
	name      string
}

// mustAwaitPlace reports whether backends had no place for the request and it
// waits for one.
func (e *exchange) mustAwaitPlace() bool {
	return e.held.name == "" && !e.isQueued && e.asksForPlaces() && e.unplaced >= questions(e.core.Backends.Count(e.request.Service))
}

// awaitPlace asks backends for a place until one has one, or until it is time to
// queue at one.
func (e *exchange) awaitPlace(ctx context.Context) {
	started := time.Now()
	defer func() { e.waited += time.Since(started) }()
	inTimeUntil := e.inTimeUntil(started)
	waits := e.core.Backends.TrackWaiting(e.request.Service, inTimeUntil)
	defer waits.Done()
	latest := e.request.Arrived.Add(min(e.request.Route.Objective*queueAfter, longestAwait))
	asked := 0
	for e.awaitTurn(ctx, inTimeUntil, latest) {
		if _, isHeld := e.quarantined(); isHeld {
			return
		}
		if !time.Now().Before(latest) {
			break
		}
		if asked%recentAsks == 0 {
			clear(e.excluded)
		}
		asked++
		if e.askForPlace(ctx) {
			return
		}
	}
	if ctx.Err() == nil && e.isTurnedAway() {
		return
	}
	e.isQueued = true
	clear(e.excluded)
}

// longestComeBack bounds the time to come back: what came free in the last second tells
// little of the time beyond, and room returns at once when lost backends do.
const longestComeBack = 3 * time.Second

// isTurnedAway decides, when the request has waited for as long as it may, whether it
// is told so: in the queue of a backend it would get the next place there, before
// requests that can still be in time. A stream of which the caller has a part is not
// turned away, nor is a request that may have run: its caller could not be told that it
// has not.
func (e *exchange) isTurnedAway() bool {
	if !e.core.OrdersWaiting || e.lastEvent > 0 || e.ran.MayHaveRun() {
		return false
	}
	fleet := e.core.Backends.FleetQueueStats(e.request.Service, time.Now())
	if !fleet.IsOverloaded(e.request.Route.Objective) || e.mayPreempt() {
		return false
	}
	e.turnedAway = min(max(fleet.DrainTime(), retryAfterFull), longestComeBack)
	e.core.Metrics.TurnedAway.WithLabelValues(e.request.Service).Inc()
	e.core.Logger.Info("request_turned_away", "id", e.request.ID, "service", e.request.Service, "fleet_in_time", fleet.OnTime,
		"fleet_late", fleet.Overdue, "fleet_freed", fleet.FreedSlots, "retry_after_ms", e.turnedAway.Milliseconds(), "unplaced", e.unplaced)
	return true
}

// inTimeUntil is until when a place lets the request be in time. A stream of which the
// caller has a part was in time: what counts for it is the pause that begins now.
func (e *exchange) inTimeUntil(now time.Time) time.Time {
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

// awaitTurn waits until the request may ask again, or until the latest moment. It
// reports false when the context ends.
func (e *exchange) awaitTurn(ctx context.Context, inTimeUntil, latest time.Time) bool {
	since := time.Now()
	for {
		now := time.Now()
		left := since.Add(e.askPause(now, inTimeUntil)).Sub(now)
		if left <= 0 {
			return ctx.Err() == nil
		}
		nap := min(left, slotqueue.OverduePause)
		if rest := latest.Sub(now); rest < nap {
			return periodic.Sleep(ctx, max(rest, 0))
		}
		if !periodic.SleepAbout(ctx, nap) {
			return false
		}
		if left <= slotqueue.OverduePause {
			return true
		}
	}
}

// askPause is the pause before the next question.
func (e *exchange) askPause(now, inTimeUntil time.Time) time.Duration {
	request := slotqueue.Request{Remaining: inTimeUntil.Sub(now)}
	if !e.core.OrdersWaiting || !request.IsOverdue() {
		return slotqueue.PauseWithoutStats(request)
	}
	fleet := e.core.Backends.FleetQueueStats(e.request.Service, now)
	pause := slotqueue.Pause(request, fleet)
	if !e.isBehind {
		e.noteBehind(request, fleet, pause)
	}
	return pause
}

// noteBehind logs once that the request makes way for those in time.
func (e *exchange) noteBehind(request slotqueue.Request, fleet slotqueue.Stats, pause time.Duration) {
	e.isBehind = true
	e.core.Metrics.Behind.WithLabelValues(e.request.Service).Inc()
	e.core.Logger.Info("request_behind", "id", e.request.ID, "service", e.request.Service, "late_ms", -request.Remaining.Milliseconds(),
		"fleet_in_time", fleet.OnTime, "fleet_late", fleet.Overdue, "fleet_freed", fleet.FreedSlots, "pause_ms", pause.Milliseconds(), "unplaced", e.unplaced)
}

// mayPreempt reports whether batch items are known where the request would go: they give
// way before an online request is turned away.
func (e *exchange) mayPreempt() bool {
	chosen, found := e.core.pick(&e.request, nil, preemptAnywhere)
	return found && chosen.Batch > 0
}

// preemptForPlace has one batch item give way where the request would go.
func (e *exchange) preemptForPlace() {
	chosen, found := e.core.pick(&e.request, e.excluded, preemptAnywhere)
	if found && chosen.Batch > 0 {
		e.preemptAt(chosen)
	}
}

// askForPlace asks one backend and reports whether it set a place aside.
func (e *exchange) askForPlace(ctx context.Context) bool {
	chosen, found := e.core.pick(&e.request, e.excluded, preemptAnywhere)
	if !found {
		clear(e.excluded)
		return false
	}
	e.excluded[chosen.ID] = true
	instance, found := e.core.Backends.Get(chosen.ID)
	if !found {
		return false
	}
	attempt := Attempt{Instance: instance, Fingerprint: e.fingerprint, MaxConnections: e.core.ConnectionShare(e.request.Service)}
	if err := Reserve(ctx, e.core.Sender, e.core.Holder.Current(), &attempt, e.request.Tokens); err != nil {
		e.noteUnplaced()
		if reason := attemptError(err).Reason; reason != ReasonRefused && ctx.Err() == nil {
			RecordFailure(e.core.Backends, instance.Incarnation(), reason, time.Now())
		}
		return false
	}
	chosen.StartMillis = instance.StartMillis // it may have started again since it was chosen
	e.held = heldPlace{candidate: chosen, name: attempt.Reservation}
	return attempt.Reservation != ""
}
