package serving

import (
	"context"
	"maps"
	"time"

	"topazpulley/internal/periodic"
	"topazpulley/internal/routing"
)

const (
	// minSearchPause and maxSearchPause bound the time between two probes of a search for a
	// successor. It doubles from one to the next, so that many streams that fall silent at once do
	// not load the other backends.
	minSearchPause = 40 * time.Millisecond
	maxSearchPause = 320 * time.Millisecond
	// maxSearchPreemptions is the number of batch items that one search may preempt: their work is
	// in vain if the silent attempt goes on.
	maxSearchPreemptions = 2
)

// searchPause returns the pause after a number of probes that found no successor.
func searchPause(probes int) time.Duration {
	pause := minSearchPause
	for ; probes > 1 && pause < maxSearchPause; probes-- {
		pause *= 2
	}
	return min(pause, maxSearchPause)
}

// copyFor returns the copy of the exchange on which a search works.
func (e *exchange) copyFor(running *search) *exchange {
	made := *e
	made.excluded = maps.Clone(e.excluded)
	made.silent = maps.Clone(e.silent)
	made.ran = e.ran.Copy()
	made.silent[e.last.ID] = true
	made.search = running
	return &made
}

// absorb takes over what a search has counted on its copy.
func (e *exchange) absorb(worker *exchange) {
	e.sends, e.runs, e.ran = worker.sends, worker.runs, worker.ran
	e.noSlotCount = worker.noSlotCount
}

// findSuccessor looks for a backend that takes the request over from a silent attempt, until one
// does or probing ends. It returns nil if there is none. ctx bounds each probe; request is the context
// of the request.
func (e *exchange) findSuccessor(probing, ctx, request context.Context) *successor {
	e.recordSilence()
	e.excludeSilent()
	e.avoidSilentZone()
	for probes := 1; e.maySucceed(probing); probes++ {
		if found := e.probe(ctx, request); found != nil {
			return found
		}
		if !periodic.SleepAbout(probing, searchPause(probes)) {
			return nil
		}
	}
	return nil
}

// recordSilence charges the silent backend, so that new requests avoid it.
func (e *exchange) recordSilence() {
	if e.caller.Err() != nil {
		return
	}
	RecordFailure(e.core.Backends, e.last.Incarnation(), ReasonSilent, time.Now())
	e.core.Logger.Info("attempt_stands_still", "id", e.request.ID, "backend", e.last.ID, "zone", e.last.Zone, "last_event", e.lastEvent, "begun", e.hasBegun,
		"listed", e.core.Backends.IsListed(e.last.Incarnation()), "runs", e.runs, "left_ms", e.remaining().Milliseconds())
}

// Outcomes of a search for a successor, in logs and metrics.
const (
	searchOutcomeMoved = "moved"
	searchOutcomeEnded = "ended"
)

// recordSearch records the end of a search: a successor was found, or it ended because the attempt
// gave output, broke off or ran out of time.
func (e *exchange) recordSearch(ended *search, isMoved bool) {
	outcome := searchOutcomeEnded
	if isMoved {
		outcome = searchOutcomeMoved
	}
	e.core.Metrics.Searches.WithLabelValues(e.request.Service, outcome).Inc()
	e.core.Logger.Info("successor_search_ended", "id", e.request.ID, "backend", e.last.ID, "outcome", outcome, "took_ms", time.Since(ended.began).Milliseconds(),
		"last_event", e.lastEvent, "unplaced", e.noSlotCount, "sends", e.sends, "runs", e.runs, "retries_left", int(e.core.retries.Left()))
}

// maySucceed reports whether a successor may take the request over.
func (e *exchange) maySucceed(ctx context.Context) bool {
	if ctx.Err() != nil || e.runs+1 >= e.request.Route.MaxAttempts || e.remaining() < minRemaining {
		return false
	}
	_, isQuarantined := e.quarantined()
	return !isQuarantined
}

// excludeSilent makes all backends eligible again, but for those that fell silent on this request.
func (e *exchange) excludeSilent() {
	clear(e.excluded)
	maps.Copy(e.excluded, e.silent)
}

// avoidSilentZone excludes the zone of the silent backend, if the service's timeouts say so.
func (e *exchange) avoidSilentZone() {
	if e.core.ResponseTimes.PrefersOtherZones() {
		e.avoidZone(e.last.Zone)
	}
}

// pickSuccessor picks a backend that the search has not asked yet. When it has asked all, it begins
// again, then also in the silent backend's zone. Ejected backends are no successors.
func (e *exchange) pickSuccessor(allowed preemption) (routing.Candidate, bool) {
	chosen, found := e.core.pick(&e.request, e.excluded, allowed)
	if !found || chosen.Ejected {
		e.excludeSilent()
		chosen, found = e.core.pick(&e.request, e.excluded, allowed)
	}
	return chosen, found && !chosen.Ejected
}

// probe asks one backend to take the request over.
func (e *exchange) probe(ctx, request context.Context) *successor {
	if !e.hasBegun && !e.payRetry() {
		return nil
	}
	reservesSlots := e.reservesSlots()
	allowed := preemptWhereFull
	if reservesSlots {
		allowed = preemptAnywhere
	}
	chosen, found := e.pickSuccessor(allowed)
	if !found {
		return nil
	}
	e.excluded[chosen.ID] = true
	if !reservesSlots {
		return e.sendBeside(ctx, request, chosen)
	}
	if e.reserveAt(ctx, chosen) {
		return &successor{reserved: e.reserved}
	}
	return nil
}

// payRetry spends a retry for the search, once.
func (e *exchange) payRetry() bool {
	e.search.isRetryPaid = e.search.isRetryPaid || e.core.retries.Spend()
	return e.search.isRetryPaid
}
