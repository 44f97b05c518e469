// Package duty assigns duties to live daemons by rendezvous hashing. Assignments
// are advisory: daemons with different member lists may perform a duty twice, which
// must be harmless.
package duty

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the candidate with the highest weight for the key, or "" if
// there are none. A change of the candidates moves only keys of the candidates that
// were added or removed.
func Owner(key string, candidates []string) string {
	owner, best := "", uint64(0)
	for _, candidate := range candidates {
		weight := weightOf(key, candidate)
		if owner == "" || weight > best || (weight == best && candidate < owner) {
			owner, best = candidate, weight
		}
	}
	return owner
}

// Owners returns up to count candidates with the highest weights, the highest
// first.
func Owners(key string, candidates []string, count int) []string {
	weighted := make([]weightedCandidate, 0, len(candidates))
	for _, candidate := range candidates {
		weighted = append(weighted, weightedCandidate{name: candidate, weight: weightOf(key, candidate)})
	}
	slices.SortFunc(weighted, func(a, b weightedCandidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	owners := make([]string, 0, min(count, len(weighted)))
	for _, each := range weighted[:min(count, len(weighted))] {
		owners = append(owners, each.name)
	}
	return owners
}

// weightedCandidate is a candidate with its weight for a key.
type weightedCandidate struct {
	name   string
	weight uint64
}

func weightOf(key, candidate string) uint64 { return xxhash.Sum64String(key + "\x00" + candidate) }

// Rank returns the position of a name, from 0, among the candidates in descending
// order of their weights for the key.
func Rank(key, name string, candidates []string) int {
	own := weightOf(key, name)
	rank := 0
	for _, candidate := range candidates {
		weight := weightOf(key, candidate)
		if weight > own || (weight == own && candidate < name) {
			rank++
		}
	}
	return rank
}
