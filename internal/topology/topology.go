// Package topology computes which daemons and backends a daemon exchanges state with: the
// start of its section (the backends that it uses) on the ring of backends, the daemons
// that share backends with it, and the number of upstreams per zone. An upstream watches
// the store for other daemons, its followers. These bounds keep the state and messages of
// a daemon independent of the size of the fleet. All functions are pure: daemons with the
// same member list get the same results.
package topology

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// FullMeshLimit is the largest fleet in which every daemon exchanges with every other
	// one and watches the store itself.
	FullMeshLimit = 40
	// maxFollowers is the maximum number of daemons that one upstream serves.
	// minUpstreams is the minimum number of upstreams per zone, so that followers of a
	// failed one can move to another.
	maxFollowers = 32
	minUpstreams = 2
	// maxNeighbors limits the daemons that are notified of each change.
	maxNeighbors = 2 * FullMeshLimit
	// sharingDeviations is the number of standard deviations above the mean that is
	// allowed for daemons per backend, since ring positions are random.
	sharingDeviations = 4
	// sectionMargin is the factor by which the own section is widened to find daemons
	// that share a part of it, because their sections may be wider.
	sectionMargin = 1.5
)

// RingPosition returns where a daemon's section of the backends begins, as a fraction of the
// ring in [0, 1). It is a hash of the name.
func RingPosition(daemon string) float64 {
	return float64(xxhash.Sum64String("section/"+daemon)) / math.MaxUint64 * (1 - 1e-9)
}

// RingDistance returns the shorter distance between two ring positions.
func RingDistance(a, b float64) float64 {
	difference := math.Abs(a - b)
	return min(difference, 1-difference)
}

// Neighbors returns the other daemons that may share backends with a daemon whose section
// has the given width, a fraction of the ring. It returns the nearest maxNeighbors of them.
func Neighbors(daemon string, width float64, daemons []string) []string {
	own, found := RingPosition(daemon), []neighbor{}
	for _, other := range daemons {
		distance := RingDistance(own, RingPosition(other))
		if other != daemon && distance <= width*sectionMargin {
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

// MaxDaemonsPerBackend returns the maximum number of daemons that send to the same backend,
// if each daemon's section has the given width.
func MaxDaemonsPerBackend(width float64, daemons int) int {
	expected := width * float64(daemons)
	return min(daemons, int(math.Ceil(expected+sharingDeviations*math.Sqrt(expected)))+1)
}

// UpstreamCount returns how many daemons of a zone watch the store for the others.
func UpstreamCount(daemonsOfZone int) int {
	needed := (daemonsOfZone + maxFollowers - 1) / maxFollowers
	return max(needed, minUpstreams)
}
