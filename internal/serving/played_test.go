package serving_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/route"
	"topazpulley/internal/serving"
	"topazpulley/internal/telemetry"
)

const (
	// playedEvents is the length of the streams of a playedSender, and playedPause the time from one
	// event to the next.
	playedEvents = 10
	playedPause  = 50 * time.Millisecond
	// playedTimeout is the deadline of the requests to a playedSender.
	playedTimeout = 8 * time.Second
	// joinTime is when the backends beside the first join.
	joinTime = 20 * time.Millisecond
	// eventTimeout is the silence after which another backend is sought for a stream that has begun.
	// acceptanceTime is how long a backend may leave a request unanswered before it counts as having
	// taken it.
	acceptanceTime = 300 * time.Millisecond
	eventTimeout   = 1500 * time.Millisecond
	// maxPause is the longest pause of a search, without its random part.
	maxPause = 320 * time.Millisecond
	// forGood is longer than any request lasts.
	forGood = time.Hour
	// firstID and otherID are the backends of most tests: the first gets the request.
	firstID = "first"
	otherID = "other"
)

// treatment is how a backend treats one attempt. The zero value answers at once.
type treatment struct {
	// refuses means that the attempt is refused and does not run.
	refuses bool
	// unconnected means that no connection is made until the attempt is cancelled: it does not run.
	unconnected bool
	// headAfter is the time until the head of the answer.
	headAfter time.Duration
	// silentAfter is the number of events of this run after which the backend is silent for silence.
	silentAfter int
	silence     time.Duration
	// breaks means that the connection breaks instead of the silence's end.
	breaks bool
	// outrunsCancel means that output comes although the attempt was cancelled: it was on its way.
	outrunsCancel bool
}

// playedAttempt is one attempt at a playedSender. at times are since the sender's start.
type playedAttempt struct {
	ctx         context.Context
	backend     string
	reservation string
	after       int64
	sentAt      time.Duration
	// headAt and endedAt are 0 until the head was sent and until the attempt ended.
	headAt, endedAt time.Duration
	// closedAt is when the answer was closed last.
	closedAt time.Duration
	// refused is set if the attempt did not run.
	refused, broken  bool
	cancelled, whole bool
	// events counts those that were read, and lateEvents those read after it was cancelled.
	events, lateEvents int
}

// isAtWorkAt reports whether the backend was at work on the attempt at a time.
func (a *playedAttempt) isAtWorkAt(at time.Duration) bool {
	return !a.refused && a.sentAt <= at && (a.endedAt == 0 || a.endedAt > at)
}

// playedSender is a sender whose backends behave as they are told and keep time.
type playedSender struct {
	started time.Time

	mutex sync.Mutex
	// treatments are those of the attempts at each backend in order; the last applies to the rest.
	treatments map[string][]treatment
	// full are the backends that refuse attempts and reservations.
	full     map[string]bool
	attempts []*playedAttempt
	// reservedAt are the times of reservations, and probedAt those of all attempts at reservations.
	reservedAt, probedAt []time.Duration
	maxAtWork            int
}

func (s *playedSender) now() time.Duration { return time.Since(s.started) }

// admit records an attempt and returns how it is treated.
func (s *playedSender) admit(ctx context.Context, attempt *serving.Attempt) (*playedAttempt, treatment) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	id := attempt.Instance.ID
	earlier := 0
	for _, each := range s.attempts {
		if each.backend == id {
			earlier++
		}
	}
	how := treatment{}
	if list := s.treatments[id]; len(list) > 0 {
		how = list[min(earlier, len(list)-1)]
	}
	isNotRun := how.refuses || how.unconnected || s.full[id]
	made := &playedAttempt{ctx: ctx, backend: id, reservation: attempt.Reservation, after: attempt.LastEvent, sentAt: s.now(), refused: isNotRun}
	s.attempts = append(s.attempts, made)
	atWork := 0
	for _, each := range s.attempts {
		if each.isAtWorkAt(made.sentAt) && each.ctx.Err() == nil {
			atWork++
		}
	}
	s.maxAtWork = max(s.maxAtWork, atWork)
	return made, how
}

