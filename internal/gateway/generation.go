package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"time"

	"topazpulley/internal/boottime"
	"topazpulley/internal/bundle"
	"topazpulley/internal/engine"
	"topazpulley/internal/failure"
	"topazpulley/internal/periodic"
	"topazpulley/internal/quarantine"
	"topazpulley/internal/registry"
	"topazpulley/internal/runrecord"
	"topazpulley/internal/serving"
	"topazpulley/internal/tenant"
)

const (
	maxAttempts    = 12
	resumeAttempts = 5
	resumePause    = 200 * time.Millisecond
	// resumeTimeout is how long an engine whose stream failed may take to answer before a
	// repeatable request continues on another engine that has free capacity.
	resumeTimeout       = time.Second
	noEngineRetry       = 2 * time.Second
	codeNoEngine        = "no_engine"
	codeEnginesFull     = "engines_full"
	codeRetryBudget     = "retry_budget_spent"
	codeOutcomeUnknown  = "outcome_unknown"
	codeDeadlineReached = "deadline"
	codeCallerLeft      = "caller_left"
)

// onlineRequest is one online request: a generation or a plain call.
type onlineRequest struct {
	id         string
	origin     origin
	tenant     string
	limit      tenant.Limit
	service    string
	policy     bundle.Policy
	model      string
	input      json.RawMessage
	maxTokens  int
	repeatable bool
	prefixHash uint64
	arrived    time.Time
	// arrivedMark is the arrival time on the clock that includes suspended time.
	arrivedMark boottime.Mark
}

// fingerprint identifies the request by its content. It does not depend on its id.
func (r onlineRequest) fingerprint() quarantine.Fingerprint {
	return engine.GenerationFingerprint(r.model, r.tenant, r.input)
}

// intentRecorder durably records an attempt of a non-repeatable request before it is
// sent. The attempt may be sent only if the recorder returns nil.
type intentRecorder func(ctx context.Context, view registry.Engine, attemptID string) error

// generation produces the tokens of one request. It retries after refusals and broken
// streams, on other engines if needed; next returns each token exactly once.
type generation struct {
	gateway *Gateway
	request onlineRequest
	record  intentRecorder

	tokens    []string
	stream    *engine.Stream
	view      registry.Engine
	attempt   int
	attemptID string
	resumes   int
	// ran records whether engines may have run the request.
	ran runrecord.Record
	// lastSend is the attempt that was sent last.
	lastSend   runrecord.Send
	excluded   map[string]bool
	overloaded bool
	firstToken time.Duration
}

func (g *Gateway) newGeneration(request onlineRequest, record intentRecorder) *generation {
	g.retries.Earn()
	return &generation{gateway: g, request: request, record: record, excluded: map[string]bool{}}
}

// next returns the next token or the end event.
func (n *generation) next(ctx context.Context) (engine.Event, error) {
	for {
		if len(n.tokens) >= n.request.maxTokens && n.stream == nil {
			return n.deliver(engine.CompleteEvent(n.tokens)), nil
		}
		if n.stream == nil {
			if err := n.open(ctx); err != nil {
				return engine.Event{}, err
			}
		}
		event, err := n.stream.Next(ctx)
		if err == nil && event.End && event.FinishReason == engine.FinishCancelled {
			err = &engine.AttemptError{Outcome: engine.OutcomeUnknown, Code: engine.FinishCancelled}
		}
		if err == nil {
			return n.deliver(event), nil
		}
		if err := n.handleBrokenStream(ctx, err); err != nil {
			return engine.Event{}, err
		}
	}
}

func (n *generation) deliver(event engine.Event) engine.Event {
	if n.firstToken == 0 {
		n.firstToken = time.Since(n.request.arrived)
		n.gateway.Metrics.FirstToken.WithLabelValues(n.request.service).Observe(n.firstToken.Seconds())
	}
	if event.End {
		n.gateway.durations.Observe(n.request.service, time.Since(n.request.arrived))
		n.endStream(false)
		return event
	}
	n.tokens = append(n.tokens, event.Token)
	return event
}

// endStream closes the current stream and records whether it failed.
func (n *generation) endStream(failed bool) {
	if n.stream == nil {
		return
	}
	if failed && !n.request.repeatable {
		n.stream.Detach() // closing would cancel the only attempt
	} else {
		n.stream.Close()
	}
	n.stream = nil
	n.gateway.Registry.End(n.view.Name, failed, time.Now())
}

