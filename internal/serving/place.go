package serving

import (
	"context"

	"topazpulley/internal/route"
	"topazpulley/internal/routing"
)

// preemption tells what a request may do about batch work.
type preemption uint8

const (
	// preemptNothing asks for a free place.
	preemptNothing preemption = iota
	// preemptWhereFull has an item give way where no slot looks free.
	preemptWhereFull
	// preemptAnywhere has an item give way wherever the request goes: backends
	// that looked free had no place.
	preemptAnywhere
)

// allowedPreemption tells what the request may do about batch work. While it
// asks backends for a place it does nothing.
func (e *exchange) allowedPreemption() preemption {
	switch {
	case !e.asksForPlaces():
		return preemptWhereFull
	case e.unplaced >= questions(e.core.Backends.Count(e.request.Service)):
		return preemptAnywhere
	}
	return preemptNothing
}

// asksForPlaces reports whether backends are asked for a place before the request
// is sent.
func (e *exchange) asksForPlaces() bool {
	_, _, found := placesOf(e.core.Sender, e.core.Holder.Current(), e.request.Service)
	return found && e.request.Route.Kind == route.KindStream && e.request.Tokens > 0
}

// preempt has a batch item give way at the chosen backend if the request would
// wait for a slot there.
func (e *exchange) preempt() {
	allowed := e.allowedPreemption()
	isFull := e.cost.Online+e.cost.Batch >= e.cost.Slots || e.cost.Waiting > 0
	if allowed == preemptNothing || e.cost.Batch <= 0 || (allowed == preemptWhereFull && !isFull) {
		return
	}
	e.preemptAt(e.cost)
}

// preemptAt has one batch item give way at a backend.
func (e *exchange) preemptAt(chosen routing.Candidate) {
	e.core.Backends.Preempt(chosen.ID)
	e.core.Logger.Info("item_preempted", "id", e.request.ID, "backend", chosen.ID, "online", chosen.Online,
		"batch", chosen.Batch, "slots", chosen.Slots, "waiting", chosen.Waiting)
}

// reserve asks for a place for an attempt. After some refusals the request is
// sent without one and waits at the backend.
func (e *exchange) reserve(ctx context.Context, attempt *Attempt) error {
	if e.allowedPreemption() != preemptNothing {
		return nil
	}
	err := Reserve(ctx, e.core.Sender, e.core.Holder.Current(), attempt, e.request.Tokens)
	if err == nil {
		return nil
	}
	reason := attemptError(err).Reason
	if reason != ReasonRefused {
		e.noteFailure(err)
		return err
	}
	e.noteUnplaced()
	if e.allowedPreemption() != preemptNothing {
		clear(e.excluded)
	}
	return &AttemptError{Outcome: OutcomeNotRun, Reason: ReasonNoSlot, Cause: err}
}

// preemptEvery is after how many backends without a place one more batch item is
// asked to give way: one backend without a place may be chance, and what daemons
// know of items may be old, so that some are asked for in vain.
const preemptEvery = 2

// noteUnplaced counts a backend that had no place for the request.
func (e *exchange) noteUnplaced() {
	e.core.Metrics.Attempts.WithLabelValues("not_run", string(ReasonNoSlot)).Inc()
	e.unplaced++
	if e.unplaced%preemptEvery == 0 {
		e.preemptForPlace()
	}
}

// isUnplaced reports whether a backend had no place for a request.
func isUnplaced(err error) bool { return attemptError(err).Reason == ReasonNoSlot }