func (s *playedSender) Send(ctx context.Context, attempt serving.Attempt) (serving.Answer, error) {
	if err := attempt.CheckSendable(ctx); err != nil {
		return nil, err
	}
	made, how := s.admit(ctx, &attempt)
	if how.unconnected {
		<-ctx.Done()
		return nil, &serving.AttemptError{Outcome: serving.OutcomeNotRun, Reason: serving.ReasonRequestEnded, Cause: ctx.Err()}
	}
	if made.refused {
		return nil, &serving.AttemptError{Outcome: serving.OutcomeNotRun, Reason: serving.ReasonRefused}
	}
	answer := &playedAnswer{sender: s, ctx: ctx, attempt: made, how: how, next: attempt.LastEvent + 1, isStream: attempt.Stream}
	context.AfterFunc(ctx, func() { s.end(made, func() { made.cancelled = true }) })
	if err := answer.wait(how.headAfter); err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	made.headAt = s.now()
	return answer, nil
}

// Reserve makes a reservation unless the backend is full.
func (s *playedSender) Reserve(_ context.Context, wanted serving.ReservationRequest) (string, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.probedAt = append(s.probedAt, s.now())
	if s.full[wanted.Instance.ID] {
		return "", &serving.AttemptError{Outcome: serving.OutcomeNotRun, Reason: serving.ReasonRefused}
	}
	s.reservedAt = append(s.reservedAt, s.now())
	return "place at " + wanted.Instance.ID, nil
}

// end records the end of an attempt, once.
func (s *playedSender) end(made *playedAttempt, how func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if made.endedAt == 0 {
		made.endedAt = s.now()
		how()
	}
}

// setFull makes a backend refuse, or take again, what is sent to it.
func (s *playedSender) setFull(id string, isFull bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.full[id] = isFull
}

// runs returns the attempts that ran.
func (s *playedSender) runs() []*playedAttempt {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	ran := []*playedAttempt{}
	for _, each := range s.attempts {
		if !each.refused {
			ran = append(ran, each)
		}
	}
	return ran
}

// at returns the attempts that ran at a backend.
func (s *playedSender) at(id string) []*playedAttempt {
	found := []*playedAttempt{}
	for _, each := range s.runs() {
		if each.backend == id {
			found = append(found, each)
		}
	}
	return found
}

// playedAnswer is the answer to an attempt at a playedSender.
type playedAnswer struct {
	sender   *playedSender
	ctx      context.Context
	attempt  *playedAttempt
	how      treatment
	next     int64
	isStream bool
}

func (a *playedAnswer) Head() serving.Head {
	return serving.Head{Status: 200, Signed: true, Events: a.isStream, Fields: []serving.Field{{Name: "From", Value: a.attempt.backend}}}
}

func (a *playedAnswer) Load() (backend.Report, bool) { return backend.Report{}, false }
func (a *playedAnswer) Transfer() serving.Transfer   { return serving.Transfer{} }
func (a *playedAnswer) Detach()                      { a.sender.end(a.attempt, func() { a.attempt.whole = true }) }

func (a *playedAnswer) Close() {
	a.sender.end(a.attempt, func() { a.attempt.cancelled = true })
	a.sender.mutex.Lock()
	defer a.sender.mutex.Unlock()
	a.attempt.closedAt = a.sender.now()
}

// wait waits for output that comes after a pause.
func (a *playedAnswer) wait(pause time.Duration) error {
	select {
	case <-a.ctx.Done():
		if a.how.outrunsCancel {
			a.sender.end(a.attempt, func() { a.attempt.cancelled = true })
			return nil
		}
		return &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonBroken, Cause: a.ctx.Err()}
	case <-time.After(pause):
		return nil
	}
}

// output waits for the next output, be it silent before it, and breaks if the treatment says so.
func (a *playedAnswer) output(pause time.Duration) error {
	isAfterSilence := a.attempt.events == a.how.silentAfter && a.how.silence > 0
	if isAfterSilence {
		pause = a.how.silence
	}
	if err := a.wait(pause); err != nil {
		return err
	}
	if isAfterSilence && a.how.breaks {
		a.sender.end(a.attempt, func() { a.attempt.broken = true })
		return &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonBroken}
	}
	return nil
}

func (a *playedAnswer) Body() ([]byte, error) {
	if err := a.output(playedPause); err != nil {
		return nil, err
	}
	return []byte("body"), nil
}

