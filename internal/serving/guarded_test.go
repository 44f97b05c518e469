package serving_test

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/quarantine"
	"topazpulley/internal/route"
	"topazpulley/internal/serving"
	"topazpulley/internal/telemetry"
)

var quarantinePolicy = quarantine.Policy{Crashes: 3, Time: 10 * time.Minute}

func newGuard() *quarantine.Guard {
	return quarantine.NewGuard(quarantinePolicy, nil, telemetry.NewQuarantine(prometheus.NewRegistry()), slog.New(slog.DiscardHandler))
}

// ending is a sender whose backends end under one target and answer others.
type ending struct {
	script
	culprit string
	ended   map[string]bool
}

func (s *ending) Send(ctx context.Context, attempt serving.Attempt) (serving.Answer, error) {
	s.mutex.Lock()
	isEnded := s.ended[attempt.Instance.ID]
	isCulprit := attempt.Target == s.culprit
	if isCulprit && !isEnded {
		s.ended[attempt.Instance.ID] = true
		s.runs++
	}
	s.mutex.Unlock()
	switch {
	case isEnded:
		return nil, &serving.AttemptError{Outcome: serving.OutcomeNotRun, Reason: serving.ReasonUnreachable}
	case isCulprit:
		return nil, &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonBroken}
	}
	return s.script.Send(ctx, attempt)
}

func (s *ending) HasEnded(_ context.Context, attempt serving.Attempt) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ended[attempt.Instance.ID]
}

// newGuardedCore is a core with many backends behind a guarded sender.
func newGuardedCore(sender serving.Sender, guard *quarantine.Guard, count int) *serving.Core {
	backends := backend.NewSet()
	for index := range count {
		backends.Put(backend.Instance{ID: fmt.Sprintf("b%02d", index), Service: "s", Slots: 4})
	}
	guarded := serving.NewGuardedSender(sender, guard, backends, slog.New(slog.DiscardHandler))
	metrics := telemetry.NewServing(prometheus.NewRegistry())
	core := serving.NewCore(backends, guarded, &route.Holder{}, metrics, slog.New(slog.DiscardHandler), func() int { return 1 })
	core.Quarantine = guard
	return core
}

func safeRequest(id, target string) serving.Request {
	now := time.Now()
	policy := &route.Route{
		Kind: route.KindRepeatable, Timeout: time.Second, Objective: 100 * time.Millisecond, MaxAttempts: 3,
		Targets: []route.Target{{Service: "s", Weight: 1}},
	}
	return serving.Request{ID: id, Method: "GET", Target: target, Route: policy, Service: "s", Arrived: now, Deadline: now.Add(time.Second)}
}

// TestQuarantinedRequestIsNeverSent: not at the first try, not as a retry within
// the call in which the last backend ended, and not when it comes again.
func TestQuarantinedRequestIsNeverSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &ending{culprit: "/culprit", ended: map[string]bool{}}
		sender.ran, sender.lastSeen = map[string]bool{}, &recorder{}
		core := newGuardedCore(sender, newGuard(), 20)
		for number := range 10 {
			told := &recorder{}
			before := sender.runs
			core.Serve(t.Context(), safeRequest(fmt.Sprint("r", number), "/culprit"), told)
			time.Sleep(100 * time.Millisecond)
			require.Len(t, told.refusals, 1)
			if sender.runs > before {
				require.Equal(t, serving.VerdictUnknown, told.refusals[0].Verdict, "it ran in this call")
				continue
			}
			require.Equal(t, serving.VerdictQuarantined, told.refusals[0].Verdict)
			require.Greater(t, told.refusals[0].RetryAfter, quarantinePolicy.Time-time.Minute)
		}
		require.LessOrEqual(t, sender.runs, 2*quarantinePolicy.Crashes-1, "one call that had begun goes on at most")
		told := &recorder{}
		core.Serve(t.Context(), safeRequest("other", "/other"), told)
		require.Equal(t, 1, told.whole, "others are served")
	})
}

// TestGuardedSenderRefusesWhateverTheWay: a caller that does not ask the guard
// itself, and questions for places.
func TestGuardedSenderRefusesWhateverTheWay(t *testing.T) {
	sender := &ending{culprit: "none", ended: map[string]bool{}}
	sender.ran, sender.lastSeen = map[string]bool{}, &recorder{}
	guard, backends := newGuard(), backend.NewSet()
	guarded := serving.NewGuardedSender(sender, guard, backends, slog.New(slog.DiscardHandler))
	held := quarantine.FingerprintOf("POST", "/culprit", "", nil)
	attempt := serving.Attempt{Fingerprint: held, Target: "/culprit", Remaining: time.Second, Instance: backend.Instance{ID: "b"}}
	_, err := guarded.Send(t.Context(), attempt)
	require.NoError(t, err)
	for number := range quarantinePolicy.Crashes {
		guard.Crashed(fmt.Sprint("i", number), []quarantine.Run{{Fingerprint: held}})
	}
	sends := sender.sends
	_, err = guarded.Send(t.Context(), attempt)
	var refused *serving.AttemptError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, serving.OutcomeNotRun, refused.Outcome)
	require.Equal(t, serving.ReasonQuarantined, refused.Reason)
	_, err = guarded.Reserve(t.Context(), serving.Reservation{Attempt: attempt, Tokens: 10})
	require.ErrorAs(t, err, &refused)
	require.Equal(t, sends, sender.sends)
	require.Zero(t, sender.asked)
}
