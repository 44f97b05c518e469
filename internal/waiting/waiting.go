// Package waiting decides who asks next for a place when more requests wait than
// places come free. It knows no network and no clock: it is told what waits here,
// what the fleet waits for, and how much time each request has left.
//
// A request that can still be in time asks often. One that cannot makes way: it asks
// so seldom that nearly all places go to those in time, but often enough that no place
// stays unused, and takes the room as soon as nobody in time wants it. Served in the
// order in which requests came, or by their objectives, all of them would be a little
// late while there is too little room.
package waiting

import "time"

// Sums is what waits for places of one service, and how fast places come free.
type Sums struct {
	// InTime counts the online requests that wait and can still be in time, Late
	// those that cannot.
	InTime, Late int
	// Freed counts the places that came free in the last second.
	Freed int
}

// Add returns the sums of both.
func (s Sums) Add(other Sums) Sums {
	return Sums{InTime: s.InTime + other.InTime, Late: s.Late + other.Late, Freed: s.Freed + other.Freed}
}

// Without returns the sums less a part of them.
func (s Sums) Without(part Sums) Sums {
	return Sums{InTime: s.InTime - part.InTime, Late: s.Late - part.Late, Freed: s.Freed - part.Freed}
}

const (
	// ShortestPause and LongestPause bound the time between two questions of a
	// request that can still be in time; asksInTime is how many of the present
	// pauses fit into the time that it has left.
	ShortestPause = 5 * time.Millisecond
	LongestPause  = 20 * time.Millisecond
	asksInTime    = 12
	// LatePause is the time between two questions of a late request for which
	// nothing is known of the others.
	LatePause = 80 * time.Millisecond
	// usualPause is the time between two questions of requests in time, in the mean:
	// half way between the bounds.
	usualPause = (ShortestPause + LongestPause) / 2
	// asksPerPlace is how many questions the fleet asks for each place that comes
	// free: fewer leave places unused for long, more take time of backends. At 8
	// slots a backend and 5 questions a place, a place waits for a fortieth of the
	// time for which a request holds it.
	asksPerPlace = 5
	// lateShare is the part of the questions that late requests may ask while
	// requests in time ask for all places: what is known of the others is a few
	// hundred milliseconds old, and requests that count as in time may be gone.
	lateShare = 0.02
)

// Request is one request that waits for a place.
type Request struct {
	// Left is the time until its objective, less what an answer takes from the place
	// to its first output; none left means that it is late.
	Left time.Duration
}

// IsLate reports whether the request cannot be in time any more.
func (r Request) IsLate() bool { return r.Left <= 0 }

// Pause returns how long a request waits from one question for a place to the next,
// by what the whole fleet waits for. The sums are those of a moment ago: a request
// looks at them again at least every LatePause.
func Pause(request Request, fleet Sums) time.Duration {
	if !request.IsLate() || fleet.Freed <= 0 {
		return PauseAlone(request)
	}
	wanted := float64(asksPerPlace * fleet.Freed)
	others := float64(max(fleet.InTime, 0)) / usualPause.Seconds()
	late := max(wanted-others, (wanted+others)*lateShare)
	pause := time.Duration(float64(max(fleet.Late, 1)) / late * float64(time.Second))
	if fleet.InTime > 0 {
		return max(pause, LatePause)
	}
	return max(pause, LongestPause)
}

// crowdedShare is the part of an objective that requests in time wait for a place, in
// the mean, from which on there is too little room for them: places go to any of them
// alike, and at a sixth one in a hundred would get none within five sixths.
const crowdedShare = 1.0 / 6

// Wait is how long a request in time waits for a place, in the mean: the requests that
// wait by the places that come free. It is 0 while none is known to come free.
func (s Sums) Wait() time.Duration { return s.served(s.InTime) }

// Backlog is how long all that wait would take, if nobody else came.
func (s Sums) Backlog() time.Duration { return s.served(s.InTime + s.Late) }

func (s Sums) served(count int) time.Duration {
	if s.Freed <= 0 {
		return 0
	}
	return time.Duration(max(count, 0)) * time.Second / time.Duration(s.Freed)
}

// fewestFreed and fewestInTime are how many places must have come free in the last second,
// and how many requests must wait, for the wait to mean anything: with fewer, as at a
// service of a few slots, one request more or less decides, and whoever waits a second
// longer is served.
const (
	fewestFreed  = 20
	fewestInTime = 5
)

// IsCrowded reports whether requests in time need all places that come free.
func (s Sums) IsCrowded(objective time.Duration) bool {
	if s.Freed < fewestFreed || s.InTime < fewestInTime {
		return false
	}
	return s.Wait() > time.Duration(float64(objective)*crowdedShare)
}

// PauseAlone is the same where nothing is known of the others, or may be used.
func PauseAlone(request Request) time.Duration {
	if request.IsLate() {
		return LatePause
	}
	return min(max(request.Left/asksInTime, ShortestPause), LongestPause)
}
