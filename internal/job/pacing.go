package job

import (
	"math/rand/v2"

	"topazpulley/internal/routing"
)

const (
	// onlineReserve is the share of a back end's slots, as one in so many, that
	// batch items leave free for online requests to come.
	onlineReserve = 8
	// queueTolerance is the share of a back end's slots, as one in so many, by
	// which work may exceed the slots before items give way: a short queue
	// clears faster than an item is taken back.
	queueTolerance = 6
)

// roomForBatch returns how many more batch items a back end takes.
func roomForBatch(candidate routing.Candidate) int {
	if candidate.Ejected || candidate.Draining || candidate.Waiting > 0 {
		return 0
	}
	reserve := candidate.Slots/onlineReserve + 1
	return max(candidate.Slots-reserve-candidate.Online-candidate.Batch, 0)
}

// quota returns how many items this owner puts on a back end in one round.
// Owners see each other's items only a moment later, so all owners together
// should place no more than there is room: each gets its part, and the rest by
// chance.
func quota(room, owners int, random *rand.Rand) int {
	if room <= 0 {
		return 0
	}
	count := room / owners
	if random.IntN(owners) < room%owners {
		count++
	}
	return count
}

// excess returns how many of its own items an owner takes back. Every owner
// gives up its part of what is too much.
func excess(candidate routing.Candidate) int {
	over := candidate.Online + candidate.Batch - candidate.Slots - candidate.Slots/queueTolerance
	if over <= 0 || candidate.Batch == 0 || candidate.Online == 0 {
		return 0
	}
	over = min(over, candidate.Batch)
	return (over*candidate.OwnBatch + candidate.Batch - 1) / candidate.Batch
}
