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

// rebornScript is a script whose backends start again under their ids right after they
// have set their first place aside, and hold no place then.
type rebornScript struct {
	*script
	core   *serving.Core
	reborn string
}

func (s *rebornScript) Reserve(ctx context.Context, wanted serving.Reservation) (string, error) {
	place, err := s.script.Reserve(ctx, wanted)
	if err == nil && s.reborn == "" {
		s.reborn = wanted.Instance.ID
		again := wanted.Instance
		again.StartMillis++
		s.core.Backends.Put(again)
		s.script.place = ""
	}
	return place, err
}

// TestBackendThatStartsAgainHoldsNoPlace: the script finds that the place is not sent to
// the new life, and the request asks others at once.
func TestBackendThatStartsAgainHoldsNoPlace(t *testing.T) {
	policy := &route.Route{Kind: route.KindStream, Timeout: time.Minute, Objective: time.Second, MaxAttempts: 1, Targets: []route.Target{{Service: "s"}}}
	caller := &recorder{}
	sender := &rebornScript{script: &script{ran: map[string]bool{}, lastSeen: caller, refusals: []serving.Reason{serving.ReasonRefused, serving.ReasonRefused, serving.ReasonRefused}}}
	sender.core = newCore(sender)
	for _, each := range sender.core.Backends.Instances("s") {
		each.StartMillis = 1
		sender.core.Backends.Put(each)
	}
	sender.core.Holder.Apply(withPlaces(), time.Now())
	now := time.Now()
	sender.core.Serve(context.Background(), serving.Request{ID: "r", Route: policy, Service: "s", Tokens: 10, Arrived: now, Deadline: now.Add(time.Minute)}, caller)
	require.NotEmpty(t, sender.reborn)
	require.Empty(t, sender.problems)
	require.Equal(t, 1, caller.finished)
	require.Less(t, time.Since(now), policy.Objective)
}

// crashing is a sender whose backends break all requests, and answer connections again
// at once because they start anew.
type crashing struct{ script }

func (s *crashing) Send(context.Context, serving.Attempt) (serving.Answer, error) {
	return nil, &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonBroken}
}

func (s *crashing) HasEnded(context.Context, serving.Attempt) bool { return false }

// TestTwoLivesOfOneBackendAreTwoEnds: a request that ends a backend which starts again
// under its id is quarantined, although a connection to it can be made at once.
func TestTwoLivesOfOneBackendAreTwoEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guard, backends := newGuard(), backend.NewSet()
		guarded := serving.NewGuardedSender(&crashing{}, guard, backends, slog.New(slog.DiscardHandler))
		culprit := quarantine.FingerprintOf("POST", "/culprit", "", nil)
		for life := range int64(quarantinePolicy.Crashes) {
			_, isHeld := guard.Verdict(culprit)
			require.False(t, isHeld)
			living := backend.Instance{ID: "b", StartMillis: life + 1, Service: "s", Slots: 4}
			backends.Put(living)
			_, err := guarded.Send(t.Context(), serving.Attempt{Fingerprint: culprit, Instance: living, Remaining: time.Second})
			require.Error(t, err)
			living.StartMillis++
			backends.Put(living)
			time.Sleep(time.Second)
		}
		_, isHeld := guard.Verdict(culprit)
		require.True(t, isHeld)
	})
}

// TestBreakAtALifeThatGoesOnIsNoEnd.
func TestBreakAtALifeThatGoesOnIsNoEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guard, backends := newGuard(), backend.NewSet()
		guarded := serving.NewGuardedSender(&crashing{}, guard, backends, slog.New(slog.DiscardHandler))
		suspect := quarantine.FingerprintOf("POST", "/suspect", "", nil)
		living := backend.Instance{ID: "b", StartMillis: 7, Service: "s", Slots: 4}
		backends.Put(living)
		for range 2 * quarantinePolicy.Crashes {
			_, err := guarded.Send(t.Context(), serving.Attempt{Fingerprint: suspect, Instance: living, Remaining: time.Second})
			require.Error(t, err)
			time.Sleep(time.Second)
		}
		require.Empty(t, guard.Verdicts())
	})
}
