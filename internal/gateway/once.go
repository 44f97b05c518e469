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

// requestRow is the durable record of a request that may not be repeated,
// written before its dispatch.
type requestRow struct {
	Digest    string `json:"digest"`
	RequestID string `json:"request_id"`
	Engine    string `json:"engine"`
	Address   string `json:"address"`
	AttemptID string `json:"attempt_id"`
}

// storedResult is a finished answer that stays readable.
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

// storedAnswer looks for the answer of an earlier request with the same key.
func (g *Gateway) storedAnswer(ctx context.Context, request onlineRequest, key string) (eventSource, bool, error) {
	if key == "" {
		return nil, false, nil
	}
	if !g.Platform.Available() {
		return nil, false, g.refuseIfOnce(request, nil)
	}
	bounded, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	result, err := g.readResult(bounded, request.tenant, key)
	if err == nil {
		if result.Digest != request.digest() {
			return nil, false, keyReused(key)
		}
		return &replay{result: result}, true, nil
	}
	if !failure.Is(err, failure.KindNotFound) {
		return nil, false, g.refuseIfOnce(request, err)
	}
	if request.repeatable {
		return nil, false, nil
	}
	return g.earlierAttempt(bounded, request, key)
}

// refuseIfOnce refuses a request that may not be repeated while its record
// cannot be read; a repeatable one goes on without.
func (g *Gateway) refuseIfOnce(request onlineRequest, cause error) error {
	if request.repeatable {
		return nil
	}
	return platformDown(cause)
}

func platformDown(cause error) error {
	message := "the platform's table is not available, which this request needs"
	if cause == nil {
		return failure.New(failure.KindUnavailable, "platform_down", "%s", message).WithNotRun().WithRetryAfter(noEngineRetry)
	}
	return failure.Wrap(cause, failure.KindUnavailable, "platform_down", "%s", message).WithNotRun().WithRetryAfter(noEngineRetry)
}

// earlierAttempt finds a recorded dispatch of the same key and resumes it.
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
		return nil, false, failure.Wrap(err, failure.KindInternal, "bad_row", "the request's record is damaged")
	}
	if record.Digest != request.digest() {
		return nil, false, keyReused(key)
	}
	view := registry.Engine{Name: record.Engine, Machine: registry.MachineRecord{Address: record.Address}}
	g.noteSent(request, view, record.AttemptID, 1, serving.SendResumption)
	stream, err := g.Engines.Resume(g.lifetime, record.Address, record.AttemptID, 0)
	if err != nil {
		return nil, false, failure.Wrap(err, failure.KindOutcomeUnknown, codeOutcomeUnknown, "the request was sent once and its outcome cannot be learnt; it was not sent again")
	}
	return &resumed{stream: stream}, true, nil
}

// resumed is an attempt that another call or daemon began.
type resumed struct{ stream *engine.Stream }

func (r *resumed) next(ctx context.Context) (engine.Event, error) {
	event, err := r.stream.Next(ctx)
	if err != nil || event.FinishReason == engine.FinishCancelled {
		return event, failure.New(failure.KindOutcomeUnknown, codeOutcomeUnknown, "the earlier attempt's outcome cannot be learnt")
	}
	return event, nil
}

// close leaves the attempt running: it belongs to whoever began it.
func (r *resumed) close() {}

// replay yields a stored answer.
type replay struct {
	result   storedResult
	position int
}

func (r *replay) next(context.Context) (engine.Event, error) {
	if r.position == len(r.result.Tokens) {
		return r.result.End, nil
	}
	r.position++
	return engine.Event{Index: r.position - 1, Token: r.result.Tokens[r.position-1]}, nil
}

func (r *replay) close() {}

func (g *Gateway) beginStored(ctx context.Context, request onlineRequest, source eventSource) (*run, error) {
	begun := &run{gateway: g, request: request, source: source}
	begun.finish = func(err error) {
		source.close()
		g.countOutcome(request.service, err)
	}
	begun.store = func(context.Context, []string, engine.Event) {}
	first, err := source.next(ctx)
	begun.first = first
	return begun, err
}

// recorderFor returns what records dispatches of a request that may not be
// repeated; nil for others. Each record replaces the one before, whose attempt
// is known not to have run.
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
		return g.explainRecord(err, transaction, key)
	}
}

func (g *Gateway) explainRecord(err error, transaction storage.Transaction, key string) error {
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

// undoRecord removes a record whose write may have taken effect although the
// request was refused and not sent, so that a resend is not taken for one that
// may have run.
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

// storerFor returns what keeps the finished answer readable; answers without a
// key are kept only if they may not be repeated.
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
		return result, failure.Wrap(err, failure.KindInternal, "bad_result", "the stored answer is damaged")
	}
	return result, nil
}

// readRequest answers with the stored answer of a key.
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
