package slotqueue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/slotqueue"
)

// ages are how old what a request knows of the others may be.
var ages = []time.Duration{100 * time.Millisecond, 250 * time.Millisecond, 400 * time.Millisecond}

// TestTooLittleRoomGoesToThoseInTime: places come free at 0.6 to 0.9 of the demand for
// four seconds. Nearly as many are in time as there are places, whatever the age of the
// sums; nobody waits until its caller has left; and no more room is left unused than where
// each asks by itself. By themselves 0.30, 0.52 and 0.82 are in time; in one order 0.62,
// 0.75 and 0.90.
func TestTooLittleRoomGoesToThoseInTime(t *testing.T) {
	for _, ratio := range []float64{0.6, 0.75, 0.9} {
		for _, age := range ages {
			for seed := range uint64(3) {
				t.Run(fmt.Sprint(ratio, age, seed), func(t *testing.T) {
					standing, found := play(alone, ratio, age, seed), play(ordered, ratio, age, seed)
					t.Log("alone", standing, "ordered", found)
					require.Greater(t, found.share(), 0.92*ratio)
					require.Greater(t, found.share(), standing.share())
					require.Zero(t, found.lost)
					require.LessOrEqual(t, found.unused, standing.unused+0.01)
				})
			}
		}
	}
}

// TestEnoughRoomChangesNothing.
func TestEnoughRoomChangesNothing(t *testing.T) {
	for _, age := range ages {
		require.Equal(t, play(alone, 1.2, age, 1), play(ordered, 1.2, age, 1))
		standing, found := play(alone, 1, age, 1), play(ordered, 1, age, 1)
		require.GreaterOrEqual(t, found.share(), standing.share()-0.01)
		require.Zero(t, found.lost+found.turnedAway)
	}
}

// TestLateNeverAsksMoreOften than a request in time, whatever is told of the fleet, even
// sums that make no sense; and where nothing is known, requests ask as if alone.
func TestLateNeverAsksMoreOften(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.IntRange(-5, 5000)
		fleet := slotqueue.Stats{OnTime: draw.Draw(t, "in time"), Overdue: draw.Draw(t, "late"), FreedSlots: draw.Draw(t, "freed")}
		inTime := slotqueue.Request{Remaining: time.Duration(rapid.Int64Range(1, int64(time.Minute)).Draw(t, "left"))}
		late := slotqueue.Request{Remaining: -time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "beyond"))}
		require.Equal(t, slotqueue.PauseWithoutStats(inTime), slotqueue.Pause(inTime, fleet))
		require.GreaterOrEqual(t, slotqueue.Pause(late, fleet), slotqueue.Pause(inTime, fleet))
		if fleet.FreedSlots <= 0 {
			require.Equal(t, slotqueue.PauseWithoutStats(late), slotqueue.Pause(late, fleet))
			require.False(t, fleet.IsOverloaded(objective))
		}
	})
}

// TestLateTakesTheRoomThatNobodyInTimeWants: it asks at once as often as places come
// free, and hardly ever while those in time ask for all.
func TestLateTakesTheRoomThatNobodyInTimeWants(t *testing.T) {
	late := slotqueue.Request{}
	require.Equal(t, slotqueue.LongestPause, slotqueue.Pause(late, slotqueue.Stats{Overdue: 20, FreedSlots: 700}))
	require.Greater(t, slotqueue.Pause(late, slotqueue.Stats{OnTime: 200, Overdue: 500, FreedSlots: 700}), time.Second)
}

// TestRateCountsTheLastSecond.
func TestRateCountsTheLastSecond(t *testing.T) {
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

// TestLeadLeavesHalfOfTheObjective: answers that got slow make no request late at once.
func TestLeadLeavesHalfOfTheObjective(t *testing.T) {
	var lead slotqueue.FirstOutputTime
	require.Zero(t, lead.Within(objective))
	for range 50 {
		lead.Add(60 * time.Millisecond)
	}
	require.Equal(t, 60*time.Millisecond, lead.Within(objective))
	for range 50 {
		lead.Add(time.Minute)
	}
	require.Equal(t, objective/2, lead.Within(objective))
}
