package job

import (
	"context"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"topazpulley/internal/backend"
	"topazpulley/internal/periodic"
	"topazpulley/internal/quarantine"
	"topazpulley/internal/route"
	"topazpulley/internal/routing"
	"topazpulley/internal/serving"
	"topazpulley/internal/telemetry"
)

const (
	dispatchInterval = 100 * time.Millisecond
	// preemptInterval is longer than the time in which reports reach the other owners, so
	// that the same excess isn't preempted twice.
	preemptInterval = 200 * time.Millisecond
	// overloadPause is the minimum time between two checks of overloaded backends, in which
	// reports of preemptions reach other owners.
	overloadPause = 10 * time.Millisecond
	// preemptionPause is how long an owner sends no items after an online request needed the
	// slot of one: slots that still count as free are most likely taken.
	preemptionPause = 250 * time.Millisecond
	// batchCostTolerance is the difference in cost, in milliseconds, up to which backends
	// count as equal for batch items.
	batchCostTolerance = 40
)

// dispatchItems sends waiting items to backends with free slots, and preempts items at
// backends whose slots online requests need. While the daemon owns no job, its tickers are
// stopped.
func (s *Service) dispatchItems(ctx context.Context) {
	dispatch := time.NewTicker(dispatchInterval)
	defer dispatch.Stop()
	preempt := time.NewTicker(preemptInterval)
	defer preempt.Stop()
	isIdle := false
	for {
		if ownsNone := s.Owned() == 0; ownsNone != isIdle {
			isIdle = ownsNone
			s.pauseTickers(isIdle, dispatch, preempt)
		}
		select {
		case <-ctx.Done():
			return
		case <-preempt.C:
			s.preemptExcess()
			s.resetPreempt(isIdle, preempt)
		case <-s.backends.Overloaded():
			s.preemptExcess()
			s.resetPreempt(isIdle, preempt)
			periodic.Sleep(ctx, overloadPause)
		case id := <-s.backends.OwnPreemptions():
			s.preemptOne(id)
		case <-dispatch.C:
			s.dispatchWaiting()
		case <-s.wake:
			s.dispatchWaiting()
		}
	}
}

// resetPreempt sets the time of the next check for preemption, if any job is owned.
func (s *Service) resetPreempt(isIdle bool, preempt *time.Ticker) {
	if !isIdle {
		preempt.Reset(s.preemptor.nextCheck())
	}
}

// pauseTickers stops the dispatcher's tickers while no job is owned.
func (s *Service) pauseTickers(isIdle bool, dispatch, preempt *time.Ticker) {
	if isIdle {
		dispatch.Stop()
		preempt.Stop()
		s.backends.SetOwnWaiting(0)
		return
	}
	dispatch.Reset(dispatchInterval)
	preempt.Reset(preemptInterval)
}

// dispatchWaiting sends waiting items, in the order of the due times of their jobs.
func (s *Service) dispatchWaiting() {
	now := time.Now()
	s.mutex.Lock()
	jobs := s.ownedJobs()
	isStopping := s.stopping
	s.mutex.Unlock()
	// Owners that start at the same time and have no reports of each other would send their
	// items to the same free slots.
	isSettled := s.backends.HasPeerReports() || !now.Before(s.placeAfter)
	if isStopping || !isSettled || now.Sub(s.dispatchedAt) < dispatchInterval/2 {
		return
	}
	if !s.mayStartItems() || s.placer.isPaused(now) {
		s.backends.SetOwnWaiting(s.waitingItems(jobs, now))
		return
	}
	s.dispatchedAt = now
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].due.Before(jobs[b].due) })
	ready := []*ownedItem{}
	for _, each := range jobs {
		if !s.cancellations.isBlocked(each.job.ID) {
			ready = append(ready, each.sendable(now)...)
		}
	}
	s.placer.begin(len(ready), s.backends.PeerWaiting(), now, s.propagationWindow())
	sent := 0
	for _, waiting := range ready {
		if s.dispatch(waiting, now) {
			sent++
		}
	}
	s.backends.SetOwnWaiting(len(ready) - sent)
}

