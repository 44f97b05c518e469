package backend

import (
	"sync"
	"time"

	"topazpulley/internal/routing"
)

// Lease counts one request at a backend from dispatch to end. Its methods are
// safe for concurrent use.
type Lease struct {
	set      *Set
	state    *state
	class    Class
	pending  int
	mutex    sync.Mutex
	started  bool
	released bool
}

// Acquire counts a request at the present life of a backend. It reports false when
// the backend is gone meanwhile, or gets no new work now.
func (s *Set) Acquire(id string, class Class, prompt []routing.PromptPart) (*Lease, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known, exists := s.states[id]
	if !exists {
		return nil, false
	}
	return s.acquireOpen(known, class, prompt)
}

// AcquireIncarnation is Acquire for a request that is bound to one life of a backend, by a
// place that was set aside there. It reports false when that life has ended,
// or gets no new work now.
func (s *Set) AcquireIncarnation(life Incarnation, class Class, prompt []routing.PromptPart) (*Lease, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.current(life)
	if known == nil {
		return nil, false
	}
	return s.acquireOpen(known, class, prompt)
}

// acquireOpen counts a request, unless its backend gets no new work since it was chosen.
// mutex must be held.
func (s *Set) acquireOpen(known *state, class Class, prompt []routing.PromptPart) (*Lease, bool) {
	now := time.Now()
	if s.isClosed(known, now) {
		return nil, false
	}
	s.useColdAllowance(known, now)
	return s.acquire(known, class, prompt, now), true
}

// acquire counts a request. mutex must be held.
func (s *Set) acquire(known *state, class Class, prompt []routing.PromptPart, now time.Time) *Lease {
	pending := known.prompts.uncached(prompt, now)
	s.notePrompt(known, prompt, now)
	known.pendingTokens += pending
	known.count(class, 1)
	isCrowded := class == Online && known.isOverloaded()
	if pending >= urgentTokens || isCrowded {
		signal(s.publishSignal)
	}
	if isCrowded && known.batch > 0 {
		signal(s.overloaded)
	}
	return &Lease{set: s, state: known, class: class, pending: pending}
}

// signal wakes a receiver, once for all that happens until it looks.
func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// isOverloaded reports whether online requests wait for items at the backend.
func (k *state) isOverloaded() bool {
	online, batch, _ := k.load()
	return batch > 0 && online > 0 && online+batch > k.Slots
}

// Overloaded is signalled when online requests may wait for this daemon's items.
func (s *Set) Overloaded() <-chan struct{} { return s.overloaded }

func (k *state) count(class Class, change int) {
	if class == Batch {
		k.batch += change
		return
	}
	k.online += change
}

// Instance returns the backend.
func (l *Lease) Instance() Instance {
	l.set.mutex.Lock()
	defer l.set.mutex.Unlock()
	return l.state.Instance
}

// Started tells that the request's first output came: its prompt is read.
func (l *Lease) Started() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.started {
		return
	}
	l.started = true
	l.set.mutex.Lock()
	defer l.set.mutex.Unlock()
	l.state.pendingTokens -= l.pending
}

// hasStarted reports whether output came: the request had a place. One that the backend
// had no place for, or that it did not answer, frees none.
func (l *Lease) hasStarted() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.started
}

// Release ends the count.
func (l *Lease) Release() {
	hadPlace := l.hasStarted()
	l.Started()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.released {
		return
	}
	l.released = true
	l.set.mutex.Lock()
	defer l.set.mutex.Unlock()
	wasCrowded := l.state.isOverloaded()
	l.state.count(l.class, -1)
	if hadPlace {
		l.set.wait(l.state.Service).freed.Add(time.Now())
	}
	if l.class == Batch && wasCrowded {
		// Others should not give way a second time.
		signal(l.set.publishSignal)
	}
}

// RecordReport records the load that a life of a backend told.
func (s *Set) RecordReport(life Incarnation, report Report, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.current(life)
	if known == nil {
		return
	}
	known.report, known.reportedAt = report, now
}

// OwnLoads returns this daemon's work in flight by backend, without those
// that have none.
func (s *Set) OwnLoads() map[string]PeerLoad {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	loads := map[string]PeerLoad{}
	for id, known := range s.states {
		own := PeerLoad{StartMillis: known.StartMillis, Online: known.online, Batch: known.batch, PendingTokens: known.pendingTokens}
		if !own.IsIdle() {
			loads[id] = own
		}
	}
	return loads
}

// SetPeerLoads replaces what another daemon has in flight and how many batch
// items wait there. A nil map forgets the daemon. Work at another life of a backend
// than the present one does not count: it ended with that life, or the daemon that
// tells it knows of a later one, and this one will too.
func (s *Set) SetPeerLoads(peer string, loads map[string]PeerLoad, waiting int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.peerWaiting[peer] = waiting
	s.hasPeerReports = s.hasPeerReports || loads != nil
	if loads == nil {
		delete(s.peerWaiting, peer)
	}
	for id, known := range s.states {
		load, tells := loads[id]
		if !tells || load.StartMillis != known.StartMillis {
			delete(known.peers, peer)
			continue
		}
		known.peers[peer] = load
		if known.batch > 0 && known.isOverloaded() {
			signal(s.overloaded)
		}
	}
}

// HasPeerReports reports whether any other daemon ever told its work.
func (s *Set) HasPeerReports() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.hasPeerReports
}

// SetOwnWaiting records how many batch items of this daemon wait for a backend.
func (s *Set) SetOwnWaiting(count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.waiting = count
}

// OwnWaiting returns how many batch items of this daemon wait for a backend.
func (s *Set) OwnWaiting() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.waiting
}

// PeerWaiting returns how many batch items of other daemons wait for a
// backend.
func (s *Set) PeerWaiting() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	total := 0
	for _, count := range s.peerWaiting {
		total += count
	}
	return max(total, 0)
}

// SetPropagation records how long other daemons take to learn of a change.
func (s *Set) SetPropagation(time time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.propagation = time
}

// Propagation returns how long other daemons take to learn of a change.
func (s *Set) Propagation() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.propagation
}
