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

// machine is one that can be made to sleep: the clock that counts sleep goes on by
// that much, the steady one stands still.
type machine struct {
	started time.Time
	slept   atomic.Int64
}

func (m *machine) now() boottime.Instant {
	return boottime.Instant(time.Since(m.started)) + boottime.Instant(m.slept.Load())
}

func (m *machine) sleep(span time.Duration) { m.slept.Add(int64(span)) }

// sleeping is a sender before whose first byte, or first answer, the machine sleeps.
type sleeping struct {
	machine *machine
	// beforeSend is how long the machine sleeps between the decision to send and the
	// first byte, once.
	beforeSend time.Duration
	// isSilent has every attempt go unanswered until its context ends.
	isSilent bool
	// whileSilent is how long the machine sleeps a second after the request came.
	whileSilent time.Duration
	// failsFirst has the first attempt refused after such a sleep.
	failsFirst time.Duration

	told []time.Duration
}

func (s *sleeping) Send(ctx context.Context, attempt serving.Attempt) (serving.Answer, error) {
	s.machine.sleep(s.beforeSend)
	s.beforeSend = 0
	if err := attempt.CheckSendable(ctx); err != nil {
		return nil, err
	}
	s.told = append(s.told, attempt.Remaining)
	if s.failsFirst > 0 {
		s.machine.sleep(s.failsFirst)
		s.failsFirst = 0
		return nil, &serving.AttemptError{Outcome: serving.OutcomeNotRun, Reason: serving.ReasonRefused}
	}
	if s.isSilent {
		<-ctx.Done()
		return nil, &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonRequestEnded, Cause: ctx.Err()}
	}
	return &scripted{instance: attempt.Instance.ID}, nil
}

const sleepersPatience = 4 * time.Second

// serveAsleep serves one request that may run once, and returns what its caller got
// and how long that took by the steady clock.
func serveAsleep(t *testing.T, sender *sleeping) (*recorder, time.Duration) {
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
			time.AfterFunc(time.Second, func() { sender.machine.sleep(sender.whileSilent) })
		}
		policy := &route.Route{Kind: route.KindOnce, Timeout: time.Minute, Objective: time.Second, MaxAttempts: 1, Targets: []route.Target{{Service: "s"}}}
		now := time.Now()
		core.Serve(t.Context(), serving.Request{ID: "r", Route: policy, Service: "s", Arrived: now, Deadline: now.Add(sleepersPatience)}, caller)
		took = time.Since(now)
		cancel()
		synctest.Wait()
	})
	return caller, took
}

// TestBackendsAreToldTheTimeThatIsLeftAfterASleep: machines can be suspended with
// requests in hand. The steady clock stands still then, and a backend was told the
// time that the caller would have waited had nobody slept: it worked on for nobody.
func TestBackendsAreToldTheTimeThatIsLeftAfterASleep(t *testing.T) {
	for name, sender := range map[string]*sleeping{
		"before the first byte": {beforeSend: time.Second},
		"between two attempts":  {failsFirst: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			caller, _ := serveAsleep(t, sender)
			require.Equal(t, 1, caller.whole)
			require.LessOrEqual(t, sender.told[len(sender.told)-1], sleepersPatience-time.Second)
			require.Greater(t, sender.told[len(sender.told)-1], sleepersPatience-time.Second-500*time.Millisecond)
		})
	}
}

// TestNothingIsSentForACallerThatLeftDuringASleep: nor is it said to have run.
func TestNothingIsSentForACallerThatLeftDuringASleep(t *testing.T) {
	for _, span := range []time.Duration{5 * time.Second, time.Minute} {
		sender := &sleeping{beforeSend: span}
		caller, _ := serveAsleep(t, sender)
		require.Empty(t, sender.told)
		require.Len(t, caller.refusals, 1)
		require.Equal(t, serving.VerdictNotRun, caller.refusals[0].Verdict)
	}
}

// TestRequestsWhoseTimeIsOverEndAfterASleep: their timers would hold them, and the work at
// backends, as long as if the machine had been awake. Three of four seconds are left
// when it falls asleep.
func TestRequestsWhoseTimeIsOverEndAfterASleep(t *testing.T) {
	for span, awake := range map[time.Duration]time.Duration{
		time.Second:     sleepersPatience - time.Second,
		5 * time.Second: time.Second,
		time.Minute:     time.Second,
	} {
		t.Run(span.String(), func(t *testing.T) {
			caller, took := serveAsleep(t, &sleeping{isSilent: true, whileSilent: span})
			require.LessOrEqual(t, took, awake+500*time.Millisecond)
			require.GreaterOrEqual(t, took, awake)
			require.Len(t, caller.refusals, 1)
			require.Equal(t, serving.VerdictTimeout, caller.refusals[0].Verdict)
		})
	}
}
