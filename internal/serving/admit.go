package serving

import (
	"context"

	"topazpulley/internal/ratelimit"
)

// limit returns the limit of the request's tenant.
func (e *exchange) limit() ratelimit.Limit {
	return ratelimit.Limit{Limit: e.request.Tenant.Limit, Config: e.request.ConfigVersion}
}

// admit checks the request against its tenant's limit. It refuses the request with the
// time after which to retry if the limit is exceeded, and reports whether the request was
// admitted.
func (e *exchange) admit(ctx context.Context) bool {
	if e.core.Limits == nil || e.request.Tenant == nil {
		return true
	}
	e.admission = e.core.Limits.Admit(ctx, e.request.Tenant.Name, e.limit())
	if e.admission.IsAdmitted {
		return true
	}
	e.outcome = VerdictOverRate.String()
	if err := e.responder.Refuse(Refusal{Verdict: VerdictOverRate, RetryAfter: e.admission.RetryAfter, Code: "tenant_rate"}); err != nil {
		e.outcome = "caller_gone"
	}
	e.core.Metrics.Requests.WithLabelValues(e.request.Service, e.outcome).Inc()
	decision := e.admission
	e.core.Logger.Info("request_limited", "id", e.request.ID, "tenant", e.request.Tenant.Name, "outcome", e.outcome,
		"per_second", e.request.Tenant.Limit.PerSecond, "burst", e.request.Tenant.Limit.Burst, "config", decision.Config,
		"source", string(decision.Source), "keeper", decision.Coordinator, "level", decision.Level, "asked", decision.Asked, "silent", decision.Silent,
		"retry_after_ms", decision.RetryAfter.Milliseconds(), "took_ms", decision.Took.Milliseconds())
	return false
}

// chargeRun counts a further run against the tenant's limit.
func (e *exchange) chargeRun() {
	if e.core.Limits != nil && e.request.Tenant != nil {
		e.core.Limits.Charge(e.admission, e.request.Tenant.Name, e.limit())
	}
}

// returnAdmission returns what the request was granted of its tenant's limit if the
// request did not run.
func (e *exchange) returnAdmission() {
	if e.core.Limits != nil && e.request.Tenant != nil && !e.ran.MayHaveRun() {
		e.core.Limits.Return(e.admission, e.request.Tenant.Name, e.limit())
	}
}
