package batchcapacity

import (
	"math"
	"time"
)

// Policy selects how the capacity for batch items is determined.
type Policy string

// The policies.
const (
	// PolicyFree gives batch all free slots. An online request that finds no slot at a
	// backend preempts an item there.
	PolicyFree Policy = "free"
	// PolicyOnce gives batch all free slots and preempts only excess items.
	PolicyOnce Policy = "once"
	// PolicyReserve is PolicyOnce, but deferrable items leave some slots free, so that
	// online requests find one.
	PolicyReserve Policy = "reserve"
	// PolicyPeriodic is PolicyReserve, but deferrable items also leave slots free for the
	// next burst of periodic demand.
	PolicyPeriodic Policy = "rhythm"
)

// IsKnown reports whether the policy is one of the above.
func (p Policy) IsKnown() bool {
	return p == PolicyFree || p == PolicyOnce || p == PolicyReserve || p == PolicyPeriodic
}

// Capacity is the number of further items that all daemons together should send to a service.
// Each item also needs a free slot.
type Capacity struct {
	// Urgent is the capacity for urgent items, limited only by the number of
	// slots. Deferrable is the capacity for items that can wait.
	Urgent     int
	Deferrable int
	// Reserve is the number of slots kept free for online requests.
	Reserve int
	// MeanSlots is the mean number of slots that recent online work leaves to batch.
	MeanSlots int
	// Period is the detected period of online demand and Wait the time until its next
	// valley; 0 if there is none.
	Period time.Duration
	Wait   time.Duration
}

// Observation is the load and demand that a decision uses.
type Observation struct {
	Load   Load
	Demand *Demand
	// ItemTime is the duration of an item.
	ItemTime time.Duration
	// Age is the age of the load.
	Age time.Duration
}

// onlineReserve returns the number of slots that deferrable items leave free:
// FreeSlotsNeeded, but no more than there is online work. If fewer were free, items would
// soon be preempted.
func onlineReserve(load Load) int { return min(FreeSlotsNeeded(load), load.Online) }

// freeSlots returns the free slots beyond a reserve.
func (l Load) freeSlots(reserve int) int { return max(l.Slots-l.Online-l.Batch-reserve, 0) }

// Decide returns the capacity for batch items.
func Decide(policy Policy, observed Observation) Capacity {
	if policy == PolicyFree || policy == PolicyOnce {
		return Capacity{Urgent: observed.Load.Slots, Deferrable: observed.Load.Slots, MeanSlots: meanSlots(observed)}
	}
	reserve := onlineReserve(observed.Load)
	decided := Capacity{Urgent: observed.Load.Slots, Deferrable: observed.Load.freeSlots(reserve), Reserve: reserve, MeanSlots: meanSlots(observed)}
	if policy == PolicyPeriodic && observed.Demand.Period() > 0 {
		decided.Period, decided.Wait = observed.Demand.Period(), observed.Demand.UntilValley()
		decided.Deferrable = min(decided.Deferrable, deferrableSlots(observed))
	}
	return decided
}

// deferrableSlots returns the minimum number of free slots over the duration of an item sent
// now. Running items are assumed to end at a constant rate, so fewer of them remain the later
// a burst begins.
func deferrableSlots(observed Observation) int {
	least := math.MaxInt
	for ahead := time.Duration(0); ahead < observed.ItemTime; ahead += SampleInterval {
		online, _ := observed.Demand.Forecast(ahead, ahead+observed.Age)
		left := 1 - float64(ahead)/float64(observed.ItemTime)
		expected := Load{Backends: observed.Load.Backends, Slots: observed.Load.Slots, Online: online, Batch: int(float64(observed.Load.Batch) * left)}
		least = min(least, expected.freeSlots(onlineReserve(expected)))
	}
	return least
}

// meanSlots returns the mean number of slots left to batch, at least those that it uses.
func meanSlots(observed Observation) int {
	average := observed.Load
	average.Online, average.Batch = observed.Demand.Mean(observed.Load.Online), 0
	return max(average.freeSlots(onlineReserve(average)), observed.Load.Batch)
}

// Timing decides whether an item can wait.
type Timing struct {
	// UntilDue is the time until the item is due, Remaining its remaining run time.
	UntilDue  time.Duration
	Remaining time.Duration
	// Spare is the minimum spare time before the due time of an item that may wait.
	Spare time.Duration
	// Wait is the expected wait for deferrable capacity.
	Wait time.Duration
}

// Backlog is the batch work that waits in the whole fleet.
type Backlog struct {
	// Waiting is the number of waiting items of all owners.
	Waiting int
	// MeanSlots is the mean number of slots left to batch.
	MeanSlots int
	// ItemTime is the duration of an item.
	ItemTime time.Duration
}

// MustRun reports whether an item can't wait. That is the case if it would have less than
// timing.Spare left when it ends after the whole backlog and timing.Wait, or if the backlog
// alone takes timing.Spare.
func MustRun(timing Timing, backlog Backlog) bool {
	queued := time.Duration(float64(backlog.ItemTime) * float64(backlog.Waiting) / float64(max(backlog.MeanSlots, 1)))
	return queued >= timing.Spare || timing.UntilDue-timing.Remaining-queued-timing.Wait < timing.Spare
}
