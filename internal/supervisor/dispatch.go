package supervisor

import (
	"context"
	"slices"
	"time"

	"topazpulley/internal/batch"
	"topazpulley/internal/engine"
	"topazpulley/internal/failure"
	"topazpulley/internal/registry"
	"topazpulley/internal/serving"
)

const (
	maxResumeAttempts = 4
	// resumePause is the time between two attempts to resume.
	resumePause = 300 * time.Millisecond
)

// dispatch starts batch items while the window has free slots and dispatch is not
// paused.
func (l *engineLoop) dispatch(view registry.Engine) {
	for {
		if time.Now().Before(l.pausedUntil()) {
			return
		}
		if !l.hasFreeSlot() {
			return
		}
		task, found := l.supervisor.worker.Take(view.Machine.Service)
		if !found {
			return
		}
		l.start(view, task)
	}
}

func (l *engineLoop) hasFreeSlot() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return !l.isStopped && !l.isDown && len(l.running) < l.window.Size()
}

func (l *engineLoop) pausedUntil() time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.batchPausedUntil
}

// pauseBatch pauses batch dispatch for batchPauseTime.
func (l *engineLoop) pauseBatch() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.batchPausedUntil = time.Now().Add(batchPauseTime)
}

// start runs an item in a goroutine and then dispatches more.
func (l *engineLoop) start(view registry.Engine, task *batch.Task) {
	ctx, cancel := context.WithCancel(task.Context())
	item := &runningItem{task: task, cancel: cancel}
	l.mutex.Lock()
	l.running = append(l.running, item)
	l.mutex.Unlock()
	l.supervisor.group.Add(1)
	go func() {
		defer l.supervisor.group.Done()
		defer cancel()
		l.runItem(ctx, view, task)
		l.remove(item)
		l.dispatch(view)
	}()
}

func (l *engineLoop) remove(item *runningItem) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.running = slices.DeleteFunc(l.running, func(other *runningItem) bool { return other == item })
}

// runItem runs an item, or resumes one that was sent earlier and may not be repeated.
func (l *engineLoop) runItem(ctx context.Context, view registry.Engine, task *batch.Task) {
	if task.Item.MayRepeat() {
		l.runRepeatable(ctx, view, task)
		return
	}
	if task.Earlier != nil {
		l.resume(ctx, task, *task.Earlier)
		return
	}
	l.runOnce(ctx, view, task)
}

// runRepeatable runs an item that may be cancelled and sent again. An item with
// tokens from an earlier attempt is continued.
func (l *engineLoop) runRepeatable(ctx context.Context, view registry.Engine, task *batch.Task) {
	attemptID := task.AttemptID()
	l.logSent(task, batch.Intent{Engine: l.name, Address: view.Machine.Address, AttemptID: attemptID}, serving.KindOfSend(task.Attempts, int64(len(task.Tokens))))
	stream, err := l.supervisor.engines.Generate(ctx, view.Machine.Address, requestFor(task, attemptID))
	if err == nil {
		var end engine.Event
		end, err = collect(ctx, stream, task)
		if err == nil {
			l.supervisor.worker.Finish(task, end)
			return
		}
	}
	l.handleFailure(ctx, task, err)
}

// logSent logs the job, the item and the epoch of an attempt before it is sent. The
// engine gets only the attempt's id.
func (l *engineLoop) logSent(task *batch.Task, sent batch.Intent, kind serving.SendKind) {
	l.supervisor.log.Info("item_sent", "job", task.Job(), "item", task.RequestID(), "attempt_id", sent.AttemptID, "engine", sent.Engine,
		"address", sent.Address, "epoch", task.Epoch(), "attempt", task.Attempts, "kind", string(kind))
}

func requestFor(task *batch.Task, attemptID string) engine.GenerateRequest {
	return engine.GenerateRequest{
		AttemptID: attemptID, Model: task.Item.Body.Model, Input: task.Item.Body.Input(),
		MaxTokens: task.Item.Body.TokenLimit(), Priority: engine.PriorityBatch, Continue: task.Tokens, Fingerprint: task.Fingerprint(), IsItem: true,
	}
}

// collect reads a stream to its end and appends the tokens to the task.
func collect(ctx context.Context, stream *engine.Stream, task *batch.Task) (engine.Event, error) {
	release := stream.Close
	if !task.Item.MayRepeat() {
		release = stream.Detach // closing would cancel the only attempt
	}
	defer release()
	for {
		event, err := stream.Next(ctx)
		if err != nil {
			return event, err
		}
		if event.End && event.FinishReason == engine.FinishCancelled {
			return event, &engine.AttemptError{Outcome: engine.OutcomeUnknown, Code: engine.CodeAbandoned}
		}
		if event.End {
			return event, nil
		}
		task.Tokens = append(task.Tokens, event.Token)
	}
}

