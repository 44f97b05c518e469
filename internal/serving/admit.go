package serving

import (
	"context"

	"topazpulley/internal/ratelimit"
)

// limit is the limit of the request's tenant.
func (e *exchange) limit() ratelimit.Limit {
	return ratelimit.Limit{Limit: e.request.Tenant.Limit, Config: e.request.ConfigVersion}
}

// admit passes the limit of the request's tenant, or refuses the request at once
// and tells when there will be room.
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
	made := e.admission
	e.core.Logger.Info("request_limited", "id", e.request.ID, "tenant", e.request.Tenant.Name, "outcome", e.outcome,
		"per_second", e.request.Tenant.Limit.PerSecond, "burst", e.request.Tenant.Limit.Burst, "config", made.Config,
		"source", string(made.Source), "keeper", made.Coordinator, "level", made.Level, "asked", made.Asked, "silent", made.Silent,
		"retry_after_ms", made.RetryAfter.Milliseconds(), "took_ms", made.Took.Milliseconds())
	return false
}

// chargeRun counts a further run against the tenant's limit.
func (e *exchange) chargeRun() {
	if e.core.Limits != nil && e.request.Tenant != nil {
		e.core.Limits.Charge(e.admission, e.request.Tenant.Name, e.limit())
	}
}

// settle gives the tenant back what a request was granted that never ran.
func (e *exchange) settle() {
	if e.core.Limits != nil && e.request.Tenant != nil && !e.ran.MayHaveRun() {
		e.core.Limits.Return(e.admission, e.request.Tenant.Name, e.limit())
	}
}
