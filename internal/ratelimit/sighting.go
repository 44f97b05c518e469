package ratelimit

import "time"

// missingTime is how long a daemon that is not seen any more keeps its place, because it
// may be cut off: longer than cuts last for the most part, and twice what a daemon needs
// to start again.
const missingTime = 10 * time.Second

// sighting is a daemon that was seen alive.
type sighting struct {
	daemon Daemon
	// missedSince is when it was first missed, or zero while it is seen.
	missedSince time.Time
}

// sightings are of the daemons seen of late, by name.
type sightings map[string]sighting

// missed notes the live daemons and returns those that were seen of late and are not
// live. Daemons that left are not missed.
func (s sightings) missed(live []Daemon, hasLeft func(name string) bool, now time.Time) []Daemon {
	isLive := make(map[string]bool, len(live))
	for _, daemon := range live {
		isLive[daemon.Name] = true
		s[daemon.Name] = sighting{daemon: daemon}
	}
	missing := []Daemon{}
	for name, seen := range s {
		if isLive[name] {
			continue
		}
		if seen.missedSince.IsZero() {
			seen.missedSince = now
			s[name] = seen
		}
		if hasLeft(name) || now.Sub(seen.missedSince) >= missingTime {
			delete(s, name)
			continue
		}
		missing = append(missing, seen.daemon)
	}
	return missing
}
