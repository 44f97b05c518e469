package gateway

import (
	"github.com/valyala/fasthttp"

	"topazpulley/internal/engine"
	"topazpulley/internal/registry"
	"topazpulley/internal/serving"
)

// origin identifies the source of a request in logs.
type origin struct {
	// caller is the remote address of the connection.
	caller string
	// zone is the zone of the daemon that forwarded the request; empty if it was not
	// forwarded.
	zone string
}

func originOf(call *fasthttp.RequestCtx) origin {
	return origin{caller: call.RemoteAddr().String(), zone: string(call.Request.Header.Peek(HeaderHop))}
}

// logSent logs the source of an attempt before it is sent, because the engine receives
// only the attempt's id. A request has at most maxAttempts such lines for new attempts
// and as many for resumptions.
func (g *Gateway) logSent(request onlineRequest, view registry.Engine, attemptID string, number int, kind serving.SendKind) {
	g.Logger.Info("request_sent", "id", request.id, "attempt_id", attemptID, "engine", view.Name, "address", view.Machine.Address,
		"attempt", number, "kind", string(kind), "caller", request.origin.caller, "from_zone", request.origin.zone,
		"tenant", request.tenant, "service", request.service)
}

// logFailed logs why an attempt failed.
func (n *generation) logFailed(attemptID string, err error) {
	n.gateway.Logger.Info("attempt_failed", "id", n.request.id, "attempt_id", attemptID, "engine", n.view.Name, "attempt", n.attempt,
		"outcome", engine.OutcomeOf(err).String(), "code", engine.CodeOf(err), "tokens", len(n.tokens), "error", err)
}
