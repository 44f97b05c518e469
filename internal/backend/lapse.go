package backend

import (
	"maps"
	"time"
)

// maxLapse is how long the state of a removed backend is kept. The entry of a sound backend lapses
// after a silence of three heartbeats or while the store is down, and comes back.
const maxLapse = 30 * time.Second

// maxReturn is the time in which the entry of a sound backend that fell silent for a moment is
// back.
const maxReturn = 5 * time.Second

// lapsedStates holds the states of backends whose entries went lately. If the same process is
// listed again, its state goes on: its requests ran all the time, and their leases count there.
// Set.mutex guards it.
type lapsedStates struct {
	byID map[string]lapsedState
}

// lapsedState is the state of a backend whose entry went.
type lapsedState struct {
	*state
	since time.Time
}

func newLapsedStates() lapsedStates { return lapsedStates{byID: map[string]lapsedState{}} }

// keep keeps the state of a backend whose entry went.
func (l *lapsedStates) keep(gone *state, now time.Time) {
	maps.DeleteFunc(l.byID, func(_ string, each lapsedState) bool { return now.Sub(each.since) >= maxLapse })
	l.byID[gone.ID] = lapsedState{state: gone, since: now}
}

// take returns the state of the process that an entry describes, or a new one. The loads of other
// daemons are left out, as those that left meanwhile would count forever; they are reported again.
func (l *lapsedStates) take(entry Instance, now time.Time) *state {
	kept, isKept := l.byID[entry.ID]
	delete(l.byID, entry.ID)
	if !isKept || now.Sub(kept.since) >= maxLapse || !isSameProcess(kept.Instance, entry) {
		return &state{Instance: entry, peers: map[string]PeerLoad{}, prompts: newPromptCache(maxPromptParts)}
	}
	kept.Instance, kept.peers, kept.missing = entry, map[string]PeerLoad{}, nil
	return kept.state
}

// forget drops the state of an incarnation whose entry went.
func (l *lapsedStates) forget(ended Incarnation) {
	if kept, isKept := l.byID[ended.ID]; isKept && kept.StartMillis == ended.StartMillis {
		delete(l.byID, ended.ID)
	}
}

// isSameProcess reports whether an entry describes the process that was listed before. Without
// start times, a process that is colder than before is another one, or has lost its cache.
func isSameProcess(before, entry Instance) bool {
	isSame := before.StartMillis == entry.StartMillis && before.Address == entry.Address && before.Service == entry.Service && before.Version == entry.Version
	return isSame && (entry.StartMillis > 0 || entry.ColdFor <= before.ColdFor)
}

// CountReturning returns the number of a service's backends with a software version whose entries
// went a moment ago and may come back. Those that said that they leave do not count.
func (s *Set) CountReturning(service, version string, now time.Time) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for _, kept := range s.lapsed.byID {
		if kept.Service == service && kept.Version == version && !kept.Draining && now.Sub(kept.since) < maxReturn {
			count++
		}
	}
	return count
}
