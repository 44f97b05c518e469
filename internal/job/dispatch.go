package job

import (
	"context"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"topazpulley/internal/backend"
	"topazpulley/internal/periodic"
	"topazpulley/internal/route"
	"topazpulley/internal/routing"
	"topazpulley/internal/serving"
)

const (
	dispatchInterval = 100 * time.Millisecond
	// yieldInterval is longer than the time in which owners learn of each
	// other's items, so that what was taken back is not taken back twice.
	yieldInterval = 200 * time.Millisecond
	// crowdedPause is the shortest time between two looks at crowded backends,
	// in which others hear of what gave way.
	crowdedPause = 10 * time.Millisecond
	// givenWayPause is how long an owner sends no items after it was asked to give
	// way: online requests find no places, and free slots that it knows of are
	// taken. Bursts bring such questions many times a second.
	givenWayPause = 250 * time.Millisecond
	// batchTolerance is the difference in cost, in milliseconds, that does not
	// matter to batch items.
	batchTolerance = 40
)

// dispatchItems sends waiting items to backends with room, and takes items
// back from backends that online requests need. A daemon that owns no job, as
// most do in a large fleet, is woken by its next one only.
func (s *Service) dispatchItems(ctx context.Context) {
	dispatch := time.NewTicker(dispatchInterval)
	defer dispatch.Stop()
	yield := time.NewTicker(yieldInterval)
	defer yield.Stop()
	isIdle := false
	for {
		if ownsNone := s.Owned() == 0; ownsNone != isIdle {
			isIdle = ownsNone
			s.pauseTickers(isIdle, dispatch, yield)
		}
		select {
		case <-ctx.Done():
			return
		case <-yield.C:
			s.yieldItems()
			s.resetYield(isIdle, yield)
		case <-s.backends.Overloaded():
			s.yieldItems()
			s.resetYield(isIdle, yield)
			periodic.Sleep(ctx, crowdedPause)
		case id := <-s.backends.OwnPreemptions():
			s.giveWay(id)
		case <-dispatch.C:
			s.dispatchWaiting()
		case <-s.wake:
			s.dispatchWaiting()
		}
	}
}

// resetYield sets when running items are looked at again, if any job is owned.
func (s *Service) resetYield(isIdle bool, yield *time.Ticker) {
	if !isIdle {
		yield.Reset(s.preempter.nextLook())
	}
}

// pauseTickers stops the dispatcher's tickers while no job is owned.
func (s *Service) pauseTickers(isIdle bool, dispatch, yield *time.Ticker) {
	if isIdle {
		dispatch.Stop()
		yield.Stop()
		s.backends.SetOwnWaiting(0)
		return
	}
	dispatch.Reset(dispatchInterval)
	yield.Reset(yieldInterval)
}

// dispatchWaiting sends items, those due first first.
func (s *Service) dispatchWaiting() {
	now := time.Now()
	s.mutex.Lock()
	jobs := s.ownedJobs()
	isStopping := s.stopping
	s.mutex.Unlock()
	// When all daemons start at once, owners that know nothing of each other
	// would all place their items into the same room.
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

// propagationWindow is the time in which owners do not know of each other's
// latest decisions: that of the news, and half of it for delays on the way.
func (s *Service) propagationWindow() time.Duration { return s.backends.Propagation() * 3 / 2 }

// dispatch sends one item if a backend has room, or gives it up if its time
// is over. It reports false when the item goes on waiting.
func (s *Service) dispatch(waiting *ownedItem, now time.Time) bool {
	held := waiting.owner
	if waiting.malformed != nil {
		s.metrics.Items.WithLabelValues(string(StateAbandoned)).Inc()
		s.log.Info("item_abandoned", "job", held.job.ID, "item", waiting.item.ID, "reason", "malformed", "error", waiting.malformed)
		held.finish(waiting, Result{Item: waiting.item.ID, State: StateAbandoned})
		return true
	}
	if !held.giveUp.IsZero() && now.After(held.giveUp) {
		held.finish(waiting, Result{Item: waiting.item.ID, State: StateAbandoned})
		return true
	}
	matched, service, found := s.routeOf(held.job.Host, waiting.item)
	if !found {
		return false // its route is not known here
	}
	if s.restQuarantined(waiting, now) || s.placer.isFull(service) {
		return false
	}
	if !s.placer.hasRoom(service, s.mustRun(waiting, service, now)) {
		return false
	}
	candidates := s.backends.Candidates(service, waiting.item.Prompt, now)
	chosen, found := s.placer.choose(service, waiting.item.Prompt, candidates)
	if !found {
		return false
	}
	lease, found := s.backends.Acquire(chosen.ID, backend.Batch, waiting.item.Prompt)
	if !found {
		return false
	}
	ctx, cancel := context.WithCancel(held.ctx)
	held.mutex.Lock()
	waiting.state, waiting.backend, waiting.startedAt, waiting.cancel, waiting.isPreempted = itemRunning, chosen.ID, now, cancel, false
	held.mutex.Unlock()
	permit := func() error {
		err := s.permit(waiting)
		if err == nil {
			number, epoch := held.countSend(waiting)
			s.log.Info("item_sent", "job", held.job.ID, "item", waiting.item.ID, "backend", chosen.ID, "epoch", epoch, "attempt", number,
				"kind", string(serving.KindOfSend(number, waiting.progress.last())), "due_ms", held.due.Sub(now).Milliseconds(), "last_event", waiting.progress.last(),
				"online", chosen.Online, "batch", chosen.Batch, "slots", chosen.Slots, "report_age_ms", shownAge(chosen.ReportAge), "claims_age_ms", shownAge(s.claimsAge()))
		}
		return err
	}
	go func() {
		defer cancel()
		s.runItem(ctx, waiting, lease, matched, service, permit)
	}()
	return true
}

// countSend counts an attempt at an item that is about to leave, and returns its number
// and the epoch of the ownership under which it leaves.
func (o *ownedJob) countSend(leaving *ownedItem) (number int, epoch int64) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	leaving.sends++
	return leaving.sends, o.claim.claim.Epoch
}

