package batchcapacity

import (
	"math"
	"time"
)

// Policy tells what the room for batch follows.
type Policy string

// The policies.
const (
	// PolicyFree gives batch every slot that looks free.
	PolicyFree Policy = "free"
	// PolicyOnce gives batch every slot that looks free, and has items give way only for
	// what they have too much.
	PolicyOnce Policy = "once"
	// PolicyReserve also has items that can wait leave free what online requests need to
	// find places.
	PolicyReserve Policy = "reserve"
	// PolicyPeriodic also has items that can wait leave room for a burst that the
	// rhythm of demand brings.
	PolicyPeriodic Policy = "rhythm"
)

// IsKnown reports whether the policy is one of those.
func (p Policy) IsKnown() bool {
	return p == PolicyFree || p == PolicyOnce || p == PolicyReserve || p == PolicyPeriodic
}

// Capacity is how many more items the whole fleet should send to a service, as far as the backends
// have free slots.
type Capacity struct {
	// Urgent is for items that must run now, which only the backends' slots bound; Lasting
	// is for those that can wait.
	Urgent     int
	Deferrable int
	// Reserve is how many slots stayed free for online requests.
	Reserve int
	// MeanSlots is how many slots batch has in the mean beside the online work of the last
	// seconds.
	MeanSlots int
	// Period is the rhythm that was followed, and Wait how long it takes until its
	// next valley; 0 means none.
	Period time.Duration
	Wait   time.Duration
}

// Observation is what a decision rests on.
type Observation struct {
	Load   Load
	Demand *Demand
	// ItemTime is how long items run.
	ItemTime time.Duration
	// Age is how old the load is.
	Age time.Duration
}

// keptFree is how many slots items that can wait leave free: what lets requests find
// places, never more than there is online work. Into less they would be sent to be taken
// back.
func keptFree(load Load) int { return min(FreeSlotsNeeded(load), load.Online) }

// freeSlots is what is left beside the load and a reserve.
func (l Load) freeSlots(reserve int) int { return max(l.Slots-l.Online-l.Batch-reserve, 0) }

// Decide returns the room for items.
func Decide(policy Policy, sight Observation) Capacity {
	if policy == PolicyFree || policy == PolicyOnce {
		return Capacity{Urgent: sight.Load.Slots, Deferrable: sight.Load.Slots, MeanSlots: meanSlots(sight)}
	}
	reserve := keptFree(sight.Load)
	decided := Capacity{Urgent: sight.Load.Slots, Deferrable: sight.Load.freeSlots(reserve), Reserve: reserve, MeanSlots: meanSlots(sight)}
	if policy == PolicyPeriodic && sight.Demand.Period() > 0 {
		decided.Period, decided.Wait = sight.Demand.Period(), sight.Demand.UntilValley()
		decided.Deferrable = min(decided.Deferrable, deferrableSlots(sight))
	}
	return decided
}

// deferrableSlots is the least room at any moment until an item that is sent now ends. Items
// that run end evenly over the time that they take, so that less of them stands in the
// way the later a burst comes.
func deferrableSlots(sight Observation) int {
	least := math.MaxInt
	for ahead := time.Duration(0); ahead < sight.ItemTime; ahead += SampleInterval {
		online, _ := sight.Demand.Forecast(ahead, ahead+sight.Age)
		left := 1 - float64(ahead)/float64(sight.ItemTime)
		expected := Load{Backends: sight.Load.Backends, Slots: sight.Load.Slots, Online: online, Batch: int(float64(sight.Load.Batch) * left)}
		least = min(least, expected.freeSlots(keptFree(expected)))
	}
	return least
}

// meanSlots is how many slots batch has in the mean.
func meanSlots(sight Observation) int {
	usual := sight.Load
	usual.Online, usual.Batch = sight.Demand.Mean(sight.Load.Online), 0
	return max(usual.freeSlots(keptFree(usual)), sight.Load.Batch)
}

// Timing is what decides whether an item can wait.
type Timing struct {
	// UntilDue is the time until the item is due, and Left what it has yet to run.
	UntilDue  time.Duration
	Remaining time.Duration
	// Spare is the time to spare below which the item must run.
	Spare time.Duration
	// Wait is how long it may wait for room that lasts.
	Wait time.Duration
}

// Backlog is what waits in the whole fleet.
type Backlog struct {
	// Waiting are the items of all owners that wait.
	Waiting int
	// MeanSlots are the slots that batch has in the mean, in bursts and between them.
	MeanSlots int
	// ItemTime is how long items run.
	ItemTime time.Duration
}

// MustRun reports whether an item cannot wait: behind all others that wait, and after its
// own wait, it would end with less than the time to spare; or so much waits that no room
// may be left unused.
func MustRun(timing Timing, backlog Backlog) bool {
	queued := time.Duration(float64(backlog.ItemTime) * float64(backlog.Waiting) / float64(max(backlog.MeanSlots, 1)))
	return queued >= timing.Spare || timing.UntilDue-timing.Remaining-queued-timing.Wait < timing.Spare
}
