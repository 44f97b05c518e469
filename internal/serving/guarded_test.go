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
	"topazpulley/internal/boottime"
	"topazpulley/internal/quarantine"
	"topazpulley/internal/route"
	"topazpulley/internal/serving"
	"topazpulley/internal/telemetry"
)

var quarantinePolicy = quarantine.Policy{Crashes: 3, Time: 10 * time.Minute}

func newGuard() *quarantine.Guard {
	return quarantine.NewGuard(quarantinePolicy, nil, telemetry.NewQuarantine(prometheus.NewRegistry()), slog.New(slog.DiscardHandler))
}

// crashSender is a sender whose backends crash on requests for one target and answer
// others.
type crashSender struct {
	script
	culprit string
	crashed map[string]bool
}

func (s *crashSender) Send(ctx context.Context, attempt serving.Attempt) (serving.Answer, error) {
	s.mutex.Lock()
	hasCrashed := s.crashed[attempt.Instance.ID]
	isCulprit := attempt.Target == s.culprit
	if isCulprit && !hasCrashed {
		s.crashed[attempt.Instance.ID] = true
		s.runs++
	}
	s.mutex.Unlock()
	switch {
	case hasCrashed:
		return nil, &serving.AttemptError{Outcome: serving.OutcomeNotRun, Reason: serving.ReasonUnreachable}
	case isCulprit:
		return nil, &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonBroken}
	}
	return s.script.Send(ctx, attempt)
}

func (s *crashSender) HasEnded(_ context.Context, attempt serving.Attempt) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.crashed[attempt.Instance.ID]
}

// newGuardedCore returns a core with the given number of backends and a guarded sender.
func newGuardedCore(sender serving.Sender, guard *quarantine.Guard, count int) *serving.Core {
	backends := backend.NewSet()
	for index := range count {
		backends.Put(backend.Instance{ID: fmt.Sprintf("b%02d", index), Version: "v1", Service: "s", Slots: 4})
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

// TestQuarantinedRequestNotSent checks that a quarantined request is not sent: neither as
// a retry within the call in which the last backend crashed nor in later calls.
func TestQuarantinedRequestNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &crashSender{culprit: "/culprit", crashed: map[string]bool{}}
		sender.ran, sender.lastSeen = map[string]bool{}, &recorder{}
		core := newGuardedCore(sender, newGuard(), 20)
		for number := range 10 {
			caller := &recorder{}
			before := sender.runs
			core.Serve(t.Context(), safeRequest(fmt.Sprint("r", number), "/culprit"), caller)
			time.Sleep(100 * time.Millisecond)
			require.Len(t, caller.refusals, 1)
			if sender.runs > before {
				require.Equal(t, serving.VerdictUnknown, caller.refusals[0].Verdict, "it ran in this call")
				continue
			}
			require.Equal(t, serving.VerdictQuarantined, caller.refusals[0].Verdict)
			require.Greater(t, caller.refusals[0].RetryAfter, quarantinePolicy.Time-time.Minute)
		}
		require.LessOrEqual(t, sender.runs, 2*quarantinePolicy.Crashes-1, "only one call that began before the quarantine may continue")
		caller := &recorder{}
		core.Serve(t.Context(), safeRequest("other", "/other"), caller)
		require.Equal(t, 1, caller.complete, "others are served")
	})
}

// TestGuardedSenderRefusesQuarantined checks that the sender itself refuses quarantined
// requests and their reservations, if its caller does not check for quarantine.
func TestGuardedSenderRefusesQuarantined(t *testing.T) {
	sender := &crashSender{culprit: "none", crashed: map[string]bool{}}
	sender.ran, sender.lastSeen = map[string]bool{}, &recorder{}
	guard, backends := newGuard(), backend.NewSet()
	guarded := serving.NewGuardedSender(sender, guard, backends, slog.New(slog.DiscardHandler))
	fingerprint := quarantine.FingerprintOf("POST", "/culprit", "", nil)
	attempt := serving.Attempt{Fingerprint: fingerprint, Target: "/culprit", Remaining: time.Second, Instance: backend.Instance{ID: "b"}}
	_, err := guarded.Send(t.Context(), attempt)
	require.NoError(t, err)
	for number := range quarantinePolicy.Crashes {
		guard.Crashed(fmt.Sprint("i", number), []quarantine.Run{{Fingerprint: fingerprint}})
	}
	sends := sender.sends
	_, err = guarded.Send(t.Context(), attempt)
	var refused *serving.AttemptError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, serving.OutcomeNotRun, refused.Outcome)
	require.Equal(t, serving.ReasonQuarantined, refused.Reason)
	_, err = guarded.Reserve(t.Context(), serving.ReservationRequest{Attempt: attempt, Tokens: 10})
	require.ErrorAs(t, err, &refused)
	require.Equal(t, sends, sender.sends)
	require.Zero(t, sender.reserveCalls)
}

