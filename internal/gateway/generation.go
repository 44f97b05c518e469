package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"topazpulley/internal/boottime"
	"topazpulley/internal/bundle"
	"topazpulley/internal/engine"
	"topazpulley/internal/failure"
	"topazpulley/internal/quarantine"
	"topazpulley/internal/registry"
	"topazpulley/internal/runrecord"
	"topazpulley/internal/serving"
	"topazpulley/internal/tenant"
)

const (
	maxAttempts         = 12
	resumeAttempts      = 5
	resumePause         = 200 * time.Millisecond
	noEngineRetry       = 2 * time.Second
	codeNoEngine        = "no_engine"
	codeEnginesFull     = "engines_full"
	codeRetryBudget     = "retry_budget_spent"
	codeOutcomeUnknown  = "outcome_unknown"
	codeDeadlineReached = "deadline"
	codeCallerLeft      = "caller_left"
)

// onlineRequest is one admitted online generation.
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
	// arrivedMark is the same moment by a clock that counts sleep too.
	arrivedMark boottime.Mark
}

// fingerprint identifies the request's content whatever its id.
func (r onlineRequest) fingerprint() quarantine.Fingerprint {
	return engine.GenerationFingerprint(r.model, r.tenant, r.input)
}

// intentRecorder makes the dispatch of a request that may not be repeated
// durable. It returns nil only when the attempt may be sent.
type intentRecorder func(ctx context.Context, view registry.Engine, attemptID string) error

// generation produces the tokens of one request. It hides refusals, broken
// streams and changes of engine: next returns each token exactly once.
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
	// ran is what is known of whether engines ran the request.
	ran        runrecord.Record
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
		if err := n.broken(ctx, err); err != nil {
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
		n.endStream(false)
		return event
	}
	n.tokens = append(n.tokens, event.Token)
	return event
}

// endStream closes the present stream and counts how it went.
func (n *generation) endStream(failed bool) {
	if n.stream == nil {
		return
	}
	if failed && !n.request.repeatable {
		n.stream.Detach() // cancelling would lose the only attempt
	} else {
		n.stream.Close()
	}
	n.stream = nil
	n.gateway.Registry.End(n.view.Name, failed, time.Now())
}

// close ends the generation early; a running attempt is cancelled.
func (n *generation) close() { n.endStream(false) }

