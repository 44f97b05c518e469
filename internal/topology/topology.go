// Package topology answers, for one daemon of a fleet of any size, with whom it has to
// do: where on the ring of backends its own section begins, which daemons share backends
// with it, and how many daemons of a zone follow the store for the others. What a daemon
// keeps, hears and says is bounded by these answers and not by the fleet. All are pure, so
// that daemons that see the same members agree without a message.
package topology

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// FullMeshLimit is the largest fleet in which every daemon has to do with all others and
	// does for itself what a few daemons of a zone do for the others in a larger one. At
	// 40 daemons a daemon reads 100 messages a second.
	FullMeshLimit = 40
	// upstreamFollowers is how many daemons one upstream serves at most, and
	// leastUpstreams how many upstreams a zone has at least: when one is lost, its
	// followers move to the others.
	upstreamFollowers = 32
	leastUpstreams    = 2
	// maxNeighbors bounds those who are told of each change.
	maxNeighbors = 2 * FullMeshLimit
	// sharingDeviations is by how many standard deviations more daemons than the mean may know
	// a backend: places are drawn.
	sharingDeviations = 4
	// reachMargin widens the own section when others are sought that share a part of
	// it: theirs may be wider.
	reachMargin = 1.5
)

// RingPosition is where a daemon's section of the backends begins, from 0 to below 1 of the
// ring. Daemons are spread over the ring whatever their names and zones.
func RingPosition(daemon string) float64 {
	return float64(xxhash.Sum64String("section/"+daemon)) / math.MaxUint64 * (1 - 1e-9)
}

// RingDistance is the way between two places, the shorter one around the ring.
func RingDistance(a, b float64) float64 {
	apart := math.Abs(a - b)
	return min(apart, 1-apart)
}

// Neighbors returns the daemons, other than the one named, that may share backends with
// it if its section has a width, a part of the ring: the nearest ones of them where there
// are too many to be told directly.
func Neighbors(daemon string, width float64, daemons []string) []string {
	own, found := RingPosition(daemon), []neighbor{}
	for _, other := range daemons {
		distance := RingDistance(own, RingPosition(other))
		if other != daemon && distance <= width*reachMargin {
			found = append(found, neighbor{name: other, distance: distance})
		}
	}
	slices.SortFunc(found, func(a, b neighbor) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.name, b.name))
	})
	names := make([]string, 0, min(len(found), maxNeighbors))
	for _, each := range found[:min(len(found), maxNeighbors)] {
		names = append(names, each.name)
	}
	return names
}

// neighbor is another daemon with its distance on the ring.
type neighbor struct {
	name     string
	distance float64
}

// MaxDaemonsPerBackend is how many daemons of a fleet send to the same backend, at most, where each
// knows a section of a width.
func MaxDaemonsPerBackend(width float64, daemons int) int {
	expected := width * float64(daemons)
	return min(daemons, int(math.Ceil(expected+sharingDeviations*math.Sqrt(expected)))+1)
}

// UpstreamCount is how many daemons of a zone follow the store for the others.
func UpstreamCount(daemonsOfZone int) int {
	needed := (daemonsOfZone + upstreamFollowers - 1) / upstreamFollowers
	return max(needed, leastUpstreams)
}
