package job

import (
	"math/rand/v2"
	"time"

	"topazpulley/internal/batchcapacity"
	"topazpulley/internal/routing"
)

const (
	// urgentSlack is the time to spare below which an item is urgent.
	urgentSlack = 5 * time.Second
	// initialItemTime is the estimate of an item's run time until the first item has
	// completed. itemTimeWeight is the weight of each further one in the moving average.
	initialItemTime = 4 * time.Second
	itemTimeWeight  = 0.05
)

// freeBatchSlots returns how many more batch items a backend takes: all its free slots,
// because items are preempted for online requests. It is 0 while requests wait there.
func freeBatchSlots(candidate routing.Candidate) int {
	if candidate.Ejected || candidate.Closed || candidate.Waiting > 0 {
		return 0
	}
	return max(candidate.Slots-candidate.Online-candidate.Batch, 0)
}

// shareOf returns one owner's share of an action that all owners take together. Owners
// receive reports of each other's actions with a delay, so each takes its share, and rounds the
// fraction up or down at random.
func shareOf(total, own, all int, random *rand.Rand) int {
	if total <= 0 || all <= 0 {
		return 0
	}
	count := total * own / all
	if random.IntN(all) < total*own%all {
		count++
	}
	return count
}

// placer divides the capacity for batch items among the owners and chooses a backend for
// each item. Only the dispatcher's goroutine uses it.
type placer struct {
	random *rand.Rand
	// zone is the daemon's own.
	zone string
	// ownWaiting counts this owner's waiting items, allWaiting those of all owners.
	ownWaiting, allWaiting int
	// windowStart is when the current window began. Quotas and shares apply to one window.
	windowStart time.Time
	// quotas are how many more items this owner may send to each backend in the window.
	quotas map[string]int
	// capacityAt returns how many items all owners together may send to a service in a
	// window. shares are this owner's part of it, by service.
	capacityAt func(service string, now time.Time) batchcapacity.Capacity
	shares     map[string]*serviceShare
	// fullServices are the services at which this owner may use no more slots in this pass.
	fullServices map[string]bool
	// avoidedUntil is until when no items are sent to a backend, because an item was
	// preempted there.
	avoidedUntil map[string]time.Time
	// pausedUntil is until when no items are sent to any backend.
	pausedUntil time.Time
	// now is the time of the pass.
	now time.Time
}

// serviceShare is what one owner may still send to a service in the window: urgent counts
// all items, deferrable those that can wait.
type serviceShare struct {
	urgent, deferrable int
	// meanSlots is the mean number of slots that are available to batch items.
	meanSlots int
	// untilValley is the time until the next valley of demand, or 0 if demand isn't
	// periodic.
	untilValley time.Duration
}

// wait returns how long deferrable items may have to wait for capacity: until the next
// valley of demand, or one item's run time if demand isn't periodic.
func (s *serviceShare) wait(itemTime time.Duration) time.Duration {
	if s.untilValley > 0 {
		return s.untilValley
	}
	return itemTime
}

func newPlacer(random *rand.Rand, zone string, capacityAt func(string, time.Time) batchcapacity.Capacity) *placer {
	return &placer{random: random, zone: zone, avoidedUntil: map[string]time.Time{}, capacityAt: capacityAt}
}

// begin starts a pass over the waiting items, given their number at this owner and at all
// others. Once the window has passed, placements have been reported to all owners, and a
// new window begins.
func (p *placer) begin(own, others int, now time.Time, window time.Duration) {
	p.fullServices, p.now = map[string]bool{}, now
	if now.Sub(p.windowStart) < window {
		return
	}
	p.windowStart = now
	p.ownWaiting, p.allWaiting = own, own+others
	p.quotas, p.shares = map[string]int{}, map[string]*serviceShare{}
	for id, until := range p.avoidedUntil {
		if !now.Before(until) {
			delete(p.avoidedUntil, id)
		}
	}
}

// avoid sends no items to a backend until the given time.
func (p *placer) avoid(id string, until time.Time) { p.avoidedUntil[id] = until }

// pause sends no items to any backend until the given time.
func (p *placer) pause(until time.Time) { p.pausedUntil = until }

func (p *placer) isPaused(now time.Time) bool { return now.Before(p.pausedUntil) }

// isFull reports whether choose found no backend of the service in this pass.
func (p *placer) isFull(service string) bool { return p.fullServices[service] }

// share returns what this owner may still send to a service in the window.
func (p *placer) share(service string) *serviceShare {
	share, known := p.shares[service]
	if !known {
		capacity := p.capacityAt(service, p.now)
		share = &serviceShare{urgent: shareOf(capacity.Urgent, p.ownWaiting, p.allWaiting, p.random), deferrable: shareOf(capacity.Deferrable, p.ownWaiting, p.allWaiting, p.random), meanSlots: capacity.MeanSlots, untilValley: capacity.Wait}
		p.shares[service] = share
	}
	return share
}

// hasCapacity reports whether this owner may send another item to the service.
func (p *placer) hasCapacity(service string, mustRun bool) bool {
	share := p.share(service)
	return share.urgent > 0 && (mustRun || share.deferrable > 0)
}

// choose selects a backend with quota left and counts the item against the quotas. If the
// candidates are restricted, finding none says nothing about the service's other backends.
func (p *placer) choose(service string, prompt []routing.PromptPart, candidates []routing.Candidate, isRestricted bool) (routing.Candidate, bool) {
	available := make([]routing.Candidate, 0, len(candidates))
	for _, candidate := range candidates {
		if p.quota(candidate) > 0 {
			available = append(available, candidate)
		}
	}
	model := routing.DefaultCostModel()
	model.ToleranceMilliseconds, model.Zone = batchCostTolerance, p.zone
	chosen, found := routing.ChooseByCost(model, prompt, available, nil, p.random)
	if !found {
		p.fullServices[service] = p.fullServices[service] || !isRestricted
		return chosen, false
	}
	p.quotas[chosen.ID]--
	share := p.share(service)
	share.urgent--
	share.deferrable--
	return chosen, true
}

// quota returns how many more items this owner may send to the backend in the window.
func (p *placer) quota(candidate routing.Candidate) int {
	if p.now.Before(p.avoidedUntil[candidate.ID]) {
		return 0
	}
	remaining, known := p.quotas[candidate.ID]
	if !known {
		remaining = shareOf(freeBatchSlots(candidate), p.ownWaiting, p.allWaiting, p.random)
		p.quotas[candidate.ID] = remaining
	}
	return remaining
}

// itemTimes estimates how long items run. Service.mutex guards it.
type itemTimes struct {
	mean time.Duration
}

// add records the run time of a completed item, over all its attempts.
func (t *itemTimes) add(ran time.Duration) {
	t.mean = t.expected() + time.Duration(itemTimeWeight*float64(ran-t.expected()))
}

func (t *itemTimes) expected() time.Duration {
	if t.mean == 0 {
		return initialItemTime
	}
	return t.mean
}

// isUrgent reports whether an item with this run time so far must run now to end before
// it is due. An item past its due time isn't urgent.
func (t *itemTimes) isUrgent(ran, untilDue time.Duration) bool {
	return untilDue > 0 && untilDue-remainingTime(t.expected(), ran) < urgentSlack
}

// remainingTime estimates how much longer an item runs: one and a half times the expected
// run time, less the time it ran, and at least a quarter of the expected one.
func remainingTime(expected, ran time.Duration) time.Duration {
	return max(expected*3/2-ran, expected/4)
}
