package job

import (
	"math"
	"math/rand/v2"
	"time"

	"topazpulley/internal/routing"
)

const (
	// batchCeiling is the share of a service's slots up to which items are
	// placed: above it online requests are likely to need the rest at once.
	batchCeiling = 0.85
	// freeSlots is how many slots of a back end items that are not urgent leave
	// free for the online requests that come before owners hear of them.
	freeSlots = 1
	// quotaWindow is the time after which all owners know of each other's
	// placements, so that what is left can be shared out anew.
	quotaWindow = 300 * time.Millisecond
	// urgentSlack is the time to spare below which an item is urgent.
	urgentSlack = 5 * time.Second
	// unknownItemTime stands for the time that items take until some have ended,
	// and itemTimeWeight is the weight of each further one in the mean.
	unknownItemTime = 4 * time.Second
	itemTimeWeight  = 0.05
)

// reserve is how many of a back end's slots items leave free; the only slot of
// a back end is theirs while nobody else needs it.
func reserve(slots int, isUrgent bool) int {
	if isUrgent {
		return 0
	}
	return min(freeSlots, max(slots-1, 0))
}

// roomForBatch returns how many more batch items a back end takes.
func roomForBatch(candidate routing.Candidate, isUrgent bool) int {
	if candidate.Ejected || candidate.Draining || candidate.Waiting > 0 {
		return 0
	}
	return max(candidate.Slots-reserve(candidate.Slots, isUrgent)-candidate.Online-candidate.Batch, 0)
}

// shareOf returns one owner's part of what all owners together should do.
// Owners see each other's actions only a moment later, so each does its part,
// and the rest by chance.
func shareOf(whole, part, all int, random *rand.Rand) int {
	if whole <= 0 || all <= 0 {
		return 0
	}
	count := whole * part / all
	if random.IntN(all) < whole*part%all {
		count++
	}
	return count
}

// excess returns how many of its own items an owner takes back from a back end
// that online requests need: urgent ones only when more work is there than
// slots. Every owner gives up its part of what is too much.
func excess(candidate routing.Candidate, isUrgent bool, random *rand.Rand) int {
	over := candidate.Online + candidate.Batch + reserve(candidate.Slots, isUrgent) - candidate.Slots
	if over <= 0 || candidate.Batch == 0 || candidate.Online == 0 {
		return 0
	}
	return shareOf(min(over, candidate.Batch), candidate.OwnBatch, candidate.Batch, random)
}

// placer shares out the room for batch items among the owners. It belongs to
// the dispatcher's goroutine.
type placer struct {
	random *rand.Rand
	// own are the items that wait at this owner, and all those of all owners.
	own, all int
	// since is the beginning of the window for which quotas and budgets hold.
	since time.Time
	// quotas are how many more items each back end gets from this owner in the
	// window, and budgets each service.
	quotas  map[placeKind]int
	budgets map[string]int
	// full are the services that had no room in this pass.
	full map[placeKind]bool
}

// placeKind is a back end or service for urgent items, or for others.
type placeKind struct {
	name     string
	isUrgent bool
}

func newPlacer(random *rand.Rand) *placer { return &placer{random: random} }

// begin starts a pass over the waiting items: so many of this owner's and so
// many of others'.
func (p *placer) begin(own, others int, now time.Time) {
	p.full = map[placeKind]bool{}
	if now.Sub(p.since) < quotaWindow {
		return
	}
	p.since = now
	p.own, p.all = own, own+others
	p.quotas = map[placeKind]int{}
	p.budgets = map[string]int{}
}

// isFull reports whether an item of the same kind found no room in this pass.
func (p *placer) isFull(service string, isUrgent bool) bool {
	return p.full[placeKind{name: service, isUrgent: isUrgent}]
}

// choose picks a back end with room for an item and counts the item there.
// Urgent items may be placed above the ceiling.
func (p *placer) choose(service string, prompt []routing.PromptPart, candidates []routing.Candidate, isUrgent bool) (routing.Candidate, bool) {
	if !isUrgent && p.budget(service, candidates) <= 0 {
		p.full[placeKind{name: service}] = true
		return routing.Candidate{}, false
	}
	withRoom := make([]routing.Candidate, 0, len(candidates))
	for _, candidate := range candidates {
		if p.quota(candidate, isUrgent) > 0 {
			withRoom = append(withRoom, candidate)
		}
	}
	model := routing.DefaultCostModel()
	model.ToleranceMilliseconds = batchTolerance
	chosen, found := routing.ChooseByCost(model, prompt, withRoom, nil, p.random)
	if !found {
		p.full[placeKind{name: service, isUrgent: isUrgent}] = true
	}
	if found {
		p.quotas[placeKind{name: chosen.ID}]--
		p.quotas[placeKind{name: chosen.ID, isUrgent: true}]--
		p.budgets[service]--
	}
	return chosen, found
}

// budget is what this owner may still place at the service in the window.
func (p *placer) budget(service string, candidates []routing.Candidate) int {
	left, known := p.budgets[service]
	if known {
		return left
	}
	slots, busy := 0, 0
	for _, candidate := range candidates {
		slots += candidate.Slots
		busy += candidate.Online + candidate.Batch
	}
	left = shareOf(int(math.Ceil(batchCeiling*float64(slots)))-busy, p.own, p.all, p.random)
	p.budgets[service] = left
	return left
}

// quota is what this owner may still place at the back end in the window.
func (p *placer) quota(candidate routing.Candidate, isUrgent bool) int {
	for _, kind := range []bool{false, true} {
		place := placeKind{name: candidate.ID, isUrgent: kind}
		if _, known := p.quotas[place]; !known {
			p.quotas[place] = shareOf(roomForBatch(candidate, kind), p.own, p.all, p.random)
		}
	}
	return p.quotas[placeKind{name: candidate.ID, isUrgent: isUrgent}]
}

// itemClock learns how long items run. Service.mutex guards it.
type itemClock struct {
	mean time.Duration
}

// note records the time that an item ran, over all its attempts.
func (c *itemClock) note(ran time.Duration) {
	c.mean = c.expected() + time.Duration(itemTimeWeight*float64(ran-c.expected()))
}

func (c *itemClock) expected() time.Duration {
	if c.mean == 0 {
		return unknownItemTime
	}
	return c.mean
}

// isUrgent reports whether an item that ran for so long already must run now
// to end before it is due. One past its time is not: nothing is gained by it.
func (c *itemClock) isUrgent(ran, untilDue time.Duration) bool {
	left := max(c.expected()*3/2-ran, c.expected()/4)
	return untilDue > 0 && untilDue-left < urgentSlack
}
