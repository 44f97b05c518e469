// Package slotqueue decides how often waiting online requests try to get a slot at a
// backend during overload. It does no I/O and reads no clock: Pause computes the time
// between two attempts from the fleet's queue statistics and the request's remaining
// time.
//
// Requests that can still meet their objective retry often. Overdue requests retry
// rarely while on-time requests use all slots, and more often when slots are left over.
// During overload this lets some requests meet their objective, where both first come,
// first served and earliest deadline first make nearly all overdue.
package slotqueue

import "time"

// Stats holds the queue statistics of one service.
type Stats struct {
	// OnTime counts the waiting online requests that can still meet their
	// objective, Overdue those that cannot.
	OnTime, Overdue int
	// FreedSlots counts the slots freed in the last second.
	FreedSlots int
}

// Plus returns the sum of both statistics.
func (s Stats) Plus(other Stats) Stats {
	return Stats{OnTime: s.OnTime + other.OnTime, Overdue: s.Overdue + other.Overdue, FreedSlots: s.FreedSlots + other.FreedSlots}
}

// Minus returns the statistics without part.
func (s Stats) Minus(part Stats) Stats {
	return Stats{OnTime: s.OnTime - part.OnTime, Overdue: s.Overdue - part.Overdue, FreedSlots: s.FreedSlots - part.FreedSlots}
}

const (
	// ShortestPause and LongestPause bound the time between two attempts of an
	// on-time request. Its pause is the remaining time divided by attemptsOnTime.
	ShortestPause  = 5 * time.Millisecond
	LongestPause   = 20 * time.Millisecond
	attemptsOnTime = 12
	// OverduePause is the time between two attempts of an overdue request without
	// queue statistics.
	OverduePause = 80 * time.Millisecond
	// meanPause is the assumed mean time between two attempts of on-time requests.
	meanPause = (ShortestPause + LongestPause) / 2
	// attemptsPerSlot is the target number of attempts in the fleet per freed slot.
	// Fewer leave slots unused; more add load on the backends. With 8 slots a backend, a slot
	// is unused for a fortieth of the time for which a request holds it.
	attemptsPerSlot = 5
	// overdueShare is the share of all attempts that overdue requests make while
	// on-time requests compete for all slots. It is above 0 because the statistics
	// are some hundred milliseconds old, and requests that count as on time may be gone.
	overdueShare = 0.02
)

// Request is a request that waits for a slot.
type Request struct {
	// Remaining is the time until the request's objective minus the first output
	// time. The request is overdue if it is not positive.
	Remaining time.Duration
}

// IsOverdue reports whether the request can no longer meet its objective.
func (r Request) IsOverdue() bool { return r.Remaining <= 0 }

// Pause returns the time from one attempt to get a slot to the next, given the queue
// statistics of the fleet. Callers refresh the statistics at least every OverduePause.
func Pause(request Request, fleet Stats) time.Duration {
	if !request.IsOverdue() || fleet.FreedSlots <= 0 {
		return PauseWithoutStats(request)
	}
	target := float64(attemptsPerSlot * fleet.FreedSlots)
	onTime := float64(max(fleet.OnTime, 0)) / meanPause.Seconds()
	overdue := max(target-onTime, (target+onTime)*overdueShare)
	pause := time.Duration(float64(max(fleet.Overdue, 1)) / overdue * float64(time.Second))
	if fleet.OnTime > 0 {
		return max(pause, OverduePause)
	}
	return max(pause, LongestPause)
}

// overloadShare is the mean wait of on-time requests, as a share of the objective,
// above which a service is overloaded. Slots go to any of the waiting requests alike: at a
// sixth, one in a hundred would get none within five sixths of the objective.
const overloadShare = 1.0 / 6

// MeanWait returns the mean time that an on-time request waits for a slot: waiting
// requests divided by freed slots per second. It is 0 if no slots were freed.
func (s Stats) MeanWait() time.Duration { return s.drainTime(s.OnTime) }

// DrainTime returns the time until all waiting requests get a slot if no others arrive.
// It is 0 if no slots were freed.
func (s Stats) DrainTime() time.Duration { return s.drainTime(s.OnTime + s.Overdue) }

func (s Stats) drainTime(count int) time.Duration {
	if s.FreedSlots <= 0 {
		return 0
	}
	return time.Duration(max(count, 0)) * time.Second / time.Duration(s.FreedSlots)
}

// minFreedSlots and minOnTime are the minimum numbers of slots freed in the last second
// and of waiting on-time requests to detect overload. With fewer, as at a service of a few
// slots, one request more or less decides, and a request that waits a second longer is served.
const (
	minFreedSlots = 20
	minOnTime     = 5
)

// IsOverloaded reports whether the mean wait of on-time requests is too long for the
// objective.
func (s Stats) IsOverloaded(objective time.Duration) bool {
	if s.FreedSlots < minFreedSlots || s.OnTime < minOnTime {
		return false
	}
	return s.MeanWait() > time.Duration(float64(objective)*overloadShare)
}

// PauseWithoutStats returns the pause of a request if queue statistics are missing or
// not used.
func PauseWithoutStats(request Request) time.Duration {
	if request.IsOverdue() {
		return OverduePause
	}
	return min(max(request.Remaining/attemptsOnTime, ShortestPause), LongestPause)
}
