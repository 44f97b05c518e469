package ratelimit

import "time"

// missingRetention is how long a daemon that is no longer seen keeps its rank, because it may
// be partitioned. It is longer than most partitions, and twice as long as a restart.
const missingRetention = 10 * time.Second

// recentDaemon is a daemon that was seen alive recently.
type recentDaemon struct {
	daemon Daemon
	// missingSince is when the daemon was first missing, or zero while it is seen.
	missingSince time.Time
}

// recentDaemons are the recently seen daemons by name.
type recentDaemons map[string]recentDaemon

// missing records the live daemons and returns those that were seen within missingRetention and
// are neither live nor have left.
func (r recentDaemons) missing(live []Daemon, hasLeft func(name string) bool, now time.Time) []Daemon {
	isLive := make(map[string]bool, len(live))
	for _, daemon := range live {
		isLive[daemon.Name] = true
		r[daemon.Name] = recentDaemon{daemon: daemon}
	}
	missing := []Daemon{}
	for name, seen := range r {
		if isLive[name] {
			continue
		}
		if seen.missingSince.IsZero() {
			seen.missingSince = now
			r[name] = seen
		}
		if hasLeft(name) || now.Sub(seen.missingSince) >= missingRetention {
			delete(r, name)
			continue
		}
		missing = append(missing, seen.daemon)
	}
	return missing
}
