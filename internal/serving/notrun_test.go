package serving_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/route"
	"topazpulley/internal/serving"
)

// attemptEnd is how one attempt ends.
type attemptEnd int

const (
	endNotRun attemptEnd = iota
	endUnreachable
	endNotConnected
	endBrokenBeforeHead
	endBrokenAfterHead
	endHangs
	endServerFault
	endCount
)

// drawnSender is a sender whose attempts end as drawn. It counts those that ran.
type drawnSender struct {
	mutex sync.Mutex
	draw  []attemptEnd
	sends int
	ran   int
}

// begin counts an attempt and returns its end.
func (s *drawnSender) begin() attemptEnd {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	next := endNotRun
	if s.sends < len(s.draw) {
		next = s.draw[s.sends]
	}
	s.sends++
	if next != endNotRun && next != endUnreachable && next != endNotConnected {
		s.ran++
	}
	return next
}

func (s *drawnSender) Send(ctx context.Context, attempt serving.Attempt) (serving.Answer, error) {
	switch s.begin() {
	case endNotRun:
		return nil, &serving.AttemptError{Outcome: serving.OutcomeNotRun, Reason: serving.ReasonRefused}
	case endUnreachable:
		return nil, &serving.AttemptError{Outcome: serving.OutcomeNotRun, Reason: serving.ReasonUnreachable}
	case endNotConnected:
		<-ctx.Done()
		return nil, &serving.AttemptError{Outcome: serving.OutcomeNotRun, Reason: serving.ReasonRequestEnded, Cause: ctx.Err()}
	case endBrokenBeforeHead:
		return nil, &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonBroken}
	case endHangs:
		<-ctx.Done()
		return nil, &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonBroken, Cause: ctx.Err()}
	case endServerFault:
		return &scriptedAnswer{behaviour: failsWithStatus, stream: attempt.Stream, next: 1, instance: attempt.Instance.ID}, nil
	}
	return &brokenAnswer{}, nil
}

// brokenAnswer breaks after its head.
type brokenAnswer struct{ scriptedAnswer }

func (*brokenAnswer) Body() ([]byte, error) {
	return nil, &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonBroken}
}

func (*brokenAnswer) Next() (serving.Event, serving.Ending, error) {
	return serving.Event{}, serving.EndingBroken, &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonBroken}
}

// promisesNotRun reports whether a verdict promises that the request has not run.
func promisesNotRun(verdict serving.Verdict) bool {
	switch verdict {
	case serving.VerdictNotRun, serving.VerdictOverQuota, serving.VerdictOverRate, serving.VerdictQuarantined, serving.VerdictHeaderTimeout:
		return true
	}
	return false
}

// drawAttempts draws how the attempts of a request end.
func drawAttempts(r *rapid.T) *drawnSender {
	sender := &drawnSender{}
	for range rapid.IntRange(0, 6).Draw(r, "attempts") {
		sender.draw = append(sender.draw, attemptEnd(rapid.IntRange(0, int(endCount)-1).Draw(r, "end")))
	}
	return sender
}

// drawPolicy draws a route with a timeout.
func drawPolicy(r *rapid.T, timeout time.Duration) *route.Route {
	return &route.Route{
		Kind: route.Kind(rapid.IntRange(0, int(route.KindStream)).Draw(r, "kind")), Resumable: rapid.Bool().Draw(r, "resumable"),
		Timeout: timeout, Objective: 60 * time.Millisecond, MaxAttempts: rapid.IntRange(1, 3).Draw(r, "max attempts"),
		Targets: []route.Target{{Service: "s", Weight: 1}},
	}
}

// TestNotRunVerdictOverRandomAttempts checks, over random attempts, disconnecting callers
// and timeouts, that a refusal promises "not run" exactly if no attempt ran.
func TestNotRunVerdictOverRandomAttempts(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		sender, policy := drawAttempts(r), drawPolicy(r, 2*time.Second)
		disconnectsAfter := time.Duration(rapid.SampledFrom([]int{0, 0, 0, 100, 1000}).Draw(r, "disconnects after")) * time.Millisecond
		caller := &recorder{}
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if disconnectsAfter > 0 {
				time.AfterFunc(disconnectsAfter, cancel)
			}
			now := time.Now()
			newCore(sender).Serve(ctx, serving.Request{ID: "r", Route: policy, Service: "s", Arrived: now, Deadline: now.Add(5 * time.Second)}, caller)
		})
		for _, refusal := range caller.refusals {
			if sender.ran > 0 {
				require.False(r, promisesNotRun(refusal.Verdict), "promised not run (%s), but it ran: %v", refusal.Code, sender.draw)
			} else {
				require.True(r, promisesNotRun(refusal.Verdict), "nothing ran, but the refusal does not promise it: %v", sender.draw)
			}
		}
	})
}

// TestNotRunVerdictFollowsSentAttempts checks fixed cases of the random test: no connection before the
// watchdog fires, at one backend and at the one that takes the request over as well, and a broken one
// before the answer's first byte.
func TestNotRunVerdictFollowsSentAttempts(t *testing.T) {
	for _, drawn := range []struct {
		ends      []attemptEnd
		kind      route.Kind
		isPromise bool
	}{
		{[]attemptEnd{endNotConnected}, route.KindRepeatable, true},
		{[]attemptEnd{endNotConnected, endNotConnected}, route.KindRepeatable, true},
		{[]attemptEnd{endBrokenBeforeHead}, route.KindOnce, false},
	} {
		sender, caller := &drawnSender{draw: drawn.ends}, &recorder{}
		synctest.Test(t, func(t *testing.T) {
			now := time.Now()
			policy := &route.Route{
				Kind: drawn.kind, Timeout: 2 * time.Second, Objective: 60 * time.Millisecond, MaxAttempts: 3,
				Targets: []route.Target{{Service: "s", Weight: 1}},
			}
			newCore(sender).Serve(t.Context(), serving.Request{ID: "r", Route: policy, Service: "s", Arrived: now, Deadline: now.Add(5 * time.Second)}, caller)
		})
		require.Len(t, caller.refusals, 1)
		require.Equal(t, drawn.isPromise, promisesNotRun(caller.refusals[0].Verdict), caller.refusals[0].Code)
	}
}
