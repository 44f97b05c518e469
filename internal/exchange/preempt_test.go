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

func batch(count int) loads {
	return loads{inFlight: map[string]backend.PeerLoad{"one": {Batch: count}}}
}

// TestEachPreemptionTakesAnotherItem: as many preemptions find an item as there
// are items, each of the daemon or zone that has it; news count anew.
func TestEachPreemptionTakesAnotherItem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gathered, now := newRelay(), time.Now()
		left, all := map[string]int{}, 0
		for index, count := range rapid.SliceOfN(rapid.IntRange(0, 4), 1, 6).Draw(t, "counts") {
			name := fmt.Sprint(index)
			if index%2 == 0 {
				gathered.noteMember(name, batch(count), news{}, now)
			} else {
				gathered.noteZone(name, batch(count), news{}, now)
			}
			left[name] = count
			all += count
		}
		random := rand.New(rand.NewPCG(1, 1))
		for range all {
			member, zone, found := gathered.takeBatch("one", true, random)
			require.True(t, found)
			left[member+zone]--
			require.GreaterOrEqual(t, left[member+zone], 0)
		}
		_, _, found := gathered.takeBatch("one", true, random)
		require.False(t, found)
		gathered.noteMember("0", batch(1), news{}, now)
		member, _, found := gathered.takeBatch("one", true, random)
		require.True(t, found)
		require.Equal(t, "0", member)
	})
}

// TestPreemptionLeavesAZoneOnce: one that came from another zone stays here.
func TestPreemptionLeavesAZoneOnce(t *testing.T) {
	gathered := newRelay()
	gathered.noteZone("other", batch(3), news{}, time.Now())
	_, _, found := gathered.takeBatch("one", false, rand.New(rand.NewPCG(1, 1)))
	require.False(t, found)
}
