package batchroom

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	itemTime = 4500 * time.Millisecond
	sight    = 300 * time.Millisecond
)

func decide(policy Policy, load Load, demand *Demand, itemTime time.Duration) Room {
	return Decide(policy, Sight{Load: load, Demand: demand, ItemTime: itemTime, Age: sight})
}

// TestNoisyRoomStaysFree: beside much online work nothing is sent into the few slots that
// are free by chance; a small fleet leaves none empty.
func TestNoisyRoomStaysFree(t *testing.T) {
	burst := Load{Slots: slots, Online: 540, Batch: 140}
	require.Equal(t, 40, decide(PolicyFree, burst, &Demand{}, itemTime).Now)
	require.Zero(t, decide(PolicyReserve, burst, &Demand{}, itemTime).Now)
	valley := Load{Slots: slots, Online: 110, Batch: 140}
	require.Greater(t, decide(PolicyReserve, valley, &Demand{}, itemTime).Now, 400)
	small := Load{Slots: 12, Online: 9, Batch: 2}
	require.Equal(t, 1, decide(PolicyReserve, small, &Demand{}, itemTime).Now)
}

// TestItemsThatCanWaitLeaveRoomForTheBurst that the rhythm brings; those that cannot
// wait do not. Behind the burst there is room for all.
func TestItemsThatCanWaitLeaveRoomForTheBurst(t *testing.T) {
	const period, burst = 6 * time.Second, 2400 * time.Millisecond
	rhythm := bursts(110, 540, period, burst)
	before := demandOf(rhythm, 3*period-burst-500*time.Millisecond, 1)
	load := Load{Slots: slots, Online: 110, Batch: 250}
	room := decide(PolicyRhythm, load, before, itemTime)
	require.InDelta(t, period.Seconds(), room.Period.Seconds(), 0.15)
	require.Zero(t, room.Lasting)
	require.Greater(t, room.Now, 300)
	behind := demandOf(rhythm, 3*period+300*time.Millisecond, 1)
	room = decide(PolicyRhythm, Load{Slots: slots, Online: 110, Batch: 140}, behind, itemTime)
	require.Greater(t, room.Lasting, 50)
}

// TestShortItemsEndBeforeTheBurst, so that they need not wait for it.
func TestShortItemsEndBeforeTheBurst(t *testing.T) {
	const period, burst = 6 * time.Second, 2400 * time.Millisecond
	demand := demandOf(bursts(110, 540, period, burst), 2*period+time.Second, 1)
	load := Load{Slots: slots, Online: 110, Batch: 100}
	require.Greater(t, decide(PolicyRhythm, load, demand, time.Second).Lasting, 400)
}

// TestItemsWithTimeToSpareWait and others do not, nor does any when so much waits that
// room left empty would make items late.
func TestItemsWithTimeToSpareWait(t *testing.T) {
	const spare = 5 * time.Second
	backlog := Backlog{Waiting: 60, Places: 240, ItemTime: itemTime}
	require.False(t, MustRun(Timing{UntilDue: 18 * time.Second, Left: 6 * time.Second, Spare: spare}, backlog))
	require.True(t, MustRun(Timing{UntilDue: 11 * time.Second, Left: 6 * time.Second, Spare: spare}, backlog))
	backlog.Waiting = 400
	require.True(t, MustRun(Timing{UntilDue: time.Minute, Left: 6 * time.Second, Spare: spare}, backlog))
}
