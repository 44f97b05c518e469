package gateway

import (
	"context"
	"time"

	"topazpulley/internal/failure"
	"topazpulley/internal/serving"
	"topazpulley/internal/stopping"
)

// unlimited is the time left of a request without a deadline.
const unlimited = 24 * time.Hour

// refuseStopping returns the final error of a request that the time left of the daemon's stop does not
// suffice for, before its next attempt. An answer that has begun goes on for as long as it can.
func (n *generation) refuseStopping(ctx context.Context) error {
	plan, isStopping := n.gateway.stop.Plan()
	if !isStopping || len(n.tokens) > 0 {
		return nil
	}
	now := time.Now()
	need := stopping.Need{Limit: unlimited, ReadAt: n.request.arrived, Risk: stopping.RiskCut, Recent: n.gateway.durations.Recent(n.request.service)}
	if deadline, hasDeadline := ctx.Deadline(); hasDeadline {
		need.Limit = deadline.Sub(now)
	}
	log := n.gateway.Logger.With(plan.Fields(now, need)...).With("id", n.request.id, "service", n.request.service, "tokens", n.request.maxTokens, "attempts", n.attempt)
	if n.gateway.stop.Admits(now, need) {
		log.Info("request_admitted_in_stop")
		return nil
	}
	log.Info("request_stopped")
	return n.ran.Refuse(failure.New(failure.KindUnavailable, string(serving.ReasonStopping), "the daemon is stopping").WithRetryAfter(plan.RetryAfter(now)))
}
