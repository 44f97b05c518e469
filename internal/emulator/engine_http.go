package emulator

import (
	"bufio"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"topazpulley/internal/engine"
)

// Serve runs the engine until the context ends and serves its protocol until the
// listener is closed.
func (e *Engine) Serve(ctx context.Context, listener net.Listener) error {
	go e.Run(ctx)
	go e.sampleReports(ctx)
	server := &fasthttp.Server{
		Handler:               func(call *fasthttp.RequestCtx) { e.handle(ctx, call) },
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    platformBodyLimit,
	}
	return server.Serve(listener)
}

func (e *Engine) currentFaults() EngineFaults {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.faults
}

func (e *Engine) handle(ctx context.Context, call *fasthttp.RequestCtx) {
	e.awaitSound(ctx)
	if e.currentFaults().Crashed {
		call.HijackSetNoResponse(true)
		call.Hijack(func(net.Conn) {})
		return
	}
	path := string(call.Path())
	switch {
	case path == engine.PathGenerate:
		e.handleGenerate(ctx, call)
	case path == engine.PathCall:
		e.handleCall(call)
	case path == engine.PathLoad:
		writeJSON(call, e.report(time.Now()))
	case path == engine.PathOrders:
		order := engine.Order{}
		if decodeBody(call, &order) {
			answerRefusal(call, e.order(ctx, order))
		}
	case strings.HasPrefix(path, engine.PathAttempts):
		e.handleAttempt(ctx, call, strings.TrimPrefix(path, engine.PathAttempts))
	default:
		call.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// refusalStatus maps refusal codes to HTTP statuses.
var refusalStatus = map[string]int{
	engine.RefusalDraining:      fasthttp.StatusServiceUnavailable,
	engine.RefusalLoading:       fasthttp.StatusServiceUnavailable,
	engine.RefusalFull:          fasthttp.StatusTooManyRequests,
	engine.RefusalNoModel:       fasthttp.StatusNotFound,
	engine.RefusalStaleFence:    fasthttp.StatusConflict,
	engine.RefusalAttemptExists: fasthttp.StatusConflict,
	engine.RefusalBadRequest:    fasthttp.StatusBadRequest,
}

func answerRefusal(call *fasthttp.RequestCtx, code string) {
	if code == "" {
		return
	}
	writeJSON(call, engine.Refusal{Code: code})
	call.SetStatusCode(refusalStatus[code])
}

func (e *Engine) handleGenerate(ctx context.Context, call *fasthttp.RequestCtx) {
	request := engine.GenerateRequest{}
	if !decodeBody(call, &request) {
		return
	}
	if rand.Float64() < e.currentFaults().RefuseShare {
		answerRefusal(call, engine.RefusalFull)
		return
	}
	admitted, code := e.submit(request)
	if code != "" {
		answerRefusal(call, code)
		return
	}
	e.stream(ctx, call, admitted, len(request.Continue))
}

func (e *Engine) handleAttempt(ctx context.Context, call *fasthttp.RequestCtx, id string) {
	if call.IsDelete() {
		if !e.cancel(id) {
			call.SetStatusCode(fasthttp.StatusNotFound)
		}
		return
	}
	target, known := e.attempt(id)
	if !known {
		call.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	from, _ := strconv.Atoi(string(call.QueryArgs().Peek("from")))
	e.stream(ctx, call, target, from)
}

// stream sends the attempt's tokens from an index as server-sent events.
func (e *Engine) stream(ctx context.Context, call *fasthttp.RequestCtx, target *sequence, from int) {
	faults := e.currentFaults()
	id := target.request.AttemptID
	if rand.Float64() < faults.WrongIDShare {
		id = "another-" + id
	}
	truncateAt := -1
	if rand.Float64() < faults.TruncateShare {
		truncateAt = from + 1 + rand.IntN(max(target.request.MaxTokens-from, 1))
	}
	call.SetContentType("text/event-stream")
	call.SetBodyStreamWriter(func(writer *bufio.Writer) {
		e.writeEvents(ctx, writer, target, id, from, truncateAt)
	})
}

func (e *Engine) writeEvents(ctx context.Context, writer *bufio.Writer, target *sequence, id string, from, truncateAt int) {
	position := from
	for {
		tokens, finish, changed := e.progress(target, position)
		for _, token := range tokens {
			if position == truncateAt {
				return
			}
			writeEvent(writer, engine.Event{AttemptID: id, Index: position, Token: token})
			position++
		}
		if finish != "" && truncateAt < 0 {
			e.writeEnd(writer, target, id, finish, position)
		}
		if finish != "" || writer.Flush() != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// writeEnd writes the end marker, except after a crash.
func (e *Engine) writeEnd(writer *bufio.Writer, target *sequence, id, finish string, count int) {
	if finish == "crashed" {
		return
	}
	writeEvent(writer, engine.Event{
		AttemptID: id, End: true, Count: count, FinishReason: finish,
		PromptTokens: engine.EstimateTokens(target.request.Input), CachedTokens: target.cached,
	})
	_ = writer.Flush()
}

func (e *Engine) progress(target *sequence, position int) ([]string, string, chan struct{}) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if position > len(target.tokens) {
		return nil, target.finish, target.changed
	}
	return target.tokens[position:len(target.tokens):len(target.tokens)], target.finish, target.changed
}

func writeEvent(writer *bufio.Writer, event engine.Event) {
	encoded, _ := json.Marshal(event)
	_, _ = writer.WriteString("data: ")
	_, _ = writer.Write(encoded)
	_, _ = writer.WriteString("\n\n")
}

// PlainAnswer is the answer of a plain service.
type PlainAnswer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Digest  string `json:"digest"`
}

// PlainDigest returns the digest of a request body in PlainAnswer.
func PlainDigest(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

const plainServiceTime = 2 * time.Millisecond

func (e *Engine) handleCall(call *fasthttp.RequestCtx) {
	e.mutex.Lock()
	faults := e.faults
	e.mutex.Unlock()
	if faults.Draining {
		answerRefusal(call, engine.RefusalDraining)
		return
	}
	id := string(call.Request.Header.Peek(engine.HeaderAttempt))
	e.mutex.Lock()
	e.ledger = append(e.ledger, &LedgerEntry{Engine: e.Name, AttemptID: id, Prompt: string(call.PostBody()), Priority: engine.PriorityOnline, Started: time.Now(), Finish: engine.FinishStop})
	e.mutex.Unlock()
	time.Sleep(time.Duration(float64(plainServiceTime) * max(faults.Slowdown, 1)))
	if rand.Float64() < faults.WrongIDShare {
		id = "another-" + id
	}
	call.Response.Header.Set(engine.HeaderAttempt, id)
	writeJSON(call, PlainAnswer{Service: e.Service, Path: string(call.Request.Header.Peek(engine.HeaderPath)), Digest: PlainDigest(call.PostBody())})
}
