package ratelimit

import (
	"maps"
	"time"
)

const (
	// reconnectTime bounds the time that connections need to recover after a network partition.
	reconnectTime = time.Second
	// missingGrace is how long a daemon that is seen again still counts as not reaching this
	// one: it may still treat this daemon as silent.
	missingGrace = silentRetryTime + reconnectTime
	// askMemory is how long a daemon counts as reaching this one after a request, whatever the
	// membership reports: after a partition it withdraws suspicions for seconds, during which
	// coordinators that rely on it alone grant too little.
	askMemory = 2 * rankingInterval
	// minGranted is the smallest share of a shard that a coordinator grants while at least a
	// quarter of the fleet reaches it. It is what the own shares of the other three quarters
	// leave of the shard.
	minGranted = 0.475
)

// grantedShare returns the share of a shard that a daemon grants if the given part of the fleet
// reaches it. Both sides of a network partition together grant at most 1.01 of a shard. A side
// of less than a quarter of the fleet grants at most twice its part.
func grantedShare(reach float64) float64 {
	return min(max(reach, minGranted), 2*reach)
}

// reachability holds which daemons reach this one. Its times are by daemon name.
type reachability struct {
	// missingAt is when a daemon was last missing, askedAt when it last sent this one a
	// request.
	missingAt, askedAt map[string]time.Time
}

func newReachability() reachability {
	return reachability{missingAt: map[string]time.Time{}, askedAt: map[string]time.Time{}}
}

// recordMissing records the daemons that are missing now and deletes expired times.
func (r reachability) recordMissing(missing []Daemon, now time.Time) {
	for _, daemon := range missing {
		r.missingAt[daemon.Name] = now
	}
	maps.DeleteFunc(r.missingAt, func(_ string, at time.Time) bool { return now.Sub(at) >= missingGrace })
	maps.DeleteFunc(r.askedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= askMemory })
}

// notReaching counts the daemons that may not reach this one. recordMissing must have been
// called.
func (r reachability) notReaching(daemons []Daemon, now time.Time) int {
	count := 0
	for _, daemon := range daemons {
		missingAt, isMissing := r.missingAt[daemon.Name]
		_, isReaching := r.askedAt[daemon.Name]
		if isMissing && now.Sub(missingAt) < missingGrace && !isReaching {
			count++
		}
	}
	return count
}
