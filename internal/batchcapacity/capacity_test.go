package batchcapacity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	itemTime = 4500 * time.Millisecond
	sight    = 300 * time.Millisecond
)

func decide(policy Policy, load Load, demand *Demand, itemTime time.Duration) Capacity {
	return Decide(policy, Observation{Load: load, Demand: demand, ItemTime: itemTime, Age: sight})
}

// fleet is a load of 90 backends.
func fleet(online, batch int) Load {
	return Load{Backends: 90, Slots: slots, Online: online, Batch: batch}
}

// TestItemsThatCanWaitLeaveWhatRequestsNeed: beside much online work they are not sent into
// the slots that are free by chance, and those that must run are. A fleet without online
// work leaves none empty.
func TestItemsThatCanWaitLeaveWhatRequestsNeed(t *testing.T) {
	burst := fleet(540, 140)
	for _, policy := range []Policy{PolicyFree, PolicyOnce} {
		room := decide(policy, burst, &Demand{}, itemTime)
		require.Equal(t, slots, room.Urgent)
		require.Equal(t, slots, room.Deferrable)
	}
	room := decide(PolicyReserve, burst, &Demand{}, itemTime)
	require.Equal(t, slots, room.Urgent)
	require.Zero(t, room.Deferrable)
	require.Greater(t, decide(PolicyReserve, fleet(110, 140), &Demand{}, itemTime).Deferrable, 350)
	require.Equal(t, 720, decide(PolicyReserve, fleet(0, 0), &Demand{}, itemTime).Deferrable)
	small := Load{Backends: 3, Slots: 12, Online: 1, Batch: 2}
	require.Equal(t, 8, decide(PolicyReserve, small, &Demand{}, itemTime).Deferrable)
}

// TestItemsThatCanWaitLeaveRoomForTheBurst that the rhythm brings; those that cannot
// wait do not. Behind the burst there is room for all.
func TestItemsThatCanWaitLeaveRoomForTheBurst(t *testing.T) {
	const period, burst = 6 * time.Second, 2400 * time.Millisecond
	rhythm := bursts(110, 480, period, burst)
	before := demandOf(rhythm, 3*period-burst-500*time.Millisecond, 1)
	load := fleet(110, 250)
	room := decide(PolicyPeriodic, load, before, itemTime)
	require.InDelta(t, period.Seconds(), room.Period.Seconds(), 0.15)
	require.Zero(t, room.Deferrable)
	require.Greater(t, room.Urgent, 300)
	behind := demandOf(rhythm, 3*period+300*time.Millisecond, 1)
	room = decide(PolicyPeriodic, fleet(110, 140), behind, itemTime)
	require.Greater(t, room.Deferrable, 50)
}

// TestShortItemsEndBeforeTheBurst, so that they need not wait for it.
func TestShortItemsEndBeforeTheBurst(t *testing.T) {
	const period, burst = 6 * time.Second, 2400 * time.Millisecond
	demand := demandOf(bursts(110, 540, period, burst), 2*period+time.Second, 1)
	load := fleet(110, 100)
	require.Greater(t, decide(PolicyPeriodic, load, demand, time.Second).Deferrable, 400)
}

// TestItemsWithTimeToSpareWait and others do not, nor does any when so much waits that
// room left empty would make items late.
func TestItemsWithTimeToSpareWait(t *testing.T) {
	const spare = 5 * time.Second
	backlog := Backlog{Waiting: 60, MeanSlots: 240, ItemTime: itemTime}
	require.False(t, MustRun(Timing{UntilDue: 18 * time.Second, Remaining: 6 * time.Second, Spare: spare}, backlog))
	require.True(t, MustRun(Timing{UntilDue: 11 * time.Second, Remaining: 6 * time.Second, Spare: spare}, backlog))
	backlog.Waiting = 400
	require.True(t, MustRun(Timing{UntilDue: time.Minute, Remaining: 6 * time.Second, Spare: spare}, backlog))
}

// TestPlacesForBatchAreTheMeanOverBursts: neither a burst nor a valley alone tells how fast
// what waits is done.
func TestPlacesForBatchAreTheMeanOverBursts(t *testing.T) {
	const period, burst = 6 * time.Second, 2 * time.Second
	demand := demandOf(bursts(110, 500, period, burst), 3*period, 1)
	const meanOnline = 240
	places := decide(PolicyPeriodic, fleet(500, 130), demand, itemTime).MeanSlots
	require.InDelta(t, slots-meanOnline-keptFree(fleet(meanOnline, 0)), places, 15)
	require.InDelta(t, places, decide(PolicyPeriodic, fleet(110, 130), demand, itemTime).MeanSlots, 1)
}