// waitingItems counts the items that could be sent.
func (s *Service) waitingItems(jobs []*ownedJob, now time.Time) int {
	count := 0
	for _, each := range jobs {
		count += len(each.sendable(now))
	}
	return count
}

// propagationWindow is the time after which a decision of one owner has been reported to all
// others: the propagation time, and half of it as a margin for delays.
func (s *Service) propagationWindow() time.Duration { return s.backends.Propagation() * 3 / 2 }

// dispatch sends one item if a backend has a free slot, or abandons it if it is malformed or
// its time is over. It returns false if the item remains waiting.
func (s *Service) dispatch(waiting *ownedItem, now time.Time) bool {
	owner := waiting.owner
	if waiting.malformed != nil {
		s.metrics.Items.WithLabelValues(string(StateAbandoned)).Inc()
		s.log.Info("item_abandoned", "job", owner.job.ID, "item", waiting.item.ID, "reason", "malformed", "error", waiting.malformed)
		owner.finish(waiting, Result{Item: waiting.item.ID, State: StateAbandoned})
		return true
	}
	if !owner.giveUp.IsZero() && now.After(owner.giveUp) {
		owner.finish(waiting, Result{Item: waiting.item.ID, State: StateAbandoned})
		return true
	}
	matched, service, found := s.routeOf(owner.job.Host, waiting.item)
	if !found {
		return s.abandonWithoutRoute(waiting)
	}
	waiting.hadRoute = true
	if s.placer.isFull(service) {
		return false
	}
	held, isHeld := s.heldPart(waiting, service)
	if s.waitsForPart(waiting, held, isHeld, now) {
		return false
	}
	if !s.placer.hasCapacity(service, s.mustRun(waiting, service, now)) {
		return false
	}
	candidates, isRestricted := s.backendsFor(waiting, service, s.backends.Candidates(service, waiting.item.Prompt, now), now)
	chosen, found := s.placer.choose(service, waiting.item.Prompt, candidates, isRestricted)
	if !found {
		return false
	}
	lease, found := s.backends.Acquire(chosen.ID, backend.Batch, waiting.item.Prompt)
	if !found {
		return false
	}
	if isHeld {
		s.heldParts.record(held.Fingerprint, now)
		s.logHeld("item_tried", waiting, held, now)
	}
	if at := originAt(lease.Instance()); waiting.progress.lastID() > 0 && !waiting.progress.isFrom(at) {
		s.startOver(waiting, chosen.ID, at)
	}
	ctx, cancel := context.WithCancel(owner.ctx)
	if !owner.start(waiting, chosen.ID, now, cancel) {
		cancel()
		lease.Release()
		return false
	}
	permit := func() error {
		err := s.permit(waiting)
		if err == nil {
			number, epoch := owner.countSend(waiting)
			known := s.backends.EvidenceOf(lease.Instance().Incarnation(), time.Now())
			s.log.Info("item_sent", "job", owner.job.ID, "item", waiting.item.ID, "backend", chosen.ID, "software", lease.Instance().Version, "began_software", waiting.progress.origin().Software, "epoch", epoch, "attempt", number,
				"kind", string(serving.KindOfSend(number, waiting.progress.lastID())), "due_ms", owner.due.Sub(now).Milliseconds(), "last_event", waiting.progress.lastID(),
				"online", chosen.Online, "batch", chosen.Batch, "slots", chosen.Slots, "report_age_ms", telemetry.AgeMillis(chosen.ReportAge), "claims_age_ms", telemetry.AgeMillis(s.claimsAge()),
				"list_age_ms", telemetry.AgeMillis(known.ListAge), "entry_missing_ms", known.MissingFor.Milliseconds())
		}
		return err
	}
	go func() {
		defer cancel()
		s.runItem(ctx, waiting, lease, matched, service, permit)
	}()
	return true
}

