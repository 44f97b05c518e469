package serving

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"topazpulley/internal/backend"
	"topazpulley/internal/quarantine"
)

// gatherTime is how long runs that broke at one backend are collected before the backend
// is checked. All connections of a process break within milliseconds when it exits.
const gatherTime = 20 * time.Millisecond

// LiveChecker is a Sender that can check whether a backend's process has exited.
type LiveChecker interface {
	// HasEnded reports whether the backend's machine answers that nothing listens at its
	// address. No answer counts as false.
	HasEnded(ctx context.Context, attempt Attempt) bool
}

// GuardedSender is the Sender through which all requests reach backends: online requests
// and batch items, first attempts, retries, resumptions and reservations. It refuses online
// requests that are quarantined, and reports to the guard which of them were running at a
// backend that crashed, and which requests and items succeeded.
type GuardedSender struct {
	sender   Sender
	guard    *quarantine.Guard
	backends *backend.Set
	log      *slog.Logger

	// mutex guards broken: the runs that broke at each incarnation that is being checked.
	mutex  sync.Mutex
	broken map[backend.Incarnation][]quarantine.Run
}

var (
	_ Sender   = (*GuardedSender)(nil)
	_ Reserver = (*GuardedSender)(nil)
)

// NewGuardedSender returns a sender that refuses the requests that the guard has
// quarantined.
func NewGuardedSender(sender Sender, guard *quarantine.Guard, backends *backend.Set, log *slog.Logger) *GuardedSender {
	return &GuardedSender{sender: sender, guard: guard, backends: backends, log: log, broken: map[backend.Incarnation][]quarantine.Run{}}
}

// Send implements Sender.
func (s *GuardedSender) Send(ctx context.Context, attempt Attempt) (Answer, error) {
	if err := s.refuse(attempt); err != nil {
		return nil, err
	}
	if attempt.isAtOtherSoftware() {
		return nil, &AttemptError{Outcome: OutcomeNotRun, Reason: ReasonOtherSoftware}
	}
	s.checkOnSend(&attempt)
	answer, err := s.sender.Send(ctx, attempt)
	if err != nil {
		s.recordBroken(ctx, attempt, err, 0)
		return nil, err
	}
	return &guardedAnswer{Answer: answer, sender: s, ctx: ctx, attempt: attempt}, nil
}

// checkOnSend makes the attempt check just before its first byte that its backend has not left since it
// was chosen.
func (s *GuardedSender) checkOnSend(attempt *Attempt) {
	permit, chosen := attempt.Permit, attempt.Instance.Incarnation()
	attempt.Permit = func() error {
		if s.backends.IsLeaving(chosen) {
			return &AttemptError{Outcome: OutcomeNotRun, Reason: ReasonLeft}
		}
		if permit == nil {
			return nil
		}
		return permit()
	}
}

// Reserve implements Reserver.
func (s *GuardedSender) Reserve(ctx context.Context, wanted ReservationRequest) (string, error) {
	if err := s.refuse(wanted.Attempt); err != nil {
		return "", err
	}
	reserver, canReserve := s.sender.(Reserver)
	if !canReserve {
		return "", nil
	}
	return reserver.Reserve(ctx, wanted)
}

// refuse returns an error if the request is quarantined.
func (s *GuardedSender) refuse(attempt Attempt) error {
	if attempt.IsItem {
		return nil
	}
	if _, isQuarantined := s.guard.Verdict(attempt.Fingerprint, attempt.Parts); !isQuarantined {
		return nil
	}
	return &AttemptError{Outcome: OutcomeNotRun, Reason: ReasonQuarantined}
}

// recordBroken records a run that broke, unless its context has ended, and starts a check
// of the backend if none is running. events is the number of events that it gave. Without a
// LiveChecker it does nothing.
func (s *GuardedSender) recordBroken(ctx context.Context, attempt Attempt, err error, events int) {
	if ctx.Err() != nil || attemptError(err).Reason != ReasonBroken {
		return
	}
	checker, canCheck := s.sender.(LiveChecker)
	if !canCheck {
		return
	}
	incarnation := attempt.Instance.Incarnation()
	run := quarantine.Run{Fingerprint: attempt.Fingerprint, HadOutput: events > 0, IsItem: attempt.IsItem}
	if events < quarantine.SoundOutputs {
		run.Parts = attempt.Parts
	}
	s.mutex.Lock()
	_, isBeingChecked := s.broken[incarnation]
	s.broken[incarnation] = append(s.broken[incarnation], run)
	s.mutex.Unlock()
	if !isBeingChecked {
		go s.check(checker, attempt)
	}
}

// check checks whether a backend has exited and, if so, reports the runs that broke there
// to the guard.
func (s *GuardedSender) check(checker LiveChecker, attempt Attempt) {
	started, incarnation := time.Now(), attempt.Instance.Incarnation()
	time.Sleep(gatherTime)
	bounded, cancel := context.WithTimeout(context.Background(), quarantine.LiveCheckTimeout)
	defer cancel()
	// A restarted process accepts connections again: a successor also shows that this
	// incarnation exited.
	hasEnded := checker.HasEnded(bounded, attempt) || s.backends.HasSuccessor(incarnation)
	s.mutex.Lock()
	runs := s.broken[incarnation]
	delete(s.broken, incarnation)
	s.mutex.Unlock()
	s.log.Info("backend_checked", "backend", incarnation.ID, "born", incarnation.StartMillis, "has_ended", hasEnded, "runs", len(runs), "took_ms", time.Since(started).Milliseconds())
	if !hasEnded {
		return
	}
	s.backends.Unreachable(incarnation, time.Now())
	s.guard.Crashed(incarnation.String(), runs)
}

// guardedAnswer reports how an answer ends.
type guardedAnswer struct {
	Answer
	sender  *GuardedSender
	ctx     context.Context
	attempt Attempt
	// events is the number of events received.
	events int
}

// IsLong implements LongAnswer.
func (a *guardedAnswer) IsLong() bool {
	long, mayWait := a.Answer.(LongAnswer)
	return mayWait && long.IsLong()
}

// Reserve implements LongAnswer.
func (a *guardedAnswer) Reserve() error {
	long, mayWait := a.Answer.(LongAnswer)
	if !mayWait {
		return nil
	}
	return long.Reserve()
}

// Body implements Answer.
func (a *guardedAnswer) Body() ([]byte, error) {
	body, err := a.Answer.Body()
	if err != nil {
		a.sender.recordBroken(a.ctx, a.attempt, err, a.events)
		return nil, err
	}
	if a.Head().Successful() {
		a.sender.guard.Succeeded(a.attempt.Fingerprint)
		a.sender.guard.PartsSucceeded(a.attempt.Parts)
	}
	return body, nil
}

// Next implements Answer.
func (a *guardedAnswer) Next() (Event, Ending, error) {
	event, ending, err := a.Answer.Next()
	switch {
	case err != nil:
		a.sender.recordBroken(a.ctx, a.attempt, err, a.events)
	case ending != EndingNone:
		a.sender.guard.Succeeded(a.attempt.Fingerprint)
		a.recordSound(a.events < quarantine.SoundOutputs)
	default:
		a.events++
		a.recordSound(a.events == quarantine.SoundOutputs)
	}
	return event, ending, err
}

// recordSound records, if the output shows that for the first time, that the parts of the prompt
// do not crash the backend. The end of a long stream shows nothing of the present: a part may have
// turned bad since, by a change of the model.
func (a *guardedAnswer) recordSound(isShown bool) {
	if isShown {
		a.sender.guard.PartsSucceeded(a.attempt.Parts)
	}
}
