package serving_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/boottime"
	"topazpulley/internal/route"
	"topazpulley/internal/serving"
)

// machine simulates a machine that can be suspended: the clock that includes suspension
// advances and the monotonic clock does not.
type machine struct {
	started   time.Time
	suspended atomic.Int64
}

func (m *machine) now() boottime.Instant {
	return boottime.Instant(time.Since(m.started)) + boottime.Instant(m.suspended.Load())
}

func (m *machine) suspend(span time.Duration) { m.suspended.Add(int64(span)) }

// suspendingSender is a sender that suspends the machine at given moments.
type suspendingSender struct {
	machine *machine
	// beforeSend is how long the machine is suspended between the decision to send and the
	// first byte, once.
	beforeSend time.Duration
	// isSilent leaves every attempt unanswered until its context ends.
	isSilent bool
	// duringSilence is how long the machine is suspended, one second after the request
	// arrived.
	duringSilence time.Duration
	// beforeRefusal is how long the machine is suspended before the first attempt is
	// refused; 0 means that it is not refused.
	beforeRefusal time.Duration

	remaining []time.Duration
}

func (s *suspendingSender) Send(ctx context.Context, attempt serving.Attempt) (serving.Answer, error) {
	s.machine.suspend(s.beforeSend)
	s.beforeSend = 0
	if err := attempt.CheckSendable(ctx); err != nil {
		return nil, err
	}
	s.remaining = append(s.remaining, attempt.Remaining)
	if s.beforeRefusal > 0 {
		s.machine.suspend(s.beforeRefusal)
		s.beforeRefusal = 0
		return nil, &serving.AttemptError{Outcome: serving.OutcomeNotRun, Reason: serving.ReasonRefused}
	}
	if s.isSilent {
		<-ctx.Done()
		return nil, &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonRequestEnded, Cause: ctx.Err()}
	}
	return &scriptedAnswer{instance: attempt.Instance.ID}, nil
}

const suspendedCallerTimeout = 4 * time.Second

// serveWithSuspension serves one request that may run once, and returns its caller and how
// long it took by the monotonic clock.
func serveWithSuspension(t *testing.T, sender *suspendingSender) (*recorder, time.Duration) {
	t.Helper()
	caller := &recorder{}
	took := time.Duration(0)
	synctest.Test(t, func(t *testing.T) {
		sender.machine = &machine{started: time.Now()}
		core := newCore(sender)
		core.Clock = sender.machine.now
		core.Wakeups = boottime.NewWakeups(sender.machine.now, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(t.Context())
		go core.Wakeups.Run(ctx)
		if sender.isSilent {
			time.AfterFunc(time.Second, func() { sender.machine.suspend(sender.duringSilence) })
		}
		policy := &route.Route{Kind: route.KindOnce, Timeout: time.Minute, Objective: time.Second, MaxAttempts: 1, Targets: []route.Target{{Service: "s"}}}
		now := time.Now()
		core.Serve(t.Context(), serving.Request{ID: "r", Route: policy, Service: "s", Arrived: now, Deadline: now.Add(suspendedCallerTimeout)}, caller)
		took = time.Since(now)
		cancel()
		synctest.Wait()
	})
	return caller, took
}

// TestRemainingTimeExcludesSuspension checks that the remaining time sent to backends is
// reduced by the time during which the machine was suspended.
func TestRemainingTimeExcludesSuspension(t *testing.T) {
	for name, sender := range map[string]*suspendingSender{
		"before the first byte": {beforeSend: time.Second},
		"between two attempts":  {beforeRefusal: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			caller, _ := serveWithSuspension(t, sender)
			require.Equal(t, 1, caller.complete)
			require.LessOrEqual(t, sender.remaining[len(sender.remaining)-1], suspendedCallerTimeout-time.Second)
			require.Greater(t, sender.remaining[len(sender.remaining)-1], suspendedCallerTimeout-time.Second-500*time.Millisecond)
		})
	}
}

// TestNotSentWhenDeadlinePassedDuringSuspension checks that a request whose deadline passes
// while the machine is suspended is not sent and is refused as not run.
func TestNotSentWhenDeadlinePassedDuringSuspension(t *testing.T) {
	for _, span := range []time.Duration{5 * time.Second, time.Minute} {
		sender := &suspendingSender{beforeSend: span}
		caller, _ := serveWithSuspension(t, sender)
		require.Empty(t, sender.remaining)
		require.Len(t, caller.refusals, 1)
		require.Equal(t, serving.VerdictNotRun, caller.refusals[0].Verdict)
	}
}

// TestRequestEndsAfterSuspensionPastDeadline checks that a request ends at its deadline, or
// when the machine resumes if the deadline passes during a suspension.
func TestRequestEndsAfterSuspensionPastDeadline(t *testing.T) {
	for span, awakeTime := range map[time.Duration]time.Duration{
		time.Second:     suspendedCallerTimeout - time.Second,
		5 * time.Second: time.Second,
		time.Minute:     time.Second,
	} {
		t.Run(span.String(), func(t *testing.T) {
			caller, took := serveWithSuspension(t, &suspendingSender{isSilent: true, duringSilence: span})
			require.LessOrEqual(t, took, awakeTime+500*time.Millisecond)
			require.GreaterOrEqual(t, took, awakeTime)
			require.Len(t, caller.refusals, 1)
			require.Equal(t, serving.VerdictTimeout, caller.refusals[0].Verdict)
		})
	}
}
