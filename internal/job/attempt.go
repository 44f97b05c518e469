package job

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"topazpulley/internal/backend"
	"topazpulley/internal/route"
	"topazpulley/internal/serving"
	"topazpulley/internal/watchdog"
)

const (
	// refusedPause is the time before an item that was refused or preempted is sent again,
	// failedPause the shortest after any other failure.
	refusedPause = 100 * time.Millisecond
	failedPause  = 200 * time.Millisecond
	// itemTimeout is how long a backend may work on one item.
	itemTimeout = 60 * time.Second
	// firstEventTimeout and eventTimeout limit the time until an item's first event and
	// between events. A sound backend may fall silent for a second or two and go on, and an
	// item that is run again costs that work twice, so eventTimeout is longer than for online
	// requests: nobody waits for the next event of an item.
	firstEventTimeout = 6 * time.Second
	eventTimeout      = 3 * time.Second
	itemMethod        = "POST"
	// invalidStatus is a backend's answer to an item that can never succeed, and failedStatus one that
	// counts as a failure of the item.
	invalidStatus = 422
	failedStatus  = 500
	// maxAnswerPause is the longest time before an item is sent again whose answers say nothing of it.
	maxAnswerPause = 3200 * time.Millisecond
)

// runItem makes one attempt at an item. permit is called once the connection is established.
func (s *Service) runItem(ctx context.Context, running *ownedItem, lease *backend.Lease, matched *route.Route, service string, permit func() error) {
	defer s.nudge()
	defer lease.Release()
	instance := lease.Instance()
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	watched := watchdog.Start(firstEventTimeout, eventTimeout, cancel)
	defer watched.Stop()
	running.broken.begin(running.progress.lastID())
	var transfer serving.Transfer
	answer, err := s.reserveAndSend(bounded, serving.Attempt{
		Instance: instance, Tenant: running.owner.job.Tenant, MaxConnections: s.connections(service), ID: running.item.ID, Fingerprint: running.fingerprint, Parts: running.partsAt(service), Method: itemMethod, Target: running.item.Path,
		Host: running.owner.job.Host, Fields: running.item.Fields, Body: running.item.Body, Remaining: itemTimeout,
		LastEvent: running.progress.lastID(), Software: running.progress.origin().Software, Stream: true, IsItem: true, Permit: permit,
	}, running.item.Tokens)
	receipt := serving.ReceiptOf(err)
	if err == nil {
		defer answer.Close()
		if report, isReported := answer.Load(); isReported {
			s.backends.RecordReport(instance.Incarnation(), report, time.Now())
		}
		err = s.readItem(running, answer, lease, instance, watched)
		transfer = answer.Transfer()
	}
	if err != nil && watched.Fired() {
		err = &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonSilent, Cause: err}
	}
	if err != nil && transfer.Receipt.Connection == "" {
		transfer.Receipt = receipt
	}
	if err != nil {
		s.handleFailure(ctx, running, instance, matched, transfer, err)
	}
}

// reserveAndSend reserves a slot for an item at the backend, and sends the item there.
//
// The reservation shows that the backend process reads its connections. A paused process
// still accepts connections and buffers what is written to them. When it resumes, it would
// run items of jobs that were cancelled meanwhile. The reservation also detects a full or dead
// backend before the item is sent. Backends without reservations are sent the item at
// once. An item without a size reserves one token.
func (s *Service) reserveAndSend(ctx context.Context, attempt serving.Attempt, tokens int) (serving.Answer, error) {
	if err := serving.Reserve(ctx, s.sender, s.holder.Current(), &attempt, max(tokens, 1)); err != nil {
		return nil, err
	}
	serving.CountContinuation(s.metrics, &attempt, attempt.Software)
	return s.sender.Send(ctx, attempt)
}

// invalidItemError reports that an item can never succeed.
type invalidItemError struct {
	status int
}

// Error implements error.
func (e *invalidItemError) Error() string { return "item rejected by the backend as invalid" }

// longTextError reports that an item's text exceeds its limit in bytes.
type longTextError struct {
	limit int
}

// Error implements error.
func (e *longTextError) Error() string {
	return "the text of the item is longer than " + strconv.Itoa(e.limit) + " bytes"
}

// readItem reads the answer to an item and adds its events to the item's progress.
func (s *Service) readItem(running *ownedItem, answer serving.Answer, lease *backend.Lease, instance backend.Instance, watched *watchdog.Watchdog) error {
	head := answer.Head()
	if !head.Successful() || !head.Events {
		_, _ = answer.Body()
		return itemFailure(head.Status)
	}
	for isFirst := true; ; isFirst = false {
		event, ending, err := answer.Next()
		if err != nil {
			return err
		}
		if ending != serving.EndingNone {
			s.backends.Succeeded(lease.Instance().Incarnation(), time.Now())
			s.metrics.Items.WithLabelValues(string(StateCompleted)).Inc()
			s.recordItemTime(running)
			s.log.Info("item_completed", "job", running.owner.job.ID, "item", running.item.ID, "backend", lease.Instance().ID,
				"answer", answer.Transfer(), "events", running.progress.lastID(), "took_ms", time.Since(running.startedAt).Milliseconds())
			running.owner.finish(running, Result{Item: running.item.ID, State: StateCompleted, Text: running.progress.text()})
			return nil
		}
		if isFirst && !running.progress.beginRun(s.presentOrigin(instance)) {
			return &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonOtherSoftware}
		}
		if !running.progress.hasRoom(event) {
			s.startOver(running, instance.ID, originAt(instance))
			return &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonCorrupt, Cause: &longTextError{limit: maxTextBytes}}
		}
		if !running.progress.add(event) {
			return &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonCorrupt}
		}
		lease.Started()
		watched.Feed()
	}
}

