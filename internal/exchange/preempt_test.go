package exchange

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/backend"
)

func batch(count int) loadSet {
	return loadSet{inFlight: map[string]backend.PeerLoad{"one": {Batch: count}}}
}

// TestPreemptionsSelectDistinctItems: each preemption selects another item, of a daemon or
// zone that has one, until none remains; new loads reset the count.
func TestPreemptionsSelectDistinctItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		collected, now := newRelay(), time.Now()
		remaining, all := map[string]int{}, 0
		for index, count := range rapid.SliceOfN(rapid.IntRange(0, 4), 1, 6).Draw(t, "counts") {
			name := fmt.Sprint(index)
			if index%2 == 0 {
				collected.setMember(name, batch(count), eventSet{}, now)
			} else {
				collected.setZone(name, batch(count), eventSet{}, now)
			}
			remaining[name] = count
			all += count
		}
		random := rand.New(rand.NewPCG(1, 1))
		for range all {
			member, zone, found := collected.takeBatch("one", true, random)
			require.True(t, found)
			remaining[member+zone]--
			require.GreaterOrEqual(t, remaining[member+zone], 0)
		}
		_, _, found := collected.takeBatch("one", true, random)
		require.False(t, found)
		collected.setMember("0", batch(1), eventSet{}, now)
		member, _, found := collected.takeBatch("one", true, random)
		require.True(t, found)
		require.Equal(t, "0", member)
	})
}

// TestPreemptionCrossesZonesOnce: a preemption from another zone stays in this zone.
func TestPreemptionCrossesZonesOnce(t *testing.T) {
	collected := newRelay()
	collected.setZone("other", batch(3), eventSet{}, time.Now())
	_, _, found := collected.takeBatch("one", false, rand.New(rand.NewPCG(1, 1)))
	require.False(t, found)
}
