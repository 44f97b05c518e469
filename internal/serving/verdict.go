package serving

import (
	"time"

	"topazpulley/internal/quarantine"
)

// quarantined returns the quarantine verdict on the request, if it is quarantined.
func (e *exchange) quarantined() (quarantine.Verdict, bool) {
	if e.core.Quarantine == nil {
		return quarantine.Verdict{}, false
	}
	return e.core.Quarantine.Verdict(e.fingerprint, e.parts)
}

// refuseQuarantined refuses the request if it is quarantined and reports whether it did.
func (e *exchange) refuseQuarantined() bool {
	verdict, isQuarantined := e.quarantined()
	if !isQuarantined {
		return false
	}
	e.reason = ReasonQuarantined
	e.core.Quarantine.Refused(e.request.Service)
	e.core.Logger.Info("request_held", "id", e.request.ID, "kind", string(verdict.Fingerprint.Kind()), "fingerprint", verdict.Fingerprint.String(),
		"backends", len(verdict.Instances), "evidence_age_ms", time.Since(verdict.Since).Milliseconds(), "until", verdict.Until.UTC().Format(time.RFC3339), "runs", e.runs)
	e.giveUpWith(VerdictQuarantined, time.Until(verdict.Until), string(ReasonQuarantined))
	return true
}

// giveUp ends the request: it aborts an answer that has begun, else refuses with a verdict
// that says whether an attempt may have run.
func (e *exchange) giveUp(retryAfter time.Duration, code string) {
	e.giveUpWith(VerdictNotRun, retryAfter, code)
}

// giveUpWith is giveUp with a given verdict for a request that has not run. A caller that has left
// is refused too: it may have closed only its sending half.
func (e *exchange) giveUpWith(notRun Verdict, retryAfter time.Duration, code string) {
	isGone := e.caller.Err() != nil
	if e.core.Stop.HasEnded() {
		e.reason, code = ReasonStopping, string(ReasonStopping)
	}
	if isGone && e.hasBegun {
		e.outcome = "caller_gone"
		e.responder.Abort()
		return
	}
	if e.hasBegun {
		e.breakOff(code)
		return
	}
	refusal := Refusal{Verdict: notRun, RetryAfter: retryAfter, Code: code}
	isOver := e.remaining() < minRemaining
	switch {
	case e.ran.MayHaveRun() && isOver:
		refusal = Refusal{Verdict: VerdictTimeout, Code: code}
	case e.ran.MayHaveRun():
		refusal = Refusal{Verdict: VerdictUnknown, Code: code}
	}
	e.outcome = refusal.Verdict.String()
	if err := e.responder.Refuse(refusal); err != nil || isGone {
		e.outcome = "caller_gone"
	}
}

// breakOff ends an answer that has begun so that the caller does not take it for a whole one.
// code names the cause.
func (e *exchange) breakOff(code string) {
	e.outcome = "broken_off"
	e.core.Metrics.BrokenOff.WithLabelValues(e.request.Service, code).Inc()
	e.core.Logger.Info("answer_broken_off", "id", e.request.ID, "backend", e.last.ID, "code", code, "last_event", e.lastEvent,
		"event_age_ms", time.Since(e.eventAt).Milliseconds(), "left_ms", e.remaining().Milliseconds(), "sends", e.sends, "runs", e.runs, "unplaced", e.noSlotCount,
		"excluded", len(e.excluded), "backends", e.core.Backends.Count(e.request.Service), "of_version", e.backendCount(),
		"listed", e.core.Backends.IsListed(e.last.Incarnation()), "retries_left", int(e.core.retries.Left()))
	e.responder.Abort()
}

// record logs the end of the request and updates its metrics.
func (e *exchange) record() {
	took := time.Since(e.request.Arrived)
	e.core.Metrics.Requests.WithLabelValues(e.request.Service, e.outcome).Inc()
	e.core.Metrics.Duration.WithLabelValues(e.request.Service).Observe(took.Seconds())
	first := time.Duration(0)
	if !e.firstAt.IsZero() {
		first = e.firstAt.Sub(e.request.Arrived)
		e.core.Metrics.FirstOutput.WithLabelValues(e.request.Service).Observe(first.Seconds())
	}
	e.core.Logger.Info("request_ended", "id", e.request.ID, "outcome", e.outcome, "reason", string(e.reason), "answer", e.transfer,
		"route", e.request.Route.Name, "config", e.request.ConfigVersion, "tenant", e.request.tenantName(), "fingerprint", e.fingerprint.String(), "limit_source", string(e.admission.Source),
		"limit_level", e.admission.Level, "limit_ms", e.admission.Took.Milliseconds(), "unplaced", e.noSlotCount, "waited_ms", e.waited.Milliseconds(), "queued", e.isQueued, "backend", e.last.ID, "software", e.last.Version, "began_software", e.origin, "sends", e.sends, "runs", e.runs,
		"online", e.cost.Online, "batch", e.cost.Batch, "slots", e.cost.Slots, "pending_tokens", e.cost.PendingTokens,
		"uncached_tokens", e.cost.UncachedTokens, "report_age_ms", min(e.cost.ReportAge, time.Hour).Milliseconds(), "events", e.events, "first_ms", first.Milliseconds(), "took_ms", took.Milliseconds())
}