// itemFailure returns the failure that an answer without the item's events means. Only failedStatus
// counts as a failure of the item: it is not abandoned for answers that say nothing of it.
func itemFailure(status int) error {
	switch {
	case status == invalidStatus:
		return &invalidItemError{status: status}
	case status == failedStatus:
		return &serving.AttemptError{Outcome: serving.OutcomeFailed, Reason: serving.ReasonError}
	case serving.IsBackendFault(status):
		return &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonError}
	}
	return &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonStatus}
}

// recordItemTime adds the run time of a completed item to the estimate.
func (s *Service) recordItemTime(ended *ownedItem) {
	ran := ended.owner.ranFor(ended, time.Now())
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.itemTimes.add(ran)
}

// handleFailure abandons an item or queues it again after a failed attempt.
func (s *Service) handleFailure(ctx context.Context, running *ownedItem, instance backend.Instance, matched *route.Route, transfer serving.Transfer, err error) {
	owner := running.owner
	if owner.ctx.Err() != nil {
		s.log.Info("item_cut", "job", owner.job.ID, "item", running.item.ID, "backend", instance.ID,
			"after_ms", time.Since(running.startedAt).Milliseconds(), "last_event", running.progress.lastID(), "cause", err)
		return
	}
	if ctx.Err() != nil {
		s.metrics.Items.WithLabelValues("yielded").Inc()
		running.broken.yielded(running.progress.lastID())
		owner.requeue(running, refusedPause)
		return
	}
	var invalid *invalidItemError
	if errors.As(err, &invalid) {
		s.metrics.Items.WithLabelValues(string(StateAbandoned)).Inc()
		s.log.Info("item_abandoned", "job", owner.job.ID, "item", running.item.ID, "backend", instance.ID, "reason", "invalid", "status", invalid.status)
		owner.finish(running, Result{Item: running.item.ID, State: StateAbandoned})
		return
	}
	s.recordFailure(running, instance, matched, transfer, err)
}

// recordFailure counts a failed attempt against the backend or the item. The item is abandoned
// after the route's maximum of attempts, and queued again before.
func (s *Service) recordFailure(running *ownedItem, instance backend.Instance, matched *route.Route, transfer serving.Transfer, err error) {
	owner := running.owner
	failed := &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonBroken}
	_ = errors.As(err, &failed)
	if isItemFailure(failed) {
		// The item may be the cause, so the failure isn't counted against the backend.
		running.progress.addFailure()
	} else {
		serving.RecordFailure(s.backends, instance.Incarnation(), failed.Reason, time.Now())
	}
	pause := running.pauseAfter(failed, s.slacks(running, time.Now())...)
	s.metrics.Items.WithLabelValues(failed.Outcome.String()).Inc()
	s.log.Info("item_attempt_failed", "job", owner.job.ID, "item", running.item.ID, "backend", instance.ID, "software", instance.Version, "outcome", failed.Outcome.String(),
		"reason", string(failed.Reason), "failures", running.progress.failureCount(), "broken_in_row", running.broken.inRow, "pause_ms", pause.Milliseconds(), "last_event", running.progress.lastID(), "cause", failed.Cause, "answer", transfer, "fingerprint", running.fingerprint.String(), "parts", running.partsAt(instance.Service))
	if transfer.ClosedBeforeFirstEvent() && running.progress.addEmptyAnswer() {
		s.startOver(running, instance.ID, originAt(instance))
	}
	if running.progress.failureCount() >= matched.MaxAttempts {
		s.log.Info("item_abandoned", "job", owner.job.ID, "item", running.item.ID, "reason", "failures", "failures", running.progress.failureCount())
		owner.finish(running, Result{Item: running.item.ID, State: StateAbandoned})
		return
	}
	owner.requeue(running, pause)
}

// isItemFailure reports whether a failed attempt counts as a failure of the item.
func isItemFailure(failed *serving.AttemptError) bool {
	return failed.Outcome == serving.OutcomeFailed && failed.Reason == serving.ReasonError
}

// pauseAfter returns the time before the item is sent again after a failed attempt. It grows with
// answers in a row that say nothing of the item, since each backend may give the same, and with
// attempts in a row under which a backend ended (see brokenAttempts.pause for slacks).
func (i *ownedItem) pauseAfter(failed *serving.AttemptError, slacks ...time.Duration) time.Duration {
	switch {
	case failed.Outcome == serving.OutcomeNotRun:
		return refusedPause
	case failed.Reason == serving.ReasonStatus:
		return i.pauseAfterAnswer()
	}
	i.uselessAnswers = 0
	if !endedBackend(failed) {
		return failedPause
	}
	i.broken.broke()
	return i.broken.pause(rand.Float64(), slacks...)
}

// pauseAfterAnswer is pauseAfter for an answer that says nothing of the item.
func (i *ownedItem) pauseAfterAnswer() time.Duration {
	pause := min(failedPause<<i.uselessAnswers, maxAnswerPause)
	if pause < maxAnswerPause {
		i.uselessAnswers++
	}
	return pause
}
