package serving_test

import (
	"context"
	"fmt"
	"io"
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
	behaviours
)

// script is a sender that treats attempts as drawn. It checks what it is asked.
type script struct {
	mutex sync.Mutex
	draw  []behaviour
	// refusals tell which questions for a place are refused, in order; a backend
	// is unreachable for the question where it says so.
	refusals []serving.Reason
	asked    int
	// askedAt are the backends asked for a place, in order.
	askedAt  []string
	place    string
	sends    int
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
	if attempt.LastEvent != s.lastSeen.last {
		s.problems = append(s.problems, fmt.Sprintf("asked to go on behind %d, the caller has %d", attempt.LastEvent, s.lastSeen.last))
	}
	if attempt.Reservation != "" && attempt.Reservation != "place at "+attempt.Instance.ID {
		s.problems = append(s.problems, "sent with the place of another back end")
	}
	if attempt.Reservation != s.place {
		s.problems = append(s.problems, "sent without the place that was set aside")
	}
	s.place = "" // a place serves once
	if attempt.Remaining <= 0 {
		s.problems = append(s.problems, "sent without time")
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
	return &scripted{behaviour: next, stream: attempt.Stream, next: attempt.LastEvent + 1, instance: attempt.Instance.ID}, nil
}

// Reserve sets places aside unless it is drawn otherwise.
func (s *script) Reserve(_ context.Context, wanted serving.Reservation) (string, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	refusal := serving.Reason("")
	if s.asked < len(s.refusals) {
		refusal = s.refusals[s.asked]
	}
	s.asked++
	s.askedAt = append(s.askedAt, wanted.Instance.ID)
	s.place = ""
	if refusal != "" {
		return "", &serving.AttemptError{Outcome: serving.OutcomeNotRun, Reason: refusal}
	}
	s.place = "place at " + wanted.Instance.ID
	return s.place, nil
}

// scripted is an answer.
type scripted struct {
	behaviour behaviour
	stream    bool
	next      int64
	instance  string
	sent      int
}

func (a *scripted) Head() serving.Head {
	head := serving.Head{Status: 200, Signed: true, Events: a.stream, Fields: []serving.Field{{Name: "From", Value: a.instance}}}
	if a.behaviour == failsWithStatus {
		head.Status, head.Events = 500, false
	}
	return head
}

func (a *scripted) Load() (backend.Report, bool) { return backend.Report{}, false }
func (a *scripted) Detach()                      {}
func (a *scripted) Close()                       {}

func (a *scripted) Body() ([]byte, error) {
	if a.behaviour == breaksInBody {
		return nil, &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonBroken}
	}
	return []byte("body"), nil
}

func (a *scripted) Next() (serving.Event, error) {
	if a.next > streamLength {
		return serving.Event{}, io.EOF
	}
	if a.sent == 2 {
		switch a.behaviour {
		case breaksInBody:
			return serving.Event{}, &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonBroken}
		case skipsAnEvent:
			a.next++
		case repeatsAnEvent:
			a.next--
		}
	}
	event := serving.Event{ID: a.next, Raw: []byte(fmt.Sprintf("%d;", a.next))}
	a.next++
	a.sent++
	return event, nil
}

// recorder is a caller. It counts ends and keeps the events.
type recorder struct {
	begun, finished, aborted, whole int
	refusals                        []serving.Refusal
	from                            string
	text                            strings.Builder
	last                            int64
	status                          int
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
	r.whole++
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
		backends.Put(backend.Instance{ID: fmt.Sprintf("b%d", index), Service: "s", Slots: 4})
	}
	metrics := telemetry.NewServing(prometheus.NewRegistry())
	return serving.NewCore(backends, sender, &route.Holder{}, metrics, slog.New(slog.DiscardHandler), func() int { return 1 })
}

func wholeText() string {
	text := ""
	for number := 1; number <= streamLength; number++ {
		text += fmt.Sprintf("%d;", number)
	}
	return text
}