// close ends the generation; a running attempt is cancelled.
func (n *generation) close() { n.endStream(false) }

// open starts an attempt on a chosen engine and tries others after refusals.
func (n *generation) open(ctx context.Context) error {
	for n.attempt < maxAttempts {
		if n.attempt > 0 && !n.gateway.retries.Spend() {
			return n.overloadedError(codeRetryBudget, "engines refused the request and the retry budget is spent")
		}
		view, err := n.choose(ctx)
		if err != nil {
			return err
		}
		n.attempt++
		n.view = view
		n.attemptID = fmt.Sprintf("%s-%d", n.request.id, n.attempt)
		if n.record != nil {
			if err := n.record(ctx, view, n.attemptID); err != nil {
				return n.ran.Refuse(failure.From(err))
			}
		}
		if err := n.checkSendable(ctx); err != nil {
			return err
		}
		err = n.send(ctx)
		if err == nil {
			return nil
		}
		if err := n.handleRefusal(ctx, err); err != nil || n.stream != nil {
			return err
		}
	}
	return n.overloadedError("too_many_attempts", "no engine accepted the request")
}

func (n *generation) send(ctx context.Context) error {
	n.gateway.Registry.Begin(n.view.Name)
	n.gateway.sendPreemptionHint(n.view)
	n.lastSend = n.ran.Sent()
	n.gateway.logSent(n.request, n.view, n.attemptID, n.attempt, serving.KindOfSend(n.attempt, int64(len(n.tokens))))
	stop := context.AfterFunc(ctx, func() { n.cancelUnanswered(ctx) })
	defer stop()
	stream, err := n.gateway.Engines.Generate(ctx, n.view.Machine.Address, engine.GenerateRequest{
		AttemptID: n.attemptID, Model: n.request.model, Input: n.request.input,
		MaxTokens: n.request.maxTokens, Priority: engine.PriorityOnline, Continue: n.tokens, Fingerprint: n.request.fingerprint(),
		IsOnce: !n.request.repeatable,
	})
	if err != nil {
		n.gateway.Registry.End(n.view.Name, isEngineFault(err), time.Now())
		n.recordOutcome(err)
		return err
	}
	n.stream = stream
	return nil
}

// cancelUnanswered cancels an attempt whose answer has not begun if the caller has
// disconnected. Otherwise an engine that queues the attempt would still run it.
func (n *generation) cancelUnanswered(ctx context.Context) {
	if hasCallerLeft(ctx) {
		n.gateway.Engines.Cancel(n.view.Machine.Address, n.attemptID)
	}
}

// recordOutcome records an attempt that was refused or not sent as not run.
func (n *generation) recordOutcome(err error) {
	switch engine.OutcomeOf(err) {
	case engine.OutcomeNotRun, engine.OutcomeInvalid:
		n.ran.NeverRan(n.lastSend)
	}
}

// isEngineFault reports whether a failure counts against the engine. Refusals in
// normal operation do not.
func isEngineFault(err error) bool {
	switch engine.CodeOf(err) {
	case engine.RefusalFull, engine.RefusalLoading, engine.RefusalNoModel, engine.RefusalBadRequest:
		return false
	}
	return true
}

// handleRefusal handles an attempt that failed before its stream opened. After a nil
// error, the caller continues with the stream if it is set, and otherwise tries again.
func (n *generation) handleRefusal(ctx context.Context, err error) error {
	n.logFailed(n.attemptID, err)
	n.gateway.Metrics.Retries.WithLabelValues(engine.CodeOf(err)).Inc()
	if engine.CodeOf(err) == engine.CodeQuarantined {
		return n.quarantinedError()
	}
	switch engine.OutcomeOf(err) {
	case engine.OutcomeInvalid:
		return n.rejectedError(err)
	case engine.OutcomeNotRun:
		n.overloaded = n.overloaded || engine.CodeOf(err) == engine.RefusalFull
		n.excluded[n.view.Name] = true
		return nil
	}
	return n.handleUnknownOutcome(ctx, err)
}

// rejectedError returns the final error of a request that an engine found invalid.
func (n *generation) rejectedError(err error) error {
	return n.ran.Refuse(failure.Wrap(err, failure.KindInvalid, engine.CodeOf(err), "the engine rejected the request"))
}

