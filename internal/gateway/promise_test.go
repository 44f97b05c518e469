package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/admission"
	"topazpulley/internal/boottime"
	"topazpulley/internal/bundle"
	"topazpulley/internal/engine"
	"topazpulley/internal/failure"
	"topazpulley/internal/membership"
	"topazpulley/internal/quarantine"
	"topazpulley/internal/registry"
	"topazpulley/internal/routing"
	"topazpulley/internal/settings"
	"topazpulley/internal/telemetry"
)

// behaviour is how an engine treats one attempt.
type behaviour int

const (
	answers behaviour = iota
	refusesFull
	refusesDraining
	refusesOddly
	rejects
	breaksBeforeHead
	breaksBeforeToken
	breaksAfterToken
	answersAnother
	behaviours
)

// scriptedEngine is an engine that treats attempts as drawn and records which it
// began to run.
type scriptedEngine struct {
	mutex sync.Mutex
	draw  []behaviour
	sends int
	ran   int
	// resumable tells that the engine goes on with attempts that broke.
	resumable bool
}

func (e *scriptedEngine) next() behaviour {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	chosen := refusesFull
	if e.sends < len(e.draw) {
		chosen = e.draw[e.sends]
	}
	e.sends++
	if chosen != refusesFull && chosen != refusesDraining && chosen != rejects {
		e.ran++
	}
	return chosen
}

func refuseWith(writer http.ResponseWriter, status int, code string) {
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(engine.Refusal{Code: code})
}

func event(writer http.ResponseWriter, sent engine.Event) {
	text, _ := json.Marshal(sent)
	_, _ = fmt.Fprintf(writer, "data: %s\n\n", text)
	writer.(http.Flusher).Flush()
}

