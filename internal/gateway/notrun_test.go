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

// behaviour is the response of a scripted engine to one attempt.
type behaviour int

const (
	answers behaviour = iota
	refusesFull
	refusesDraining
	refusesUnknownCode
	rejects
	breaksBeforeHeaders
	breaksBeforeToken
	breaksAfterToken
	answersWrongAttempt
	behaviours
)

// scriptedEngine responds to attempts as scripted and counts the attempts that
// it started to run. After the script it refuses attempts as full.
type scriptedEngine struct {
	mutex  sync.Mutex
	script []behaviour
	sends  int
	ran    int
	// resumable means that broken attempts can be resumed.
	resumable bool
}

func (e *scriptedEngine) next() behaviour {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	chosen := refusesFull
	if e.sends < len(e.script) {
		chosen = e.script[e.sends]
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

// abortConnection resets the connection before the response is complete.
func abortConnection(writer http.ResponseWriter) {
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
	case refusesUnknownCode:
		refuseWith(writer, http.StatusInternalServerError, "out_of_memory")
	case rejects:
		refuseWith(writer, http.StatusBadRequest, engine.RefusalBadRequest)
	case breaksBeforeHeaders:
		abortConnection(writer)
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
		abortConnection(writer)
	case answersWrongAttempt:
		event(writer, engine.Event{AttemptID: "another", Token: "x"})
	case breaksAfterToken:
		event(writer, engine.Event{AttemptID: id, Token: "x"})
		abortConnection(writer)
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

// newTestGateway returns a gateway with three engines that share one scripted engine,
// and a fourth whose address refuses connections.
func newTestGateway(t testing.TB, scripted *scriptedEngine) *Gateway {
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

func newTestRequest(repeatable bool) onlineRequest {
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

// requireCorrectNotRun checks that an error is reported as not run only if the engine
// ran no attempt. If it ran none, the error must be reported as not run, unless the
// deadline passed while an attempt was in progress.
func requireCorrectNotRun(t require.TestingT, scripted *scriptedEngine, isBeforeDeadline bool, err error) {
	if err == nil {
		return
	}
	answer := failure.From(err)
	isNotRun := answer.NotRun || answer.Status() == http.StatusTooManyRequests || answer.Status() == http.StatusServiceUnavailable
	if scripted.hasRun() {
		require.False(t, isNotRun, "reported as not run, but an engine ran it: %v", err)
		return
	}
	require.True(t, isNotRun || !isBeforeDeadline || answer.Kind == failure.KindDeadline, "no engine ran it, but not reported as not run: %v", err)
}

// TestNotRunAfterUnknownOutcome checks that a repeatable request is not reported as not
// run if an attempt had an unknown outcome and the other engines then refused it.
func TestNotRunAfterUnknownOutcome(t *testing.T) {
	for name, script := range map[string][]behaviour{
		"answer of another attempt, then refused":       {answersWrongAttempt, refusesFull, refusesFull, refusesFull},
		"broken before response headers, then refused":  {breaksBeforeHeaders, refusesFull, refusesFull, refusesFull},
		"unknown refusal code, then refused":            {refusesUnknownCode, refusesFull, refusesFull, refusesFull},
		"broken before response headers, then rejected": {breaksBeforeHeaders, rejects},
		"broken before first token, then full":          {breaksBeforeToken, refusesFull, refusesFull, refusesFull},
		"broken after a token, then rejected":           {breaksAfterToken, rejects},
		"refused by all engines":                        {refusesFull, refusesDraining, refusesFull, refusesFull},
		"rejected by the first engine":                  {rejects},
		"answer of another attempt, then rejected":      {answersWrongAttempt, rejects},
	} {
		t.Run(name, func(t *testing.T) {
			scripted := &scriptedEngine{script: script}
			gateway := newTestGateway(t, scripted)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			generation := gateway.newGeneration(newTestRequest(true), nil)
			defer generation.close()
			requireCorrectNotRun(t, scripted, true, drain(ctx, generation))
		})
		t.Run("call: "+name, func(t *testing.T) {
			scripted := &scriptedEngine{script: script}
			gateway := newTestGateway(t, scripted)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, err := gateway.newGeneration(newTestRequest(true), nil).call(ctx, engine.CallRequest{Method: "POST", Path: "/x"})
			requireCorrectNotRun(t, scripted, true, err)
		})
	}
}

// drain reads a generation until it ends or fails.
func drain(ctx context.Context, source *generation) error {
	for {
		event, err := source.next(ctx)
		if err != nil || event.End {
			return err
		}
	}
}

// TestNotRunOverRandomOutcomes checks the not-run report over random sequences of attempt
// outcomes, with and without resumption, for repeatable and non-repeatable requests, and
// when the deadline passes.
func TestNotRunOverRandomOutcomes(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		scripted := &scriptedEngine{resumable: rapid.Bool().Draw(r, "resumable")}
		for range rapid.IntRange(0, 5).Draw(r, "attempts") {
			scripted.script = append(scripted.script, behaviour(rapid.IntRange(0, int(behaviours)-1).Draw(r, "behaviour")))
		}
		gateway := newTestGateway(t, scripted)
		limit := rapid.SampledFrom([]time.Duration{20 * time.Millisecond, 200 * time.Millisecond}).Draw(r, "time")
		deadline := time.Now().Add(limit)
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()
		source := gateway.newGeneration(newTestRequest(rapid.Bool().Draw(r, "repeatable")), nil)
		defer source.close()
		var err error
		if rapid.Bool().Draw(r, "plain") {
			_, err = source.call(ctx, engine.CallRequest{Method: "POST", Path: "/x"})
		} else {
			err = drain(ctx, source)
		}
		requireCorrectNotRun(r, scripted, time.Now().Before(deadline), err)
	})
}

// TestCrashingRequestIsQuarantined checks that a request that crashes engines is
// quarantined after three crashes and not sent to further engines, within one call or in
// later ones.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		t.Run(fmt.Sprint("repeatable ", repeatable), func(t *testing.T) { requireQuarantined(t, repeatable) })
	}
}

// newCrashingGateway returns a gateway whose engines crash on each request.
func newCrashingGateway(t *testing.T) (*Gateway, []*crashingEngine) {
	engines := []*crashingEngine{}
	gateway := newTestGateway(t, &scriptedEngine{})
	for _, name := range []string{"e1", "e2", "e3", "dead"} {
		gateway.Registry.Apply(membership.Item{Key: registry.PrefixMachine + name, Version: 2, Payload: registry.MachineRecord{Service: testService, Removed: true}.Encode()})
	}
	for number := range 8 {
		crashing := newCrashingEngine(t)
		engines = append(engines, crashing)
		name := fmt.Sprintf("ending%d", number)
		gateway.Registry.Apply(membership.Item{Key: registry.PrefixMachine + name, Payload: registry.MachineRecord{Address: crashing.address, Service: testService}.Encode()})
		record := registry.EngineRecord{Up: true, State: string(engine.StateReady), Models: []string{"m@1"}}
		gateway.Registry.Apply(membership.Item{Key: registry.PrefixEngine + name, Payload: record.Encode()})
	}
	policy := quarantine.Policy{Crashes: 3, Time: time.Minute}
	metrics := telemetry.NewQuarantine(prometheus.NewRegistry())
	gateway.Engines.Quarantine = quarantine.NewGuard(policy, nil, metrics, slog.New(slog.DiscardHandler))
	return gateway, engines
}

func crashCount(engines []*crashingEngine) int {
	crashed := 0
	for _, each := range engines {
		if each.hasCrashed.Load() {
			crashed++
		}
	}
	return crashed
}

// Guards against chats that differ but for one message crashing one engine after the other.
func TestMessageThatCrashesEnginesIsHeld(t *testing.T) {
	gateway, engines := newCrashingGateway(t)
	send := func(input string) error {
		request := newTestRequest(false)
		request.input = json.RawMessage(input)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		defer time.Sleep(50 * time.Millisecond)
		return drain(ctx, gateway.newGeneration(request, nil))
	}
	var last error
	for number := range 7 {
		last = send(fmt.Sprintf(`[{"role":"system","content":"bad"},{"role":"user","content":"%d"}]`, number))
	}
	require.Equal(t, 4, crashCount(engines))
	require.True(t, failure.HasCode(last, engine.CodeQuarantined))
	require.False(t, failure.HasCode(send(`[{"role":"system","content":"good"},{"role":"user","content":"0"}]`), engine.CodeQuarantined))
}

func requireQuarantined(t *testing.T, repeatable bool) {
	gateway, engines := newCrashingGateway(t)
	var last error
	for range 6 {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		last = drain(ctx, gateway.newGeneration(newTestRequest(repeatable), nil))
		cancel()
		require.Error(t, last)
		time.Sleep(50 * time.Millisecond)
	}
	require.Equal(t, 3, crashCount(engines))
	require.True(t, failure.HasCode(last, engine.CodeQuarantined))
	require.True(t, failure.From(last).NotRun, "the quarantined call is not reported as not run")
	require.Positive(t, failure.From(last).RetryAfter)
}

// crashingEngine closes its listener and connection when it starts to run a request.
type crashingEngine struct {
	address    string
	listener   net.Listener
	hasCrashed atomic.Bool
}

func newCrashingEngine(t *testing.T) *crashingEngine {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	crashing := &crashingEngine{address: listener.Addr().String(), listener: listener}
	go func() { _ = http.Serve(listener, crashing) }()
	t.Cleanup(func() { _ = listener.Close() })
	return crashing
}

// ServeHTTP implements http.Handler.
func (e *crashingEngine) ServeHTTP(writer http.ResponseWriter, _ *http.Request) {
	e.hasCrashed.Store(true)
	_ = e.listener.Close()
	abortConnection(writer)
}

// TestRetryStatusRequiresNotRun checks that the statuses 429 and 503, on which callers
// retry, are used only for requests that did not run.
func TestRetryStatusRequiresNotRun(t *testing.T) {
	for _, kind := range []failure.Kind{failure.KindOverloaded, failure.KindUnavailable} {
		require.Equal(t, http.StatusBadGateway, failure.New(kind, "x", "x").Status())
		require.Contains(t, []int{http.StatusTooManyRequests, http.StatusServiceUnavailable}, failure.New(kind, "x", "x").WithNotRun().Status())
	}
	scripted := &scriptedEngine{script: []behaviour{breaksBeforeHeaders}}
	gateway := newTestGateway(t, scripted)
	lifetime, stop := context.WithCancel(context.Background())
	gateway.lifetime = lifetime
	ctx, cancel := context.WithCancel(lifetime)
	defer cancel()
	source := gateway.newGeneration(newTestRequest(true), nil)
	source.ran.Sent()
	stop()
	requireCorrectNotRun(t, &scriptedEngine{ran: 1}, true, source.endedError(ctx, ctx.Err()))
	requireCorrectNotRun(t, &scriptedEngine{}, true, gateway.newGeneration(newTestRequest(true), nil).endedError(ctx, ctx.Err()))
}

// TestPossiblyRunRequestIsNotForwarded checks that a request that may have run in this
// zone is not forwarded. Otherwise the other zone could report it as not run.
func TestPossiblyRunRequestIsNotForwarded(t *testing.T) {
	gateway := newTestGateway(t, &scriptedEngine{})
	for _, code := range []string{codeNoEngine, codeEnginesFull} {
		source := gateway.newGeneration(newTestRequest(true), nil)
		require.True(t, canForward(source.overloadedError(code, "x")))
		source.ran.Sent()
		require.False(t, canForward(source.overloadedError(code, "x")))
	}
}