// TestEveryOutcome: whatever the backends do, in whatever order, a request
// gets one final answer, which is true.
func TestEveryOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) behaviour {
			return behaviour(rapid.IntRange(0, int(behaviours)-1).Draw(t, "behaviour"))
		}), 0, 6).Draw(t, "draw")
		policy := &route.Route{
			Kind: route.Kind(rapid.IntRange(0, int(route.KindStream)).Draw(t, "kind")), Resumable: rapid.Bool().Draw(t, "resumable"),
			Timeout: 300 * time.Millisecond, Objective: 60 * time.Millisecond, MaxAttempts: rapid.IntRange(1, 3).Draw(t, "attempts"),
			Targets: []route.Target{{Service: "s", Weight: 1}},
		}
		caller := &recorder{}
		refusals := rapid.SliceOfN(rapid.SampledFrom([]serving.Reason{"", serving.ReasonRefused, serving.ReasonUnreachable}), 0, 6).Draw(t, "places")
		sender := &script{draw: draw, refusals: refusals, ran: map[string]bool{}, lastSeen: caller}
		core := newCore(sender)
		if rapid.Bool().Draw(t, "back ends set places aside") {
			core.Holder.Apply(withPlaces(), time.Now())
		}
		now := time.Now()
		core.Serve(context.Background(), serving.Request{ID: "r", Route: policy, Service: "s", Tokens: 10, Arrived: now, Deadline: now.Add(time.Second)}, caller)

		require.Empty(t, sender.problems)
		require.Equal(t, 1, caller.finished+caller.aborted+caller.whole+len(caller.refusals), "one final answer")
		require.LessOrEqual(t, caller.begun, 1)
		require.LessOrEqual(t, sender.runs, policy.MaxAttempts, "more runs than allowed")
		if !policy.Repeatable() {
			require.LessOrEqual(t, sender.runs, 1, "ran twice")
		}
		if caller.finished == 1 {
			require.Equal(t, wholeText(), caller.text.String())
		}
		require.True(t, strings.HasPrefix(wholeText(), caller.text.String()), "events out of order: %s", caller.text.String())
		for _, refusal := range caller.refusals {
			require.Zero(t, caller.begun)
			if refusal.Verdict == serving.VerdictNotRun {
				require.Zero(t, sender.runs, "promised not run")
				require.Positive(t, refusal.RetryAfter)
			}
		}
	})
}

// withPlaces configures a service whose backends set places aside.
func withPlaces() route.Config {
	return route.Config{Version: 1, Services: []route.Service{{Name: "s", ReservationTime: time.Second}}}
}

// TestRequestGoesWhereAPlaceIs: backends without a place are passed by and
// never see the request, however many they are; it waits and asks again.
func TestRequestGoesWhereAPlaceIs(t *testing.T) {
	policy := &route.Route{Kind: route.KindStream, Timeout: time.Minute, Objective: time.Second, MaxAttempts: 1, Targets: []route.Target{{Service: "s"}}}
	// Backends are drawn: one first round alone may ask each once by chance.
	for _, refused := range append([]int{0, 1, 3, 4, 11}, slices.Repeat([]int{2}, 50)...) {
		caller := &recorder{}
		sender := &script{ran: map[string]bool{}, lastSeen: caller}
		for range refused {
			sender.refusals = append(sender.refusals, serving.ReasonRefused)
		}
		core := newCore(sender)
		core.Holder.Apply(withPlaces(), time.Now())
		now := time.Now()
		core.Serve(context.Background(), serving.Request{ID: "r", Route: policy, Service: "s", Tokens: 10, Arrived: now, Deadline: now.Add(time.Minute)}, caller)
		require.Empty(t, sender.problems)
		require.Equal(t, 1, caller.finished)
		require.Equal(t, 1, sender.sends)
		require.Equal(t, refused+1, sender.asked)
		first := append([]string(nil), sender.askedAt[:min(sender.asked, 3)]...)
		slices.Sort(first)
		require.Len(t, slices.Compact(first), min(sender.asked, 3), "asked twice in the first round")
	}
}

// TestRequestWithoutAPlaceQueuesInTheEnd: it is sent without one well before its
// caller leaves, and asks more often while it can still be in time than after.
func TestRequestWithoutAPlaceQueuesInTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		policy := &route.Route{Kind: route.KindStream, Timeout: time.Minute, Objective: 300 * time.Millisecond, MaxAttempts: 1, Targets: []route.Target{{Service: "s"}}}
		caller := &recorder{}
		sender := &script{ran: map[string]bool{}, lastSeen: caller}
		inTime := 0
		for range 1000 {
			sender.refusals = append(sender.refusals, serving.ReasonRefused)
		}
		core := newCore(sender)
		core.Holder.Apply(withPlaces(), time.Now())
		now := time.Now()
		go func() {
			time.Sleep(policy.Objective)
			sender.mutex.Lock()
			defer sender.mutex.Unlock()
			inTime = sender.asked
		}()
		core.Serve(context.Background(), serving.Request{ID: "r", Route: policy, Service: "s", Tokens: 10, Arrived: now, Deadline: now.Add(time.Minute)}, caller)
		require.Equal(t, 1, caller.finished)
		require.Equal(t, 1, sender.sends)
		require.InDelta(t, 1200, time.Since(now).Milliseconds(), 150)
		late := sender.asked - inTime
		require.Greater(t, inTime, 2*late, "%d questions in time, %d late", inTime, late)
	})
}

