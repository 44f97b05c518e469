package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/valyala/fasthttp"

	"topazpulley/internal/admission"
	"topazpulley/internal/batch"
	"topazpulley/internal/bundle"
	"topazpulley/internal/engine"
	"topazpulley/internal/failure"
	"topazpulley/internal/ratelimit"
	"topazpulley/internal/routing"
)

// completionRequest contains the fields of an OpenAI request that the gateway reads.
type completionRequest struct {
	batch.ItemBody
	MaxCompletionTokens int  `json:"max_completion_tokens"`
	Stream              bool `json:"stream"`
}

// streamChunk is one chunk of a streamed OpenAI answer.
type streamChunk struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []streamChoice `json:"choices"`
}

type streamChoice struct {
	Index        int          `json:"index"`
	Text         string       `json:"text,omitempty"`
	Delta        *streamDelta `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type streamDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

const (
	maxDeadline      = time.Hour
	maxKeyLength     = 256
	ssePrefix        = "data: "
	sseDone          = "data: [DONE]\n\n"
	slowAfterFactor  = 4
	objectTextChunk  = "text_completion"
	objectChatChunk  = "chat.completion.chunk"
	outcomeCompleted = "completed"
)

// complete answers a completion or chat completion. It returns true if a stream
// writer will call finish.
func (c *caller) complete() bool {
	request, stream, deadline, err := c.parseCompletion()
	if err != nil {
		c.gateway.writeFailure(c.call, err)
		return false
	}
	c.call.Response.Header.Set(HeaderRequestID, request.id)
	key, err := idempotencyKey(c.call)
	if err != nil {
		c.gateway.writeFailure(c.call, err)
		return false
	}
	ctx, cancel := c.context(request, deadline, key)
	run, err := c.gateway.begin(ctx, request, key, deadline)
	if err != nil {
		cancel()
		return c.refuse(request, err)
	}
	if stream {
		return c.startStream(ctx, cancel, run)
	}
	defer cancel()
	c.answerComplete(ctx, run)
	return false
}

// canForward reports whether a request that failed with err may be forwarded to
// another zone: no engine of this zone can serve it, and it has not run here. The
// answer of the other zone, such as "not run", covers only attempts made there.
func canForward(err error) bool {
	isUnserved := failure.HasCode(err, codeNoEngine) || failure.HasCode(err, codeEnginesFull)
	return isUnserved && failure.From(err).NotRun
}

// refuse forwards a request that could not start to another zone if possible, and
// otherwise answers it with the error. It always returns false: no stream writer is
// started.
func (c *caller) refuse(request onlineRequest, err error) bool {
	if canForward(err) && c.spill(request.service) {
		return false
	}
	c.gateway.countOutcome(request.service, err)
	c.gateway.writeFailure(c.call, err)
	return false
}

func (g *Gateway) countOutcome(service string, err error) {
	outcome := outcomeCompleted
	if err != nil {
		outcome = string(failure.From(err).Kind)
	}
	g.Metrics.Requests.WithLabelValues(service, outcome).Inc()
}

func (c *caller) parseCompletion() (onlineRequest, bool, time.Time, error) {
	body := completionRequest{}
	if err := decodeBody(c.call, &body); err != nil {
		return onlineRequest{}, false, time.Time{}, err
	}
	if body.MaxCompletionTokens != 0 {
		body.MaxTokens = body.MaxCompletionTokens
	}
	if err := checkCompletion(body, c.path); err != nil {
		return onlineRequest{}, false, time.Time{}, err.WithNotRun()
	}
	service, known := c.active.ServiceForModel(body.Model)
	if !known {
		return onlineRequest{}, false, time.Time{}, failure.New(failure.KindNotFound, "unknown_model", "model %q is not served: see /v1/models", body.Model).WithNotRun()
	}
	policy := c.active.Services[service].Policy
	if err := c.gateway.refuseWhenCutOff(c.active.Services[service]); err != nil {
		return onlineRequest{}, false, time.Time{}, err
	}
	now := time.Now()
	deadline, err := requestDeadline(c.call, policy, now)
	if err != nil {
		return onlineRequest{}, false, time.Time{}, err
	}
	input := append(json.RawMessage(nil), body.Input()...)
	request := onlineRequest{
		id: "req-" + ulid.Make().String(), origin: originOf(c.call), tenant: c.tenant, limit: c.limit, service: service, policy: policy,
		model: body.Model, input: input, maxTokens: body.TokenLimit(),
		repeatable: isRepeatable(c.call), prefixHash: routing.PrefixHash(engine.PromptText(input)), arrived: now, arrivedMark: c.gateway.Clock.Mark(),
	}
	return request, body.Stream, deadline, nil
}

func (g *Gateway) refuseWhenCutOff(service bundle.Service) error {
	if service.RefuseWhenCutOff && g.isCutOff() {
		return failure.New(failure.KindUnavailable, "cut_off", "this daemon cannot confirm its configuration and the service requires that").WithNotRun().WithRetryAfter(noEngineRetry)
	}
	return nil
}

func checkCompletion(body completionRequest, path string) *failure.Error {
	switch {
	case body.Model == "":
		return failure.New(failure.KindInvalid, "no_model", "model is required")
	case path == batch.EndpointCompletions && len(body.Prompt) == 0:
		return failure.New(failure.KindInvalid, "no_prompt", "prompt is required")
	case path == batch.EndpointChatCompletions && len(body.Messages) == 0:
		return failure.New(failure.KindInvalid, "no_messages", "messages are required")
	case body.MaxTokens < 0 || body.MaxTokens > batch.MaxTokens:
		return failure.New(failure.KindInvalid, "bad_max_tokens", "max_tokens must be from 1 to %d", batch.MaxTokens)
	}
	return nil
}

func isRepeatable(call *fasthttp.RequestCtx) bool {
	return string(call.Request.Header.Peek(HeaderRepeatable)) != "false"
}

func idempotencyKey(call *fasthttp.RequestCtx) (string, error) {
	key := string(call.Request.Header.Peek(HeaderIdempotencyKey))
	if len(key) > maxKeyLength {
		return "", failure.New(failure.KindInvalid, "bad_idempotency_key", "an Idempotency-Key has at most %d bytes", maxKeyLength).WithNotRun()
	}
	return key, nil
}

// requestDeadline returns the deadline that the caller sent, in milliseconds from
// now, or else the policy's.
func requestDeadline(call *fasthttp.RequestCtx, policy bundle.Policy, now time.Time) (time.Time, error) {
	header := string(call.Request.Header.Peek(HeaderDeadline))
	if header == "" {
		return now.Add(time.Duration(policy.RequestTimeout)), nil
	}
	millis, err := strconv.ParseInt(header, 10, 64)
	if err != nil || millis <= 0 || millis > maxDeadline.Milliseconds() {
		return now, failure.New(failure.KindInvalid, "bad_deadline", "%s must be a number of milliseconds from 1 to %d", HeaderDeadline, maxDeadline.Milliseconds()).WithNotRun()
	}
	return now.Add(time.Duration(millis) * time.Millisecond), nil
}

// run is a request whose first event has arrived. A request that is answered by a
// stored answer or an earlier attempt is not admitted again.
type run struct {
	gateway *Gateway
	request onlineRequest
	source  eventSource
	first   engine.Event
	tokens  []string
	finish  func(err error)
	store   func(ctx context.Context, tokens []string, end engine.Event)
}

// eventSource returns the events of an answer: a generation, a resumed attempt or a
// stored answer.
type eventSource interface {
	next(ctx context.Context) (engine.Event, error)
	close()
}

// begin admits a request and waits for its first event, so that a failure before
// it is answered with an HTTP error status.
func (g *Gateway) begin(ctx context.Context, request onlineRequest, key string, deadline time.Time) (*run, error) {
	stored, found, err := g.storedAnswer(ctx, request, key)
	if err != nil {
		return nil, err
	}
	if found {
		return g.beginStored(ctx, request, stored)
	}
	admitted, err := g.admit(ctx, request, deadline)
	if err != nil {
		return nil, err
	}
	source := g.newGeneration(request, g.recorderFor(request, key))
	started := &run{gateway: g, request: request, source: source, store: g.storerFor(request, key)}
	started.finish = func(err error) {
		source.close()
		admitted.release(source, err)
		g.countOutcome(request.service, err)
	}
	started.first, err = source.next(ctx)
	if err != nil {
		source.close()
		admitted.release(source, err)
		return nil, err
	}
	return started, nil
}

// admittedRequest is a request that passed its tenant's rate limit and concurrency
// limit and the service's adaptive limit.
type admittedRequest struct {
	gateway *Gateway
	request onlineRequest
	limiter *admission.Limiter
	limit   ratelimit.Limit
	granted ratelimit.Decision
}

// admit applies the tenant's and the service's limits. If it returns no error, the
// caller must call release.
func (g *Gateway) admit(ctx context.Context, request onlineRequest, deadline time.Time) (admittedRequest, error) {
	current, active := g.Holder.Current()
	concurrency := 0
	if active != nil {
		concurrency = active.Tenants[request.tenant].Concurrency
	}
	if err := g.inUse.Acquire(request.tenant, concurrency); err != nil {
		return admittedRequest{}, err
	}
	admitted := admittedRequest{gateway: g, request: request, limiter: g.limiter(request.service, request.policy)}
	admitted.limit = ratelimit.Limit{Limit: request.limit, Config: current.Number}
	admitted.granted = g.Limits.Admit(ctx, request.tenant, admitted.limit)
	if !admitted.granted.IsAdmitted {
		g.inUse.Release(request.tenant)
		return admittedRequest{}, failure.New(failure.KindOverloaded, "tenant_rate", "the tenant is above %.3g requests a second: slow down", request.limit.PerSecond).
			WithNotRun().WithRetryAfter(admitted.granted.RetryAfter)
	}
	if err := admitted.limiter.Acquire(ctx, time.Now(), deadline); err != nil {
		admitted.returnGrants(err)
		return admittedRequest{}, err
	}
	return admitted, nil
}

// release ends the admission of a request. err is the error that the request
// failed with, or nil.
func (a admittedRequest) release(source *generation, err error) {
	a.limiter.Release(time.Now(), source.firstToken, time.Since(a.request.arrived), source.overloaded)
	a.returnGrants(err)
}

// returnGrants releases the tenant's concurrency. If the request did not run, it also
// returns the request to the tenant's rate limit.
func (a admittedRequest) returnGrants(err error) {
	a.gateway.inUse.Release(a.request.tenant)
	if err != nil && failure.From(err).NotRun {
		a.gateway.Limits.Return(a.granted, a.request.tenant, a.limit)
	}
}

// limiter returns the service's limiter. Its maximum is the online capacity of the
// zone's engines.
func (g *Gateway) limiter(service string, policy bundle.Policy) *admission.Limiter {
	capacity := len(g.Registry.OfService(service)) * policy.OnlineLimit
	config := admission.LimiterConfig{
		Minimum: minimumLimit, Maximum: max(capacity, minimumLimit),
		QueueTimeout: time.Duration(policy.QueueTimeout), SlowAfter: slowAfterFactor * time.Duration(policy.QueueTimeout),
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	limiter, exists := g.limiters[service]
	if !exists {
		limiter = admission.NewLimiter(config)
		g.limiters[service] = limiter
		return limiter
	}
	limiter.Configure(config)
	return limiter
}

func (c *caller) answerComplete(ctx context.Context, run *run) {
	end, err := run.collect(ctx)
	if err == nil {
		run.store(ctx, run.tokens, end)
	}
	run.finish(err)
	if err != nil {
		c.gateway.writeFailure(c.call, err)
		return
	}
	c.call.SetContentType("application/json")
	c.call.SetBody(batch.CompletionBody(c.path, run.request.id, run.request.model, run.tokens, end))
}

// collect reads the complete answer and returns its end event.
func (r *run) collect(ctx context.Context) (engine.Event, error) {
	event := r.first
	for !event.End {
		r.tokens = append(r.tokens, event.Token)
		var err error
		if event, err = r.source.next(ctx); err != nil {
			return event, err
		}
	}
	return event, nil
}

// startStream sends the answer as server-sent events. The generation ends when the
// caller disconnects.
func (c *caller) startStream(ctx context.Context, cancel context.CancelFunc, run *run) bool {
	finish := c.finish
	writer := chunkWriter{id: run.request.id, model: run.request.model, chat: c.path == batch.EndpointChatCompletions, created: time.Now().Unix()}
	c.call.SetContentType("text/event-stream")
	c.call.Response.Header.Set("Cache-Control", "no-cache")
	c.streamBody(func(output *bufio.Writer) error {
		defer finish()
		defer cancel()
		// A failed stream ends with its error and without the [DONE] marker.
		run.finish(run.stream(ctx, output, writer))
		return nil
	})
	return true
}

func (r *run) stream(ctx context.Context, output *bufio.Writer, writer chunkWriter) error {
	event := r.first
	for {
		if event.End {
			r.store(ctx, r.tokens, event)
			writer.end(output, event.FinishReason)
			return nil
		}
		r.tokens = append(r.tokens, event.Token)
		writer.token(output, event.Token, len(r.tokens) == 1)
		if err := output.Flush(); err != nil {
			return failure.Wrap(err, failure.KindCancelled, codeCallerLeft, "the caller closed the connection")
		}
		var err error
		if event, err = r.source.next(ctx); err != nil {
			writer.failure(output, err)
			return err
		}
	}
}

// chunkWriter writes the chunks of one answer.
type chunkWriter struct {
	id      string
	model   string
	chat    bool
	created int64
}

func (w chunkWriter) chunk(choice streamChoice) streamChunk {
	object := objectTextChunk
	if w.chat {
		object = objectChatChunk
	}
	return streamChunk{ID: w.id, Object: object, Created: w.created, Model: w.model, Choices: []streamChoice{choice}}
}

func (w chunkWriter) token(output *bufio.Writer, token string, first bool) {
	choice := streamChoice{Text: token}
	if w.chat {
		choice = streamChoice{Delta: &streamDelta{Content: token}}
		if first {
			choice.Delta.Role = "assistant"
		}
	}
	writeEvent(output, w.chunk(choice))
}

func (w chunkWriter) end(output *bufio.Writer, reason string) {
	choice := streamChoice{FinishReason: &reason}
	if w.chat {
		choice.Delta = &streamDelta{}
	}
	writeEvent(output, w.chunk(choice))
	_, _ = output.WriteString(sseDone)
	_ = output.Flush()
}

// failure ends a stream with a typed error and without the [DONE] marker.
func (w chunkWriter) failure(output *bufio.Writer, err error) {
	writeEvent(output, ErrorBody{Error: failure.From(err)})
	_ = output.Flush()
}

func writeEvent(output *bufio.Writer, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return
	}
	_, _ = output.WriteString(ssePrefix)
	_, _ = output.Write(encoded)
	_, _ = output.WriteString("\n\n")
}
