package ratelimit

import (
	"slices"
	"time"
)

const (
	// missingRetention is how long a daemon that is no longer seen keeps its rank at least. It is
	// twice as long as a restart.
	missingRetention = 10 * time.Second
	// maxMissing is how long a daemon keeps its rank that is neither seen nor known to have ended:
	// it may be partitioned and grant its shard.
	maxMissing = 10 * time.Minute
	// probeAfter is how long a daemon is missing before its address is probed. Most suspicions
	// are refuted by then.
	probeAfter = missingRetention / 2
)

// recentDaemon is a daemon that was seen alive recently.
type recentDaemon struct {
	daemon Daemon
	// missingSince is when the daemon was first missing, or zero while it is seen.
	missingSince time.Time
	// probedAt is when its address was last probed since then. hasEnded is true if it refused the
	// connection.
	probedAt time.Time
	hasEnded bool
	// isForgotten is true once the daemon has lost its rank, until it is seen again.
	isForgotten bool
}

// isOver reports whether a missing daemon loses its rank.
func (d recentDaemon) isOver(now time.Time) bool {
	missingFor := now.Sub(d.missingSince)
	return missingFor >= maxMissing || (d.hasEnded && missingFor >= missingRetention)
}

// recentDaemons are the recently seen daemons by name.
type recentDaemons map[string]recentDaemon

// missing records the live daemons and returns the others that may still grant: those that were
// seen, have not left, are not forgotten, and whose address no live daemon has taken over.
func (r recentDaemons) missing(live []Daemon, hasLeft func(name string) bool, now time.Time) []Daemon {
	isLive, isTaken := make(map[string]bool, len(live)), make(map[string]bool, len(live))
	for _, daemon := range live {
		isLive[daemon.Name], isTaken[daemon.Address] = true, true
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
		if hasLeft(name) || isTaken[seen.daemon.Address] {
			delete(r, name)
			continue
		}
		if seen.isForgotten = seen.isForgotten || seen.isOver(now); seen.isForgotten {
			r[name] = seen
			continue
		}
		missing = append(missing, seen.daemon)
	}
	return missing
}

// addLost records daemons that other daemons have lost, and this one has never seen, as missing.
func (r recentDaemons) addLost(lost []Daemon, now time.Time) {
	for _, daemon := range lost {
		if _, isKnown := r[daemon.Name]; !isKnown {
			r[daemon.Name] = recentDaemon{daemon: daemon, missingSince: now}
		}
	}
}

// nextProbes returns up to count missing daemons whose addresses are to be probed, those first
// that have waited longest, and counts them as probed.
func (r recentDaemons) nextProbes(count int, now time.Time) []Daemon {
	due := []recentDaemon{}
	for _, seen := range r {
		if !seen.missingSince.IsZero() && !seen.hasEnded && !seen.isForgotten && now.Sub(seen.missingSince) >= probeAfter {
			due = append(due, seen)
		}
	}
	slices.SortFunc(due, func(a, b recentDaemon) int { return a.probedAt.Compare(b.probedAt) })
	probes := []Daemon{}
	for _, seen := range due[:min(count, len(due))] {
		seen.probedAt = now
		r[seen.daemon.Name] = seen
		probes = append(probes, seen.daemon)
	}
	return probes
}

// recordEnded records that a probed daemon's address refused the connection. A daemon that is
// seen again meanwhile is a new process.
func (r recentDaemons) recordEnded(probed Daemon) {
	seen, isKnown := r[probed.Name]
	if !isKnown || seen.missingSince.IsZero() || seen.daemon != probed {
		return
	}
	seen.hasEnded = true
	r[probed.Name] = seen
}
