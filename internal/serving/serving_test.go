package serving_test

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/backend"
	"topazpulley/internal/route"
	"topazpulley/internal/serving"
	"topazpulley/internal/telemetry"
)

const streamLength = 6

// behaviour is how a backend treats one attempt.
type behaviour int

const (
	answers behaviour = iota
	unreachable
	refuses
	otherInstance
	breaksBeforeHead
	failsWithStatus
	breaksInBody
	skipsAnEvent
	repeatsAnEvent
	behaviourCount
)

// script is a sender whose backends behave as drawn. It records violated expectations in
// problems.
type script struct {
	mutex sync.Mutex
	draw  []behaviour
	// refusals are the results of reservation attempts in order; empty means success.
	refusals     []serving.Reason
	reserveCalls int
	// reserveBackends are the backends of the reservation attempts in order.
	reserveBackends []string
	reservation     string
	sends           int
	// backends are those that attempts were sent to.
	backends map[string]bool
	runs     int
	ran      map[string]bool
	lastSeen *recorder
	problems []string
}

func (s *script) Send(_ context.Context, attempt serving.Attempt) (serving.Answer, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	next := answers
	if s.sends < len(s.draw) {
		next = s.draw[s.sends]
	}
	s.sends++
	if s.backends == nil {
		s.backends = map[string]bool{}
	}
	s.backends[attempt.Instance.ID] = true
	if attempt.LastEvent != s.lastSeen.last {
		s.problems = append(s.problems, fmt.Sprintf("resumed after %d, the caller has %d", attempt.LastEvent, s.lastSeen.last))
	}
	if attempt.Reservation != "" && attempt.Reservation != "place at "+attempt.Instance.ID {
		s.problems = append(s.problems, "sent with a reservation of another backend")
	}
	if attempt.Reservation != s.reservation {
		s.problems = append(s.problems, "sent without its reservation")
	}
	s.reservation = "" // a reservation is used once
	if attempt.Remaining <= 0 {
		s.problems = append(s.problems, "sent without remaining time")
	}
	switch next {
	case unreachable:
		return nil, &serving.AttemptError{Outcome: serving.OutcomeNotRun, Reason: serving.ReasonUnreachable}
	case refuses:
		return nil, &serving.AttemptError{Outcome: serving.OutcomeNotRun, Reason: serving.ReasonRefused}
	case otherInstance:
		return nil, &serving.AttemptError{Outcome: serving.OutcomeNotRun, Reason: serving.ReasonOtherInstance}
	}
	s.runs++
	s.ran[attempt.Instance.ID] = true
	if next == breaksBeforeHead {
		return nil, &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonBroken}
	}
	return &scriptedAnswer{behaviour: next, stream: attempt.Stream, next: attempt.LastEvent + 1, instance: attempt.Instance.ID}, nil
}

// Reserve makes a reservation unless the script refuses it.
func (s *script) Reserve(_ context.Context, wanted serving.ReservationRequest) (string, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	refusal := serving.Reason("")
	if s.reserveCalls < len(s.refusals) {
		refusal = s.refusals[s.reserveCalls]
	}
	s.reserveCalls++
	s.reserveBackends = append(s.reserveBackends, wanted.Instance.ID)
	s.reservation = ""
	if refusal != "" {
		return "", &serving.AttemptError{Outcome: serving.OutcomeNotRun, Reason: refusal}
	}
	s.reservation = "place at " + wanted.Instance.ID
	return s.reservation, nil
}

// scriptedAnswer is an answer that behaves as drawn.
type scriptedAnswer struct {
	behaviour behaviour
	stream    bool
	next      int64
	instance  string
	sent      int
}

func (a *scriptedAnswer) Head() serving.Head {
	head := serving.Head{Status: 200, Signed: true, Events: a.stream, Fields: []serving.Field{{Name: "From", Value: a.instance}}}
	if a.behaviour == failsWithStatus {
		head.Status, head.Events = 500, false
	}
	return head
}

func (a *scriptedAnswer) Load() (backend.Report, bool) { return backend.Report{}, false }
func (a *scriptedAnswer) Transfer() serving.Transfer   { return serving.Transfer{} }
func (a *scriptedAnswer) Detach()                      {}
func (a *scriptedAnswer) Close()                       {}

func (a *scriptedAnswer) Body() ([]byte, error) {
	if a.behaviour == breaksInBody {
		return nil, &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonBroken}
	}
	return []byte("body"), nil
}

