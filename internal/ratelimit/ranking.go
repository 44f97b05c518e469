package ratelimit

import (
	"math"
	"slices"
	"sync"
	"time"

	"topazpulley/internal/duty"
)

const (
	// mostParts is into how many parts a limit is split at most: when a keeper is
	// lost, two thirds of the limit are granted at once, which is what tenants
	// use whose limit is half as much again as their usual rate.
	mostParts = 3
	// standIns is how many further daemons may stand in for keepers.
	standIns = 3
	// keeperPool bounds the daemons that keep limits, so that each daemon of a
	// large fleet talks to that many others only.
	keeperPool = 64
	// rankingAge is how long the order of daemons for a tenant is used.
	rankingAge = 500 * time.Millisecond
	// toldChange is by how much the share that a daemon grants changes before it says so:
	// a twentieth is what one zone of many makes.
	toldChange = 0.05
	// poolKey is the key by which the pool is drawn.
	poolKey = "rate-limit-pool"
)

// ranking is the order of daemons for one tenant: keepers first, then those that
// stand in for them. Daemons that are missed keep their places, so that a part
// changes hands with the fleet and not with what each daemon happens to see of it.
type ranking struct {
	daemons []Daemon
	// fleet is how many daemons there are, and unreached how many of them may be behind a
	// cut.
	fleet, unreached int
	// reach is how much of a part this daemon grants, by how many reach it.
	reach   float64
	isKnown bool
	at      time.Time
}

// rank returns a daemon's place, from 0, or -1.
func (r ranking) rank(name string) int {
	return slices.IndexFunc(r.daemons, func(daemon Daemon) bool { return daemon.Name == name })
}

// rankings are the orders by tenant, worked out anew now and then. mutex guards
// byTenant and pool.
type rankings struct {
	fleet Fleet

	mutex    sync.Mutex
	byTenant map[string]ranking
	pool     ranking
	reached  reached
	// changed is told when the share that this daemon grants is another than before by
	// toldChange or more, at most once a look.
	changed func(before, after ranking)
	told    ranking
}

func newRankings(fleet Fleet) *rankings {
	return &rankings{fleet: fleet, byTenant: map[string]ranking{}, reached: newReached(), changed: func(ranking, ranking) {}, told: ranking{reach: wholeReach}}
}

// of returns the order of daemons for a tenant.
func (r *rankings) of(name string, now time.Time) ranking {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.refresh(now)
	found, isFresh := r.byTenant[name]
	if !isFresh {
		found = r.pool
		found.daemons = pick(name, r.pool.daemons, mostParts+standIns)
		r.byTenant[name] = found
	}
	return found
}

// refresh looks at the fleet if the last look is old. mutex must be held.
func (r *rankings) refresh(now time.Time) {
	if now.Sub(r.pool.at) < rankingAge && r.pool.isKnown {
		return
	}
	r.pool = r.look(now)
	clear(r.byTenant)
}

// watch looks at the fleet though nobody asks.
func (r *rankings) watch(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.refresh(now)
}

// wholeReach is the part of its parts of limits that a daemon grants which reaches the
// whole fleet.
const wholeReach = 1.0

// look works out the pool by what is seen now. mutex must be held.
func (r *rankings) look(now time.Time) ranking {
	seen := r.fleet.View()
	all := slices.Concat(seen.Daemons, seen.Missing)
	r.reached.miss(seen.Missing, now)
	unreached := r.reached.without(all, now)
	looked := ranking{
		daemons: pick(poolKey, all, keeperPool), fleet: len(all), unreached: unreached,
		reach: grantedBy(1 - float64(unreached)/float64(max(len(all), 1))), isKnown: seen.IsKnown, at: now,
	}
	isWholeAgain := looked.reach == wholeReach && r.told.reach != wholeReach
	if math.Abs(looked.reach-r.told.reach) >= toldChange || isWholeAgain {
		r.changed(r.told, looked)
		r.told = looked
	}
	return looked
}

// heard notes that a daemon asked this one.
func (r *rankings) heard(name string, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.reached.heardAt[name] = now
}

// pick returns the daemons with the highest weights for a key, the highest
// first.
func pick(key string, daemons []Daemon, count int) []Daemon {
	if key == poolKey && len(daemons) <= count {
		return daemons // their order does not matter
	}
	names := make([]string, 0, len(daemons))
	byName := make(map[string]Daemon, len(daemons))
	for _, daemon := range daemons {
		names = append(names, daemon.Name)
		byName[daemon.Name] = daemon
	}
	picked := make([]Daemon, 0, count)
	for _, name := range duty.Owners(key, names, count) {
		picked = append(picked, byName[name])
	}
	return picked
}
