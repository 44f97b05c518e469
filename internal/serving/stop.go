package serving

import (
	"time"

	"topazpulley/internal/route"
	"topazpulley/internal/stopping"
)

// refuseStopping refuses a request that the time left of the daemon's stop does not suffice for, and
// reports whether it did. An answer that has begun goes on for as long as it can.
func (e *exchange) refuseStopping() bool {
	plan, isStopping := e.core.Stop.Plan()
	if !isStopping || e.hasBegun {
		return false
	}
	now, need := time.Now(), e.need()
	log := e.core.Logger.With(plan.Fields(now, need)...).With("id", e.request.ID, "route", e.request.Route.Name, "tokens", e.request.Tokens, "sends", e.sends, "runs", e.runs)
	if e.core.Stop.Admits(now, need) {
		log.Info("request_admitted_in_stop")
		return false
	}
	e.reason = ReasonStopping
	log.Info("request_stopped")
	e.giveUp(plan.RetryAfter(now), string(ReasonStopping))
	return true
}

// need returns what is known about the time that the request takes from now on.
func (e *exchange) need() stopping.Need {
	return stopping.Need{
		Limit: e.remaining(), ReadAt: e.readAt, Objective: e.request.Route.Objective, Risk: stopRisk(e.request.Route),
		Recent: e.core.Durations.Recent(e.request.Route.Name),
	}
}

// stopRisk returns what becomes of a request of a route that is in flight at the end of a stop. Plain
// answers are kept until they are complete.
func stopRisk(of *route.Route) stopping.Risk {
	switch {
	case of.Kind == route.KindStream:
		return stopping.RiskCut
	case of.Repeatable():
		return stopping.RiskRetry
	}
	return stopping.RiskFailure
}

// observeDuration records that the answer to the request is complete. The time that its caller took to
// send it is no part of what such requests need.
func (e *exchange) observeDuration() {
	e.core.Durations.Observe(e.request.Route.Name, time.Since(e.readAt))
}