func (a *scriptedAnswer) Next() (serving.Event, serving.Ending, error) {
	if a.next > streamLength {
		return serving.Event{}, serving.EndingWhole, nil
	}
	if a.sent == 2 {
		switch a.behaviour {
		case breaksInBody:
			return serving.Event{}, serving.EndingBroken, &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonBroken}
		case skipsAnEvent:
			a.next++
		case repeatsAnEvent:
			a.next--
		}
	}
	event := serving.Event{ID: a.next, Raw: []byte(fmt.Sprintf("%d;", a.next))}
	a.next++
	a.sent++
	return event, serving.EndingNone, nil
}

// recorder is a caller. It counts the calls and records the events.
type recorder struct {
	begun, finished, aborted, complete int
	refusals                           []serving.Refusal
	from                               string
	text                               strings.Builder
	last                               int64
	status                             int
}

func (r *recorder) Begin(head serving.Head) error {
	r.begun++
	r.from = head.Fields[0].Value
	return nil
}

func (r *recorder) Event(raw []byte) error {
	r.text.Write(raw)
	r.last++
	return nil
}

func (r *recorder) Finish() error { r.finished++; return nil }

func (r *recorder) Whole(head serving.Head, _ []byte) error {
	r.complete++
	r.status = head.Status
	return nil
}

func (r *recorder) Refuse(refusal serving.Refusal) error {
	r.refusals = append(r.refusals, refusal)
	return nil
}

func (r *recorder) Abort() { r.aborted++ }

func newCore(sender serving.Sender) *serving.Core {
	backends := backend.NewSet()
	for index := range 4 {
		backends.Put(backend.Instance{ID: fmt.Sprintf("b%d", index), Version: "v1", Service: "s", Slots: 4})
	}
	metrics := telemetry.NewServing(prometheus.NewRegistry())
	return serving.NewCore(backends, sender, &route.Holder{}, metrics, slog.New(slog.DiscardHandler), func() int { return 1 })
}

func completeText() string {
	text := ""
	for number := 1; number <= streamLength; number++ {
		text += fmt.Sprintf("%d;", number)
	}
	return text
}

// TestOneCorrectAnswerOverRandomAttempts checks, over random behaviour of backends, that a
// request gets exactly one final answer and that it is correct.
func TestOneCorrectAnswerOverRandomAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) behaviour {
			return behaviour(rapid.IntRange(0, int(behaviourCount)-1).Draw(t, "behaviour"))
		}), 0, 6).Draw(t, "draw")
		policy := &route.Route{
			Kind: route.Kind(rapid.IntRange(0, int(route.KindStream)).Draw(t, "kind")), Resumable: rapid.Bool().Draw(t, "resumable"),
			Timeout: 300 * time.Millisecond, Objective: 60 * time.Millisecond, MaxAttempts: rapid.IntRange(1, 3).Draw(t, "attempts"),
			Targets: []route.Target{{Service: "s", Weight: 1}},
		}
		caller := &recorder{}
		refusals := rapid.SliceOfN(rapid.SampledFrom([]serving.Reason{"", serving.ReasonRefused, serving.ReasonUnreachable}), 0, 6).Draw(t, "refusals")
		sender := &script{draw: draw, refusals: refusals, ran: map[string]bool{}, lastSeen: caller}
		core := newCore(sender)
		if rapid.Bool().Draw(t, "backends take reservations") {
			core.Holder.Apply(withReservations(), time.Now())
		}
		now := time.Now()
		core.Serve(context.Background(), serving.Request{ID: "r", Route: policy, Service: "s", Tokens: 10, Arrived: now, Deadline: now.Add(time.Second)}, caller)

		require.Empty(t, sender.problems)
		require.Equal(t, 1, caller.finished+caller.aborted+caller.complete+len(caller.refusals), "one final answer")
		require.LessOrEqual(t, caller.begun, 1)
		require.LessOrEqual(t, sender.runs, policy.MaxAttempts, "more runs than allowed")
		if !policy.Repeatable() {
			require.LessOrEqual(t, sender.runs, 1, "ran twice")
		}
		if caller.finished == 1 {
			require.Equal(t, completeText(), caller.text.String())
		}
		require.True(t, strings.HasPrefix(completeText(), caller.text.String()), "events out of order: %s", caller.text.String())
		for _, refusal := range caller.refusals {
			require.Zero(t, caller.begun)
			if refusal.Verdict == serving.VerdictNotRun {
				require.Zero(t, sender.runs, "promised not run")
				require.Positive(t, refusal.RetryAfter)
			}
		}
	})
}

