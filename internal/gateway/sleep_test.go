package gateway

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/boottime"
	"topazpulley/internal/engine"
	"topazpulley/internal/failure"
	"topazpulley/internal/membership"
	"topazpulley/internal/registry"
)

// hangingEngine takes every attempt and says nothing more, behind the first token if
// it gives one.
type hangingEngine struct {
	givesToken bool
	attempts   atomic.Int64
	cancelled  atomic.Int64
	// isEnding ends what hangs.
	isEnding chan struct{}
}

// ServeHTTP implements http.Handler.
func (e *hangingEngine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodDelete {
		e.cancelled.Add(1)
		return
	}
	e.attempts.Add(1)
	if e.givesToken {
		body := engine.GenerateRequest{}
		_ = json.NewDecoder(request.Body).Decode(&body)
		writer.WriteHeader(http.StatusOK)
		event(writer, engine.Event{AttemptID: body.AttemptID, Token: "x"})
	}
	select {
	case <-e.isEnding:
	case <-request.Context().Done():
	}
}

// sleepingGateway is a gateway whose machine can be made to sleep: the clock that
// counts sleep goes on by that much, the steady one stands still.
type sleepingGateway struct {
	*Gateway
	slept atomic.Int64
}

func newSleepingGateway(t *testing.T, hanging *hangingEngine) *sleepingGateway {
	t.Helper()
	hanging.isEnding = make(chan struct{})
	server := httptest.NewServer(hanging)
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(hanging.isEnding) })
	made := &sleepingGateway{Gateway: newPromiseGateway(t, &scriptedEngine{})}
	for _, name := range []string{"e2", "e3", "dead"} {
		made.Registry.Apply(membership.Item{Key: registry.PrefixMachine + name, Version: 2, Payload: registry.MachineRecord{Service: testService, Removed: true}.Encode()})
	}
	address := strings.TrimPrefix(server.URL, "http://")
	made.Registry.Apply(membership.Item{Key: registry.PrefixMachine + "e1", Version: 2, Payload: registry.MachineRecord{Address: address, Service: testService}.Encode()})
	made.Engines.StallTimeout = time.Minute
	made.Clock = func() boottime.Instant { return boottime.Now().Add(time.Duration(made.slept.Load())) }
	made.Wakeups = boottime.NewWakeups(made.Clock, slog.New(slog.DiscardHandler))
	go made.Wakeups.Run(t.Context())
	return made
}

// serve answers one request with so much time, whose attempts are recorded first if
// record is set.
func (g *sleepingGateway) serve(patience time.Duration, isPlain, isRepeatable bool, record intentRecorder) error {
	request := promiseRequest(isRepeatable)
	request.arrivedMark = g.Clock.Mark()
	ctx, cancel := g.deadlineContext(request, time.Now().Add(patience))
	defer cancel()
	source := g.newGeneration(request, record)
	defer source.close()
	if isPlain {
		_, err := source.call(ctx, engine.CallRequest{Method: "POST", Path: "/x"})
		return err
	}
	return drain(ctx, source)
}

// TestRequestsWhoseTimeIsOverEndAfterASleep: their timers would hold them, and the work
// at engines, as long as if the machine had been awake: for 20 s here. It sleeps for all
// but half a second of that, or for longer.
func TestRequestsWhoseTimeIsOverEndAfterASleep(t *testing.T) {
	const patience, sleep, bound = 20 * time.Second, 19500 * time.Millisecond, 10 * time.Second
	for name, each := range map[string]struct {
		isPlain, givesToken, isOnce bool
		sleep                       time.Duration
	}{
		"call":                                       {true, false, false, time.Minute},
		"call, some time left":                       {true, false, false, sleep},
		"generation without head":                    {false, false, false, time.Minute},
		"generation behind its first token":          {false, true, false, time.Minute},
		"generation behind a token, some left":       {false, true, false, sleep},
		"generation that may run once, without head": {false, false, true, time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			hanging := &hangingEngine{givesToken: each.givesToken}
			gateway := newSleepingGateway(t, hanging)
			time.AfterFunc(300*time.Millisecond, func() { gateway.slept.Add(int64(each.sleep)) })
			started := time.Now()
			err := gateway.serve(patience, each.isPlain, !each.isOnce, nil)
			require.Less(t, time.Since(started), bound)
			require.True(t, failure.Is(err, failure.KindDeadline), "%v", err)
			require.False(t, failure.From(err).NotRun, "an engine had taken it")
			require.EqualValues(t, 1, hanging.attempts.Load())
			if each.isOnce {
				time.Sleep(100 * time.Millisecond)
				require.Zero(t, hanging.cancelled.Load(), "its only attempt may be resumed under its key")
			} else if !each.isPlain {
				require.Eventually(t, func() bool { return hanging.cancelled.Load() == 1 }, bound, 10*time.Millisecond)
			}
		})
	}
}

// TestNothingIsSentForACallerThatLeftDuringASleep: nor is it said to have run. The
// machine sleeps while the attempt is recorded, just before it would be sent.
func TestNothingIsSentForACallerThatLeftDuringASleep(t *testing.T) {
	const patience = 4 * time.Second
	for _, span := range []time.Duration{5 * time.Second, time.Minute} {
		for _, isPlain := range []bool{true, false} {
			hanging := &hangingEngine{}
			gateway := newSleepingGateway(t, hanging)
			err := gateway.serve(patience, isPlain, true, func(context.Context, registry.Engine, string) error {
				gateway.slept.Add(int64(span))
				return nil
			})
			require.Zero(t, hanging.attempts.Load())
			require.True(t, failure.Is(err, failure.KindDeadline), "%v", err)
			require.True(t, failure.From(err).NotRun)
		}
	}
}
