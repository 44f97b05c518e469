package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"topazpulley/internal/bundle"
	"topazpulley/internal/engine"
	"topazpulley/internal/failure"
	"topazpulley/internal/httphead"
	"topazpulley/internal/quarantine"
	"topazpulley/internal/serving"
)

const servicesPrefix = "/v1/services/"

// callService answers a call of a plain service. The path begins with the service's
// name; the rest is forwarded to an engine.
func (c *caller) callService(path string) {
	name, _, _ := strings.Cut(path, "/")
	service, known := c.active.Services[name]
	if !known || service.Kind != bundle.KindPlain {
		c.gateway.writeFailure(c.call, failure.New(failure.KindNotFound, "unknown_service", "there is no plain service %q", name).WithNotRun())
		return
	}
	target, err := c.serviceTarget(name)
	if err != nil {
		c.gateway.writeFailure(c.call, err)
		return
	}
	request, deadline, err := c.parseCall(name, service)
	if err != nil {
		c.gateway.writeFailure(c.call, err)
		return
	}
	c.call.Response.Header.Set(HeaderRequestID, request.id)
	key := string(c.call.Request.Header.Peek(HeaderIdempotencyKey))
	ctx, cancel := c.context(request, deadline, key)
	defer cancel()
	answer, err := c.gateway.callPlain(ctx, request, deadline, engine.CallRequest{
		Method: string(c.call.Method()), Path: target, Body: request.input,
		Fingerprint: quarantine.FingerprintOf(string(c.call.Method()), name+target, c.tenant, request.input),
	}, key)
	if err != nil {
		c.refuse(request, err)
		return
	}
	c.gateway.countOutcome(name, nil)
	c.call.SetContentType(answer.ContentType)
	c.call.SetBody(answer.Body)
}

// serviceTarget returns the part of the request target after the service's name, with
// the query. The engine receives it unchanged.
func (c *caller) serviceTarget(name string) (string, error) {
	target, isPlain := strings.CutPrefix(string(c.call.RequestURI()), servicesPrefix+name)
	if !strings.HasPrefix(target, "/") {
		target = "/" + target
	}
	err := httphead.CheckTarget(target)
	if !isPlain || err != nil {
		return "", failure.Wrap(err, failure.KindInvalid, "bad_target", "the path cannot be forwarded unchanged").WithNotRun()
	}
	return target, nil
}

func (c *caller) parseCall(name string, service bundle.Service) (onlineRequest, time.Time, error) {
	now := time.Now()
	if err := c.gateway.refuseWhenCutOff(service); err != nil {
		return onlineRequest{}, now, err
	}
	if _, err := idempotencyKey(c.call); err != nil {
		return onlineRequest{}, now, err
	}
	deadline, err := requestDeadline(c.call, service.Policy, now)
	if err != nil {
		return onlineRequest{}, now, err
	}
	request := onlineRequest{
		id: "req-" + ulid.Make().String(), origin: originOf(c.call), tenant: c.tenant, limit: c.limit, service: name, policy: service.Policy,
		input: append(json.RawMessage(nil), c.call.PostBody()...), repeatable: isRepeatable(c.call), arrived: now, arrivedMark: c.gateway.Clock.Mark(),
	}
	return request, deadline, nil
}

// callPlain sends a call to an engine, with the same limits, retries and error kinds
// as a generation.
func (g *Gateway) callPlain(ctx context.Context, request onlineRequest, deadline time.Time, call engine.CallRequest, key string) (engine.CallAnswer, error) {
	if !request.repeatable && key != "" {
		_, found, err := g.earlierAttempt(ctx, request, key)
		if err != nil {
			return engine.CallAnswer{}, err
		}
		if found {
			return engine.CallAnswer{}, failure.New(failure.KindOutcomeUnknown, codeOutcomeUnknown, "the call was sent once already; it was not sent again")
		}
	}
	admitted, err := g.admit(ctx, request, deadline)
	if err != nil {
		return engine.CallAnswer{}, err
	}
	attempts := g.newGeneration(request, g.recorderFor(request, key))
	answer, err := attempts.call(ctx, call)
	admitted.release(attempts, err)
	return answer, err
}

// call sends a plain call and tries other engines after failures that allow it.
func (n *generation) call(ctx context.Context, call engine.CallRequest) (engine.CallAnswer, error) {
	for n.attempt < maxAttempts {
		if n.attempt > 0 && !n.gateway.retries.Spend() {
			return engine.CallAnswer{}, n.overloadedError(codeRetryBudget, "engines refused the call and the retry budget is spent")
		}
		answer, err := n.attemptCall(ctx, call)
		if err == nil {
			n.firstToken = time.Since(n.request.arrived)
			n.gateway.durations.Observe(n.request.service, n.firstToken)
			return answer, nil
		}
		if err := n.handleCallError(ctx, err); err != nil {
			return answer, err
		}
	}
	return engine.CallAnswer{}, n.overloadedError("too_many_attempts", "no engine accepted the call")
}

// attemptCall sends one attempt of a plain call to a chosen engine.
func (n *generation) attemptCall(ctx context.Context, call engine.CallRequest) (engine.CallAnswer, error) {
	view, err := n.choose(ctx)
	if err != nil {
		return engine.CallAnswer{}, err
	}
	n.attempt++
	n.view = view
	call.AttemptID = fmt.Sprintf("%s-%d", n.request.id, n.attempt)
	if n.record != nil {
		if err := n.record(ctx, view, call.AttemptID); err != nil {
			return engine.CallAnswer{}, n.ran.Refuse(failure.From(err))
		}
	}
	if err := n.checkSendable(ctx); err != nil {
		return engine.CallAnswer{}, err
	}
	n.gateway.Registry.Begin(view.Name)
	n.lastSend = n.ran.Sent()
	n.gateway.logSent(n.request, view, call.AttemptID, n.attempt, serving.KindOfSend(n.attempt, 0))
	answer, err := n.gateway.Engines.Call(ctx, view.Machine.Address, call)
	n.gateway.Registry.End(view.Name, err != nil && isEngineFault(err), time.Now())
	if err != nil {
		n.recordOutcome(err)
		n.logFailed(call.AttemptID, err)
	}
	return answer, err
}

// handleCallError returns nil if the call may be tried again, and otherwise its final
// error.
func (n *generation) handleCallError(ctx context.Context, err error) error {
	code := engine.CodeOf(err)
	if code == "" {
		return err
	}
	n.gateway.Metrics.Retries.WithLabelValues(code).Inc()
	if code == engine.CodeWrongID {
		n.gateway.Metrics.Dropped.Inc()
	}
	n.excluded[n.view.Name] = true
	if code == engine.CodeQuarantined {
		return n.quarantinedError()
	}
	switch engine.OutcomeOf(err) {
	case engine.OutcomeNotRun:
		return nil
	case engine.OutcomeInvalid:
		return n.rejectedError(err)
	}
	if ctx.Err() != nil {
		return n.endedError(ctx, err)
	}
	if !n.request.repeatable {
		return failure.Wrap(err, failure.KindOutcomeUnknown, codeOutcomeUnknown, "the call was sent once and its outcome is unknown; it was not sent again")
	}
	return nil
}
