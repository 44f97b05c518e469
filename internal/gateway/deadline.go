package gateway

import (
	"context"
	"time"
)

// deadlineContext returns the context of a request. It ends at the deadline or when
// the daemon stops. Time during which the machine is suspended counts.
func (g *Gateway) deadlineContext(request onlineRequest, deadline time.Time) (context.Context, context.CancelFunc) {
	return g.Wakeups.WithDeadline(g.lifetime, deadline, request.arrivedMark)
}

// checkSendable returns an error if the request's deadline has passed, or if the daemon
// stops before the request can end. It is called just before an attempt is sent, because
// the machine may have been suspended since the engine was chosen and the context may not
// have ended yet.
func (n *generation) checkSendable(ctx context.Context) error {
	if ctx.Err() != nil {
		return n.endedError(ctx, ctx.Err())
	}
	deadline, isBounded := ctx.Deadline()
	if isBounded && time.Until(deadline) <= n.gateway.Clock.SleptSince(n.request.arrivedMark) {
		return n.endedError(ctx, context.DeadlineExceeded)
	}
	return n.refuseStopping(ctx)
}
