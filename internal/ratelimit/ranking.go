package ratelimit

import (
	"math"
	"slices"
	"sync"
	"time"

	"topazpulley/internal/duty"
)

const (
	// maxShards is the largest number of shards of a limit. After the loss of one coordinator
	// two thirds of the limit remain available at once, which is what tenants use whose limit is
	// half as much again as their usual rate.
	maxShards = 3
	// backupCount is the number of backup coordinators.
	backupCount = 3
	// poolSize bounds the daemons that coordinate limits, and so the connections of a daemon in
	// a large fleet.
	poolSize = 64
	// rankingInterval is the time after which rankings are computed again.
	rankingInterval = 500 * time.Millisecond
	// minReportedChange is the smallest change of the granted share that is reported; one zone of
	// many makes as much.
	minReportedChange = 0.05
	// poolKey is the hashing key that selects the pool.
	poolKey = "rate-limit-pool"
)

// ranking is the order of daemons for one tenant: coordinators first, then their backups.
// Missing daemons keep their rank, so that a shard doesn't move with each daemon's view.
type ranking struct {
	daemons []Daemon
	// fleet is the number of daemons, notReaching how many of them may not reach this one.
	fleet, notReaching int
	// granted is the share of a shard that this daemon grants. It depends on the part of the
	// fleet that reaches this daemon.
	granted float64
	isKnown bool
	at      time.Time
}

// rank returns a daemon's position from 0, or -1.
func (r ranking) rank(name string) int {
	return slices.IndexFunc(r.daemons, func(daemon Daemon) bool { return daemon.Name == name })
}

// rankings are the rankings by tenant, computed again after rankingInterval. mutex guards the
// fields after it.
type rankings struct {
	fleet Fleet

	mutex        sync.Mutex
	byTenant     map[string]ranking
	pool         ranking
	reachability reachability
	// onChange is called when the granted share differs from the last reported one by
	// minReportedChange or more, or is full again.
	onChange func(before, after ranking)
	reported ranking
}

func newRankings(fleet Fleet) *rankings {
	return &rankings{fleet: fleet, byTenant: map[string]ranking{}, reachability: newReachability(), onChange: func(ranking, ranking) {}, reported: ranking{granted: fullShare}}
}

// forTenant returns the ranking for a tenant.
func (r *rankings) forTenant(name string, now time.Time) ranking {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.refreshLocked(now)
	found, isFresh := r.byTenant[name]
	if !isFresh {
		found = r.pool
		found.daemons = topDaemons(name, r.pool.daemons, maxShards+backupCount)
		r.byTenant[name] = found
	}
	return found
}

// refreshLocked computes the pool again if it is older than rankingInterval. mutex must be
// held.
func (r *rankings) refreshLocked(now time.Time) {
	if now.Sub(r.pool.at) < rankingInterval && r.pool.isKnown {
		return
	}
	r.pool = r.computePool(now)
	clear(r.byTenant)
}

// refresh is refreshLocked for callers that don't hold the mutex.
func (r *rankings) refresh(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.refreshLocked(now)
}

// fullShare is the share that a daemon grants of its shards if the whole fleet reaches it.
const fullShare = 1.0

// computePool computes the pool from the current view. mutex must be held.
func (r *rankings) computePool(now time.Time) ranking {
	seen := r.fleet.View()
	all := slices.Concat(seen.Daemons, seen.Missing)
	r.reachability.recordMissing(seen.Missing, now)
	notReaching := r.reachability.notReaching(all, now)
	current := ranking{
		daemons: topDaemons(poolKey, all, poolSize), fleet: len(all), notReaching: notReaching,
		granted: grantedShare(1 - float64(notReaching)/float64(max(len(all), 1))), isKnown: seen.IsKnown, at: now,
	}
	isFullAgain := current.granted == fullShare && r.reported.granted != fullShare
	if math.Abs(current.granted-r.reported.granted) >= minReportedChange || isFullAgain {
		r.onChange(r.reported, current)
		r.reported = current
	}
	return current
}

// recordAsk records that a daemon has sent this one a request.
func (r *rankings) recordAsk(name string, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.reachability.askedAt[name] = now
}

// topDaemons returns the daemons with the highest rendezvous weights for a key, highest first.
func topDaemons(key string, daemons []Daemon, count int) []Daemon {
	if key == poolKey && len(daemons) <= count {
		return daemons // the pool's order is irrelevant
	}
	names := make([]string, 0, len(daemons))
	byName := make(map[string]Daemon, len(daemons))
	for _, daemon := range daemons {
		names = append(names, daemon.Name)
		byName[daemon.Name] = daemon
	}
	selected := make([]Daemon, 0, count)
	for _, name := range duty.Owners(key, names, count) {
		selected = append(selected, byName[name])
	}
	return selected
}
