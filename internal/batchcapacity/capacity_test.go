package batchcapacity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	itemTime = 4500 * time.Millisecond
	loadAge  = 300 * time.Millisecond
)

func decide(policy Policy, load Load, demand *Demand, itemTime time.Duration) Capacity {
	return Decide(policy, Observation{Load: load, Demand: demand, ItemTime: itemTime, Age: loadAge})
}

// fleet returns a load of 90 backends.
func fleet(online, batch int) Load {
	return Load{Backends: 90, Slots: slots, Online: online, Batch: batch}
}

// TestReservePolicyKeepsSlotsFree checks that only urgent items take the last free slots
// while there is much online work. Without online work no slot is kept free.
func TestReservePolicyKeepsSlotsFree(t *testing.T) {
	burst := fleet(540, 140)
	for _, policy := range []Policy{PolicyFree, PolicyOnce} {
		capacity := decide(policy, burst, &Demand{}, itemTime)
		require.Equal(t, slots, capacity.Urgent)
		require.Equal(t, slots, capacity.Deferrable)
	}
	capacity := decide(PolicyReserve, burst, &Demand{}, itemTime)
	require.Equal(t, slots, capacity.Urgent)
	require.Zero(t, capacity.Deferrable)
	require.Greater(t, decide(PolicyReserve, fleet(110, 140), &Demand{}, itemTime).Deferrable, 350)
	require.Equal(t, 720, decide(PolicyReserve, fleet(0, 0), &Demand{}, itemTime).Deferrable)
	small := Load{Backends: 3, Slots: 12, Online: 1, Batch: 2}
	require.Equal(t, 8, decide(PolicyReserve, small, &Demand{}, itemTime).Deferrable)
}

// TestPeriodicPolicyKeepsSlotsForBurst checks that before a burst only urgent items have
// capacity; after it, all items have.
func TestPeriodicPolicyKeepsSlotsForBurst(t *testing.T) {
	const period, burst = 6 * time.Second, 2400 * time.Millisecond
	periodic := bursts(110, 480, period, burst)
	before := demandOf(periodic, 3*period-burst-500*time.Millisecond, 1)
	load := fleet(110, 250)
	capacity := decide(PolicyPeriodic, load, before, itemTime)
	require.InDelta(t, period.Seconds(), capacity.Period.Seconds(), 0.15)
	require.Zero(t, capacity.Deferrable)
	require.Greater(t, capacity.Urgent, 300)
	after := demandOf(periodic, 3*period+300*time.Millisecond, 1)
	capacity = decide(PolicyPeriodic, fleet(110, 140), after, itemTime)
	require.Greater(t, capacity.Deferrable, 50)
}

// TestShortItemsRunBeforeBurst checks that items that end before the next burst need not
// wait for it.
func TestShortItemsRunBeforeBurst(t *testing.T) {
	const period, burst = 6 * time.Second, 2400 * time.Millisecond
	demand := demandOf(bursts(110, 540, period, burst), 2*period+time.Second, 1)
	load := fleet(110, 100)
	require.Greater(t, decide(PolicyPeriodic, load, demand, time.Second).Deferrable, 400)
}

// TestMustRun checks that items with enough spare time wait, unless the backlog is too
// long.
func TestMustRun(t *testing.T) {
	const spare = 5 * time.Second
	backlog := Backlog{Waiting: 60, MeanSlots: 240, ItemTime: itemTime}
	require.False(t, MustRun(Timing{UntilDue: 18 * time.Second, Remaining: 6 * time.Second, Spare: spare}, backlog))
	require.True(t, MustRun(Timing{UntilDue: 11 * time.Second, Remaining: 6 * time.Second, Spare: spare}, backlog))
	backlog.Waiting = 400
	require.True(t, MustRun(Timing{UntilDue: time.Minute, Remaining: 6 * time.Second, Spare: spare}, backlog))
}

// TestMeanSlotsOverBursts checks that the mean is the same during a burst and in a valley.
func TestMeanSlotsOverBursts(t *testing.T) {
	const period, burst = 6 * time.Second, 2 * time.Second
	demand := demandOf(bursts(110, 500, period, burst), 3*period, 1)
	const meanOnline = 240
	meanSlots := decide(PolicyPeriodic, fleet(500, 130), demand, itemTime).MeanSlots
	require.InDelta(t, slots-meanOnline-onlineReserve(fleet(meanOnline, 0)), meanSlots, 15)
	require.InDelta(t, meanSlots, decide(PolicyPeriodic, fleet(110, 130), demand, itemTime).MeanSlots, 1)
}
