package topology_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/topology"
)

func fleet(size int) []string {
	names := make([]string, size)
	for index := range names {
		names[index] = fmt.Sprintf("front-zone-%d-%d", index%5, index/5)
	}
	return names
}

// TestNeighborsAreBounded checks that the number of neighbors doesn't grow with the fleet:
// ten backends per daemon, sections of 192 backends.
func TestNeighborsAreBounded(t *testing.T) {
	means := map[int]float64{}
	for _, size := range []int{100, 1000, 2000} {
		names, total := fleet(size), 0
		width := min(192/float64(10*size), 1)
		for _, name := range names {
			found := topology.Neighbors(name, width, names)
			require.NotContains(t, found, name)
			require.LessOrEqual(t, len(found), 2*topology.FullMeshLimit)
			total += len(found)
		}
		means[size] = float64(total) / float64(size)
	}
	require.InDelta(t, 2*1.5*19.2, means[1000], 6)
	require.InDelta(t, means[1000], means[2000], 4)
}

// TestDaemonsWithSharedBackendsAreNeighbors checks that daemons with overlapping sections
// are neighbors of each other, also across the end of the ring.
func TestDaemonsWithSharedBackendsAreNeighbors(t *testing.T) {
	const width = 0.01
	names := fleet(2000)
	for _, a := range names[:200] {
		found := topology.Neighbors(a, width, names)
		for _, b := range names {
			isShared := a != b && topology.RingDistance(topology.RingPosition(a), topology.RingPosition(b)) < width
			if isShared {
				require.Contains(t, found, b)
				require.True(t, slices.Contains(topology.Neighbors(b, width, names), a))
			}
		}
	}
	require.InDelta(t, 0.02, topology.RingDistance(0.99, 0.01), 1e-9)
}

// TestRingPositionsAreSpread checks that ring positions are evenly spread for similar
// names.
func TestRingPositionsAreSpread(t *testing.T) {
	tenths := make([]int, 10)
	for _, name := range fleet(2000) {
		position := topology.RingPosition(name)
		require.GreaterOrEqual(t, position, 0.0)
		require.Less(t, position, 1.0)
		tenths[int(position*10)]++
	}
	for _, count := range tenths {
		require.InDelta(t, 200, count, 60)
	}
}

// TestUpstreamCount checks that no upstream serves more than 32 daemons.
func TestUpstreamCount(t *testing.T) {
	require.Equal(t, 2, topology.UpstreamCount(0))
	require.Equal(t, 2, topology.UpstreamCount(20))
	require.Equal(t, 7, topology.UpstreamCount(197))
	require.Equal(t, 13, topology.UpstreamCount(394))
}

// TestMaxDaemonsPerBackend checks that the maximum is at most the fleet size and covers
// the expected deviation.
func TestMaxDaemonsPerBackend(t *testing.T) {
	require.Equal(t, 10, topology.MaxDaemonsPerBackend(1, 10))
	require.Equal(t, 38, topology.MaxDaemonsPerBackend(0.0192, 986))
	require.Equal(t, 1, topology.MaxDaemonsPerBackend(0.5, 1))
}
