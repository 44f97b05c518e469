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
	// initialItemTime stands for the time that items take until some have ended,
	// and itemTimeWeight is the weight of each further one in the mean.
	initialItemTime = 4 * time.Second
	itemTimeWeight  = 0.05
)

// freeBatchSlots returns how many more batch items a backend takes: every slot
// that no other work uses, because items give way at once.
func freeBatchSlots(candidate routing.Candidate) int {
	if candidate.Ejected || candidate.Closed || candidate.Waiting > 0 {
		return 0
	}
	return max(candidate.Slots-candidate.Online-candidate.Batch, 0)
}

// shareOf returns one owner's part of what all owners together should do.
// Owners see each other's actions only a moment later, so each does its part,
// and the rest by chance.
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

// placer shares out the room for batch items among the owners. It belongs to
// the dispatcher's goroutine.
type placer struct {
	random *rand.Rand
	// zone is the daemon's own.
	zone string
	// own are the items that wait at this owner, and all those of all owners.
	ownWaiting, allWaiting int
	// since is the beginning of the window for which quotas hold.
	windowStart time.Time
	// quotas are how many more items each backend gets from this owner in the
	// window.
	quotas map[string]int
	// roomAt decides how many items all owners together send to a service in a
	// window, and shares are this owner's part of it.
	capacityAt func(service string, now time.Time) batchcapacity.Capacity
	shares     map[string]*serviceShare
	// full are the services that had no room in this pass.
	fullServices map[string]bool
	// avoided is until when a backend gets nothing, because an item gave way
	// there to an online request.
	avoidedUntil map[string]time.Time
	// pausedUntil is until when nothing is placed anywhere.
	pausedUntil time.Time
	// now is the time of the pass.
	now time.Time
}

// serviceShare is what one owner may still send to a service in the window: items at all,
// and such that can wait.
type serviceShare struct {
	urgent, deferrable int
	// places is how many slots batch has in the mean.
	meanSlots int
	// untilValley is how long it takes until the next valley of demand, 0 if no rhythm
	// shows.
	untilValley time.Duration
}

// wait is how long items may wait for room that lasts: until the next valley, or as long
// as one of those that run where demand shows no rhythm.
func (s *serviceShare) wait(itemTime time.Duration) time.Duration {
	if s.untilValley > 0 {
		return s.untilValley
	}
	return itemTime
}

func newPlacer(random *rand.Rand, zone string, capacityAt func(string, time.Time) batchcapacity.Capacity) *placer {
	return &placer{random: random, zone: zone, avoidedUntil: map[string]time.Time{}, capacityAt: capacityAt}
}

// begin starts a pass over the waiting items: so many of this owner's and so
// many of others'. After the window all owners know of each other's placements,
// and what is left is shared out anew.
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

// avoid leaves a backend alone until a time.
func (p *placer) avoid(id string, until time.Time) { p.avoidedUntil[id] = until }

// pause places nothing until a time.
func (p *placer) pause(until time.Time) { p.pausedUntil = until }

func (p *placer) isPaused(now time.Time) bool { return now.Before(p.pausedUntil) }

// isFull reports whether an item found no room at the service in this pass.
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

// hasRoom reports whether the fleet has room for an item of this owner at a service.
func (p *placer) hasCapacity(service string, mustRun bool) bool {
	share := p.share(service)
	return share.urgent > 0 && (mustRun || share.deferrable > 0)
}

// choose picks a backend with room for an item and counts the item there.
func (p *placer) choose(service string, prompt []routing.PromptPart, candidates []routing.Candidate) (routing.Candidate, bool) {
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
		p.fullServices[service] = true
		return chosen, false
	}
	p.quotas[chosen.ID]--
	share := p.share(service)
	share.urgent--
	share.deferrable--
	return chosen, true
}

// quota is what this owner may still place at the backend in the window.
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

// itemTimes learns how long items run. Service.mutex guards it.
type itemTimes struct {
	mean time.Duration
}

// note records the time that an item ran, over all its attempts.
func (c *itemTimes) add(ran time.Duration) {
	c.mean = c.expected() + time.Duration(itemTimeWeight*float64(ran-c.expected()))
}

func (c *itemTimes) expected() time.Duration {
	if c.mean == 0 {
		return initialItemTime
	}
	return c.mean
}

// isUrgent reports whether an item that ran for so long already must run now
// to end before it is due. One past its time is not: nothing is gained by it.
func (c *itemTimes) isUrgent(ran, untilDue time.Duration) bool {
	return untilDue > 0 && untilDue-remainingTime(c.expected(), ran) < urgentSlack
}

// remainingTime is how long an item that ran for so long may have yet to run: half as long
// again as items take, and never nothing.
func remainingTime(expected, ran time.Duration) time.Duration {
	return max(expected*3/2-ran, expected/4)
}