// breakOff closes the connection in the middle.
func breakOff(writer http.ResponseWriter) {
	conn, _, err := writer.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, isTCP := conn.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// ServeHTTP implements http.Handler.
func (e *scriptedEngine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if strings.HasPrefix(request.URL.Path, engine.PathAttempts) {
		e.resume(writer, request)
		return
	}
	id := request.Header.Get(engine.HeaderAttempt)
	if request.URL.Path == engine.PathGenerate {
		body := engine.GenerateRequest{}
		_ = json.NewDecoder(request.Body).Decode(&body)
		id = body.AttemptID
	}
	switch chosen := e.next(); chosen {
	case refusesFull:
		refuseWith(writer, http.StatusServiceUnavailable, engine.RefusalFull)
	case refusesDraining:
		refuseWith(writer, http.StatusServiceUnavailable, engine.RefusalDraining)
	case refusesOddly:
		refuseWith(writer, http.StatusInternalServerError, "out_of_memory")
	case rejects:
		refuseWith(writer, http.StatusBadRequest, engine.RefusalBadRequest)
	case breaksBeforeHead:
		breakOff(writer)
	default:
		e.run(writer, request, chosen, id)
	}
}

func (e *scriptedEngine) run(writer http.ResponseWriter, request *http.Request, chosen behaviour, id string) {
	if request.URL.Path == engine.PathCall {
		if chosen != answers {
			id = "another"
		}
		writer.Header().Set(engine.HeaderAttempt, id)
		_, _ = writer.Write([]byte("done"))
		return
	}
	writer.WriteHeader(http.StatusOK)
	writer.(http.Flusher).Flush()
	switch chosen {
	case breaksBeforeToken:
		breakOff(writer)
	case answersAnother:
		event(writer, engine.Event{AttemptID: "another", Token: "x"})
	case breaksAfterToken:
		event(writer, engine.Event{AttemptID: id, Token: "x"})
		breakOff(writer)
	default:
		event(writer, engine.Event{AttemptID: id, Token: "x"})
		event(writer, engine.Event{AttemptID: id, End: true, Count: 1})
	}
}

func (e *scriptedEngine) resume(writer http.ResponseWriter, request *http.Request) {
	if !e.resumable || request.Method != http.MethodGet {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	id := strings.TrimPrefix(request.URL.Path, engine.PathAttempts)
	writer.WriteHeader(http.StatusOK)
	event(writer, engine.Event{AttemptID: id, End: true, Count: 0})
}

const testService = "s"

// newPromiseGateway is a gateway with three names for one scripted engine, and a
// fourth that nothing listens behind.
func newPromiseGateway(t testing.TB, scripted *scriptedEngine) *Gateway {
	t.Helper()
	server := httptest.NewServer(scripted)
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	known := registry.New()
	for name, at := range map[string]string{"e1": address, "e2": address, "e3": address, "dead": closed.Addr().String()} {
		known.Apply(membership.Item{Key: registry.PrefixMachine + name, Payload: registry.MachineRecord{Address: at, Service: testService}.Encode()})
		record := registry.EngineRecord{Up: true, State: string(engine.StateReady), Models: []string{"m@1"}}
		known.Apply(membership.Item{Key: registry.PrefixEngine + name, Payload: record.Encode()})
	}
	return &Gateway{
		Dependencies: Dependencies{
			Settings: settings.Default(), Registry: known, Engines: engine.NewClient(time.Second), Metrics: telemetry.NewMetrics(),
			Logger: slog.New(slog.DiscardHandler),
		},
		retries:  admission.NewRetryBudget(retryShare, retryReserve),
		router:   routing.NewRouter(routing.PolicyFull, rand.New(rand.NewPCG(1, 2))),
		lifetime: context.Background(), hintedAt: map[string]time.Time{},
	}
}

func promiseRequest(repeatable bool) onlineRequest {
	return onlineRequest{
		id: "r", service: testService, model: "m", input: json.RawMessage(`"prompt"`), maxTokens: 4, repeatable: repeatable, arrived: time.Now(),
		arrivedMark: boottime.Clock(nil).Mark(),
		policy:      bundle.Policy{OnlineLimit: 100, QueueTimeout: settings.Duration(30 * time.Millisecond)},
	}
}

// hasRun reports whether the engine began to run some attempt.
func (e *scriptedEngine) hasRun() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.ran > 0
}

// requireTrue checks what a caller is told against what the engine did. Nothing is
// withheld from a caller whose attempts have all been answered: one that was under
// way when the time was over may have run for all that is known.
func requireTrue(t require.TestingT, scripted *scriptedEngine, isInTime bool, err error) {
	if err == nil {
		return
	}
	told := failure.From(err)
	isPromise := told.NotRun || told.Status() == http.StatusTooManyRequests || told.Status() == http.StatusServiceUnavailable
	if scripted.hasRun() {
		require.False(t, isPromise, "told not run, though an engine had begun: %v", err)
		return
	}
	require.True(t, isPromise || !isInTime || told.Kind == failure.KindDeadline, "nothing ran, and the caller is not told so: %v", err)
}

// TestNotRunIsTrueAfterUnknownAttempts: a request that may be repeated was sent,
// its end could not be learnt, and all other engines refused it. The caller was
// told 429 "not run", because the answer looked at the tokens that had come and at
// resumptions, not at what had been sent.
func TestNotRunIsTrueAfterUnknownAttempts(t *testing.T) {
	for name, draw := range map[string][]behaviour{
		"answer of another attempt, then refused":    {answersAnother, refusesFull, refusesFull, refusesFull},
		"broken before its head, then refused":       {breaksBeforeHead, refusesFull, refusesFull, refusesFull},
		"odd refusal, then refused":                  {refusesOddly, refusesFull, refusesFull, refusesFull},
		"broken before its head, then rejected":      {breaksBeforeHead, rejects},
		"broken before its first token, then full":   {breaksBeforeToken, refusesFull, refusesFull, refusesFull},
		"broken after a token, then rejected":        {breaksAfterToken, rejects},
		"refused by all":                             {refusesFull, refusesDraining, refusesFull, refusesFull},
		"rejected at once":                           {rejects},
		"another answer, then rejected as malformed": {answersAnother, rejects},
	} {
		t.Run(name, func(t *testing.T) {
			scripted := &scriptedEngine{draw: draw}
			gateway := newPromiseGateway(t, scripted)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			generation := gateway.newGeneration(promiseRequest(true), nil)
			defer generation.close()
			requireTrue(t, scripted, true, drain(ctx, generation))
		})
		t.Run("call: "+name, func(t *testing.T) {
			scripted := &scriptedEngine{draw: draw}
			gateway := newPromiseGateway(t, scripted)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, err := gateway.newGeneration(promiseRequest(true), nil).call(ctx, engine.CallRequest{Method: "POST", Path: "/x"})
			requireTrue(t, scripted, true, err)
		})
	}
}

// drain reads a generation to its end.
func drain(ctx context.Context, source *generation) error {
	for {
		event, err := source.next(ctx)
		if err != nil || event.End {
			return err
		}
	}
}

// TestPromisesOverRandomAttempts: any sequence of ends, with and without
// resumption, of requests that may and may not be repeated, also when time runs
// out.
func TestPromisesOverRandomAttempts(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		scripted := &scriptedEngine{resumable: rapid.Bool().Draw(r, "resumable")}
		for range rapid.IntRange(0, 5).Draw(r, "attempts") {
			scripted.draw = append(scripted.draw, behaviour(rapid.IntRange(0, int(behaviours)-1).Draw(r, "behaviour")))
		}
		gateway := newPromiseGateway(t, scripted)
		limit := rapid.SampledFrom([]time.Duration{20 * time.Millisecond, 200 * time.Millisecond}).Draw(r, "time")
		deadline := time.Now().Add(limit)
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()
		source := gateway.newGeneration(promiseRequest(rapid.Bool().Draw(r, "repeatable")), nil)
		defer source.close()
		var err error
		if rapid.Bool().Draw(r, "plain") {
			_, err = source.call(ctx, engine.CallRequest{Method: "POST", Path: "/x"})
		} else {
			err = drain(ctx, source)
		}
		requireTrue(r, scripted, time.Now().Before(deadline), err)
	})
}