// abandonWithoutRoute abandons an item whose route has ended, and reports whether it has. A route that was
// known here and is not in a configuration that was the newest after the job was accepted has ended; any other
// one may not be known here yet.
func (s *Service) abandonWithoutRoute(waiting *ownedItem) bool {
	owner := waiting.owner
	confirmedAt := s.configurationConfirmedAt()
	_, _, found := s.routeOf(owner.job.Host, waiting.item) // the configuration may have changed since
	if found || !waiting.hadRoute || !confirmedAt.After(owner.startedAt) {
		return false
	}
	s.metrics.Items.WithLabelValues(string(StateAbandoned)).Inc()
	s.log.Info("item_abandoned", "job", owner.job.ID, "item", waiting.item.ID, "reason", "route_ended", "config", s.holder.Current().Version(), "config_age_ms", telemetry.AgeMillis(time.Since(confirmedAt)))
	owner.finish(waiting, Result{Item: waiting.item.ID, State: StateAbandoned})
	return true
}

// countSend counts an attempt at an item that is about to be sent. It returns the attempt's
// number and the epoch of the claim under which it is sent.
func (o *ownedJob) countSend(leaving *ownedItem) (number int, epoch int64) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	leaving.sends++
	return leaving.sends, o.claim.claim.Epoch
}

// heldPartPause is the time between two checks of an item with a quarantined prompt part: the
// quarantine may be lifted at any time.
const heldPartPause = 500 * time.Millisecond

// heldPart returns the verdict on a part of an item's prompt that is quarantined for online
// requests, if one is.
func (s *Service) heldPart(waiting *ownedItem, service string) (verdict quarantine.Verdict, isHeld bool) {
	if s.quarantine == nil {
		return quarantine.Verdict{}, false
	}
	return s.quarantine.PartsVerdict(waiting.partsAt(service))
}

// waitsForPart postpones an item with a held part until it may be tried, and reports whether it
// does.
func (s *Service) waitsForPart(waiting *ownedItem, verdict quarantine.Verdict, isHeld bool, now time.Time) bool {
	owner := waiting.owner
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	if !isHeld {
		waiting.heldSince = time.Time{}
		return false
	}
	isFirst := waiting.heldSince.IsZero()
	if isFirst {
		waiting.heldSince = now
	}
	if s.heldParts.mayTry(verdict, waiting.heldSince, now) {
		return false
	}
	waiting.notBefore = now.Add(heldPartPause)
	if isFirst {
		s.logHeld("item_held", waiting, verdict, now)
	}
	return true
}

// logHeld logs a decision on an item with a quarantined prompt part.
func (s *Service) logHeld(message string, held *ownedItem, verdict quarantine.Verdict, now time.Time) {
	s.log.Info(message, "job", held.owner.job.ID, "item", held.item.ID, "part", verdict.Fingerprint.String(), "backends", len(verdict.Instances),
		"latest_crash_age_ms", now.Sub(verdict.Since).Milliseconds(), "waited_ms", now.Sub(held.heldSince).Milliseconds())
}

// routeOf returns the job route of an item and the service that the item goes to. It returns
// false if the configuration now has a route for online requests at the item's path: items
// may run more than once, online requests may not.
func (s *Service) routeOf(host string, item Item) (*route.Route, string, bool) {
	current := s.holder.Current()
	if current == nil {
		return nil, "", false
	}
	matched, found := current.Match(host, item.Path)
	if !found || matched.Kind != route.KindJob {
		return nil, "", false
	}
	return matched, matched.Service(xxhash.Sum64String(item.ID)), true
}

// isUrgent reports whether an item must run now to end before it is due.
func (s *Service) isUrgent(waiting *ownedItem, now time.Time) bool {
	ran := waiting.owner.ranFor(waiting, now)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.itemTimes.isUrgent(ran, waiting.owner.due.Sub(now))
}