// withReservations configures a service whose backends take reservations.
func withReservations() route.Config {
	return route.Config{Version: 1, Services: []route.Service{{Name: "s", ReservationTime: time.Second}}}
}

// TestRequestSentWhereReserved checks that a request is sent only to the backend that made
// a reservation, and that it keeps trying while backends refuse.
func TestRequestSentWhereReserved(t *testing.T) {
	policy := &route.Route{Kind: route.KindStream, Timeout: time.Minute, Objective: time.Second, MaxAttempts: 1, Targets: []route.Target{{Service: "s"}}}
	// Backends are chosen at random, so one run may pass by chance.
	for _, refused := range append([]int{0, 1, 3, 4, 11}, slices.Repeat([]int{2}, 50)...) {
		caller := &recorder{}
		sender := &script{ran: map[string]bool{}, lastSeen: caller}
		for range refused {
			sender.refusals = append(sender.refusals, serving.ReasonRefused)
		}
		core := newCore(sender)
		core.Holder.Apply(withReservations(), time.Now())
		now := time.Now()
		core.Serve(context.Background(), serving.Request{ID: "r", Route: policy, Service: "s", Tokens: 10, Arrived: now, Deadline: now.Add(time.Minute)}, caller)
		require.Empty(t, sender.problems)
		require.Equal(t, 1, caller.finished)
		require.Equal(t, 1, sender.sends)
		require.Equal(t, refused+1, sender.reserveCalls)
		first := append([]string(nil), sender.reserveBackends[:min(sender.reserveCalls, 3)]...)
		slices.Sort(first)
		require.Len(t, slices.Compact(first), min(sender.reserveCalls, 3), "backend tried twice in the first round")
	}
}

// TestRequestQueuesAfterSlotWait checks that a request is sent without a reservation after
// the longest wait, and that it attempts fewer reservations when it is overdue.
func TestRequestQueuesAfterSlotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		policy := &route.Route{Kind: route.KindStream, Timeout: time.Minute, Objective: 300 * time.Millisecond, MaxAttempts: 1, Targets: []route.Target{{Service: "s"}}}
		caller := &recorder{}
		sender := &script{ran: map[string]bool{}, lastSeen: caller}
		onTime := 0
		for range 1000 {
			sender.refusals = append(sender.refusals, serving.ReasonRefused)
		}
		core := newCore(sender)
		core.Holder.Apply(withReservations(), time.Now())
		now := time.Now()
		go func() {
			time.Sleep(policy.Objective)
			sender.mutex.Lock()
			defer sender.mutex.Unlock()
			onTime = sender.reserveCalls
		}()
		core.Serve(context.Background(), serving.Request{ID: "r", Route: policy, Service: "s", Tokens: 10, Arrived: now, Deadline: now.Add(time.Minute)}, caller)
		require.Equal(t, 1, caller.finished)
		require.Equal(t, 1, sender.sends)
		require.InDelta(t, 1200, time.Since(now).Milliseconds(), 150)
		overdue := sender.reserveCalls - onTime
		require.Greater(t, onTime, 2*overdue, "%d reservation attempts on time, %d overdue", onTime, overdue)
	})
}

// TestFailedReservationIsNoRun checks that a failed reservation does not count as a run of
// a request that may run once.
func TestFailedReservationIsNoRun(t *testing.T) {
	caller := &recorder{}
	sender := &script{refusals: []serving.Reason{serving.ReasonBroken}, ran: map[string]bool{}, lastSeen: caller}
	core := newCore(sender)
	core.Holder.Apply(withReservations(), time.Now())
	policy := &route.Route{Kind: route.KindStream, Timeout: time.Minute, Objective: time.Second, MaxAttempts: 1, Targets: []route.Target{{Service: "s"}}}
	now := time.Now()
	core.Serve(context.Background(), serving.Request{ID: "r", Route: policy, Service: "s", Tokens: 10, Arrived: now, Deadline: now.Add(time.Minute)}, caller)
	require.Equal(t, 1, caller.finished)
	require.Equal(t, 1, sender.runs)
}

