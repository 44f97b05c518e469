package slotqueue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/slotqueue"
)

// ages are the ages of the queue statistics that are tested.
var ages = []time.Duration{100 * time.Millisecond, 250 * time.Millisecond, 400 * time.Millisecond}

// TestOverloadServesOnTimeRequests: during overload, coordination gives nearly all slots to
// requests that meet their objective, loses no caller and leaves no more slots unused.
func TestOverloadServesOnTimeRequests(t *testing.T) {
	for _, ratio := range []float64{0.6, 0.75, 0.9} {
		for _, age := range ages {
			for seed := range uint64(3) {
				t.Run(fmt.Sprint(ratio, age, seed), func(t *testing.T) {
					baseline, found := simulate(independent, ratio, age, seed), simulate(coordinated, ratio, age, seed)
					t.Log("independent", baseline, "coordinated", found)
					require.Greater(t, found.share(), 0.92*ratio)
					require.Greater(t, found.share(), baseline.share())
					require.Zero(t, found.lost)
					require.LessOrEqual(t, found.unused, baseline.unused+0.01)
				})
			}
		}
	}
}

// TestSpareCapacityNeedsNoCoordination: without overload, coordination does not change the
// results.
func TestSpareCapacityNeedsNoCoordination(t *testing.T) {
	for _, age := range ages {
		require.Equal(t, simulate(independent, 1.2, age, 1), simulate(coordinated, 1.2, age, 1))
		baseline, found := simulate(independent, 1, age, 1), simulate(coordinated, 1, age, 1)
		require.GreaterOrEqual(t, found.share(), baseline.share()-0.01)
		require.Zero(t, found.lost+found.rejected)
	}
}

// TestOverdueNeverRetriesMoreOften: an overdue request never pauses for less time than an
// on-time one, even if the statistics are invalid.
func TestOverdueNeverRetriesMoreOften(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.IntRange(-5, 5000)
		fleet := slotqueue.Stats{OnTime: draw.Draw(t, "on time"), Overdue: draw.Draw(t, "overdue"), FreedSlots: draw.Draw(t, "freed")}
		onTime := slotqueue.Request{Remaining: time.Duration(rapid.Int64Range(1, int64(time.Minute)).Draw(t, "remaining"))}
		overdue := slotqueue.Request{Remaining: -time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "beyond"))}
		require.Equal(t, slotqueue.PauseWithoutStats(onTime), slotqueue.Pause(onTime, fleet))
		require.GreaterOrEqual(t, slotqueue.Pause(overdue, fleet), slotqueue.Pause(onTime, fleet))
		if fleet.FreedSlots <= 0 {
			require.Equal(t, slotqueue.PauseWithoutStats(overdue), slotqueue.Pause(overdue, fleet))
			require.False(t, fleet.IsOverloaded(objective))
		}
	})
}

// TestOverdueUsesSpareSlots: overdue requests retry often while slots are left over, and
// rarely while on-time requests compete for all slots.
func TestOverdueUsesSpareSlots(t *testing.T) {
	overdue := slotqueue.Request{}
	require.Equal(t, slotqueue.LongestPause, slotqueue.Pause(overdue, slotqueue.Stats{Overdue: 20, FreedSlots: 700}))
	require.Greater(t, slotqueue.Pause(overdue, slotqueue.Stats{OnTime: 200, Overdue: 500, FreedSlots: 700}), time.Second)
}

func TestRateCountsLastSecond(t *testing.T) {
	var freed slotqueue.Rate
	now := time.Unix(1000, 0)
	for range 30 {
		freed.Add(now)
		now = now.Add(50 * time.Millisecond)
	}
	require.InDelta(t, 20, freed.Count(now), 2)
	require.Zero(t, freed.Count(now.Add(time.Second+100*time.Millisecond)))
	freed.Add(now) // the clock was set back
	require.Equal(t, 1, freed.Count(now))
}

// TestFirstOutputTimeIsAtMostHalfTheObjective: slow answers make no new request overdue.
func TestFirstOutputTimeIsAtMostHalfTheObjective(t *testing.T) {
	var firstOutput slotqueue.FirstOutputTime
	require.Zero(t, firstOutput.Within(objective))
	for range 50 {
		firstOutput.Add(60 * time.Millisecond)
	}
	require.Equal(t, 60*time.Millisecond, firstOutput.Within(objective))
	for range 50 {
		firstOutput.Add(time.Minute)
	}
	require.Equal(t, objective/2, firstOutput.Within(objective))
}