// preemptExcess preempts items at backends where online requests wait for their slots.
func (s *Service) preemptExcess() {
	s.mutex.Lock()
	jobs := s.ownedJobs()
	s.mutex.Unlock()
	if len(jobs) == 0 {
		return
	}
	now := time.Now()
	window := s.propagationWindow()
	s.preemptor.forget(now, window)
	running := map[string][]runningItem{}
	for _, each := range jobs {
		for _, item := range each.notPreempted() {
			running[item.backend] = append(running[item.backend], runningItem{ownedItem: item, isUrgent: s.isUrgent(item, now)})
		}
	}
	for _, candidate := range s.preemptableLoads(running) {
		for _, item := range s.itemsToPreempt(candidate, running[candidate.ID], now, window) {
			s.log.Info("item_yielded", "job", item.owner.job.ID, "item", item.item.ID, "backend", candidate.ID, "urgent", item.isUrgent,
				"online", candidate.Online, "batch", candidate.Batch, "slots", candidate.Slots, "last_event", item.progress.lastID())
			item.preempt()
		}
	}
}

// preemptOne preempts one item at a backend where an online request found no slot. No items are
// sent there for one propagation window, and none anywhere for preemptionPause.
func (s *Service) preemptOne(id string) {
	now := time.Now()
	s.mutex.Lock()
	jobs := s.ownedJobs()
	s.mutex.Unlock()
	items := []runningItem{}
	for _, each := range jobs {
		for _, item := range each.notPreempted() {
			if item.backend == id {
				items = append(items, runningItem{ownedItem: item, isUrgent: s.isUrgent(item, now), losesEvents: s.losesEvents(item)})
			}
		}
	}
	if len(items) > 0 && !s.mustPreempt(id, now) {
		return
	}
	s.placer.avoid(id, now.Add(s.propagationWindow()))
	s.placer.pause(now.Add(preemptionPause))
	if len(items) == 0 {
		return
	}
	sortForPreemption(items)
	chosen := items[0]
	s.log.Info("item_gave_way", "job", chosen.owner.job.ID, "item", chosen.item.ID, "backend", id, "urgent", chosen.isUrgent, "last_event", chosen.progress.lastID())
	chosen.preempt()
}

// sortForPreemption sorts items by the order in which they are preempted: those that aren't
// urgent first, among these those that can go on elsewhere, and among these the one that is due
// last.
func sortForPreemption(items []runningItem) {
	sort.Slice(items, func(a, b int) bool {
		if items[a].isUrgent != items[b].isUrgent {
			return items[b].isUrgent
		}
		if items[a].losesEvents != items[b].losesEvents {
			return items[b].losesEvents
		}
		return items[a].owner.due.After(items[b].owner.due)
	})
}

// runningItem is an item that runs at a backend.
type runningItem struct {
	*ownedItem
	isUrgent bool
	// losesEvents is set if the item would have to start over.
	losesEvents bool
}

// itemsToPreempt chooses which of the items at a backend are preempted.
func (s *Service) itemsToPreempt(candidate routing.Candidate, items []runningItem, now time.Time, window time.Duration) []runningItem {
	count := s.preemptor.share(candidate, now, window)
	if count == 0 {
		return nil
	}
	for index := range items {
		items[index].losesEvents = s.losesEvents(items[index].ownedItem)
	}
	sortForPreemption(items)
	return items[:min(count, len(items))]
}

// preemptableLoads returns the load of backends that run items, except for those whose excess
// isn't due to be acted on.
func (s *Service) preemptableLoads(running map[string][]runningItem) []routing.Candidate {
	services := map[string]bool{}
	for id := range running {
		if instance, found := s.backends.Get(id); found {
			services[instance.Service] = true
		}
	}
	loads := []routing.Candidate{}
	now := time.Now()
	for service := range services {
		hasFreeSlots := s.hasFreeSlots(service, now)
		for _, candidate := range s.backends.Candidates(service, nil, now) {
			if len(running[candidate.ID]) > 0 && s.preemptor.isExcessDue(candidate, hasFreeSlots, now) {
				loads = append(loads, candidate)
			}
		}
	}
	return loads
}
