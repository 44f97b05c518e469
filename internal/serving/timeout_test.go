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
	// workTime is the duration of the backends' work, objective the objective of the
	// requests, and callerTimeout their deadline.
	workTime      = 15 * time.Millisecond
	objective     = 200 * time.Millisecond
	callerTimeout = time.Second
)

// silentSender is a sender to backends some of which never respond.
type silentSender struct {
	mutex  sync.Mutex
	silent map[string]bool
	// duration is the response time of the other backends.
	duration time.Duration
	// sentTo are the backends to which attempts were sent; cancelled counts the attempts
	// whose context ended before the response, and cancelledWorking those of them at
	// backends that are not silent.
	sentTo           []string
	cancelled        int
	cancelledWorking int
	running          int
	maxRunning       int
	// bothSince is when the second of two attempts that run at once began, and longestBoth the longest
	// time for which two ran.
	bothSince   time.Time
	longestBoth time.Duration
}

func (s *silentSender) begin(id string) (isSilent bool, duration time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sentTo = append(s.sentTo, id)
	s.running++
	if s.running == 2 {
		s.bothSince = time.Now()
	}
	s.maxRunning = max(s.maxRunning, s.running)
	return s.silent[id], s.duration
}

func (s *silentSender) end(isCancelled, isSilent bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.running == 2 {
		s.longestBoth = max(s.longestBoth, time.Since(s.bothSince))
	}
	s.running--
	if isCancelled {
		s.cancelled++
	}
	if isCancelled && !isSilent {
		s.cancelledWorking++
	}
}

func (s *silentSender) Send(ctx context.Context, attempt serving.Attempt) (serving.Answer, error) {
	isSilent, duration := s.begin(attempt.Instance.ID)
	if isSilent {
		duration = time.Hour
	}
	select {
	case <-ctx.Done():
		s.end(true, isSilent)
		return nil, &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonBroken}
	case <-time.After(duration):
		s.end(false, false)
		return &scriptedAnswer{stream: attempt.Stream, next: attempt.LastEvent + 1, instance: attempt.Instance.ID}, nil
	}
}

// newZonedCore returns a core with two backends in each of three zones.
func newZonedCore(sender serving.Sender) *serving.Core {
	backends := backend.NewSet()
	for _, zone := range []string{"a", "b", "c"} {
		for number := range 2 {
			backends.Put(backend.Instance{ID: fmt.Sprint(zone, number), Version: "v1", Zone: zone, Service: "s", Slots: 4})
		}
	}
	metrics := telemetry.NewServing(prometheus.NewRegistry())
	return serving.NewCore(backends, sender, &route.Holder{}, metrics, slog.New(slog.DiscardHandler), func() int { return 1 })
}

func repeatable(attempts int) *route.Route {
	return &route.Route{Kind: route.KindRepeatable, Timeout: callerTimeout, Objective: objective, MaxAttempts: attempts, Targets: []route.Target{{Service: "s", Weight: 1}}}
}

// serveOne serves one request and returns its caller and how long it took.
func serveOne(core *serving.Core, policy *route.Route) (*recorder, time.Duration) {
	caller := &recorder{}
	now := time.Now()
	core.Serve(context.Background(), serving.Request{ID: "r", Route: policy, Service: "s", Arrived: now, Deadline: now.Add(callerTimeout)}, caller)
	return caller, time.Since(now)
}

// serveMany serves requests one after the other, so that the core learns their response
// times.
func serveMany(core *serving.Core, policy *route.Route, count int) {
	for range count {
		serveOne(core, policy)
	}
}

// TestSilentBackendRetriedWithinObjective checks that requests are answered within their
// objective when the backends of one zone do not respond, and that a silent backend works on a request
// beside another only until that one has answered.
func TestSilentBackendRetriedWithinObjective(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &silentSender{duration: workTime}
		core := newZonedCore(sender)
		serveMany(core, repeatable(3), 200)
		sender.silent = map[string]bool{"a0": true, "a1": true}
		sender.sentTo = nil
		// Each request meets a silent backend with a probability of a third.
		for served := 0; served < 12 || sender.cancelled == 0 && served < 200; served++ {
			caller, took := serveOne(core, repeatable(3))
			require.Equal(t, 1, caller.complete)
			require.LessOrEqual(t, took, objective)
		}
		require.Positive(t, sender.cancelled, "no attempt was sent to a silent backend")
		require.LessOrEqual(t, sender.maxRunning, 2)
		require.LessOrEqual(t, sender.longestBoth, workTime, "two backends ran one request concurrently")
	})
}

// TestEarlyEndsBoundedUnderOverload checks that few attempts are ended early when all backends
// become slower than the objective, and none once the new response times are learned.
func TestEarlyEndsBoundedUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &silentSender{duration: workTime}
		core := newZonedCore(sender)
		serveMany(core, repeatable(3), 200)
		sender.duration = 300 * time.Millisecond
		serveMany(core, repeatable(3), 200)
		require.LessOrEqual(t, sender.cancelledWorking, 40)
		before := sender.cancelledWorking
		serveMany(core, repeatable(3), 200)
		require.Equal(t, before, sender.cancelledWorking)
	})
}

