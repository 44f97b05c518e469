package routing

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PromptPart is one part of a prompt, in order; equal ids are equal text.
type PromptPart struct {
	ID     string
	Tokens int
}

// Candidate is a snapshot of one backend for one request.
type Candidate struct {
	ID string
	// StartMillis is the start of the backend's process as it told it, or 0: a place that it
	// set aside is held against it, for a process that starts again has none.
	StartMillis int64
	Zone        string
	Slots       int
	// Closed backends get no new work and are never chosen: they leave, their zone is
	// evacuated, or they are cold and bear no more now.
	Closed bool
	// Ejected backends are chosen only when all are ejected.
	Ejected bool
	// Online and Batch are the requests in flight there from all daemons;
	// OwnBatch is this daemon's part of Batch.
	Online   int
	Batch    int
	OwnBatch int
	// Waiting is what the backend itself reports as queued, if fresh.
	Waiting int
	// ReportAge is how old the backend's own report is.
	ReportAge time.Duration
	// PendingTokens are prompt tokens that were sent and are not read yet.
	PendingTokens int
	// UncachedTokens are the request's prompt tokens to be read there.
	UncachedTokens int
	// IsConnected tells that an idle connection to it is open.
	IsConnected bool
}

// CostModel weighs what makes a first token late, in milliseconds.
type CostModel struct {
	// TokensPerMillisecond is the speed at which prompts are read.
	TokensPerMillisecond float64
	// RequestMilliseconds is what one more running request costs another.
	RequestMilliseconds float64
	// QueueMilliseconds is the mean wait for a slot per request ahead.
	QueueMilliseconds float64
	// ToleranceMilliseconds is the difference in cost that does not matter:
	// among candidates within it of the cheapest, one is drawn by its free
	// slots. Daemons choose at the same time from the same picture, a moment
	// old; without a draw all would choose the same backend.
	ToleranceMilliseconds float64
	// GiveWayMilliseconds is what a slot costs that a batch item has yet to
	// leave; 0 means that items do not give way to the request.
	GiveWayMilliseconds float64
	// DoubtMilliseconds is what a slot costs that looks free after several backends
	// which looked so had none: the picture is old.
	DoubtMilliseconds float64
	// DisturbMilliseconds is what each online request at a backend costs a
	// request whose prompt is read for longer than DisturbFrom milliseconds: while
	// it is read, the others get a token with each piece of it, and a pause in
	// their streams is as long as the whole reading.
	DisturbMilliseconds float64
	DisturbFrom         float64
	// Zone is the chooser's own: among candidates with nearly the lowest cost
	// those in it are preferred. Empty means that zones do not matter.
	Zone string
	// AffinityTokens is the size of a first prompt part from which on requests
	// prefer the backend that rendezvous hashing names.
	AffinityTokens int
}

// DefaultCostModel returns the weights for services that read prompts.
func DefaultCostModel() CostModel {
	return CostModel{TokensPerMillisecond: 85, RequestMilliseconds: 2, QueueMilliseconds: 50, ToleranceMilliseconds: 25, AffinityTokens: 2000,
		DisturbMilliseconds: 60, DisturbFrom: 250}
}

// Cost estimates the milliseconds until the first token at the candidate.
func (m CostModel) Cost(candidate Candidate) float64 {
	inFlight := candidate.Online + candidate.Batch
	queued := max(inFlight+1-candidate.Slots, 0)
	queued = max(queued, candidate.Waiting)
	read := float64(candidate.PendingTokens+candidate.UncachedTokens) / m.TokensPerMillisecond
	return read + float64(inFlight)*m.RequestMilliseconds + m.wait(candidate, queued) + m.disturbance(candidate)
}

// disturbance is what the request would do to the streams at the candidate.
// Batch items are not disturbed by pauses.
func (m CostModel) disturbance(candidate Candidate) float64 {
	if float64(candidate.UncachedTokens)/m.TokensPerMillisecond < m.DisturbFrom {
		return 0
	}
	return float64(max(candidate.Online, 0)) * m.DisturbMilliseconds
}

// wait estimates how long a request waits for a slot behind so many others.
func (m CostModel) wait(candidate Candidate, queued int) float64 {
	givingWay := 0
	if m.GiveWayMilliseconds > 0 {
		givingWay = min(queued, max(candidate.Batch, 0))
	}
	wait := float64(queued-givingWay)*m.QueueMilliseconds + float64(givingWay)*m.GiveWayMilliseconds
	if candidate.Batch > 0 {
		return wait
	}
	return wait + m.DoubtMilliseconds
}

