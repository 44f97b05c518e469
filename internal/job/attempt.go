package job

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"topazpulley/internal/backend"
	"topazpulley/internal/route"
	"topazpulley/internal/serving"
	"topazpulley/internal/watchdog"
)

const (
	refusedPause = 100 * time.Millisecond
	failedPause  = 200 * time.Millisecond
	// quarantinedPause is how long an item rests before it is looked at again while
	// it is quarantined: a quarantine may be lifted at any time.
	quarantinedPause = time.Second
	// itemTime is how long a backend may work on one item.
	itemTime = 60 * time.Second
	// firstPatience and eventPatience bound the silence of a backend before an
	// item's first event and between events.
	firstPatience = 6 * time.Second
	eventPatience = 1500 * time.Millisecond
	// itemMethod is the method of every item's request.
	itemMethod = "POST"
	// invalidStatus tells that an item can never be done.
	invalidStatus = 422
)

// runItem makes one attempt at an item, if it is permitted once the connection is there.
func (s *Service) runItem(ctx context.Context, running *ownedItem, lease *backend.Lease, matched *route.Route, service string, permit func() error) {
	defer s.nudge()
	defer lease.Release()
	instance := lease.Instance()
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	watched := watchdog.Start(firstPatience, eventPatience, cancel)
	defer watched.Stop()
	answer, err := s.sendToReader(bounded, serving.Attempt{
		Instance: instance, Tenant: running.owner.job.Tenant, MaxConnections: s.connections(service), ID: running.item.ID, Fingerprint: running.fingerprint, Method: itemMethod, Target: running.item.Path,
		Host: running.owner.job.Host, Fields: running.item.Fields, Body: running.item.Body, Remaining: itemTime,
		LastEvent: running.progress.last(), Stream: true, Permit: permit,
	}, running.item.Tokens)
	if err == nil {
		defer answer.Close()
		if report, told := answer.Load(); told {
			s.backends.RecordReport(instance.Incarnation(), report, time.Now())
		}
		err = s.readItem(running, answer, lease, watched)
	}
	if err != nil && watched.Fired() {
		err = &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonSilent, Cause: err}
	}
	if err != nil {
		s.attemptFailed(ctx, running, instance, matched, err)
	}
}

// sendToReader sends an item to a backend that has just answered a question for a place.
//
// A backend that stands still, as a paused process does, is connected to and written to
// all the same: what lies in its sockets is read when it goes on, seconds later, however
// its sender has closed the connection meanwhile. Of an ended job, 12 of 12 items reached
// backends that way more than three seconds after the end. One that has answered within
// the last milliseconds reads what it is sent. The question also finds a backend full
// before the item waits there, and one that is dead 60 ms later in place of six seconds.
// Backends that set no places aside are not asked; an item that names no size asks for
// one token.
func (s *Service) sendToReader(ctx context.Context, attempt serving.Attempt, tokens int) (serving.Answer, error) {
	if err := serving.Reserve(ctx, s.sender, s.holder.Current(), &attempt, max(tokens, 1)); err != nil {
		return nil, err
	}
	return s.sender.Send(ctx, attempt)
}

// invalidItemError tells that an item can never be done.
type invalidItemError struct {
	status int
}

// Error implements error.
func (e *invalidItemError) Error() string { return "the item can never be done" }

// readItem gathers the text of an item.
func (s *Service) readItem(running *ownedItem, answer serving.Answer, lease *backend.Lease, watched *watchdog.Watchdog) error {
	head := answer.Head()
	if !head.Successful() || !head.Events {
		_, _ = answer.Body()
		if head.Status == invalidStatus {
			return &invalidItemError{status: head.Status}
		}
		return &serving.AttemptError{Outcome: serving.OutcomeFailed, Reason: serving.ReasonError}
	}
	for {
		event, err := answer.Next()
		if errors.Is(err, io.EOF) {
			s.backends.Succeeded(lease.Instance().Incarnation(), time.Now())
			s.metrics.Items.WithLabelValues(string(StateCompleted)).Inc()
			s.noteItemTime(running)
			s.log.Info("item_completed", "job", running.owner.job.ID, "item", running.item.ID, "backend", lease.Instance().ID,
				"events", running.progress.last(), "took_ms", time.Since(running.startedAt).Milliseconds())
			running.owner.finish(running, Result{Item: running.item.ID, State: StateCompleted, Text: running.progress.text()})
			return nil
		}
		if err != nil {
			return err
		}
		if !running.progress.add(event) {
			return &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonCorrupt}
		}
		lease.Started()
		watched.Feed()
	}
}

// noteItemTime learns from an item that ended how long items run.
func (s *Service) noteItemTime(ended *ownedItem) {
	ran := ended.owner.ranFor(ended, time.Now())
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.clock.note(ran)
}

// attemptFailed decides what becomes of an item after a failed attempt.
func (s *Service) attemptFailed(ctx context.Context, running *ownedItem, instance backend.Instance, matched *route.Route, err error) {
	held := running.owner
	if held.ctx.Err() != nil {
		s.log.Info("item_cut", "job", held.job.ID, "item", running.item.ID, "backend", instance.ID,
			"after_ms", time.Since(running.startedAt).Milliseconds(), "last_event", running.progress.last(), "cause", err)
		return
	}
	if ctx.Err() != nil {
		s.metrics.Items.WithLabelValues("yielded").Inc()
		held.requeue(running, refusedPause)
		return
	}
	var invalid *invalidItemError
	if errors.As(err, &invalid) {
		s.metrics.Items.WithLabelValues(string(StateAbandoned)).Inc()
		s.log.Info("item_abandoned", "job", held.job.ID, "item", running.item.ID, "backend", instance.ID, "reason", "invalid", "status", invalid.status)
		held.finish(running, Result{Item: running.item.ID, State: StateAbandoned})
		return
	}
	s.noteFailure(running, instance, matched, err)
}

// noteFailure counts a failed attempt against the backend and the item.
func (s *Service) noteFailure(running *ownedItem, instance backend.Instance, matched *route.Route, err error) {
	held := running.owner
	failed := &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonBroken}
	_ = errors.As(err, &failed)
	if failed.Reason == serving.ReasonError {
		// The item may be at fault; other work tells whether the backend is.
		running.progress.fail()
	} else {
		serving.RecordFailure(s.backends, instance.Incarnation(), failed.Reason, time.Now())
	}
	s.metrics.Items.WithLabelValues(failed.Outcome.String()).Inc()
	s.log.Info("item_attempt_failed", "job", held.job.ID, "item", running.item.ID, "backend", instance.ID, "outcome", failed.Outcome.String(),
		"reason", string(failed.Reason), "failures", running.progress.failed(), "last_event", running.progress.last(), "cause", failed.Cause, "fingerprint", running.fingerprint.String())
	if running.progress.failed() >= matched.MaxAttempts {
		s.log.Info("item_abandoned", "job", held.job.ID, "item", running.item.ID, "reason", "failures", "failures", running.progress.failed())
		held.finish(running, Result{Item: running.item.ID, State: StateAbandoned})
		return
	}
	pause := failedPause
	if failed.Outcome == serving.OutcomeNotRun {
		pause = refusedPause
	}
	if failed.Reason == serving.ReasonQuarantined {
		pause = quarantinedPause
	}
	held.requeue(running, pause)
}
