package serving

import (
	"context"
	"time"

	"topazpulley/internal/periodic"
	"topazpulley/internal/routing"
)

// While no back end has a place, requests wait here and go on asking, so that a
// place which becomes free anywhere is found by one of them. In the queue of one
// back end a request would wait for the slots of that one only, in the order in
// which requests came: a queue that happens to be long makes it late while slots
// are free elsewhere, and one that is late already keeps later ones from being in
// time. Requests that are near their objective ask more often, those beyond it
// seldom: they have time until their callers leave.
const (
	// shortestAsk and longestAsk bound the pause between two questions of a
	// request that can still be in time; asksInTime is how many of the present
	// pauses fit into the time that it has left.
	shortestAsk = 5 * time.Millisecond
	longestAsk  = 20 * time.Millisecond
	asksInTime  = 12
	// lateAsk is the pause of a request that is late.
	lateAsk = 80 * time.Millisecond
	// queueAfter is the multiple of the objective after which a request stops
	// waiting for a place and queues at a back end, and longestAwait the longest
	// time until then: callers leave streams without an event after two seconds or
	// more.
	queueAfter   = 4
	longestAwait = 1500 * time.Millisecond
	// recentAsks is after how many questions a back end may be asked again.
	recentAsks = 8
)

// heldPlace is a place that a back end has set aside for the request.
type heldPlace struct {
	candidate routing.Candidate
	name      string
}

// mustAwaitPlace reports whether back ends had no place for the request and it
// waits for one.
func (e *exchange) mustAwaitPlace() bool {
	return e.held.name == "" && !e.isQueued && e.asksForPlaces() && e.unplaced >= questions(e.core.Backends.Count(e.request.Service))
}

// awaitPlace asks back ends for a place until one has one, or until it is time to
// queue at one.
func (e *exchange) awaitPlace(ctx context.Context) {
	started := time.Now()
	defer func() { e.waited += time.Since(started) }()
	latest := e.request.Arrived.Add(min(e.request.Route.Objective*queueAfter, longestAwait))
	asked := 0
	for periodic.SleepAbout(ctx, e.askPause(time.Now())) {
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
	e.isQueued = true
	clear(e.excluded)
}

// askPause is the pause before the next question.
func (e *exchange) askPause(now time.Time) time.Duration {
	left := e.request.Arrived.Add(e.request.Route.Objective).Sub(now)
	if left <= 0 {
		return lateAsk
	}
	return min(max(left/asksInTime, shortestAsk), longestAsk)
}

// preemptForPlace has one batch item give way where the request would go.
func (e *exchange) preemptForPlace() {
	chosen, found := e.core.pick(&e.request, e.excluded, preemptAnywhere)
	if found && chosen.Batch > 0 {
		e.preemptAt(chosen)
	}
}

// askForPlace asks one back end and reports whether it set a place aside.
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
			RecordFailure(e.core.Backends, instance.Life(), reason, time.Now())
		}
		return false
	}
	chosen.Born = instance.Born // it may have started again since it was chosen
	e.held = heldPlace{candidate: chosen, name: attempt.Place}
	return attempt.Place != ""
}
