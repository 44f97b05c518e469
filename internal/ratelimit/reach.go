package ratelimit

import (
	"maps"
	"time"
)

const (
	// reconnectTime is how long connections may need to work again behind a cut.
	reconnectTime = time.Second
	// missedMemory is for how long a daemon that was missed counts as one that does not
	// reach this one, though it is seen again: until it has ceased to pass this one by.
	missedMemory = keeperRest + reconnectTime
	// heardMemory is for how long a daemon counts as one that reaches this one after it
	// asked, whatever the membership believes: two looks at the fleet. Behind a cut that
	// ended a membership of 69 daemons took suspicions back for 4 s; keepers that went by
	// it alone granted 126 to 139 requests in half a second, of 190.
	heardMemory = 2 * rankingAge
	// leastReach is the part of its part that a keeper still grants whom less of the fleet
	// reaches: what the own shares of the other three quarters leave, aloneRate of them.
	leastReach = 0.475
)

// grantedBy returns how much of its part a daemon grants that so much of the fleet
// reaches. What a keeper grants on its side of a cut and who replaces it on the other is
// together no more than the part and a hundredth, wherever the cut runs. A side of less
// than a quarter does not get more than twice its size.
func grantedBy(reach float64) float64 {
	return min(max(reach, leastReach), 2*reach)
}

// reached tells which daemons reach this one: towards those nobody stands in for it. Its
// times are by name.
type reached struct {
	// missedAt is when a daemon was missed last, heardAt when it asked this one last.
	missedAt, heardAt map[string]time.Time
}

func newReached() reached {
	return reached{missedAt: map[string]time.Time{}, heardAt: map[string]time.Time{}}
}

// miss notes the daemons that are missed now, and forgets what counts no longer.
func (r reached) miss(missing []Daemon, now time.Time) {
	for _, daemon := range missing {
		r.missedAt[daemon.Name] = now
	}
	maps.DeleteFunc(r.missedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= missedMemory })
	maps.DeleteFunc(r.heardAt, func(_ string, at time.Time) bool { return now.Sub(at) >= heardMemory })
}

// without counts the daemons that may not reach this one, by what miss has kept.
func (r reached) without(daemons []Daemon, now time.Time) int {
	count := 0
	for _, daemon := range daemons {
		missedAt, isMissed := r.missedAt[daemon.Name]
		_, isReaching := r.heardAt[daemon.Name]
		if isMissed && now.Sub(missedAt) < missedMemory && !isReaching {
			count++
		}
	}
	return count
}
