package gateway

import (
	"context"
	"time"

	"topazpulley/internal/failure"
	"topazpulley/internal/registry"
	"topazpulley/internal/routing"
	"topazpulley/internal/supervisor"
)

const (
	capacityPollInterval = 5 * time.Millisecond
	hintInterval         = 50 * time.Millisecond
)

// choose picks an engine. It waits up to the queue timeout for one with free
// capacity, and for an answer that has begun, which cannot be refused any more, as long as the
// request has time.
func (n *generation) choose(ctx context.Context) (registry.Engine, error) {
	queueDeadline := time.Now().Add(time.Duration(n.request.policy.QueueTimeout))
	for {
		view, found, anyServing := n.gateway.route(n.request, n.excluded)
		if found {
			return view, nil
		}
		if !anyServing && len(n.excluded) > 0 && n.request.repeatable {
			n.excluded = map[string]bool{}
		}
		if !anyServing && n.attempt == 0 {
			return view, n.ran.Refuse(failure.New(failure.KindUnavailable, codeNoEngine, "no engine in zone %s serves this", n.gateway.Settings.Zone).WithRetryAfter(noEngineRetry))
		}
		if hasCallerLeft(ctx) {
			return view, n.endedError(ctx, context.Cause(ctx))
		}
		hasBegun := len(n.tokens) > 0
		if (time.Now().After(queueDeadline) && !hasBegun) || ctx.Err() != nil {
			n.overloaded = true
			return view, n.overloadedError(codeEnginesFull, "every engine is at its limit")
		}
		time.Sleep(capacityPollInterval)
	}
}

// route chooses among the zone's engines of a service. anyServing reports whether
// some engine could serve the request if it had free capacity.
func (g *Gateway) route(request onlineRequest, excluded map[string]bool) (view registry.Engine, found, anyServing bool) {
	engines := g.Registry.OfService(request.service)
	query := routing.Request{Model: request.model, PrefixHash: request.prefixHash, OnlineLimit: request.policy.OnlineLimit, Excluded: excluded}
	now := time.Now()
	g.mutex.Lock()
	view, found = g.router.Choose(query, engines, now)
	if !found {
		query.UseEjected = true
		view, found = g.router.Choose(query, engines, now)
	}
	g.mutex.Unlock()
	if found {
		return view, true, true
	}
	query.OnlineLimit = 0
	return view, false, len(routing.Eligible(query, engines, now)) > 0
}

// sendPreemptionHint reports the request to the engine's supervisor before the next
// load report, if the engine runs batch work. At most one hint is sent per engine and
// hintInterval.
func (g *Gateway) sendPreemptionHint(view registry.Engine) {
	if g.WithoutHints || (view.Load.Batch == 0 && view.Load.BatchWindow == 0) {
		return
	}
	g.mutex.Lock()
	isRecent := time.Since(g.hintedAt[view.Name]) < hintInterval
	if !isRecent {
		g.hintedAt[view.Name] = time.Now()
	}
	g.mutex.Unlock()
	if isRecent {
		return
	}
	online := routing.Load(view) + 1
	if view.Record.Supervisor == g.Settings.Name {
		g.Yielder.Yield(view.Name, online)
		return
	}
	g.Node.Hint(view.Record.Supervisor, supervisor.YieldItem(view.Name, online))
}
