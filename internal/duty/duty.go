// Package duty decides by rendezvous hashing which live daemon holds a duty.
// Duties are advisory: two daemons that both believe they hold one waste work
// and break nothing.
package duty

import (
	"github.com/cespare/xxhash/v2"
)

// Owner returns the candidate with the highest weight for the key, or "" when
// there are none. When candidates come or go, only the keys of those
// candidates move.
func Owner(key string, candidates []string) string {
	owner, best := "", uint64(0)
	for _, candidate := range candidates {
		weight := xxhash.Sum64String(key + "\x00" + candidate)
		if owner == "" || weight > best || (weight == best && candidate < owner) {
			owner, best = candidate, weight
		}
	}
	return owner
}

// Owners returns up to count candidates with the highest weights.
func Owners(key string, candidates []string, count int) []string {
	remaining := append([]string(nil), candidates...)
	owners := []string{}
	for len(owners) < count && len(remaining) > 0 {
		owner := Owner(key, remaining)
		owners = append(owners, owner)
		remaining = remove(remaining, owner)
	}
	return owners
}

// Rank returns the place, from 0, that a name has among the candidates in the
// order of their weights for the key.
func Rank(key, name string, candidates []string) int {
	own := xxhash.Sum64String(key + "\x00" + name)
	rank := 0
	for _, candidate := range candidates {
		weight := xxhash.Sum64String(key + "\x00" + candidate)
		if weight > own || (weight == own && candidate < name) {
			rank++
		}
	}
	return rank
}

func remove(names []string, gone string) []string {
	kept := names[:0]
	for _, name := range names {
		if name != gone {
			kept = append(kept, name)
		}
	}
	return kept
}