// TestUnreachableBackendIsNoRun: the question for a place finds it out before
// a request that runs at most once is sent.
func TestUnreachableBackendIsNoRun(t *testing.T) {
	caller := &recorder{}
	sender := &script{refusals: []serving.Reason{serving.ReasonBroken}, ran: map[string]bool{}, lastSeen: caller}
	core := newCore(sender)
	core.Holder.Apply(withPlaces(), time.Now())
	policy := &route.Route{Kind: route.KindStream, Timeout: time.Minute, Objective: time.Second, MaxAttempts: 1, Targets: []route.Target{{Service: "s"}}}
	now := time.Now()
	core.Serve(context.Background(), serving.Request{ID: "r", Route: policy, Service: "s", Tokens: 10, Arrived: now, Deadline: now.Add(time.Minute)}, caller)
	require.Equal(t, 1, caller.finished)
	require.Equal(t, 1, sender.runs)
}

// TestRetriesAreBounded: when every backend refuses everything, attempts stay
// near the number of requests.
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

// refuser refuses everything.
type refuser struct {
	sends int
}

func (r *refuser) Send(context.Context, serving.Attempt) (serving.Answer, error) {
	r.sends++
	return nil, &serving.AttemptError{Outcome: serving.OutcomeNotRun, Reason: serving.ReasonRefused}
}

// TestNoBackendIsRefusedAtOnce: with the time to come back, well within the
// objective.
func TestNoBackendIsRefusedAtOnce(t *testing.T) {
	caller := &recorder{}
	sender := &script{ran: map[string]bool{}, lastSeen: caller}
	policy := &route.Route{Kind: route.KindOnce, Timeout: time.Minute, Objective: 200 * time.Millisecond, MaxAttempts: 1, Targets: []route.Target{{Service: "none"}}}
	now := time.Now()
	newCore(sender).Serve(context.Background(), serving.Request{ID: "r", Route: policy, Service: "none", Arrived: now, Deadline: now.Add(time.Minute)}, caller)
	require.Len(t, caller.refusals, 1)
	require.Equal(t, serving.VerdictNotRun, caller.refusals[0].Verdict)
	require.Positive(t, caller.refusals[0].RetryAfter)
}

// leavingScript is a script whose backends leave right after they have set their
// first place aside.
type leavingScript struct {
	*script
	core *serving.Core
	left bool
}

func (s *leavingScript) Reserve(ctx context.Context, wanted serving.Reservation) (string, error) {
	place, err := s.script.Reserve(ctx, wanted)
	if err == nil && !s.left {
		s.left = true
		s.core.Backends.Remove(wanted.Instance.ID)
		s.script.place = ""
	}
	return place, err
}

// TestBackendThatLeavesWithThePlace: the request goes on to ask others at once.
func TestBackendThatLeavesWithThePlace(t *testing.T) {
	policy := &route.Route{Kind: route.KindStream, Timeout: time.Minute, Objective: time.Second, MaxAttempts: 1, Targets: []route.Target{{Service: "s"}}}
	caller := &recorder{}
	sender := &leavingScript{script: &script{ran: map[string]bool{}, lastSeen: caller, refusals: []serving.Reason{serving.ReasonRefused, serving.ReasonRefused, serving.ReasonRefused}}}
	sender.core = newCore(sender)
	sender.core.Holder.Apply(withPlaces(), time.Now())
	now := time.Now()
	sender.core.Serve(context.Background(), serving.Request{ID: "r", Route: policy, Service: "s", Tokens: 10, Arrived: now, Deadline: now.Add(time.Minute)}, caller)
	require.True(t, sender.left)
	require.Equal(t, 1, caller.finished)
	require.Less(t, time.Since(now), policy.Objective)
}

// TestWaitingRequestPreemptsItems: a request that backends have no place for has
// batch items give way where some run, one for every two such backends, until it
// is placed; one that is placed at once preempts nothing.
func TestWaitingRequestPreemptsItems(t *testing.T) {
	policy := &route.Route{Kind: route.KindStream, Timeout: time.Minute, Objective: time.Second, MaxAttempts: 1, Targets: []route.Target{{Service: "s"}}}
	for _, refused := range []int{0, 1, 3, 6} {
		caller := &recorder{}
		sender := &script{ran: map[string]bool{}, lastSeen: caller}
		for range refused {
			sender.refusals = append(sender.refusals, serving.ReasonRefused)
		}
		core := newCore(sender)
		core.Holder.Apply(withPlaces(), time.Now())
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
