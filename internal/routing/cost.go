package routing

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PromptPart is one part of a prompt. Parts with equal ids have equal text.
type PromptPart struct {
	ID     string
	Tokens int
}

// Candidate is a snapshot of one backend for one request.
type Candidate struct {
	ID string
	// StartMillis is the reported start time of the backend's process in Unix
	// milliseconds, or 0 if unknown. It identifies the incarnation that a
	// reservation belongs to.
	StartMillis int64
	// Software is the version of the backend's software; empty if unknown.
	Software string
	Zone     string
	Slots    int
	// Closed backends are never chosen: they are draining, their zone is being
	// evacuated, or they are cold and have used up their allowance.
	Closed bool
	// Ejected backends are chosen only if no other is eligible.
	Ejected bool
	// Online and Batch count the requests in flight from all daemons; OwnBatch
	// counts this daemon's share of Batch.
	Online   int
	Batch    int
	OwnBatch int
	// Waiting is the queue length in the backend's last report, if it is recent.
	Waiting int
	// ReportAge is the age of the backend's last report.
	ReportAge time.Duration
	// PendingTokens counts prompt tokens that were sent and are not processed yet.
	PendingTokens int
	// UncachedTokens counts the request's prompt tokens that the backend has not cached.
	UncachedTokens int
	// IsConnected is true if an idle connection to the backend is open.
	IsConnected bool
}

// CostModel holds the weights of the estimated time to the first token.
type CostModel struct {
	// TokensPerMillisecond is the prompt processing speed.
	TokensPerMillisecond float64
	// RequestMilliseconds is the delay added by each running request.
	RequestMilliseconds float64
	// QueueMilliseconds is the mean wait for a slot per queued request.
	QueueMilliseconds float64
	// ToleranceMilliseconds is the cost difference that is ignored: one of the
	// candidates within it of the lowest cost is drawn at random, weighted by
	// free slots. This keeps daemons with the same load data from all choosing
	// the same backend.
	ToleranceMilliseconds float64
	// PreemptMilliseconds is the cost of a slot for which a batch item has to be
	// preempted; 0 means that the request may not preempt.
	PreemptMilliseconds float64
	// StaleMilliseconds is the cost added to a backend without batch items when
	// the load data seems stale: several backends had no free slot although the
	// data showed one.
	StaleMilliseconds float64
	// InterferenceMilliseconds is the cost per online request at the backend for
	// a prompt that takes InterferenceFrom milliseconds or more to process. Meanwhile the other
	// requests get one token for each piece of it, so that the pause in their streams is as long
	// as its processing.
	InterferenceMilliseconds float64
	InterferenceFrom         float64
	// Zone is the daemon's own zone. Candidates in it are preferred among those
	// within the tolerance. Empty means no preference.
	Zone string
	// AffinityTokens is the minimum size of a prompt's first part for which
	// requests prefer the backend selected by rendezvous hashing.
	AffinityTokens int
}

// DefaultCostModel returns the weights for language-model services.
func DefaultCostModel() CostModel {
	return CostModel{TokensPerMillisecond: 85, RequestMilliseconds: 2, QueueMilliseconds: 50, ToleranceMilliseconds: 25, AffinityTokens: 2000,
		InterferenceMilliseconds: 60, InterferenceFrom: 250}
}

// Cost estimates the milliseconds until the first token at the candidate.
func (m CostModel) Cost(candidate Candidate) float64 {
	inFlight := candidate.Online + candidate.Batch
	queued := max(inFlight+1-candidate.Slots, 0)
	queued = max(queued, candidate.Waiting)
	processing := float64(candidate.PendingTokens+candidate.UncachedTokens) / m.TokensPerMillisecond
	return processing + float64(inFlight)*m.RequestMilliseconds + m.wait(candidate, queued) + m.interference(candidate)
}

