package serving_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/responsetimeout"
	"topazpulley/internal/route"
	"topazpulley/internal/serving"
	"topazpulley/internal/telemetry"
)

const (
	// workTime is what the backends of these tests take, and objective and callerTime
	// what their callers want and wait.
	workTime   = 15 * time.Millisecond
	objective  = 200 * time.Millisecond
	callerTime = time.Second
)

// swallower is a sender to backends, some of which swallow requests.
type swallower struct {
	mutex    sync.Mutex
	swallows map[string]bool
	// takes is what the others need.
	takes time.Duration
	// sent are the backends to which attempts went; cancelled counts the attempts
	// that were ended from this side, and atWork those whose backend was at work.
	sent      []string
	cancelled int
	atWork    int
	running   int
	most      int
}

func (s *swallower) begin(id string) (isSwallowed bool, takes time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sent = append(s.sent, id)
	s.running++
	s.most = max(s.most, s.running)
	return s.swallows[id], s.takes
}

func (s *swallower) end(isCancelled, isSwallowed bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running--
	if isCancelled {
		s.cancelled++
	}
	if isCancelled && !isSwallowed {
		s.atWork++
	}
}

func (s *swallower) Send(ctx context.Context, attempt serving.Attempt) (serving.Answer, error) {
	isSwallowed, takes := s.begin(attempt.Instance.ID)
	if isSwallowed {
		takes = time.Hour
	}
	select {
	case <-ctx.Done():
		s.end(true, isSwallowed)
		return nil, &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonBroken}
	case <-time.After(takes):
		s.end(false, false)
		return &scripted{stream: attempt.Stream, next: attempt.LastEvent + 1, instance: attempt.Instance.ID}, nil
	}
}

// zoned returns a core with two backends in each of three zones.
func zoned(sender serving.Sender) *serving.Core {
	backends := backend.NewSet()
	for _, zone := range []string{"a", "b", "c"} {
		for number := range 2 {
			backends.Put(backend.Instance{ID: fmt.Sprint(zone, number), Zone: zone, Service: "s", Slots: 4})
		}
	}
	metrics := telemetry.NewServing(prometheus.NewRegistry())
	return serving.NewCore(backends, sender, &route.Holder{}, metrics, slog.New(slog.DiscardHandler), func() int { return 1 })
}

func repeatable(attempts int) *route.Route {
	return &route.Route{Kind: route.KindRepeatable, Timeout: callerTime, Objective: objective, MaxAttempts: attempts, Targets: []route.Target{{Service: "s", Weight: 1}}}
}

// serveOne serves one request and returns what its caller got and how long it took.
func serveOne(core *serving.Core, policy *route.Route) (*recorder, time.Duration) {
	caller := &recorder{}
	now := time.Now()
	core.Serve(context.Background(), serving.Request{ID: "r", Route: policy, Service: "s", Arrived: now, Deadline: now.Add(callerTime)}, caller)
	return caller, time.Since(now)
}

// serveMany serves requests in turn, so that the core learns what they take.
func serveMany(core *serving.Core, policy *route.Route, count int) {
	for range count {
		serveOne(core, policy)
	}
}

// TestSilentBackendIsLeftInTime: the backends of a zone swallow requests whose work
// takes 15 ms. Their callers wait for a second and want the answer within 200 ms.
func TestSilentBackendIsLeftInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &swallower{takes: workTime}
		core := zoned(sender)
		serveMany(core, repeatable(3), 200)
		sender.swallows = map[string]bool{"a0": true, "a1": true}
		sender.sent = nil
		for range 12 {
			caller, took := serveOne(core, repeatable(3))
			require.Equal(t, 1, caller.whole)
			require.LessOrEqual(t, took, objective)
		}
		require.Positive(t, sender.cancelled, "no request met a silent back end")
		require.Equal(t, 1, sender.most, "two back ends ran one request at a time")
	})
}

// TestOverloadIsNotMadeWorse: all backends need longer than was learned, and longer than
// callers want. One in ten requests at most is taken from a backend at work, and a
// reserve; then the times that the others took are learned and none is.
func TestOverloadIsNotMadeWorse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &swallower{takes: workTime}
		core := zoned(sender)
		serveMany(core, repeatable(3), 200)
		sender.takes = 300 * time.Millisecond
		serveMany(core, repeatable(3), 200)
		require.LessOrEqual(t, sender.atWork, 40)
		before := sender.atWork
		serveMany(core, repeatable(3), 200)
		require.Equal(t, before, sender.atWork)
	})
}