// TestRetriesAreBounded checks that the retry budget bounds the attempts when every
// backend refuses.
func TestRetriesAreBounded(t *testing.T) {
	refusing := &refuser{}
	core := newCore(refusing)
	policy := &route.Route{Kind: route.KindOnce, Timeout: time.Minute, Objective: time.Microsecond, MaxAttempts: 3, Targets: []route.Target{{Service: "s"}}}
	const requests = 2000
	for range requests {
		caller := &recorder{}
		now := time.Now()
		core.Serve(context.Background(), serving.Request{ID: "r", Route: policy, Service: "s", Arrived: now, Deadline: now.Add(time.Minute)}, caller)
		require.Len(t, caller.refusals, 1)
	}
	require.Less(t, refusing.sends, requests*3/2)
}

// refuser is a sender that refuses all attempts.
type refuser struct {
	sends int
}

func (r *refuser) Send(context.Context, serving.Attempt) (serving.Answer, error) {
	r.sends++
	return nil, &serving.AttemptError{Outcome: serving.OutcomeNotRun, Reason: serving.ReasonRefused}
}

// TestNoBackendRefusedWithRetryAfter checks that a request is refused with a retry delay if
// its service has no backend.
func TestNoBackendRefusedWithRetryAfter(t *testing.T) {
	caller := &recorder{}
	sender := &script{ran: map[string]bool{}, lastSeen: caller}
	policy := &route.Route{Kind: route.KindOnce, Timeout: time.Minute, Objective: 200 * time.Millisecond, MaxAttempts: 1, Targets: []route.Target{{Service: "none"}}}
	now := time.Now()
	newCore(sender).Serve(context.Background(), serving.Request{ID: "r", Route: policy, Service: "none", Arrived: now, Deadline: now.Add(time.Minute)}, caller)
	require.Len(t, caller.refusals, 1)
	require.Equal(t, serving.VerdictNotRun, caller.refusals[0].Verdict)
	require.Positive(t, caller.refusals[0].RetryAfter)
}

// removingScript is a script whose first backend to make a reservation is removed right
// after it.
type removingScript struct {
	*script
	core    *serving.Core
	removed bool
}

func (s *removingScript) Reserve(ctx context.Context, wanted serving.ReservationRequest) (string, error) {
	name, err := s.script.Reserve(ctx, wanted)
	if err == nil && !s.removed {
		s.removed = true
		s.core.Backends.Remove(wanted.Instance.ID)
		s.script.reservation = ""
	}
	return name, err
}

// TestBackendRemovedAfterReservation checks that the request tries other backends at once.
func TestBackendRemovedAfterReservation(t *testing.T) {
	policy := &route.Route{Kind: route.KindStream, Timeout: time.Minute, Objective: time.Second, MaxAttempts: 1, Targets: []route.Target{{Service: "s"}}}
	caller := &recorder{}
	sender := &removingScript{script: &script{ran: map[string]bool{}, lastSeen: caller, refusals: []serving.Reason{serving.ReasonRefused, serving.ReasonRefused, serving.ReasonRefused}}}
	sender.core = newCore(sender)
	sender.core.Holder.Apply(withReservations(), time.Now())
	now := time.Now()
	sender.core.Serve(context.Background(), serving.Request{ID: "r", Route: policy, Service: "s", Tokens: 10, Arrived: now, Deadline: now.Add(time.Minute)}, caller)
	require.True(t, sender.removed)
	require.Equal(t, 1, caller.finished)
	require.Less(t, time.Since(now), policy.Objective)
}

// TestWaitingRequestPreemptsItems checks that a request preempts one batch item for every
// two backends without a slot, until it has a reservation.
func TestWaitingRequestPreemptsItems(t *testing.T) {
	policy := &route.Route{Kind: route.KindStream, Timeout: time.Minute, Objective: time.Second, MaxAttempts: 1, Targets: []route.Target{{Service: "s"}}}
	for _, refused := range []int{0, 1, 3, 6} {
		caller := &recorder{}
		sender := &script{ran: map[string]bool{}, lastSeen: caller}
		for range refused {
			sender.refusals = append(sender.refusals, serving.ReasonRefused)
		}
		core := newCore(sender)
		core.Holder.Apply(withReservations(), time.Now())
		loads := map[string]backend.PeerLoad{}
		for _, instance := range core.Backends.Instances("s") {
			loads[instance.ID] = backend.PeerLoad{Batch: instance.Slots}
		}
		core.Backends.SetPeerLoads("other", loads, 0)
		now := time.Now()
		core.Serve(context.Background(), serving.Request{ID: "r", Route: policy, Service: "s", Tokens: 10, Arrived: now, Deadline: now.Add(time.Minute)}, caller)
		require.Equal(t, 1, caller.finished)
		require.Len(t, core.Backends.Preemptions(), refused/2)
	}
}
