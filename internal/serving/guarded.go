package serving

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"topazpulley/internal/backend"
	"topazpulley/internal/quarantine"
)

// gatherTime is how long the runs that broke at one backend are gathered before
// it is asked whether it lives: all of its connections break within
// milliseconds when it ends.
const gatherTime = 20 * time.Millisecond

// LiveChecker is a Sender that can tell whether a backend's process has ended.
type LiveChecker interface {
	// HasEnded reports whether the backend's machine answers that nothing listens
	// there any more. Silence is no such answer.
	HasEnded(ctx context.Context, attempt Attempt) bool
}

// GuardedSender is the one way by which requests reach backends: online requests
// and batch items, first attempts, repeated and resumed ones, and questions for
// places. It sends no request that is quarantined, and tells the guard which
// requests were in flight at backends that ended and which came to a good end.
type GuardedSender struct {
	sender   Sender
	guard    *quarantine.Guard
	backends *backend.Set
	log      *slog.Logger

	// mutex guards broken: the runs that broke at lives of backends about which it is
	// being found out whether they have ended.
	mutex  sync.Mutex
	broken map[backend.Incarnation][]quarantine.Run
}

var (
	_ Sender   = (*GuardedSender)(nil)
	_ Reserver = (*GuardedSender)(nil)
)

// NewGuardedSender returns a sender that asks the guard.
func NewGuardedSender(sender Sender, guard *quarantine.Guard, backends *backend.Set, log *slog.Logger) *GuardedSender {
	return &GuardedSender{sender: sender, guard: guard, backends: backends, log: log, broken: map[backend.Incarnation][]quarantine.Run{}}
}

// Send implements Sender.
func (s *GuardedSender) Send(ctx context.Context, attempt Attempt) (Answer, error) {
	if err := s.refuse(attempt); err != nil {
		return nil, err
	}
	answer, err := s.sender.Send(ctx, attempt)
	if err != nil {
		s.note(ctx, attempt, err, false)
		return nil, err
	}
	return &guardedAnswer{Answer: answer, sender: s, ctx: ctx, attempt: attempt}, nil
}

// Reserve implements Reserver.
func (s *GuardedSender) Reserve(ctx context.Context, wanted Reservation) (string, error) {
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
	if _, isHeld := s.guard.Verdict(attempt.Fingerprint); !isHeld {
		return nil
	}
	return &AttemptError{Outcome: OutcomeNotRun, Reason: ReasonQuarantined}
}

// note looks into an attempt that broke although nobody here ended it.
func (s *GuardedSender) note(ctx context.Context, attempt Attempt, err error, hadOutput bool) {
	if ctx.Err() != nil || attemptError(err).Reason != ReasonBroken {
		return
	}
	checker, canCheck := s.sender.(LiveChecker)
	if !canCheck {
		return
	}
	life := attempt.Instance.Incarnation()
	s.mutex.Lock()
	_, isBeingChecked := s.broken[life]
	s.broken[life] = append(s.broken[life], quarantine.Run{Fingerprint: attempt.Fingerprint, HadOutput: hadOutput})
	s.mutex.Unlock()
	if !isBeingChecked {
		go s.check(checker, attempt)
	}
}

// check finds out whether a backend has ended, and if so tells the guard what
// was in flight there.
func (s *GuardedSender) check(checker LiveChecker, attempt Attempt) {
	started, life := time.Now(), attempt.Instance.Incarnation()
	time.Sleep(gatherTime)
	bounded, cancel := context.WithTimeout(context.Background(), quarantine.LiveCheckTimeout)
	defer cancel()
	// Where the process has started again, its machine takes connections again.
	hasEnded := checker.HasEnded(bounded, attempt) || s.backends.HasSuccessor(life)
	s.mutex.Lock()
	runs := s.broken[life]
	delete(s.broken, life)
	s.mutex.Unlock()
	s.log.Info("backend_checked", "backend", life.ID, "born", life.StartMillis, "has_ended", hasEnded, "runs", len(runs), "took_ms", time.Since(started).Milliseconds())
	if !hasEnded {
		return
	}
	s.backends.Unreachable(life, time.Now())
	s.guard.Crashed(life.String(), runs)
}

// guardedAnswer watches how an answer ends.
type guardedAnswer struct {
	Answer
	sender  *GuardedSender
	ctx     context.Context
	attempt Attempt
	// hadOutput tells that events have come.
	hadOutput bool
}

// Body implements Answer.
func (a *guardedAnswer) Body() ([]byte, error) {
	body, err := a.Answer.Body()
	if err != nil {
		a.sender.note(a.ctx, a.attempt, err, a.hadOutput)
		return nil, err
	}
	if a.Head().Successful() {
		a.sender.guard.Succeeded(a.attempt.Fingerprint)
	}
	return body, nil
}

// Next implements Answer.
func (a *guardedAnswer) Next() (Event, error) {
	event, err := a.Answer.Next()
	switch {
	case err == nil:
		a.hadOutput = true
	case errors.Is(err, io.EOF):
		a.sender.guard.Succeeded(a.attempt.Fingerprint)
	default:
		a.sender.note(a.ctx, a.attempt, err, a.hadOutput)
	}
	return event, err
}