// open starts an attempt on a chosen engine, trying others after refusals.
func (n *generation) open(ctx context.Context) error {
	for n.attempt < maxAttempts {
		if n.attempt > 0 && !n.gateway.retries.Spend() {
			return n.giveUp(codeRetryBudget, "engines refuse and the retry budget is spent")
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
		if err := n.mayLeave(ctx); err != nil {
			return err
		}
		err = n.send(ctx)
		if err == nil {
			return nil
		}
		if err := n.refused(ctx, err); err != nil || n.stream != nil {
			return err
		}
	}
	return n.giveUp("too_many_attempts", "no engine took the request")
}

func (n *generation) send(ctx context.Context) error {
	n.gateway.Registry.Begin(n.view.Name)
	n.gateway.hintYield(n.view)
	n.ran.Sent()
	n.gateway.noteSent(n.request, n.view, n.attemptID, n.attempt, serving.KindOfSend(n.attempt, int64(len(n.tokens))))
	stop := context.AfterFunc(ctx, func() { n.endUnanswered(ctx) })
	defer stop()
	stream, err := n.gateway.Engines.Generate(ctx, n.view.Machine.Address, engine.GenerateRequest{
		AttemptID: n.attemptID, Model: n.request.model, Input: n.request.input,
		MaxTokens: n.request.maxTokens, Priority: engine.PriorityOnline, Continue: n.tokens, Fingerprint: n.request.fingerprint(),
		IsOnce: !n.request.repeatable,
	})
	if err != nil {
		n.gateway.Registry.End(n.view.Name, isEngineFault(err), time.Now())
		n.noteOutcome(err)
		return err
	}
	n.stream = stream
	return nil
}

// endUnanswered tells the engine to stop an attempt whose answer has not begun, if the
// caller has left: an engine that has no room begins to answer when it gets some, and
// would run the request for nobody.
func (n *generation) endUnanswered(ctx context.Context) {
	if hasLeft(ctx) {
		n.gateway.Engines.Cancel(n.view.Machine.Address, n.attemptID)
	}
}

// noteOutcome notes an attempt that an engine refused or that never left.
func (n *generation) noteOutcome(err error) {
	switch engine.OutcomeOf(err) {
	case engine.OutcomeNotRun, engine.OutcomeInvalid:
		n.ran.NeverRan()
	}
}

// isEngineFault tells failures that count against an engine from refusals that
// are part of its normal life.
func isEngineFault(err error) bool {
	switch engine.CodeOf(err) {
	case engine.RefusalFull, engine.RefusalLoading, engine.RefusalNoModel, engine.RefusalBadRequest:
		return false
	}
	return true
}

// refused handles an attempt that did not start or broke before its stream
// opened. A nil return means: try on, or go on with the stream if it is set.
func (n *generation) refused(ctx context.Context, err error) error {
	n.noteFailed(n.attemptID, err)
	n.gateway.Metrics.Retries.WithLabelValues(engine.CodeOf(err)).Inc()
	if engine.CodeOf(err) == engine.CodeQuarantined {
		return n.quarantined()
	}
	switch engine.OutcomeOf(err) {
	case engine.OutcomeInvalid:
		return n.rejected(err)
	case engine.OutcomeNotRun:
		n.overloaded = n.overloaded || engine.CodeOf(err) == engine.RefusalFull
		n.excluded[n.view.Name] = true
		return nil
	}
	return n.unknown(ctx, err)
}

// rejected makes the final answer of a request that an engine found wrong.
func (n *generation) rejected(err error) error {
	return n.ran.Refuse(failure.Wrap(err, failure.KindInvalid, engine.CodeOf(err), "the engine rejected the request"))
}

// quarantined makes the final answer of a request that is sent to no engine.
func (n *generation) quarantined() error {
	return n.ran.Refuse(failure.New(failure.KindUnavailable, engine.CodeQuarantined,
		"engines ended while they ran this request earlier; calls before Retry-After are sent to none").
		WithRetryAfter(time.Duration(n.gateway.Settings.QuarantineTime)))
}

// broken handles a stream that failed after it opened.
func (n *generation) broken(ctx context.Context, err error) error {
	if engine.CodeOf(err) == engine.CodeWrongID {
		n.gateway.Metrics.Dropped.Inc()
	}
	n.noteFailed(n.attemptID, err)
	isFault := ctx.Err() == nil
	n.endStream(isFault)
	n.gateway.Metrics.Retries.WithLabelValues(engine.CodeOf(err)).Inc()
	return n.unknown(ctx, err)
}

// unknown decides what follows when an attempt was sent and its end is not
// known: resume it on the same engine; if that fails, a repeatable request
// continues elsewhere from the delivered tokens, another one ends as unknown.
func (n *generation) unknown(ctx context.Context, cause error) error {
	if ctx.Err() != nil {
		return n.expired(ctx, cause)
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
			return n.expired(ctx, cause)
		}
	}
	if !n.request.repeatable {
		return failure.Wrap(cause, failure.KindOutcomeUnknown, codeOutcomeUnknown, "the request was sent once and its outcome cannot be learnt; it was not sent again")
	}
	n.excluded[n.view.Name] = true
	return nil
}

// resume attaches to the present attempt from the delivered tokens on.
func (n *generation) resume(ctx context.Context, cause error) bool {
	canResume := engine.CodeOf(cause) != engine.CodeWrongID || !n.request.repeatable
	if !canResume || n.resumes >= maxAttempts {
		return false
	}
	n.resumes++
	n.gateway.noteSent(n.request, n.view, n.attemptID, n.attempt, serving.SendResumption)
	stream, err := n.gateway.Engines.Resume(ctx, n.view.Machine.Address, n.attemptID, len(n.tokens))
	if err != nil {
		return false
	}
	n.gateway.Registry.Begin(n.view.Name)
	n.stream = stream
	return true
}

func (n *generation) expired(ctx context.Context, cause error) error {
	if n.gateway.lifetime.Err() != nil {
		return n.ran.Refuse(failure.Wrap(cause, failure.KindUnavailable, "stopping", "the daemon is stopping"))
	}
	if hasLeft(ctx) {
		return n.ran.MarkNotRun(failure.Wrap(cause, failure.KindCancelled, codeCallerLeft, "the caller closed the connection"))
	}
	return n.ran.MarkNotRun(failure.Wrap(cause, failure.KindDeadline, codeDeadlineReached, "the request's deadline passed"))
}

// giveUp makes the final answer of a request that no engine took.
func (n *generation) giveUp(code, message string) error {
	return n.ran.Refuse(failure.New(failure.KindOverloaded, code, "%s", message).WithRetryAfter(noEngineRetry))
}
