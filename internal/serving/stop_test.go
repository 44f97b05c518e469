package serving_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/route"
	"topazpulley/internal/serving"
	"topazpulley/internal/stopping"
)

// stopGrace is the grace period of the stops in these tests.
const stopGrace = 8 * time.Second

// endSlack is how long after the end of a stop, or after its arrival, a request may end.
const endSlack = 100 * time.Millisecond

// Guards against requests without one final answer at the end of a stop, against refusals that do not
// tell the truth there, and against attempts after it.
func TestStopEndsRequestsWithTheTruth(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		sender, policy := drawAttempts(r), drawPolicy(r, 20*time.Second)
		beganBefore := time.Duration(rapid.IntRange(0, int(stopGrace.Milliseconds())).Draw(r, "began before")) * time.Millisecond
		caller := &recorder{}
		synctest.Test(t, func(t *testing.T) {
			core := newCore(sender)
			core.Stop = stopping.New()
			now := time.Now()
			plan := stopping.Plan{Began: now.Add(-beganBefore), Grace: stopGrace}
			core.Stop.Begin(plan)
			time.AfterFunc(time.Until(plan.EndAt()), core.Stop.End)
			core.Serve(t.Context(), serving.Request{ID: "r", Route: policy, Service: "s", Arrived: now, Deadline: now.Add(time.Minute)}, caller)
			require.False(t, time.Now().After(plan.EndAt().Add(endSlack)) && time.Now().After(now.Add(endSlack)), "the request outlives the stop")
		})
		require.Equal(r, 1, caller.finished+caller.aborted+caller.complete+len(caller.refusals), "one final answer")
		for _, refusal := range caller.refusals {
			require.Equal(r, sender.ran == 0, promisesNotRun(refusal.Verdict), "%s: %v", refusal.Code, sender.draw)
		}
	})
}

// wholeSender sends to backends that answer at once.
type wholeSender struct{ *drawnSender }

func (wholeSender) Send(_ context.Context, attempt serving.Attempt) (serving.Answer, error) {
	return &scriptedAnswer{stream: attempt.Stream, next: 1, instance: attempt.Instance.ID}, nil
}

// Guards against requests that are refused in a stop because others of their route were uploaded slowly.
func TestTimeOfAnUploadIsNotPartOfADuration(t *testing.T) {
	const upload = 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		policy := &route.Route{Name: "r", Kind: route.KindRepeatable, Timeout: 20 * time.Second, Objective: time.Second, MaxAttempts: 3, Targets: []route.Target{{Service: "s"}}}
		core := newCore(wholeSender{&drawnSender{}})
		now := time.Now()
		core.Serve(t.Context(), serving.Request{ID: "r", Route: policy, Service: "s", Arrived: now.Add(-upload), Deadline: now.Add(time.Minute)}, &recorder{})
		recent := core.Durations.Recent(policy.Name)
		require.Equal(t, 1, recent.Count)
		require.Less(t, recent.Longest, upload)
	})
}

// stoppingSender is a drawnSender that calls a function at each attempt.
type stoppingSender struct {
	drawnSender
	onSend func()
}

func (s *stoppingSender) Send(ctx context.Context, attempt serving.Attempt) (serving.Answer, error) {
	s.onSend()
	return s.drawnSender.Send(ctx, attempt)
}

// Guards against an attempt of a request that has waited or failed for so long that the stop would cut it.
func TestNoAttemptBeginsThatTheStopWouldCut(t *testing.T) {
	const left, usual = time.Second, 2 * time.Second
	for name, drawn := range map[string][]attemptEnd{"at first": nil, "after a refusal": {endNotRun}, "after a failure": {endBrokenBeforeHead}} {
		t.Run(name, func(t *testing.T) {
			sender, caller := &stoppingSender{drawnSender: drawnSender{draw: drawn}}, &recorder{}
			synctest.Test(t, func(t *testing.T) {
				policy := &route.Route{Name: "r", Kind: route.KindRepeatable, Timeout: 20 * time.Second, Objective: time.Second, MaxAttempts: 3, Targets: []route.Target{{Service: "s"}}}
				core := newCore(sender)
				for range 100 {
					core.Durations.Observe(policy.Name, usual)
				}
				core.Stop = stopping.New()
				begin := func() { core.Stop.Begin(stopping.Plan{Began: time.Now().Add(left - stopGrace), Grace: stopGrace}) }
				if sender.onSend = begin; len(drawn) == 0 {
					begin()
				}
				now := time.Now()
				core.Serve(t.Context(), serving.Request{ID: "r", Route: policy, Service: "s", Arrived: now, Deadline: now.Add(time.Minute)}, caller)
			})
			require.Equal(t, len(drawn), sender.sends)
			require.Len(t, caller.refusals, 1)
			require.Equal(t, string(serving.ReasonStopping), caller.refusals[0].Code)
			require.Equal(t, sender.ran == 0, promisesNotRun(caller.refusals[0].Verdict))
		})
	}
}
