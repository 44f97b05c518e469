package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// noticed is the part of the pairs across a cut that have noticed it after a time: from
// half a second to 5 s, evenly, slower than the membership of 69 daemons was.
func noticed(after time.Duration) float64 {
	return min(max((after.Seconds()-0.5)/4.5, 0), 1)
}

// excessOfAPart is how many seconds of a part's flow both sides of a cut grant beyond it in
// a window from the cut on, its keeper on a side of so much of the fleet, and on the other
// a stand-in that all reach, or the own shares of all daemons.
func excessOfAPart(side float64, isStoodInFor bool) float64 {
	const step = 10 * time.Millisecond
	excess := 0.0
	for after := time.Duration(0); after < tolerance.Window; after += step {
		keeper := grantedBy(1 - (1-side)*noticed(after))
		instead := share{perSecond: aloneRate * (1 - side)}.unnoticed(after).perSecond
		if isStoodInFor {
			instead = standInShare * grantedBy(1-side*noticed(after))
		}
		excess += max(keeper+instead-1, 0) * step.Seconds()
	}
	return excess
}

// TestCutStaysWithinTheTolerance: the sum of what the constants allow beyond a limit
// around one cut, the tenant taking all there is on both sides.
func TestCutStaysWithinTheTolerance(t *testing.T) {
	for _, cutOff := range []float64{0.25, 1.0 / 3, 0.5} {
		for _, side := range []float64{1 - cutOff, cutOff} {
			for stoodInFor := range mostParts + 1 {
				for _, perSecond := range []float64{1, 40, 400, 5000} {
					t.Run(fmt.Sprintf("keepers with %.2f, %d stand-ins behind the cut, %g a second", side, stoodInFor, perSecond), func(t *testing.T) {
						requireWithinTheTolerance(t, side, float64(stoodInFor)/mostParts, perSecond)
					})
				}
			}
		}
	}
}

func requireWithinTheTolerance(t *testing.T, side, stoodInFor, perSecond float64) {
	excess := tolerance.excess(limitOf(perSecond).Limit)
	buckets := looseShare * excess
	starts := startShare * excess * (stoodInFor*standInShare + (1-stoodInFor)*(1-side))
	flow := perSecond * (stoodInFor*excessOfAPart(side, true) + (1-stoodInFor)*excessOfAPart(side, false))
	require.LessOrEqual(t, buckets+starts+flow, excess, "buckets %.1f, starts %.1f, flow %.1f", buckets, starts, flow)
	t.Logf("buckets %.1f, starts %.1f, flow %.1f, together %.1f of %.1f", buckets, starts, flow, buckets+starts+flow, excess)
}
