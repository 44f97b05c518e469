package gateway

import (
	"context"
	"time"
)

// untilDeadline returns the context of a request, which ends at its deadline, or with
// the daemon. What the machine sleeps counts: callers wait meanwhile.
func (g *Gateway) untilDeadline(request onlineRequest, deadline time.Time) (context.Context, context.CancelFunc) {
	return g.Wakeups.WithDeadline(g.lifetime, deadline, request.arrivedMark)
}

// mayLeave returns an error if the request's time is over, just before an attempt is
// sent: the machine may have slept since it was decided, and nothing has noticed yet.
func (n *generation) mayLeave(ctx context.Context) error {
	if ctx.Err() != nil {
		return n.expired(ctx, ctx.Err())
	}
	deadline, isBounded := ctx.Deadline()
	if isBounded && time.Until(deadline) <= n.gateway.Clock.SleptSince(n.request.arrivedMark) {
		return n.expired(ctx, context.DeadlineExceeded)
	}
	return nil
}