// TestUnrepeatableAttemptIsNotEnded checks that a slow attempt is not ended if the request
// may run once or it is the last attempt.
func TestUnrepeatableAttemptIsNotEnded(t *testing.T) {
	for name, policy := range map[string]*route.Route{
		"once":        {Kind: route.KindOnce, Timeout: callerTimeout, Objective: objective, MaxAttempts: 3, Targets: []route.Target{{Service: "s", Weight: 1}}},
		"one attempt": repeatable(1),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sender := &silentSender{duration: workTime}
				core := newZonedCore(sender)
				serveMany(core, policy, 200)
				sender.duration = callerTimeout * 9 / 10
				sender.sentTo = nil
				caller, _ := serveOne(core, policy)
				require.Len(t, sender.sentTo, 1)
				require.Equal(t, 1, caller.complete)
				require.Zero(t, sender.cancelled)
			})
		})
	}
}

// TestEarlyEndsHaveABudget checks that the budget also applies with fixed timeouts, which
// the work always exceeds.
func TestEarlyEndsHaveABudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &silentSender{duration: objective * 3 / 4}
		core := newZonedCore(sender)
		core.ResponseTimes = responsetimeout.NewEstimates(responsetimeout.ModeFixed)
		serveMany(core, repeatable(3), 200)
		require.Positive(t, sender.cancelledWorking)
		require.LessOrEqual(t, sender.cancelledWorking, 10+200/10)
	})
}

// TestZoneOfSilentBackendIsAvoided checks that a retry leaves the zone of a silent backend
// when five of six backends are in that zone.
func TestZoneOfSilentBackendIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &silentSender{duration: workTime, silent: map[string]bool{}}
		core := newZonedCore(sender)
		for number := range 3 {
			core.Backends.Put(backend.Instance{ID: fmt.Sprint("a", 2+number), Version: "v1", Zone: "a", Service: "s", Slots: 4})
		}
		for _, id := range []string{"b0", "b1", "c0"} {
			core.Backends.Remove(id)
		}
		serveMany(core, repeatable(3), 200)
		for number := range 5 {
			sender.silent[fmt.Sprint("a", number)] = true
		}
		for range 5 {
			sender.sentTo = nil
			caller, _ := serveOne(core, repeatable(3))
			require.Equal(t, 1, caller.complete)
			require.LessOrEqual(t, len(sender.sentTo), 2, "sent to the silent zone again: %v", sender.sentTo)
		}
	})
}

// TestSilentAttemptsStayWithinMaxAttempts checks that the route's maximum holds when all
// backends are silent.
func TestSilentAttemptsStayWithinMaxAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &silentSender{duration: workTime}
		core := newZonedCore(sender)
		serveMany(core, repeatable(2), 200)
		sender.silent = map[string]bool{"a0": true, "a1": true, "b0": true, "b1": true, "c0": true, "c1": true}
		sender.sentTo = nil
		caller, _ := serveOne(core, repeatable(2))
		require.Len(t, sender.sentTo, 2)
		require.Len(t, caller.refusals, 1)
		require.NotEqual(t, serving.VerdictNotRun, caller.refusals[0].Verdict)
	})
}

// TestOnlyZoneIsNotAvoided checks that a retry goes to the other backend of the zone if
// there is no other zone.
func TestOnlyZoneIsNotAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &silentSender{duration: workTime}
		core := newZonedCore(sender)
		for _, id := range []string{"b0", "b1", "c0", "c1"} {
			core.Backends.Remove(id)
		}
		serveMany(core, repeatable(3), 200)
		sender.silent = map[string]bool{"a0": true}
		for range 6 {
			caller, took := serveOne(core, repeatable(3))
			require.Equal(t, 1, caller.complete)
			require.LessOrEqual(t, took, objective)
		}
	})
}

// TestStreamWithoutFirstEventRetriedWhenOverdue checks that a stream without a first event
// is retried at another backend when its objective has passed.
func TestStreamWithoutFirstEventRetriedWhenOverdue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stream := &route.Route{Kind: route.KindStream, Resumable: true, Timeout: callerTimeout, Objective: objective, MaxAttempts: 3, Targets: []route.Target{{Service: "s", Weight: 1}}}
		sender := &silentSender{duration: workTime}
		core := newZonedCore(sender)
		serveMany(core, stream, 200)
		sender.silent = map[string]bool{"a0": true, "a1": true}
		// Each request meets a silent backend with a probability of a third.
		for served := 0; served < 12 || sender.cancelled == 0 && served < 200; served++ {
			caller, took := serveOne(core, stream)
			require.Equal(t, completeText(), caller.text.String())
			require.LessOrEqual(t, took, objective+3*workTime)
		}
		require.Positive(t, sender.cancelled, "no stream was sent to a silent backend")
	})
}
