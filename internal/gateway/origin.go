package gateway

import (
	"github.com/valyala/fasthttp"

	"topazpulley/internal/engine"
	"topazpulley/internal/registry"
	"topazpulley/internal/serving"
)

// origin tells, in logs, where a request came from.
type origin struct {
	// caller is the address of the connection on which it came.
	caller string
	// zone is that of the daemon which passed it on; empty means that its caller came
	// here.
	zone string
}

func originOf(call *fasthttp.RequestCtx) origin {
	return origin{caller: call.RemoteAddr().String(), zone: string(call.Request.Header.Peek(HeaderHop))}
}

// noteSent logs where an attempt comes from before it leaves: an engine knows the
// attempt's id only. There are at most maxAttempts lines for new attempts of a request
// and as many for resumed ones.
func (g *Gateway) noteSent(request onlineRequest, view registry.Engine, attemptID string, number int, kind serving.SendKind) {
	g.Logger.Info("request_sent", "id", request.id, "attempt_id", attemptID, "engine", view.Name, "address", view.Machine.Address,
		"attempt", number, "kind", string(kind), "caller", request.origin.caller, "from_zone", request.origin.zone,
		"tenant", request.tenant, "service", request.service)
}

// noteFailed logs why an attempt gave no answer, or no further one: what follows is
// decided by it.
func (n *generation) noteFailed(attemptID string, err error) {
	n.gateway.Logger.Info("attempt_failed", "id", n.request.id, "attempt_id", attemptID, "engine", n.view.Name, "attempt", n.attempt,
		"outcome", engine.OutcomeOf(err).String(), "code", engine.CodeOf(err), "tokens", len(n.tokens), "error", err)
}