// handleFailure handles a failed attempt of a repeatable item. The task fails if it is
// invalid or has failed maxItemFailures times, and finishes if it has all
// its tokens; otherwise it goes back to the worker. Only attempts with an unknown
// outcome count as failures; refusals and preemptions do not.
func (l *engineLoop) handleFailure(ctx context.Context, task *batch.Task, err error) {
	if engine.OutcomeOf(err) == engine.OutcomeInvalid {
		l.supervisor.worker.Fail(task, failure.Wrap(err, failure.KindInvalid, engine.CodeOf(err), "the engine rejected the item"))
		return
	}
	wasPreempted := ctx.Err() != nil
	if !wasPreempted {
		l.pauseBatch()
	}
	if !wasPreempted && engine.OutcomeOf(err) == engine.OutcomeUnknown {
		task.Failures++
		l.supervisor.log.Info("batch_attempt_failed", "engine", l.name, "request", task.RequestID(), "failures", task.Failures, "error", err)
	}
	if len(task.Tokens) >= task.Item.Body.TokenLimit() {
		l.supervisor.worker.Finish(task, engine.CompleteEvent(task.Tokens))
		return
	}
	if task.Failures >= maxItemFailures {
		l.supervisor.worker.Fail(task, err)
		return
	}
	l.supervisor.worker.GiveBack(task)
}

// runOnce runs an item that may not be repeated. The intent is written to the store
// before the item is sent. After that the item is only resumed, unless the engine
// reports that it did not run it.
func (l *engineLoop) runOnce(ctx context.Context, view registry.Engine, task *batch.Task) {
	intent := batch.Intent{Item: task.Index, Engine: l.name, Address: view.Machine.Address, AttemptID: task.AttemptID(), Replaces: task.Refused}
	if err := l.supervisor.worker.RecordIntent(ctx, task, intent); err != nil {
		l.pauseBatch()
		l.handleIntentFailure(ctx, task, intent, err)
		return
	}
	task.Earlier = &intent
	l.logSent(task, intent, serving.KindOfSend(task.Attempts, 0))
	stream, err := l.supervisor.engines.Generate(ctx, view.Machine.Address, requestFor(task, intent.AttemptID))
	if err != nil && engine.OutcomeOf(err) == engine.OutcomeInvalid {
		l.supervisor.worker.Fail(task, err)
		return
	}
	if err == nil {
		err = l.collectAndFinish(ctx, stream, task)
	}
	if err == nil || ctx.Err() != nil {
		return
	}
	if engine.OutcomeOf(err) == engine.OutcomeNotRun {
		l.pauseBatch()
		task.Earlier, task.Refused = nil, intent.AttemptID
		l.supervisor.worker.GiveBack(task)
		return
	}
	l.resume(ctx, task, intent)
}

// collectAndFinish reads a stream to its end and passes the result to the worker.
func (l *engineLoop) collectAndFinish(ctx context.Context, stream *engine.Stream, task *batch.Task) error {
	end, err := collect(ctx, stream, task)
	if err != nil {
		return err
	}
	l.supervisor.worker.Finish(task, end)
	return nil
}

// handleIntentFailure handles an intent whose write failed. The item was not sent. The
// write may have taken effect, though; then a later owner does not send the item
// either.
func (l *engineLoop) handleIntentFailure(ctx context.Context, task *batch.Task, intent batch.Intent, err error) {
	if ctx.Err() != nil {
		return
	}
	l.supervisor.log.Info("intent_not_recorded", "request", task.RequestID(), "attempt", intent.AttemptID, "error", err)
	l.supervisor.worker.GiveBack(task)
}

// resume reads the output of an attempt that may have run. If the engine does not
// have it, the item fails with an unknown outcome and is not sent again.
func (l *engineLoop) resume(ctx context.Context, task *batch.Task, intent batch.Intent) {
	for range maxResumeAttempts {
		task.Tokens = nil
		l.logSent(task, intent, serving.SendResumption)
		stream, err := l.supervisor.engines.Resume(ctx, intent.Address, intent.AttemptID, 0, task.Item.Body.TokenLimit())
		if err == nil {
			err = l.collectAndFinish(ctx, stream, task)
		}
		if err == nil || ctx.Err() != nil {
			return
		}
		time.Sleep(resumePause)
	}
	l.supervisor.worker.Fail(task, failure.New(failure.KindOutcomeUnknown, "outcome_unknown", "the item was sent once and its outcome cannot be learnt; it was not sent again"))
}