// TestWhatMayRunOnceIsNeverLeft, nor an attempt that is the last: a backend that is
// slower than all before comes to its end.
func TestWhatMayRunOnceIsNeverLeft(t *testing.T) {
	for name, policy := range map[string]*route.Route{
		"once":        {Kind: route.KindOnce, Timeout: callerTime, Objective: objective, MaxAttempts: 3, Targets: []route.Target{{Service: "s", Weight: 1}}},
		"one attempt": repeatable(1),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sender := &swallower{takes: workTime}
				core := zoned(sender)
				serveMany(core, policy, 200)
				sender.takes = callerTime * 9 / 10
				sender.sent = nil
				caller, _ := serveOne(core, policy)
				require.Len(t, sender.sent, 1)
				require.Equal(t, 1, caller.whole)
				require.Zero(t, sender.cancelled)
			})
		})
	}
}

// TestEarlyEndsHaveABudget, whatever the patience rests on: work that is always later
// than it.
func TestEarlyEndsHaveABudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &swallower{takes: objective * 3 / 4}
		core := zoned(sender)
		core.Patience = responsetimeout.NewEstimates(responsetimeout.ModeFixed)
		serveMany(core, repeatable(3), 200)
		require.Positive(t, sender.atWork)
		require.LessOrEqual(t, sender.atWork, 10+200/10)
	})
}

// TestZoneOfASilentBackendIsLeft: five of six backends stand in a zone that is cut off.
func TestZoneOfASilentBackendIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &swallower{takes: workTime, swallows: map[string]bool{}}
		core := zoned(sender)
		for number := range 3 {
			core.Backends.Put(backend.Instance{ID: fmt.Sprint("a", 2+number), Zone: "a", Service: "s", Slots: 4})
		}
		for _, id := range []string{"b0", "b1", "c0"} {
			core.Backends.Remove(id)
		}
		serveMany(core, repeatable(3), 200)
		for number := range 5 {
			sender.swallows[fmt.Sprint("a", number)] = true
		}
		for range 5 {
			sender.sent = nil
			caller, _ := serveOne(core, repeatable(3))
			require.Equal(t, 1, caller.whole)
			require.LessOrEqual(t, len(sender.sent), 2, "asked in the silent zone again: %v", sender.sent)
		}
	})
}

// TestAttemptsStayWithinTheRoutes: all backends are silent.
func TestAttemptsStayWithinTheRoutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &swallower{takes: workTime}
		core := zoned(sender)
		serveMany(core, repeatable(2), 200)
		sender.swallows = map[string]bool{"a0": true, "a1": true, "b0": true, "b1": true, "c0": true, "c1": true}
		sender.sent = nil
		caller, _ := serveOne(core, repeatable(2))
		require.Len(t, sender.sent, 2)
		require.Len(t, caller.refusals, 1)
		require.NotEqual(t, serving.VerdictNotRun, caller.refusals[0].Verdict)
	})
}

// TestSilentZoneIsTheOnlyOne: the request is sent to the zone's other backend.
func TestSilentZoneIsTheOnlyOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &swallower{takes: workTime}
		core := zoned(sender)
		for _, id := range []string{"b0", "b1", "c0", "c1"} {
			core.Backends.Remove(id)
		}
		serveMany(core, repeatable(3), 200)
		sender.swallows = map[string]bool{"a0": true}
		for range 6 {
			caller, took := serveOne(core, repeatable(3))
			require.Equal(t, 1, caller.whole)
			require.LessOrEqual(t, took, objective)
		}
	})
}

// TestStreamWithoutAFirstEventGoesElsewhereWhenItIsLate, not after four objectives, and
// not before.
func TestStreamWithoutAFirstEventGoesElsewhereWhenItIsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stream := &route.Route{Kind: route.KindStream, Resumable: true, Timeout: callerTime, Objective: objective, MaxAttempts: 3, Targets: []route.Target{{Service: "s", Weight: 1}}}
		sender := &swallower{takes: workTime}
		core := zoned(sender)
		serveMany(core, stream, 200)
		sender.swallows = map[string]bool{"a0": true, "a1": true}
		for range 12 {
			caller, took := serveOne(core, stream)
			require.Equal(t, wholeText(), caller.text.String())
			require.LessOrEqual(t, took, objective+3*workTime)
		}
		require.Positive(t, sender.cancelled, "no stream met a silent back end")
	})
}