// interference returns the cost of delaying the online requests that run at the
// candidate. Batch items are ignored: they have no latency objective.
func (m CostModel) interference(candidate Candidate) float64 {
	if float64(candidate.UncachedTokens)/m.TokensPerMillisecond < m.InterferenceFrom {
		return 0
	}
	return float64(max(candidate.Online, 0)) * m.InterferenceMilliseconds
}

// wait estimates the milliseconds until the request gets a slot after queued
// other requests.
func (m CostModel) wait(candidate Candidate, queued int) float64 {
	preemptable := 0
	if m.PreemptMilliseconds > 0 {
		preemptable = min(queued, max(candidate.Batch, 0))
	}
	wait := float64(queued-preemptable)*m.QueueMilliseconds + float64(preemptable)*m.PreemptMilliseconds
	if candidate.Batch > 0 {
		return wait
	}
	return wait + m.StaleMilliseconds
}

// ChooseByCost picks one of the candidates whose estimated cost is within the
// tolerance of the lowest. Candidates in excluded, by id, are never chosen. It
// returns false if no candidate is eligible.
func ChooseByCost(model CostModel, prompt []PromptPart, candidates []Candidate, excluded map[string]bool, random *rand.Rand) (Candidate, bool) {
	for _, useEjected := range []bool{false, true} {
		best, found := cheapest(model, prompt, candidates, excluded, useEjected, random)
		if found {
			return best, true
		}
	}
	return Candidate{}, false
}

// cheapest draws one of the eligible candidates whose cost is within the
// tolerance of the lowest.
func cheapest(model CostModel, prompt []PromptPart, candidates []Candidate, excluded map[string]bool, useEjected bool, random *rand.Rand) (Candidate, bool) {
	possible := make([]pricedCandidate, 0, len(candidates))
	lowest := math.Inf(1)
	affinity := model.affinityBackend(prompt, candidates)
	for index := range candidates {
		candidate := &candidates[index]
		if candidate.Closed || excluded[candidate.ID] || (candidate.Ejected && !useEjected) {
			continue
		}
		cost := model.Cost(*candidate)
		if candidate.ID == affinity && candidate.UncachedTokens >= prompt[0].Tokens {
			// All daemons send the first request with this part to the same backend.
			cost -= float64(prompt[0].Tokens) / model.TokensPerMillisecond / affinityDivisor
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

// preferred returns the candidates with a free slot that are connected and in the
// own zone; if there are none, those that are connected; then those in the own
// zone. If there are none of these, it returns near.
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

// minWeight is the weight, in slots, of a candidate without a free slot.
const minWeight = 0.1

// weight returns the candidate's weight in a random draw: its free slots.
func (c *Candidate) weight() float64 {
	free := c.Slots - max(c.Online+c.Batch, 0) - c.Waiting
	return max(float64(free), minWeight)
}

// draw picks a random candidate by weight.
func draw(candidates []pricedCandidate, random *rand.Rand) *Candidate {
	total := 0.0
	for _, each := range candidates {
		total += each.candidate.weight()
	}
	remaining := random.Float64() * total
	for _, each := range candidates {
		remaining -= each.candidate.weight()
		if remaining < 0 {
			return each.candidate
		}
	}
	return candidates[len(candidates)-1].candidate
}

// affinityDivisor sets the discount of the affinity backend while the prompt's
// large first part is not cached there: the part's processing time divided by it.
const affinityDivisor = 2

// affinityBackend returns the id of the backend preferred for requests with the
// same large first part, or "". Rendezvous hashing gives all daemons the same
// result.
func (m CostModel) affinityBackend(prompt []PromptPart, candidates []Candidate) string {
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

// WithSoftware returns the candidates with a software version. An unknown version equals none.
func WithSoftware(candidates []Candidate, version string) []Candidate {
	found := []Candidate{}
	for _, each := range candidates {
		if version != "" && each.Software == version {
			found = append(found, each)
		}
	}
	return found
}