// crashesUntilQuarantined returns how many crashes quarantine a request, one of them before a stream
// that a backend ends as given.
func crashesUntilQuarantined(t *testing.T, end behaviour) (crashes int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		caller := &recorder{}
		sender := &script{draw: []behaviour{end}, ran: map[string]bool{}, lastSeen: caller}
		guard := newGuard()
		core := newGuardedCore(sender, guard, 1)
		fingerprint := quarantine.FingerprintOf("POST", "/stream", "", nil)
		crash := func() {
			guard.Crashed(fmt.Sprint("i", crashes), []quarantine.Run{{Fingerprint: fingerprint}})
			crashes++
			time.Sleep(time.Minute)
		}
		crash()
		now := time.Now()
		policy := *resumableRoute
		policy.Resumable = false
		core.Serve(t.Context(), serving.Request{ID: "r", Method: "POST", Target: "/stream", Route: &policy, Service: "s", Arrived: now, Deadline: now.Add(time.Second)}, caller)
		const most = 10
		for isQuarantined := false; !isQuarantined && crashes < most; _, isQuarantined = guard.Verdict(fingerprint, nil) {
			crash()
		}
	})
	return crashes
}

// Guards against a stream that broke off and clears the evidence against its request.
func TestBrokenStreamIsNoEvidenceForItsRequest(t *testing.T) {
	require.Equal(t, quarantinePolicy.Crashes, crashesUntilQuarantined(t, breaksInBody))
	require.Greater(t, crashesUntilQuarantined(t, answers), quarantinePolicy.Crashes, "a whole one does")
}

// Guards against a long stream that began before a part of its prompt turned bad, and whose end
// clears the evidence since then.
func TestEndOfLongStreamClearsNoPart(t *testing.T) {
	sender := &script{ran: map[string]bool{}, lastSeen: &recorder{}}
	guard, parts := newGuard(), quarantine.Parts{quarantine.PartFingerprint("s", "a")}
	guarded := serving.NewGuardedSender(sender, guard, backend.NewSet(), slog.New(slog.DiscardHandler))
	answer, err := guarded.Send(t.Context(), serving.Attempt{ID: "r", Parts: parts, Stream: true, Remaining: time.Second, Instance: backend.Instance{ID: "b"}})
	require.NoError(t, err)
	read := func() serving.Ending {
		_, ending, err := answer.Next()
		require.NoError(t, err)
		return ending
	}
	for range 2 {
		require.Equal(t, serving.EndingNone, read())
	}
	later := boottime.Now().Add(time.Minute)
	guard.Clock = func() boottime.Instant { return later }
	for number := range quarantinePolicy.Crashes + 1 {
		guard.Crashed(fmt.Sprint("b", number), []quarantine.Run{{Fingerprint: quarantine.Fingerprint{byte(number)}, Parts: parts}})
	}
	for read() == serving.EndingNone {
	}
	_, isHeld := guard.Verdict(quarantine.Fingerprint{}, parts)
	require.True(t, isHeld)
}

// TestCrashIsNoEvidenceAgainstItems guards against items that are quarantined, or that make their
// prompt parts or requests of the same content quarantined, since they were at backends that crashed.
func TestCrashIsNoEvidenceAgainstItems(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &crashSender{culprit: "/item", crashed: map[string]bool{}}
		sender.ran, sender.lastSeen = map[string]bool{}, &recorder{}
		guard := newGuard()
		guarded := serving.NewGuardedSender(sender, guard, backend.NewSet(), slog.New(slog.DiscardHandler))
		fingerprint, parts := quarantine.FingerprintOf("POST", "/item", "", nil), quarantine.Parts{quarantine.PartFingerprint("s", "part")}
		for number := range 4 * quarantinePolicy.Crashes {
			_, err := guarded.Send(t.Context(), serving.Attempt{
				Fingerprint: fingerprint, Parts: parts, IsItem: true, Target: "/item", Remaining: time.Second, Instance: backend.Instance{ID: fmt.Sprint("b", number)},
			})
			var failed *serving.AttemptError
			require.ErrorAs(t, err, &failed)
			require.Equal(t, serving.ReasonBroken, failed.Reason, "the item is sent")
			time.Sleep(time.Second)
		}
		_, isQuarantined := guard.Verdict(fingerprint, parts)
		require.False(t, isQuarantined)
	})
}
