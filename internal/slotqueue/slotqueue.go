// Package slotqueue decides who asks next for a place when more requests wait than
// places come free. It knows no network and no clock: it is told what waits here,
// what the fleet waits for, and how much time each request has left.
//
// A request that can still be in time asks often. One that cannot makes way: it asks
// so seldom that nearly all places go to those in time, but often enough that no place
// stays unused, and takes the room as soon as nobody in time wants it. Served in the
// order in which requests came, or by their objectives, all of them would be a little
// late while there is too little room.
package slotqueue

import "time"

// Stats is what waits for places of one service, and how fast places come free.
type Stats struct {
	// OnTime counts the online requests that wait and can still be in time, Late
	// those that cannot.
	OnTime, Overdue int
	// FreedSlots counts the places that came free in the last second.
	FreedSlots int
}

// Plus returns the sums of both.
func (s Stats) Plus(other Stats) Stats {
	return Stats{OnTime: s.OnTime + other.OnTime, Overdue: s.Overdue + other.Overdue, FreedSlots: s.FreedSlots + other.FreedSlots}
}

// Minus returns the sums less a part of them.
func (s Stats) Minus(part Stats) Stats {
	return Stats{OnTime: s.OnTime - part.OnTime, Overdue: s.Overdue - part.Overdue, FreedSlots: s.FreedSlots - part.FreedSlots}
}

const (
	// ShortestPause and LongestPause bound the time between two questions of a
	// request that can still be in time; attemptsOnTime is how many of the present
	// pauses fit into the time that it has left.
	ShortestPause  = 5 * time.Millisecond
	LongestPause   = 20 * time.Millisecond
	attemptsOnTime = 12
	// OverduePause is the time between two questions of a late request for which
	// nothing is known of the others.
	OverduePause = 80 * time.Millisecond
	// usualPause is the time between two questions of requests in time, in the mean:
	// half way between the bounds.
	usualPause = (ShortestPause + LongestPause) / 2
	// attemptsPerSlot is how many questions the fleet asks for each place that comes
	// free: fewer leave places unused for long, more take time of backends. At 8
	// slots a backend and 5 questions a place, a place waits for a fortieth of the
	// time for which a request holds it.
	attemptsPerSlot = 5
	// overdueShare is the part of the questions that late requests may ask while
	// requests in time ask for all places: what is known of the others is a few
	// hundred milliseconds old, and requests that count as in time may be gone.
	overdueShare = 0.02
)

// Request is one request that waits for a place.
type Request struct {
	// Remaining is the time until its objective, less what an answer takes from the place
	// to its first output; none left means that it is late.
	Remaining time.Duration
}

// IsOverdue reports whether the request cannot be in time any more.
func (r Request) IsOverdue() bool { return r.Remaining <= 0 }

// Pause returns how long a request waits from one question for a place to the next,
// by what the whole fleet waits for. The sums are those of a moment ago: a request
// looks at them again at least every OverduePause.
func Pause(request Request, fleet Stats) time.Duration {
	if !request.IsOverdue() || fleet.FreedSlots <= 0 {
		return PauseWithoutStats(request)
	}
	wanted := float64(attemptsPerSlot * fleet.FreedSlots)
	others := float64(max(fleet.OnTime, 0)) / usualPause.Seconds()
	late := max(wanted-others, (wanted+others)*overdueShare)
	pause := time.Duration(float64(max(fleet.Overdue, 1)) / late * float64(time.Second))
	if fleet.OnTime > 0 {
		return max(pause, OverduePause)
	}
	return max(pause, LongestPause)
}

// overloadShare is the part of an objective that requests in time wait for a place, in
// the mean, from which on there is too little room for them: places go to any of them
// alike, and at a sixth one in a hundred would get none within five sixths.
const overloadShare = 1.0 / 6

// MeanWait is how long a request in time waits for a place, in the mean: the requests that
// wait by the places that come free. It is 0 while none is known to come free.
func (s Stats) MeanWait() time.Duration { return s.drainTime(s.OnTime) }

// DrainTime is how long all that wait would take, if nobody else came.
func (s Stats) DrainTime() time.Duration { return s.drainTime(s.OnTime + s.Overdue) }

func (s Stats) drainTime(count int) time.Duration {
	if s.FreedSlots <= 0 {
		return 0
	}
	return time.Duration(max(count, 0)) * time.Second / time.Duration(s.FreedSlots)
}

// minFreedSlots and minOnTime are how many places must have come free in the last second,
// and how many requests must wait, for the wait to mean anything: with fewer, as at a
// service of a few slots, one request more or less decides, and whoever waits a second
// longer is served.
const (
	minFreedSlots = 20
	minOnTime     = 5
)

// IsOverloaded reports whether requests in time need all places that come free.
func (s Stats) IsOverloaded(objective time.Duration) bool {
	if s.FreedSlots < minFreedSlots || s.OnTime < minOnTime {
		return false
	}
	return s.MeanWait() > time.Duration(float64(objective)*overloadShare)
}

// PauseWithoutStats is the same where nothing is known of the others, or may be used.
func PauseWithoutStats(request Request) time.Duration {
	if request.IsOverdue() {
		return OverduePause
	}
	return min(max(request.Remaining/attemptsOnTime, ShortestPause), LongestPause)
}
