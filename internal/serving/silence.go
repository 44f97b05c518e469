package serving

import (
	"time"

	"topazpulley/internal/responsetimeout"
	"topazpulley/internal/route"
	"topazpulley/internal/watchdog"
)

const (
	// silenceShare is the part of the requests that may be taken from backends early
	// because they are silent, in the long run, and silenceReserve how many at once. A
	// service that is slow everywhere gets no more than that further load, and the
	// attempts that are left alone show how slow it is.
	silenceShare   = 0.1
	silenceReserve = 10
)

// What became of an attempt that stayed silent for longer than learned, as labels of the
// metric.
const (
	silenceLeft   = "left"
	silenceWaited = "budget_spent"
)

// startWatchdog arms a watchdog if the request may run elsewhere. For other
// requests silence is no reason to end an answer.
func (e *exchange) startWatchdog(cancel func()) *watchdog.Watchdog {
	if !e.request.Route.Repeatable() || e.runs+1 >= e.request.Route.MaxAttempts {
		return nil
	}
	kind := e.waitsFor()
	allowed := e.core.Patience.For(e.request.Service, kind, e.request.Route.Objective)
	pause := eventPatience
	if kind == responsetimeout.KindComplete {
		pause = allowed.Latest
	}
	return watchdog.StartEarly(allowed.Early, allowed.Latest, pause, func() bool { return e.mayLeaveEarly(allowed) }, cancel)
}

// waitsFor is the sign of life for which an attempt of the request waits.
func (e *exchange) waitsFor() responsetimeout.Kind {
	if e.request.Route.Kind == route.KindStream {
		return responsetimeout.KindFirstEvent
	}
	return responsetimeout.KindComplete
}

// mayLeaveEarly decides when the early patience with the present attempt is over. It is
// called beside the attempt and reads only what does not change while that lasts.
func (e *exchange) mayLeaveEarly(allowed responsetimeout.Timeouts) bool {
	outcome := silenceLeft
	if !e.core.silences.Spend() {
		outcome = silenceWaited
	}
	e.core.Metrics.Silences.WithLabelValues(e.request.Service, outcome).Inc()
	e.core.Logger.Info("attempt_silent", "id", e.request.ID, "backend", e.last.ID, "zone", e.last.Zone, "outcome", outcome,
		"patience_ms", allowed.Early.Milliseconds(), "latest_ms", allowed.Latest.Milliseconds(), "learned_ms", allowed.Learned.Milliseconds())
	return outcome == silenceLeft
}

// noteAnswered learns what the present attempt took to its sign of life.
func (e *exchange) noteAnswered(kind responsetimeout.Kind) {
	e.core.Patience.Observe(e.request.Service, kind, time.Since(e.attemptedAt))
}

// avoidZone leaves out a zone in which a backend fell silent, if there is another: zones
// are cut off as a whole.
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
