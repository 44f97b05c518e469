package serving

import (
	"context"
	"time"

	"topazpulley/internal/backend"
	"topazpulley/internal/routing"
	"topazpulley/internal/runrecord"
)

// acceptanceTime is the time after which a backend that has not refused a request counts as having
// taken it. Two backends must not work on one request for longer than 400 ms.
const acceptanceTime = 300 * time.Millisecond

// besideAttempt is an attempt that is made beside a silent one.
type besideAttempt struct {
	lease       *backend.Lease
	sent        runrecord.Send
	candidate   routing.Candidate
	attemptedAt time.Time
	cancel      context.CancelFunc
	// answered is closed when answer or err is set.
	answered chan struct{}
	answer   Answer
	err      error
}

// send sends the attempt.
func (b *besideAttempt) send(ctx context.Context, sender Sender, attempt Attempt) {
	defer close(b.answered)
	b.answer, b.err = sender.Send(ctx, attempt)
}

// await waits for the answer.
func (b *besideAttempt) await() (Answer, error) {
	<-b.answered
	return b.answer, b.err
}

// close ends the attempt.
func (b *besideAttempt) close() {
	b.cancel()
	if answer, err := b.await(); err == nil {
		answer.Close()
	}
	b.lease.Release()
}

// sendBeside sends a request to a backend while the silent attempt goes on. The backend takes the
// request over if it answers, or if it has not refused the request for acceptanceTime.
func (e *exchange) sendBeside(ctx, request context.Context, chosen routing.Candidate) *successor {
	lease, found := e.core.Backends.Acquire(chosen.ID, backend.Online, e.request.Prompt)
	if !found {
		return nil
	}
	e.last, e.cost = lease.Instance(), chosen
	e.preempt()
	attempt := e.newAttempt()
	e.countSend(&attempt)
	bounded, cancel := context.WithCancel(request)
	beside := &besideAttempt{lease: lease, sent: e.lastSend, candidate: chosen, attemptedAt: time.Now(), cancel: cancel, answered: make(chan struct{})}
	go beside.send(bounded, e.core.Sender, attempt)
	if e.isAccepted(ctx, beside) {
		return &successor{beside: beside}
	}
	if beside.hasAnswered() {
		e.recordAttemptFailure(beside.failure())
	}
	e.discard(&successor{beside: beside})
	return nil
}

// isAccepted waits until a backend has answered or refused an attempt beside a silent one, for at
// most acceptanceTime, and reports whether it takes the request over.
func (e *exchange) isAccepted(ctx context.Context, beside *besideAttempt) bool {
	timer := time.NewTimer(acceptanceTime)
	defer timer.Stop()
	select {
	case <-beside.answered:
		return beside.err == nil && e.mayAnswerWith(beside.answer.Head())
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// mayAnswerWith reports whether an answer can be the request's, or go on with one that has begun.
func (e *exchange) mayAnswerWith(head Head) bool {
	if e.hasBegun {
		return head.Events && head.Successful()
	}
	return head.Successful() || !e.mayRepeatFailure(head)
}

// discard ends a successor that is not needed, because the silent attempt went on or ended. What was
// sent beside counts as a run unless it has not run.
func (e *exchange) discard(found *successor) {
	if found.beside == nil {
		return
	}
	found.beside.close()
	failed := found.beside.failure()
	if failed.Outcome == OutcomeNotRun {
		e.ran.NeverRan(found.beside.sent)
		return
	}
	if e.countsAsRun(failed) {
		e.runs++
		e.chargeRun()
	}
}

// failure returns why an attempt that has answered does not take the request over.
func (b *besideAttempt) failure() *AttemptError {
	if b.err == nil {
		return &AttemptError{Outcome: OutcomeFailed, Reason: ReasonError}
	}
	return attemptError(b.err)
}

// hasAnswered reports whether the attempt has an answer or has failed.
func (b *besideAttempt) hasAnswered() bool {
	select {
	case <-b.answered:
		return true
	default:
		return false
	}
}

// continueBeside goes on with the successor's attempt in place of the silent one, which ended with err.
func (e *exchange) continueBeside(ctx context.Context, err error) error {
	beside := e.successor.beside
	defer beside.close()
	e.leaveSilent(err)
	e.last, e.cost, e.attemptedAt, e.lastSend = beside.lease.Instance(), beside.candidate, beside.attemptedAt, beside.sent
	return e.exchangeOver(ctx, beside.lease, beside.cancel, beside.await)
}