// restQuarantined has an item that is quarantined wait, and reports whether it
// is. It takes no part of the room, and is given up when its time is over.
func (s *Service) restQuarantined(waiting *ownedItem, now time.Time) bool {
	if s.quarantine == nil {
		return false
	}
	verdict, isHeld := s.quarantine.Verdict(waiting.fingerprint)
	if !isHeld {
		return false
	}
	waiting.owner.mutex.Lock()
	waiting.notBefore = now.Add(quarantinedPause)
	isTold := waiting.isQuarantined
	waiting.isQuarantined = true
	waiting.owner.mutex.Unlock()
	if isTold {
		return true
	}
	s.log.Info("item_quarantined", "job", waiting.owner.job.ID, "item", waiting.item.ID, "fingerprint", waiting.fingerprint.String(),
		"backends", len(verdict.Instances), "until", verdict.Until.UTC().Format(time.RFC3339))
	return true
}

// longestAge stands in logs for all that is older, or was never told.
const longestAge = time.Hour

func shownAge(age time.Duration) int64 { return min(age, longestAge).Milliseconds() }

// routeOf returns the job route of an item and the service that the item goes to. The
// configuration may have given the item's path to a route for online requests since the
// job was accepted: items may run more than once, such requests may not.
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
	return s.clock.isUrgent(ran, waiting.owner.due.Sub(now))
}

// yieldItems takes items back from backends that have no slot left for
// online requests.
func (s *Service) yieldItems() {
	s.mutex.Lock()
	jobs := s.ownedJobs()
	s.mutex.Unlock()
	if len(jobs) == 0 {
		return
	}
	now := time.Now()
	window := s.propagationWindow()
	s.preempter.forget(now, window)
	running := map[string][]runningItem{}
	for _, each := range jobs {
		for _, item := range each.notPreempted() {
			running[item.backend] = append(running[item.backend], runningItem{ownedItem: item, isUrgent: s.isUrgent(item, now)})
		}
	}
	for _, candidate := range s.loadsOf(running) {
		for _, item := range s.itemsToYield(candidate, running[candidate.ID], now, window) {
			s.log.Info("item_yielded", "job", item.owner.job.ID, "item", item.item.ID, "backend", candidate.ID, "urgent", item.isUrgent,
				"online", candidate.Online, "batch", candidate.Batch, "slots", candidate.Slots, "last_event", item.progress.last())
			item.preempt()
		}
	}
}

// giveWay takes one item back from a backend for an online request that waits
// there, and leaves its slot alone until all owners have heard of the request.
func (s *Service) giveWay(id string) {
	now := time.Now()
	s.mutex.Lock()
	jobs := s.ownedJobs()
	s.mutex.Unlock()
	items := []runningItem{}
	for _, each := range jobs {
		for _, item := range each.notPreempted() {
			if item.backend == id {
				items = append(items, runningItem{ownedItem: item, isUrgent: s.isUrgent(item, now)})
			}
		}
	}
	if len(items) > 0 && !s.mustGiveWay(id, now) {
		return
	}
	s.placer.avoid(id, now.Add(s.propagationWindow()))
	s.placer.pause(now.Add(givenWayPause))
	if len(items) == 0 {
		return
	}
	sortForYielding(items)
	chosen := items[0]
	s.log.Info("item_gave_way", "job", chosen.owner.job.ID, "item", chosen.item.ID, "backend", id, "urgent", chosen.isUrgent, "last_event", chosen.progress.last())
	chosen.preempt()
}

// sortForYielding puts those items first that give way first: the ones that are
// not urgent, and among them those due last.
func sortForYielding(items []runningItem) {
	sort.Slice(items, func(a, b int) bool {
		if items[a].isUrgent != items[b].isUrgent {
			return items[b].isUrgent
		}
		return items[a].owner.due.After(items[b].owner.due)
	})
}

// runningItem is an item at a backend.
type runningItem struct {
	*ownedItem
	isUrgent bool
}

// itemsToYield chooses which of the items at a backend are taken back.
func (s *Service) itemsToYield(candidate routing.Candidate, items []runningItem, now time.Time, window time.Duration) []runningItem {
	count := s.preempter.share(candidate, now, window)
	sortForYielding(items)
	return items[:min(count, len(items))]
}

// loadsOf returns the load of backends at which items run.
func (s *Service) loadsOf(running map[string][]runningItem) []routing.Candidate {
	services := map[string]bool{}
	for id := range running {
		if instance, found := s.backends.Get(id); found {
			services[instance.Service] = true
		}
	}
	loads := []routing.Candidate{}
	now := time.Now()
	for service := range services {
		isRoomy := s.isRoomy(service, now)
		for _, candidate := range s.backends.Candidates(service, nil, now) {
			if len(running[candidate.ID]) > 0 && s.preempter.stands(candidate, isRoomy, now) {
				loads = append(loads, candidate)
			}
		}
	}
	return loads
}
