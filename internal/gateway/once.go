package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"

	"topazpulley/internal/batch"
	"topazpulley/internal/engine"
	"topazpulley/internal/failure"
	"topazpulley/internal/registry"
	"topazpulley/internal/serving"
	"topazpulley/internal/storage"
)

const (
	recordTimeout = 2 * time.Second
	storeTimeout  = time.Second
	lookupTimeout = time.Second
)

// requestRow is the durable record of an attempt of a non-repeatable request. It is
// written before the attempt is sent.
type requestRow struct {
	Digest    string `json:"digest"`
	RequestID string `json:"request_id"`
	Engine    string `json:"engine"`
	Address   string `json:"address"`
	AttemptID string `json:"attempt_id"`
}

// storedResult is a complete answer in the object store.
type storedResult struct {
	Digest    string       `json:"digest"`
	RequestID string       `json:"request_id"`
	Model     string       `json:"model"`
	Tokens    []string     `json:"tokens"`
	End       engine.Event `json:"end"`
}

func requestKey(tenant, key string) string   { return "request/" + tenant + "/" + key }
func resultObject(tenant, key string) string { return "results/" + tenant + "/" + hashKey(key) }

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func (r onlineRequest) digest() string {
	sum := sha256.Sum256([]byte(r.model + "\x00" + string(r.input)))
	return hex.EncodeToString(sum[:])
}

func keyReused(key string) error {
	return failure.New(failure.KindConflict, "key_reused", "Idempotency-Key %q was used with other content: choose a new key", key).WithNotRun()
}

// storedAnswer looks for the answer of an earlier request with the same key, or for
// its attempt if the request is non-repeatable.
func (g *Gateway) storedAnswer(ctx context.Context, request onlineRequest, key string) (eventSource, bool, error) {
	if key == "" {
		return nil, false, nil
	}
	if !g.Platform.Available() {
		return nil, false, g.refuseUnlessRepeatable(request, nil)
	}
	bounded, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	result, err := g.readResult(bounded, request.tenant, key)
	if err == nil {
		if result.Digest != request.digest() {
			return nil, false, keyReused(key)
		}
		return &replaySource{result: result}, true, nil
	}
	if !failure.Is(err, failure.KindNotFound) {
		return nil, false, g.refuseUnlessRepeatable(request, err)
	}
	if request.repeatable {
		return nil, false, nil
	}
	return g.earlierAttempt(bounded, request, key)
}

// refuseUnlessRepeatable returns an error for a non-repeatable request whose record
// cannot be read. A repeatable request proceeds without one.
func (g *Gateway) refuseUnlessRepeatable(request onlineRequest, cause error) error {
	if request.repeatable {
		return nil
	}
	return platformDown(cause)
}

func platformDown(cause error) error {
	message := "the platform's table, which this request needs, is not available"
	if cause == nil {
		return failure.New(failure.KindUnavailable, "platform_down", "%s", message).WithNotRun().WithRetryAfter(noEngineRetry)
	}
	return failure.Wrap(cause, failure.KindUnavailable, "platform_down", "%s", message).WithNotRun().WithRetryAfter(noEngineRetry)
}

// earlierAttempt resumes the recorded attempt of an earlier request with the same key,
// if there is one.
func (g *Gateway) earlierAttempt(ctx context.Context, request onlineRequest, key string) (eventSource, bool, error) {
	row, err := g.Platform.Get(ctx, requestKey(request.tenant, key))
	if err != nil {
		return nil, false, platformDown(err)
	}
	if row.Version == 0 {
		return nil, false, nil
	}
	record := requestRow{}
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return nil, false, failure.Wrap(err, failure.KindInternal, "bad_row", "the request's record is corrupt")
	}
	if record.Digest != request.digest() {
		return nil, false, keyReused(key)
	}
	view := registry.Engine{Name: record.Engine, Machine: registry.MachineRecord{Address: record.Address}}
	g.logSent(request, view, record.AttemptID, 1, serving.SendResumption)
	stream, err := g.Engines.Resume(g.lifetime, record.Address, record.AttemptID, 0, request.maxTokens)
	if err != nil {
		return nil, false, failure.Wrap(err, failure.KindOutcomeUnknown, codeOutcomeUnknown, "the request was sent once and its outcome is unknown; it was not sent again")
	}
	return &resumedSource{stream: stream}, true, nil
}

// resumedSource returns the events of an attempt that another call or daemon started.
type resumedSource struct{ stream *engine.Stream }

func (r *resumedSource) next(ctx context.Context) (engine.Event, error) {
	event, err := r.stream.Next(ctx)
	if err != nil || event.FinishReason == engine.FinishCancelled {
		return event, failure.New(failure.KindOutcomeUnknown, codeOutcomeUnknown, "the earlier attempt's outcome is unknown")
	}
	return event, nil
}

// close leaves the attempt running, because another call may be reading it.
func (r *resumedSource) close() {}

// replaySource returns the events of a stored answer.
type replaySource struct {
	result   storedResult
	position int
}

