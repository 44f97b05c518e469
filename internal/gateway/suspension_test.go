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

// hangingEngine accepts every attempt and then hangs, after a first token if givesToken
// is set.
type hangingEngine struct {
	givesToken bool
	attempts   atomic.Int64
	cancelled  atomic.Int64
	// release ends all hanging attempts when it is closed.
	release chan struct{}
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
	case <-e.release:
	case <-request.Context().Done():
	}
}

// suspendableGateway is a gateway with a simulated machine suspension: Clock, which
// includes suspended time, advances by slept; the monotonic clock does not.
type suspendableGateway struct {
	*Gateway
	slept atomic.Int64
}

func newSuspendableGateway(t *testing.T, hanging *hangingEngine) *suspendableGateway {
	t.Helper()
	hanging.release = make(chan struct{})
	server := httptest.NewServer(hanging)
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(hanging.release) })
	gateway := &suspendableGateway{Gateway: newTestGateway(t, &scriptedEngine{})}
	for _, name := range []string{"e2", "e3", "dead"} {
		gateway.Registry.Apply(membership.Item{Key: registry.PrefixMachine + name, Version: 2, Payload: registry.MachineRecord{Service: testService, Removed: true}.Encode()})
	}
	address := strings.TrimPrefix(server.URL, "http://")
	gateway.Registry.Apply(membership.Item{Key: registry.PrefixMachine + "e1", Version: 2, Payload: registry.MachineRecord{Address: address, Service: testService}.Encode()})
	gateway.Engines.StallTimeout = time.Minute
	gateway.Clock = func() boottime.Instant { return boottime.Now().Add(time.Duration(gateway.slept.Load())) }
	gateway.Wakeups = boottime.NewWakeups(gateway.Clock, slog.New(slog.DiscardHandler))
	go gateway.Wakeups.Run(t.Context())
	return gateway
}

// serve runs one request with a deadline after timeout. If record is set, it is called
// before each attempt.
func (g *suspendableGateway) serve(timeout time.Duration, isPlain, isRepeatable bool, record intentRecorder) error {
	request := newTestRequest(isRepeatable)
	request.arrivedMark = g.Clock.Mark()
	ctx, cancel := g.deadlineContext(request, time.Now().Add(timeout))
	defer cancel()
	source := g.newGeneration(request, record)
	defer source.close()
	if isPlain {
		_, err := source.call(ctx, engine.CallRequest{Method: "POST", Path: "/x"})
		return err
	}
	return drain(ctx, source)
}

// TestDeadlineAppliesAfterSuspension checks that requests, and their attempts at engines,
// end when their deadline passes during a suspension or soon after it. Timers alone would
// fire later, because they do not advance during a suspension.
func TestDeadlineAppliesAfterSuspension(t *testing.T) {
	const timeout, suspension, bound = 20 * time.Second, 19500 * time.Millisecond, 10 * time.Second
	for name, each := range map[string]struct {
		isPlain, givesToken, isOnce bool
		suspension                  time.Duration
	}{
		"call":                                               {true, false, false, time.Minute},
		"call, some time left":                               {true, false, false, suspension},
		"generation without response headers":                {false, false, false, time.Minute},
		"generation after its first token":                   {false, true, false, time.Minute},
		"generation after a token, some time left":           {false, true, false, suspension},
		"non-repeatable generation without response headers": {false, false, true, time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			hanging := &hangingEngine{givesToken: each.givesToken}
			gateway := newSuspendableGateway(t, hanging)
			time.AfterFunc(300*time.Millisecond, func() { gateway.slept.Add(int64(each.suspension)) })
			started := time.Now()
			err := gateway.serve(timeout, each.isPlain, !each.isOnce, nil)
			require.Less(t, time.Since(started), bound)
			require.True(t, failure.Is(err, failure.KindDeadline), "%v", err)
			require.False(t, failure.From(err).NotRun, "an engine had accepted the attempt")
			require.EqualValues(t, 1, hanging.attempts.Load())
			if each.isOnce {
				time.Sleep(100 * time.Millisecond)
				require.Zero(t, hanging.cancelled.Load(), "the only attempt of a non-repeatable request was cancelled")
			} else if !each.isPlain {
				require.Eventually(t, func() bool { return hanging.cancelled.Load() == 1 }, bound, 10*time.Millisecond)
			}
		})
	}
}

// TestNothingIsSentAfterDeadlineInSuspension checks that a request whose deadline passes
// in a suspension, while its attempt is recorded, is not sent and is reported as not run.
func TestNothingIsSentAfterDeadlineInSuspension(t *testing.T) {
	const timeout = 4 * time.Second
	for _, span := range []time.Duration{5 * time.Second, time.Minute} {
		for _, isPlain := range []bool{true, false} {
			hanging := &hangingEngine{}
			gateway := newSuspendableGateway(t, hanging)
			err := gateway.serve(timeout, isPlain, true, func(context.Context, registry.Engine, string) error {
				gateway.slept.Add(int64(span))
				return nil
			})
			require.Zero(t, hanging.attempts.Load())
			require.True(t, failure.Is(err, failure.KindDeadline), "%v", err)
			require.True(t, failure.From(err).NotRun)
		}
	}
}