// quarantinedError returns the final error of a quarantined request.
func (n *generation) quarantinedError() error {
	return n.ran.Refuse(failure.New(failure.KindUnavailable, engine.CodeQuarantined,
		"engines crashed while they ran this request; it is not sent to any engine before Retry-After").
		WithRetryAfter(time.Duration(n.gateway.Settings.QuarantineTime)))
}

// handleBrokenStream handles a stream that failed after it opened.
func (n *generation) handleBrokenStream(ctx context.Context, err error) error {
	if engine.CodeOf(err) == engine.CodeWrongID {
		n.gateway.Metrics.Dropped.Inc()
	}
	n.logFailed(n.attemptID, err)
	isFault := ctx.Err() == nil
	n.endStream(isFault)
	n.gateway.Metrics.Retries.WithLabelValues(engine.CodeOf(err)).Inc()
	return n.handleUnknownOutcome(ctx, err)
}

// handleUnknownOutcome handles an attempt that was sent and whose outcome is unknown.
// It resumes the attempt on the same engine. If that fails, a repeatable request
// continues on another engine after the delivered tokens; any other request fails with
// an unknown outcome.
func (n *generation) handleUnknownOutcome(ctx context.Context, cause error) error {
	if ctx.Err() != nil {
		return n.endedError(ctx, cause)
	}
	tries := 1
	if !n.request.repeatable {
		tries = resumeAttempts
	}
	for try := range tries {
		if try > 0 {
			time.Sleep(resumePause)
		}
		if n.resume(ctx, cause) {
			return nil
		}
		if ctx.Err() != nil {
			return n.endedError(ctx, cause)
		}
	}
	if !n.request.repeatable {
		return failure.Wrap(cause, failure.KindOutcomeUnknown, codeOutcomeUnknown, "the request was sent once and its outcome is unknown; it was not sent again")
	}
	n.excluded[n.view.Name] = true
	return nil
}

// resume reattaches to the current attempt after the delivered tokens.
func (n *generation) resume(ctx context.Context, cause error) bool {
	canResume := engine.CodeOf(cause) != engine.CodeWrongID || !n.request.repeatable
	if !canResume || n.resumes >= maxAttempts {
		return false
	}
	n.resumes++
	n.gateway.logSent(n.request, n.view, n.attemptID, n.attempt, serving.SendResumption)
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	if n.request.repeatable {
		go n.leaveSilentEngine(bounded, cancel, n.excludedAfterLeaving())
	}
	stream, err := n.gateway.Engines.Resume(bounded, n.view.Machine.Address, n.attemptID, len(n.tokens), n.request.maxTokens)
	if err != nil {
		return false
	}
	n.gateway.Registry.Begin(n.view.Name)
	n.stream = stream
	return true
}

// excludedAfterLeaving returns the engines that are excluded if the present one is left.
func (n *generation) excludedAfterLeaving() map[string]bool {
	excluded := maps.Clone(n.excluded)
	excluded[n.view.Name] = true
	return excluded
}

// leaveSilentEngine ends a resumption that the engine does not answer once another engine has free
// capacity. Until then the silent one is waited for: it may go on.
func (n *generation) leaveSilentEngine(ctx context.Context, leave func(), excluded map[string]bool) {
	for periodic.Sleep(ctx, resumeTimeout) {
		if _, found, _ := n.gateway.route(n.request, excluded); found {
			leave()
			return
		}
	}
}

// endedError returns the final error of a request whose context has ended: the daemon
// is stopping, the caller has disconnected or the deadline has passed.
func (n *generation) endedError(ctx context.Context, cause error) error {
	if n.gateway.lifetime.Err() != nil {
		return n.ran.Refuse(failure.Wrap(cause, failure.KindUnavailable, "stopping", "the daemon is stopping"))
	}
	if hasCallerLeft(ctx) {
		return n.ran.MarkNotRun(failure.Wrap(cause, failure.KindCancelled, codeCallerLeft, "the caller closed the connection"))
	}
	return n.ran.MarkNotRun(failure.Wrap(cause, failure.KindDeadline, codeDeadlineReached, "the request's deadline passed"))
}

// overloadedError returns the final error of a request that no engine accepted.
func (n *generation) overloadedError(code, message string) error {
	return n.ran.Refuse(failure.New(failure.KindOverloaded, code, "%s", message).WithRetryAfter(noEngineRetry))
}