// TestRequestThatEndsEnginesIsStopped: a request that may be repeated and ends
// every engine that runs it went on to the next one up to twelve times in one
// call, and again in the next.
func TestRequestThatEndsEnginesIsStopped(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		t.Run(fmt.Sprint("repeatable ", repeatable), func(t *testing.T) { requireStopped(t, repeatable) })
	}
}

func requireStopped(t *testing.T, repeatable bool) {
	engines := []*endingEngine{}
	gateway := newPromiseGateway(t, &scriptedEngine{})
	for _, name := range []string{"e1", "e2", "e3", "dead"} {
		gateway.Registry.Apply(membership.Item{Key: registry.PrefixMachine + name, Version: 2, Payload: registry.MachineRecord{Service: testService, Removed: true}.Encode()})
	}
	for number := range 8 {
		ending := newEndingEngine(t)
		engines = append(engines, ending)
		name := fmt.Sprintf("ending%d", number)
		gateway.Registry.Apply(membership.Item{Key: registry.PrefixMachine + name, Payload: registry.MachineRecord{Address: ending.address, Service: testService}.Encode()})
		record := registry.EngineRecord{Up: true, State: string(engine.StateReady), Models: []string{"m@1"}}
		gateway.Registry.Apply(membership.Item{Key: registry.PrefixEngine + name, Payload: record.Encode()})
	}
	policy := quarantine.Policy{Crashes: 3, Time: time.Minute}
	metrics := telemetry.NewQuarantine(prometheus.NewRegistry())
	gateway.Engines.Quarantine = quarantine.NewGuard(policy, nil, metrics, slog.New(slog.DiscardHandler))
	var last error
	for range 6 {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		last = drain(ctx, gateway.newGeneration(promiseRequest(repeatable), nil))
		cancel()
		require.Error(t, last)
		time.Sleep(50 * time.Millisecond)
	}
	ended := 0
	for _, each := range engines {
		if each.hasEnded.Load() {
			ended++
		}
	}
	require.Equal(t, 3, ended)
	require.True(t, failure.HasCode(last, engine.CodeQuarantined))
	require.True(t, failure.From(last).NotRun, "this call was sent to no engine")
	require.Positive(t, failure.From(last).RetryAfter)
}

// endingEngine ends with all its connections when it begins to run a request.
type endingEngine struct {
	address  string
	listener net.Listener
	hasEnded atomic.Bool
}

func newEndingEngine(t *testing.T) *endingEngine {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	made := &endingEngine{address: listener.Addr().String(), listener: listener}
	go func() { _ = http.Serve(listener, made) }()
	t.Cleanup(func() { _ = listener.Close() })
	return made
}

// ServeHTTP implements http.Handler.
func (e *endingEngine) ServeHTTP(writer http.ResponseWriter, _ *http.Request) {
	e.hasEnded.Store(true)
	_ = e.listener.Close()
	breakOff(writer)
}

// TestOnlyPromisesHaveTheirStatus: callers of this interface repeat on 429 and 503.
func TestOnlyPromisesHaveTheirStatus(t *testing.T) {
	for _, kind := range []failure.Kind{failure.KindOverloaded, failure.KindUnavailable} {
		require.Equal(t, http.StatusBadGateway, failure.New(kind, "x", "x").Status())
		require.Contains(t, []int{http.StatusTooManyRequests, http.StatusServiceUnavailable}, failure.New(kind, "x", "x").WithNotRun().Status())
	}
	scripted := &scriptedEngine{draw: []behaviour{breaksBeforeHead}}
	gateway := newPromiseGateway(t, scripted)
	ended, end := context.WithCancel(context.Background())
	gateway.lifetime = ended
	ctx, cancel := context.WithCancel(ended)
	defer cancel()
	source := gateway.newGeneration(promiseRequest(true), nil)
	source.ran.Sent()
	end()
	requireTrue(t, &scriptedEngine{ran: 1}, true, source.endedError(ctx, ctx.Err()))
	requireTrue(t, &scriptedEngine{}, true, gateway.newGeneration(promiseRequest(true), nil).endedError(ctx, ctx.Err()))
}

// TestRequestThatMayHaveRunGoesToNoOtherZone: a request whose attempt here has an
// unknown end was passed to another zone when the other engines here were full,
// and that zone's "not run" was passed on to the caller.
func TestRequestThatMayHaveRunGoesToNoOtherZone(t *testing.T) {
	gateway := newPromiseGateway(t, &scriptedEngine{})
	for _, code := range []string{codeNoEngine, codeEnginesFull} {
		source := gateway.newGeneration(promiseRequest(true), nil)
		require.True(t, canForward(source.overloadedError(code, "x")))
		source.ran.Sent()
		require.False(t, canForward(source.overloadedError(code, "x")))
	}
}
