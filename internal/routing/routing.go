// Package routing chooses the engine or backend of a request: Router by load and
// prompt prefix, ChooseByCost by the estimated time to the first token. It works on
// snapshots and an injected random source and does no I/O.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"topazpulley/internal/registry"
)

// Policy is a routing algorithm; all but PolicyFull are baselines for measurements.
type Policy string

// The policies.
const (
	// PolicyFull is prefix affinity with bounded load, then PolicyLagCorrected.
	PolicyFull Policy = "full"
	// PolicyLagCorrected is power of two choices on the reported load plus the
	// requests sent since the report.
	PolicyLagCorrected Policy = "lag_corrected"
	// PolicyReportOnly is power of two choices on the reported load alone.
	PolicyReportOnly Policy = "report_only"
	// PolicyLeastInFlight chooses by this daemon's own requests only.
	PolicyLeastInFlight Policy = "least_in_flight"
	// PolicyRoundRobin ignores load.
	PolicyRoundRobin Policy = "round_robin"
)

// Request holds the properties of a request that routing uses.
type Request struct {
	// Model must be loaded on the engine; empty means any engine.
	Model string
	// PrefixHash groups requests that share a prompt prefix; 0 means none.
	PrefixHash uint64
	// OnlineLimit is the maximum number of online requests per engine; 0 means
	// no limit.
	OnlineLimit int
	// Excluded holds the names of engines where the request has failed.
	Excluded map[string]bool
	// UseEjected makes engines that were ejected after failures eligible.
	UseEjected bool
}

// Router chooses engines. It is not safe for concurrent use.
type Router struct {
	Policy Policy
	next   uint64
	random *rand.Rand
}

// NewRouter returns a router with a policy.
func NewRouter(policy Policy, random *rand.Rand) *Router {
	return &Router{Policy: policy, random: random}
}

const (
	// prefixBytes is the size of the prompt block that is hashed.
	prefixBytes = 256
	// affinitySlack and affinityExtra bound the load of a prefix's preferred
	// engine: mean load times affinitySlack plus affinityExtra requests.
	affinitySlack = 1.25
	affinityExtra = 2
	// affinityChoices is the number of preferred engines that are tried for a
	// prefix before the request is routed by load alone.
	affinityChoices = 2
)

// PrefixHash returns the hash of the first block of a prompt, or 0 if the prompt
// is shorter than a block.
func PrefixHash(prompt string) uint64 {
	if len(prompt) < prefixBytes {
		return 0
	}
	return xxhash.Sum64String(prompt[:prefixBytes])
}

// Load returns the estimated number of online requests on an engine.
func Load(engine registry.Engine) int {
	return max(engine.Load.Online+engine.Load.Waiting+engine.NetSince, engine.InFlight)
}

// Eligible returns the engines that can serve the request and are below its
// online limit.
func Eligible(request Request, engines []registry.Engine, now time.Time) []registry.Engine {
	eligible := make([]registry.Engine, 0, len(engines))
	for _, candidate := range engines {
		isServing := candidate.Serving(now) || (request.UseEjected && candidate.Available())
		if request.Excluded[candidate.Name] || !isServing {
			continue
		}
		if request.Model != "" && !candidate.HasModel(request.Model) {
			continue
		}
		if request.OnlineLimit > 0 && Load(candidate) >= request.OnlineLimit {
			continue
		}
		eligible = append(eligible, candidate)
	}
	return eligible
}

// Choose picks one of the eligible engines. It returns false if there is none.
func (r *Router) Choose(request Request, engines []registry.Engine, now time.Time) (registry.Engine, bool) {
	eligible := Eligible(request, engines, now)
	if len(eligible) == 0 {
		return registry.Engine{}, false
	}
	switch r.Policy {
	case PolicyRoundRobin:
		r.next++
		return eligible[r.next%uint64(len(eligible))], true
	case PolicyLeastInFlight:
		return leastLoaded(eligible, func(e registry.Engine) int { return e.InFlight }), true
	case PolicyReportOnly:
		return r.twoChoices(eligible, func(e registry.Engine) int { return e.Load.Online + e.Load.Waiting }), true
	case PolicyLagCorrected:
		return r.twoChoices(eligible, Load), true
	}
	if request.PrefixHash != 0 {
		if preferred, found := byPrefix(request.PrefixHash, eligible); found {
			return preferred, true
		}
	}
	return r.twoChoices(eligible, Load), true
}

func leastLoaded(eligible []registry.Engine, load func(registry.Engine) int) registry.Engine {
	best := eligible[0]
	for _, candidate := range eligible[1:] {
		if load(candidate) < load(best) {
			best = candidate
		}
	}
	return best
}

func (r *Router) twoChoices(eligible []registry.Engine, load func(registry.Engine) int) registry.Engine {
	first := eligible[r.random.IntN(len(eligible))]
	second := eligible[r.random.IntN(len(eligible))]
	if load(second) < load(first) {
		return second
	}
	return first
}

// byPrefix returns the first of the prefix's preferred engines, in the order of
// rendezvous hashing, whose load is within the bound.
func byPrefix(hash uint64, eligible []registry.Engine) (registry.Engine, bool) {
	total := 0
	for _, candidate := range eligible {
		total += Load(candidate)
	}
	bound := affinitySlack*float64(total)/float64(len(eligible)) + affinityExtra
	tried := map[string]bool{}
	for range min(affinityChoices, len(eligible)) {
		preferred := highestHash(hash, eligible, tried)
		if float64(Load(preferred)) <= bound {
			return preferred, true
		}
		tried[preferred.Name] = true
	}
	return registry.Engine{}, false
}

// highestHash returns the engine with the highest rendezvous hash that is not in tried.
func highestHash(hash uint64, eligible []registry.Engine, tried map[string]bool) registry.Engine {
	var best registry.Engine
	bestWeight, found := uint64(0), false
	for _, candidate := range eligible {
		if tried[candidate.Name] {
			continue
		}
		weight := (xxhash.Sum64String(candidate.Name) ^ hash) * 0x9e3779b97f4a7c15
		weight ^= weight >> 29
		weight *= 0xbf58476d1ce4e5b9
		if !found || weight > bestWeight {
			best, bestWeight, found = candidate, weight, true
		}
	}
	return best
}
