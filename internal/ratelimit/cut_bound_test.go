package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// detectedShare is the share of the pairs across a partition that have detected it after a
// time. It grows evenly from 0.5 s to 5 s.
func detectedShare(after time.Duration) float64 {
	return min(max((after.Seconds()-0.5)/4.5, 0), 1)
}

// shardExcess returns how many seconds of a shard's rate both sides of a partition grant beyond
// it in a window that starts with the partition. The coordinator is on the side that contains
// the given part of the fleet. On the other side is a backup that all its daemons reach, or
// each daemon uses its own share.
func shardExcess(side float64, hasBackup bool) float64 {
	const step = 10 * time.Millisecond
	excess := 0.0
	for after := time.Duration(0); after < tolerance.Window; after += step {
		coordinator := grantedShare(1 - (1-side)*detectedShare(after))
		replacement := share{perSecond: ownShareRate * (1 - side)}.beforeDetection(after).perSecond
		if hasBackup {
			replacement = backupShare * grantedShare(1-side*detectedShare(after))
		}
		excess += max(coordinator+replacement-1, 0) * step.Seconds()
	}
	return excess
}

// TestPartitionStaysWithinTolerance fails if bucket capacities, initial levels and refill on
// both sides of a partition together exceed the limit by more than the tolerance.
func TestPartitionStaysWithinTolerance(t *testing.T) {
	for _, cutOff := range []float64{0.25, 1.0 / 3, 0.5} {
		for _, side := range []float64{1 - cutOff, cutOff} {
			for backups := range maxShards + 1 {
				for _, perSecond := range []float64{1, 40, 400, 5000} {
					t.Run(fmt.Sprintf("coordinator side %.2f, %d backups across the partition, %g a second", side, backups, perSecond), func(t *testing.T) {
						requireWithinTolerance(t, side, float64(backups)/maxShards, perSecond)
					})
				}
			}
		}
	}
}

func requireWithinTolerance(t *testing.T, side, backups, perSecond float64) {
	excess := tolerance.excess(limitOf(perSecond).Limit)
	buckets := slackShare * excess
	starts := startShare * excess * (backups*backupShare + (1-backups)*(1-side))
	refill := perSecond * (backups*shardExcess(side, true) + (1-backups)*shardExcess(side, false))
	require.LessOrEqual(t, buckets+starts+refill, excess, "buckets %.1f, starts %.1f, refill %.1f", buckets, starts, refill)
	t.Logf("buckets %.1f, starts %.1f, refill %.1f, together %.1f of %.1f", buckets, starts, refill, buckets+starts+refill, excess)
}
