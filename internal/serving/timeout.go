package serving

import (
	"time"

	"topazpulley/internal/responsetimeout"
	"topazpulley/internal/route"
	"topazpulley/internal/watchdog"
)

const (
	// earlyEndShare is the number of attempts per request that may be ended early for lack
	// of a response, in the long run, and earlyEndReserve the burst beyond it. They bound
	// the additional load on a service that is slow at all backends. The attempts that
	// continue yield response times to learn from.
	earlyEndShare   = 0.1
	earlyEndReserve = 10
)

// Values of the metric's outcome label for an attempt that has passed its early response
// timeout: a successor is sought early, or only later because the budget is spent.
const (
	outcomeEndedEarly = "left"
	outcomeContinued  = "budget_spent"
)

// startWatchdog starts a watchdog that calls seek if the attempt gives no response in time.
// It returns nil if the request may not run again.
func (e *exchange) startWatchdog(seek func()) *watchdog.Watchdog {
	if !e.request.Route.Repeatable() || e.runs+1 >= e.request.Route.MaxAttempts {
		return nil
	}
	kind := e.awaitedResponse()
	timeouts := e.core.ResponseTimes.For(e.request.Service, kind, e.request.Route.Objective)
	pause := eventTimeout
	if kind == responsetimeout.KindComplete {
		pause = timeouts.Latest
	}
	return watchdog.StartEarly(timeouts.Early, timeouts.Latest, pause, func() bool { return e.mayEndEarly(timeouts) }, seek)
}

// awaitedResponse returns the kind of response whose time is measured for the request.
func (e *exchange) awaitedResponse() responsetimeout.Kind {
	if e.request.Route.Kind == route.KindStream {
		return responsetimeout.KindFirstEvent
	}
	return responsetimeout.KindComplete
}

// mayEndEarly decides whether a successor is sought when the early response timeout has
// passed. It runs concurrently with the attempt and reads only fields that do not change
// during it.
func (e *exchange) mayEndEarly(timeouts responsetimeout.Timeouts) bool {
	outcome := outcomeEndedEarly
	if !e.core.earlyEnds.Spend() {
		outcome = outcomeContinued
	}
	e.core.Metrics.Silences.WithLabelValues(e.request.Service, outcome).Inc()
	e.core.Logger.Info("attempt_silent", "id", e.request.ID, "backend", e.last.ID, "zone", e.last.Zone, "outcome", outcome,
		"patience_ms", timeouts.Early.Milliseconds(), "latest_ms", timeouts.Latest.Milliseconds(), "learned_ms", timeouts.Learned.Milliseconds())
	return outcome == outcomeEndedEarly
}

// observeResponseTime records the response time of the current attempt.
func (e *exchange) observeResponseTime(kind responsetimeout.Kind) {
	e.core.ResponseTimes.Observe(e.request.Service, kind, time.Since(e.attemptedAt))
}

// avoidZone excludes the zone of a backend that did not respond, if another zone has a
// usable backend: a whole zone may be cut off.
func (e *exchange) avoidZone(zone string) {
	if zone == "" {
		return
	}
	candidates := e.core.Backends.Candidates(e.request.Service, nil, time.Now())
	hasOther := false
	for index := range candidates {
		each := &candidates[index]
		isUsable := !each.Closed && !each.Ejected && !e.excluded[each.ID]
		hasOther = hasOther || (isUsable && each.Zone != zone)
	}
	if !hasOther {
		return
	}
	for index := range candidates {
		if candidates[index].Zone == zone {
			e.excluded[candidates[index].ID] = true
		}
	}
}