func (r *replaySource) next(context.Context) (engine.Event, error) {
	if r.position == len(r.result.Tokens) {
		return r.result.End, nil
	}
	r.position++
	return engine.Event{Index: r.position - 1, Token: r.result.Tokens[r.position-1]}, nil
}

func (r *replaySource) close() {}

// beginStored starts a run that reads a stored answer or a resumed attempt.
func (g *Gateway) beginStored(ctx context.Context, request onlineRequest, source eventSource) (*run, error) {
	started := &run{gateway: g, request: request, source: source}
	started.finish = func(err error) {
		source.close()
		g.countOutcome(request.service, err)
	}
	started.store = func(context.Context, []string, engine.Event) {}
	first, err := source.next(ctx)
	started.first = first
	return started, err
}

// recorderFor returns the recorder for the attempts of a non-repeatable request, or
// nil for a repeatable one. Each record replaces the previous one, whose attempt did
// not run.
func (g *Gateway) recorderFor(request onlineRequest, key string) intentRecorder {
	if request.repeatable {
		return nil
	}
	if key == "" {
		key = request.id
	}
	version := storage.Version(0)
	return func(ctx context.Context, view registry.Engine, attemptID string) error {
		if !g.Platform.Available() {
			return platformDown(nil)
		}
		row := requestRow{Digest: request.digest(), RequestID: request.id, Engine: view.Name, Address: view.Machine.Address, AttemptID: attemptID}
		encoded, err := json.Marshal(row)
		if err != nil {
			return errors.WithStack(err)
		}
		transaction := storage.Transaction{
			OperationID: ulid.Make().String(),
			Conditions:  []storage.Condition{{Key: requestKey(request.tenant, key), Version: version}},
			Writes:      []storage.Write{{Key: requestKey(request.tenant, key), Value: encoded}},
		}
		bounded, cancel := context.WithTimeout(ctx, recordTimeout)
		defer cancel()
		version, err = g.Platform.Transact(bounded, transaction)
		return g.recordError(err, transaction, key)
	}
}

// recordError returns the answer to a failure to record an attempt.
func (g *Gateway) recordError(err error, transaction storage.Transaction, key string) error {
	if err == nil {
		return nil
	}
	var conflict *storage.ConflictError
	if errors.As(err, &conflict) {
		return failure.New(failure.KindConflict, "already_running", "a request with Idempotency-Key %q is running: ask for its result", key).WithNotRun().WithRetryAfter(time.Second)
	}
	go g.undoRecord(transaction)
	return platformDown(err)
}

// undoRecord removes a record whose write may have taken effect although the request
// was refused and not sent. Otherwise a resend would resume an attempt that never ran.
func (g *Gateway) undoRecord(transaction storage.Transaction) {
	ctx, cancel := context.WithTimeout(g.lifetime, backgroundTimeout)
	defer cancel()
	key := transaction.Writes[0].Key
	row, err := g.Platform.Get(ctx, key)
	if err != nil || row.OperationID != transaction.OperationID {
		return
	}
	_, err = g.Platform.Transact(ctx, storage.Transaction{
		OperationID: ulid.Make().String(),
		Conditions:  []storage.Condition{{Key: key, Version: row.Version}},
		Writes:      []storage.Write{{Key: key, Delete: true}},
	})
	if err != nil {
		g.Logger.Warn("request_record_left", "key", key, "error", err)
	}
}

// storerFor returns the function that stores the complete answer. Answers without a
// key are stored only for non-repeatable requests, under the request's id.
func (g *Gateway) storerFor(request onlineRequest, key string) func(context.Context, []string, engine.Event) {
	if key == "" && request.repeatable {
		return func(context.Context, []string, engine.Event) {}
	}
	if key == "" {
		key = request.id
	}
	return func(ctx context.Context, tokens []string, end engine.Event) {
		result := storedResult{Digest: request.digest(), RequestID: request.id, Model: request.model, Tokens: tokens, End: end}
		encoded, err := json.Marshal(result)
		if err != nil {
			g.Logger.Error("result_encode_failed", "request", request.id, "error", err)
			return
		}
		g.saveResult(ctx, keptResult{Object: resultObject(request.tenant, key), Content: encoded})
	}
}

func (g *Gateway) readResult(ctx context.Context, tenant, key string) (storedResult, error) {
	result := storedResult{}
	content, err := g.Platform.GetObject(ctx, resultObject(tenant, key))
	if err != nil {
		return result, err
	}
	if err := json.Unmarshal(content, &result); err != nil {
		return result, failure.Wrap(err, failure.KindInternal, "bad_result", "the stored answer is corrupt")
	}
	return result, nil
}

// readRequest answers with the stored answer for a key.
func (c *caller) readRequest(key string) {
	ctx, cancel := context.WithTimeout(c.gateway.lifetime, recordTimeout)
	defer cancel()
	result, err := c.gateway.readResult(ctx, c.tenant, key)
	if err != nil {
		c.gateway.writeFailure(c.call, err)
		return
	}
	c.call.SetContentType("application/json")
	c.call.SetBody(batch.CompletionBody(batch.EndpointCompletions, result.RequestID, result.Model, result.Tokens, result.End))
}
