package serving

import (
	"context"

	"topazpulley/internal/route"
	"topazpulley/internal/routing"
)

// preemption says where a request may preempt batch items.
type preemption uint8

const (
	// preemptNothing allows no preemption.
	preemptNothing preemption = iota
	// preemptWhereFull allows preemption at backends without a free slot.
	preemptWhereFull
	// preemptAnywhere allows preemption at any backend. It is used after backends with a
	// reported free slot turned out to have none.
	preemptAnywhere
)

// allowedPreemption returns where the request may preempt batch items. It is
// preemptNothing while the request attempts reservations.
func (e *exchange) allowedPreemption() preemption {
	switch {
	case !e.reservesSlots():
		return preemptWhereFull
	case e.noSlotCount >= attemptedBackends(e.backendCount()):
		return preemptAnywhere
	}
	return preemptNothing
}

// reservesSlots reports whether the request needs a reservation before it is sent.
func (e *exchange) reservesSlots() bool {
	_, _, found := reserverFor(e.core.Sender, e.core.Holder.Current(), e.request.Service)
	return found && e.request.Route.Kind == route.KindStream && e.request.Tokens > 0
}

// preempt preempts a batch item at the chosen backend if the request would otherwise wait
// for a slot there.
func (e *exchange) preempt() {
	allowed := e.allowedPreemption()
	isFull := e.cost.Online+e.cost.Batch >= e.cost.Slots || e.cost.Waiting > 0
	if allowed == preemptNothing || e.cost.Batch <= 0 || (allowed == preemptWhereFull && !isFull) {
		return
	}
	e.preemptAt(e.cost)
}

// preemptAt preempts one batch item at a backend, unless a search has preempted as many as it may.
func (e *exchange) preemptAt(chosen routing.Candidate) {
	if e.search != nil && !e.search.mayPreempt() {
		return
	}
	e.core.Backends.Preempt(chosen.ID)
	e.core.Logger.Info("item_preempted", "id", e.request.ID, "backend", chosen.ID, "online", chosen.Online,
		"batch", chosen.Batch, "slots", chosen.Slots, "waiting", chosen.Waiting)
}

// reserve makes a reservation for an attempt if the service takes reservations. A request
// that waited for a slot and got none is sent without a reservation and queues at the
// backend.
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
		e.recordAttemptFailure(err)
		return err
	}
	e.recordNoSlot()
	if e.allowedPreemption() != preemptNothing {
		clear(e.excluded)
	}
	return &AttemptError{Outcome: OutcomeNotRun, Reason: ReasonNoSlot, Cause: err}
}

// preemptEvery is the number of backends without a slot after which one more batch item is
// preempted. It is above 1 because the daemon's view of slots and items may be stale.
const preemptEvery = 2

// recordNoSlot counts a backend that had no slot for the request.
func (e *exchange) recordNoSlot() {
	e.core.Metrics.Attempts.WithLabelValues("not_run", string(ReasonNoSlot)).Inc()
	e.noSlotCount++
	if e.noSlotCount%preemptEvery == 0 {
		e.preemptForSlot()
	}
}

// isNoSlot reports whether an error means that a backend had no slot.
func isNoSlot(err error) bool { return attemptError(err).Reason == ReasonNoSlot }