func (a *playedAnswer) Next() (serving.Event, serving.Ending, error) {
	if err := a.output(playedPause); err != nil {
		return serving.Event{}, serving.EndingBroken, err
	}
	if a.next > playedEvents {
		return serving.Event{}, serving.EndingWhole, nil
	}
	event := serving.Event{ID: a.next, Raw: fmt.Appendf(nil, "%s:%d;", a.attempt.backend, a.next)}
	a.next++
	if a.ctx.Err() == nil {
		a.attempt.events++
	} else {
		a.attempt.lateEvents++
	}
	return event, serving.EndingNone, nil
}

// playedCaller is a caller that notes which run each event came from.
type playedCaller struct {
	recorder
	events []string
	// wholeFrom is the backend of a complete answer.
	wholeFrom string
}

func (c *playedCaller) Whole(head serving.Head, body []byte) error {
	c.wholeFrom = head.Fields[0].Value
	return c.recorder.Whole(head, body)
}

func (c *playedCaller) Event(raw []byte) error {
	c.events = append(c.events, string(raw))
	return c.recorder.Event(raw)
}

// from returns the events that a run at a backend sends, from one to another.
func from(id string, first, last int) []string {
	sent := []string{}
	for number := first; number <= last; number++ {
		sent = append(sent, fmt.Sprintf("%s:%d;", id, number))
	}
	return sent
}

// play is a core with backends that are played. The first takes the request; the others join after it
// was sent.
type play struct {
	core   *serving.Core
	sender *playedSender
	caller *playedCaller
	policy route.Route
	took   time.Duration
}

// playedBackends returns backends without a zone.
func playedBackends(ids ...string) []backend.Instance {
	made := []backend.Instance{}
	for _, id := range ids {
		made = append(made, backend.Instance{ID: id, Version: "v1", Service: "s", Slots: 4})
	}
	return made
}

// newPlay prepares a resumable stream with three attempts.
func newPlay(instances []backend.Instance, treatments map[string][]treatment, hasReservations bool) *play {
	sender := &playedSender{started: time.Now(), treatments: treatments, full: map[string]bool{}}
	backends := backend.NewSet()
	backends.Put(instances[0])
	time.AfterFunc(joinTime, func() {
		for _, each := range instances[1:] {
			backends.Put(each)
		}
	})
	metrics := telemetry.NewServing(prometheus.NewRegistry())
	core := serving.NewCore(backends, sender, &route.Holder{}, metrics, slog.New(slog.DiscardHandler), func() int { return 1 })
	if hasReservations {
		core.Holder.Apply(withReservations(), time.Now())
	}
	return &play{core: core, sender: sender, caller: &playedCaller{}, policy: streamPolicy(3)}
}

// streamPolicy returns the route of a resumable stream.
func streamPolicy(attempts int) route.Route {
	return route.Route{Kind: route.KindStream, Resumable: true, Timeout: time.Minute, Objective: objective, MaxAttempts: attempts, Targets: []route.Target{{Service: "s", Weight: 1}}}
}

// request returns a request that arrives now.
func (p *play) request() serving.Request {
	now := time.Now()
	return serving.Request{ID: "r", Method: "POST", Target: "/played", Route: &p.policy, Service: "s", Tokens: 10, Arrived: now, Deadline: now.Add(playedTimeout)}
}

// serve serves one request until its end.
func (p *play) serve(ctx context.Context) {
	started := time.Now()
	p.core.Serve(ctx, p.request(), p.caller)
	p.took = time.Since(started)
	synctest.Wait()
}

// requireWhole requires that the caller got the whole stream in order, from the given runs.
func (p *play) requireWhole(t *testing.T, parts ...[]string) {
	t.Helper()
	want := []string{}
	for _, part := range parts {
		want = append(want, part...)
	}
	require.Equal(t, want, p.caller.events)
	require.Equal(t, 1, p.caller.finished)
	require.Zero(t, p.caller.aborted+p.caller.complete+len(p.caller.refusals))
}

// forEachKind runs a test in a bubble, for a service without and with reservations.
func forEachKind(t *testing.T, test func(t *testing.T, hasReservations bool)) {
	t.Helper()
	for _, hasReservations := range []bool{false, true} {
		t.Run(fmt.Sprint("reservations ", hasReservations), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, hasReservations) })
		})
	}
}
