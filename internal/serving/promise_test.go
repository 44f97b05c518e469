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
)

// end is how one attempt ends.
type end int

const (
	toldNotRun end = iota
	cannotBeReached
	neverConnects
	unknownBeforeFirstByte
	unknownAfterHead
	hangs
	serverFault
	ends
)

// attempts is a sender that treats attempts as drawn and records which ran.
type attempts struct {
	draw  []end
	sends int
	ran   int
}

func (a *attempts) Send(ctx context.Context, attempt serving.Attempt) (serving.Answer, error) {
	next := toldNotRun
	if a.sends < len(a.draw) {
		next = a.draw[a.sends]
	}
	a.sends++
	switch next {
	case toldNotRun:
		return nil, &serving.AttemptError{Outcome: serving.OutcomeNotRun, Reason: serving.ReasonRefused}
	case cannotBeReached:
		return nil, &serving.AttemptError{Outcome: serving.OutcomeNotRun, Reason: serving.ReasonUnreachable}
	case neverConnects:
		<-ctx.Done()
		return nil, &serving.AttemptError{Outcome: serving.OutcomeNotRun, Reason: serving.ReasonRequestEnded, Cause: ctx.Err()}
	}
	a.ran++
	switch next {
	case unknownBeforeFirstByte:
		return nil, &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonBroken}
	case hangs:
		<-ctx.Done()
		return nil, &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonBroken, Cause: ctx.Err()}
	case serverFault:
		return &scripted{behaviour: failsWithStatus, stream: attempt.Stream, next: 1, instance: attempt.Instance.ID}, nil
	}
	return &brokenAnswer{}, nil
}

// brokenAnswer breaks off behind its head.
type brokenAnswer struct{ scripted }

func (*brokenAnswer) Body() ([]byte, error) {
	return nil, &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonBroken}
}

func (*brokenAnswer) Next() (serving.Event, error) {
	return serving.Event{}, &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonBroken}
}

// isPromise reports whether callers take a verdict for the promise that the
// request has not run.
func isPromise(verdict serving.Verdict) bool {
	switch verdict {
	case serving.VerdictNotRun, serving.VerdictOverQuota, serving.VerdictOverRate, serving.VerdictQuarantined, serving.VerdictHeaderTimeout:
		return true
	}
	return false
}

// TestPromisesOverRandomAttempts: any sequence of ends, callers that leave, and
// time that runs out. No promise for a request that ran, and none withheld from
// one that did not: a connection that could not be made before a watchdog's time
// was over was taken for an attempt that may have run.
func TestPromisesOverRandomAttempts(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		sender := &attempts{}
		for range rapid.IntRange(0, 6).Draw(r, "attempts") {
			sender.draw = append(sender.draw, end(rapid.IntRange(0, int(ends)-1).Draw(r, "end")))
		}
		policy := &route.Route{
			Kind: route.Kind(rapid.IntRange(0, int(route.KindStream)).Draw(r, "kind")), Resumable: rapid.Bool().Draw(r, "resumable"),
			Timeout: 2 * time.Second, Objective: 60 * time.Millisecond, MaxAttempts: rapid.IntRange(1, 3).Draw(r, "greatest"),
			Targets: []route.Target{{Service: "s", Weight: 1}},
		}
		leavesAfter := time.Duration(rapid.SampledFrom([]int{0, 0, 0, 100, 1000}).Draw(r, "leaves")) * time.Millisecond
		told := &recorder{}
		synctest.Test(t, func(t *testing.T) {
			caller, cancel := context.WithCancel(context.Background())
			defer cancel()
			if leavesAfter > 0 {
				time.AfterFunc(leavesAfter, cancel)
			}
			now := time.Now()
			newCore(sender).Serve(caller, serving.Request{ID: "r", Route: policy, Service: "s", Arrived: now, Deadline: now.Add(5 * time.Second)}, told)
		})
		for _, refusal := range told.refusals {
			if sender.ran > 0 {
				require.False(r, isPromise(refusal.Verdict), "promised not run (%s), though it ran: %v", refusal.Code, sender.draw)
			} else {
				require.True(r, isPromise(refusal.Verdict), "nothing ran, and the caller is not told so: %v", sender.draw)
			}
		}
	})
}

// TestPromiseFollowsWhatWasSent: two of the cases that the random test draws, for
// sure: a connection that could not be made before the watchdog's time was over, and
// a connection that broke before the first byte of an answer.
func TestPromiseFollowsWhatWasSent(t *testing.T) {
	for _, drawn := range []struct {
		first     end
		kind      route.Kind
		isPromise bool
	}{
		{neverConnects, route.KindRepeatable, true},
		{unknownBeforeFirstByte, route.KindOnce, false},
	} {
		sender, told := &attempts{draw: []end{drawn.first}}, &recorder{}
		synctest.Test(t, func(t *testing.T) {
			now := time.Now()
			policy := &route.Route{
				Kind: drawn.kind, Timeout: 2 * time.Second, Objective: 60 * time.Millisecond, MaxAttempts: 3,
				Targets: []route.Target{{Service: "s", Weight: 1}},
			}
			newCore(sender).Serve(t.Context(), serving.Request{ID: "r", Route: policy, Service: "s", Arrived: now, Deadline: now.Add(5 * time.Second)}, told)
		})
		require.Len(t, told.refusals, 1)
		require.Equal(t, drawn.isPromise, isPromise(told.refusals[0].Verdict), told.refusals[0].Code)
	}
}