// ChooseByCost picks one of the candidates with nearly the lowest estimated
// cost. Excluded
// ones have failed the request already. It reports false when none is left.
func ChooseByCost(model CostModel, prompt []PromptPart, candidates []Candidate, excluded map[string]bool, random *rand.Rand) (Candidate, bool) {
	for _, useEjected := range []bool{false, true} {
		best, found := cheapest(model, prompt, candidates, excluded, useEjected, random)
		if found {
			return best, true
		}
	}
	return Candidate{}, false
}

// cheapest draws one of the candidates whose cost is nearly the lowest.
func cheapest(model CostModel, prompt []PromptPart, candidates []Candidate, excluded map[string]bool, useEjected bool, random *rand.Rand) (Candidate, bool) {
	possible := make([]pricedCandidate, 0, len(candidates))
	lowest := math.Inf(1)
	home := model.home(prompt, candidates)
	for index := range candidates {
		candidate := &candidates[index]
		if candidate.Closed || excluded[candidate.ID] || (candidate.Ejected && !useEjected) {
			continue
		}
		cost := model.Cost(*candidate)
		if candidate.ID == home && candidate.UncachedTokens >= prompt[0].Tokens {
			// Who reads the part first should be the same for all daemons.
			cost -= float64(prompt[0].Tokens) / model.TokensPerMillisecond / homeShare
		}
		lowest = min(lowest, cost)
		possible = append(possible, pricedCandidate{candidate: candidate, cost: cost})
	}
	if len(possible) == 0 {
		return Candidate{}, false
	}
	near := possible[:0]
	for _, each := range possible {
		if each.cost <= lowest+model.ToleranceMilliseconds {
			near = append(near, each)
		}
	}
	return *draw(model.preferred(near), random), true
}

// preferred returns the candidates that cost least beside time: no new
// connection, and no bytes between zones. One without a free slot is not
// preferred to any other.
func (m CostModel) preferred(near []pricedCandidate) []pricedCandidate {
	for _, isPreferred := range []func(*Candidate) bool{
		func(candidate *Candidate) bool { return candidate.IsConnected && candidate.Zone == m.Zone },
		func(candidate *Candidate) bool { return candidate.IsConnected },
		func(candidate *Candidate) bool { return m.Zone != "" && candidate.Zone == m.Zone },
	} {
		found := []pricedCandidate{}
		for _, each := range near {
			if isPreferred(each.candidate) && each.candidate.weight() >= 1 {
				found = append(found, each)
			}
		}
		if len(found) > 0 {
			return found
		}
	}
	return near
}

type pricedCandidate struct {
	candidate *Candidate
	cost      float64
}

// fullWeight is the weight of a candidate without a free slot, in slots.
const fullWeight = 0.1

// weight is how likely a candidate is drawn: by its free slots.
func (c *Candidate) weight() float64 {
	free := c.Slots - max(c.Online+c.Batch, 0) - c.Waiting
	return max(float64(free), fullWeight)
}

// draw picks one of several candidates by weight.
func draw(candidates []pricedCandidate, random *rand.Rand) *Candidate {
	total := 0.0
	for _, each := range candidates {
		total += each.candidate.weight()
	}
	left := random.Float64() * total
	for _, each := range candidates {
		left -= each.candidate.weight()
		if left < 0 {
			return each.candidate
		}
	}
	return candidates[len(candidates)-1].candidate
}

// homeShare is the part, as one in so many, of a large first part's cost that
// its home is let off while nobody is known to have read it.
const homeShare = 2

// home names the backend on which requests with the same large first part
// should gather, so that all daemons agree without talking.
func (m CostModel) home(prompt []PromptPart, candidates []Candidate) string {
	if len(prompt) < 2 || prompt[0].Tokens < m.AffinityTokens {
		return ""
	}
	best, weight := "", uint64(0)
	for _, candidate := range candidates {
		hash := xxhash.Sum64String(prompt[0].ID + "\x00" + candidate.ID)
		if !candidate.Closed && (best == "" || hash > weight) {
			best, weight = candidate.ID, hash
		}
	}
	return best
}
