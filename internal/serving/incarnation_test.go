package serving_test

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/quarantine"
	"topazpulley/internal/route"
	"topazpulley/internal/serving"
)

// restartingScript is a script whose first backend to make a reservation restarts under
// the same id right after it and loses the reservation.
type restartingScript struct {
	*script
	core      *serving.Core
	restarted string
}

func (s *restartingScript) Reserve(ctx context.Context, wanted serving.ReservationRequest) (string, error) {
	name, err := s.script.Reserve(ctx, wanted)
	if err == nil && s.restarted == "" {
		s.restarted = wanted.Instance.ID
		successor := wanted.Instance
		successor.StartMillis++
		s.core.Backends.Put(successor)
		s.script.reservation = ""
	}
	return name, err
}

// TestRestartedBackendLosesReservation checks that a reservation is not used at a later
// incarnation of its backend, and that the request tries others at once.
func TestRestartedBackendLosesReservation(t *testing.T) {
	policy := &route.Route{Kind: route.KindStream, Timeout: time.Minute, Objective: time.Second, MaxAttempts: 1, Targets: []route.Target{{Service: "s"}}}
	caller := &recorder{}
	sender := &restartingScript{script: &script{ran: map[string]bool{}, lastSeen: caller, refusals: []serving.Reason{serving.ReasonRefused, serving.ReasonRefused, serving.ReasonRefused}}}
	sender.core = newCore(sender)
	for _, each := range sender.core.Backends.Instances("s") {
		each.StartMillis = 1
		sender.core.Backends.Put(each)
	}
	sender.core.Holder.Apply(withReservations(), time.Now())
	now := time.Now()
	sender.core.Serve(context.Background(), serving.Request{ID: "r", Route: policy, Service: "s", Tokens: 10, Arrived: now, Deadline: now.Add(time.Minute)}, caller)
	require.NotEmpty(t, sender.restarted)
	require.Empty(t, sender.problems)
	require.Equal(t, 1, caller.finished)
	require.Less(t, time.Since(now), policy.Objective)
}

// breakingSender is a sender whose backends break all requests. They accept connections
// again at once.
type breakingSender struct{ script }

func (s *breakingSender) Send(context.Context, serving.Attempt) (serving.Answer, error) {
	return nil, &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonBroken}
}

func (s *breakingSender) HasEnded(context.Context, serving.Attempt) bool { return false }

// TestCrashesOfOneBackendCountPerIncarnation checks that repeated crashes of one backend
// quarantine a request, although the backend restarts at once under the same id.
func TestCrashesOfOneBackendCountPerIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guard, backends := newGuard(), backend.NewSet()
		guarded := serving.NewGuardedSender(&breakingSender{}, guard, backends, slog.New(slog.DiscardHandler))
		culprit := quarantine.FingerprintOf("POST", "/culprit", "", nil)
		for incarnation := range int64(quarantinePolicy.Crashes) {
			_, isQuarantined := guard.Verdict(culprit, nil)
			require.False(t, isQuarantined)
			instance := backend.Instance{ID: "b", Version: "v1", StartMillis: incarnation + 1, Service: "s", Slots: 4}
			backends.Put(instance)
			_, err := guarded.Send(t.Context(), serving.Attempt{Fingerprint: culprit, Instance: instance, Remaining: time.Second})
			require.Error(t, err)
			instance.StartMillis++
			backends.Put(instance)
			time.Sleep(time.Second)
		}
		_, isQuarantined := guard.Verdict(culprit, nil)
		require.True(t, isQuarantined)
	})
}

// TestBrokenAttemptAtLiveBackendIsNoCrash checks that broken attempts at a backend that
// keeps running do not quarantine a request.
func TestBrokenAttemptAtLiveBackendIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guard, backends := newGuard(), backend.NewSet()
		guarded := serving.NewGuardedSender(&breakingSender{}, guard, backends, slog.New(slog.DiscardHandler))
		suspect := quarantine.FingerprintOf("POST", "/suspect", "", nil)
		instance := backend.Instance{ID: "b", Version: "v1", StartMillis: 7, Service: "s", Slots: 4}
		backends.Put(instance)
		for range 2 * quarantinePolicy.Crashes {
			_, err := guarded.Send(t.Context(), serving.Attempt{Fingerprint: suspect, Instance: instance, Remaining: time.Second})
			require.Error(t, err)
			time.Sleep(time.Second)
		}
		require.Empty(t, guard.Verdicts())
	})
}
