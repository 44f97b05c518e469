package backend

import (
	"sync"
	"time"

	"topazpulley/internal/routing"
)

// Lease counts one request at a backend from dispatch until Release. It is safe for
// concurrent use.
type Lease struct {
	set      *Set
	state    *state
	class    Class
	pending  int
	mutex    sync.Mutex
	started  bool
	released bool
}

// Acquire counts a request at the current incarnation of a backend. It returns false if
// the backend was removed or must get no new work.
func (s *Set) Acquire(id string, class Class, prompt []routing.PromptPart) (*Lease, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known, exists := s.states[id]
	if !exists {
		return nil, false
	}
	return s.acquireOpen(known, class, prompt)
}

// AcquireIncarnation is Acquire for a request with a reservation at one incarnation. It
// returns false if that incarnation isn't current or must get no new work.
func (s *Set) AcquireIncarnation(incarnation Incarnation, class Class, prompt []routing.PromptPart) (*Lease, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.current(incarnation)
	if known == nil {
		return nil, false
	}
	return s.acquireOpen(known, class, prompt)
}

// acquireOpen counts a request unless the backend was closed since it was selected. mutex
// must be held.
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
	s.recordPrompt(known, prompt, now)
	known.pendingTokens += pending
	known.count(class, 1)
	isOverloaded := class == Online && known.isOverloaded()
	if pending >= largePromptTokens || isOverloaded {
		signal(s.publishSignal)
	}
	if isOverloaded && known.batch > 0 {
		signal(s.overloaded)
	}
	return &Lease{set: s, state: known, class: class, pending: pending}
}

// signal wakes a receiver. Signals sent before it receives are merged into one.
func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// isOverloaded reports whether online requests wait for batch items at the backend.
func (k *state) isOverloaded() bool {
	online, batch, _ := k.load()
	return batch > 0 && online > 0 && online+batch > k.Slots
}

// Overloaded is signalled when online requests may wait for this daemon's batch items.
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

// Started records the first output: the prompt has been read.
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

// hasStarted reports whether output was received, so the request had a slot. A request
// that the backend refused or didn't answer frees no slot.
func (l *Lease) hasStarted() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.started
}

// Release stops counting the request. Further calls do nothing.
func (l *Lease) Release() {
	hadSlot := l.hasStarted()
	l.Started()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.released {
		return
	}
	l.released = true
	l.set.mutex.Lock()
	defer l.set.mutex.Unlock()
	wasOverloaded := l.state.isOverloaded()
	l.state.count(l.class, -1)
	if hadSlot {
		l.set.queueOf(l.state.Service).freed.Add(time.Now())
	}
	if l.class == Batch && wasOverloaded {
		// Publish at once, so that no other daemon preempts a second item.
		signal(l.set.publishSignal)
	}
}

// RecordReport records the load reported by an incarnation of a backend.
func (s *Set) RecordReport(incarnation Incarnation, report Report, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.current(incarnation)
	if known == nil {
		return
	}
	known.report, known.reportedAt = report, now
}

// OwnLoads returns this daemon's work in flight by backend. Backends without work are
// left out.
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

// SetPeerLoads replaces another daemon's work in flight and the number of its batch items
// that wait for a backend. A nil map removes the daemon. Work at an incarnation that isn't
// current is ignored: either that incarnation has ended, or discovery will list it here
// soon.
func (s *Set) SetPeerLoads(peer string, loads map[string]PeerLoad, waiting int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.peerWaiting[peer] = waiting
	s.hasPeerReports = s.hasPeerReports || loads != nil
	if loads == nil {
		delete(s.peerWaiting, peer)
	}
	for id, known := range s.states {
		load, isReported := loads[id]
		if !isReported || load.StartMillis != known.StartMillis {
			delete(known.peers, peer)
			continue
		}
		known.peers[peer] = load
		if known.batch > 0 && known.isOverloaded() {
			signal(s.overloaded)
		}
	}
}

// HasPeerReports reports whether any other daemon ever reported its load.
func (s *Set) HasPeerReports() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.hasPeerReports
}

// SetOwnWaiting sets the number of this daemon's batch items that wait for a backend.
func (s *Set) SetOwnWaiting(count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.waiting = count
}

// OwnWaiting returns the number of this daemon's batch items that wait for a backend.
func (s *Set) OwnWaiting() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.waiting
}

// PeerWaiting returns the number of other daemons' batch items that wait for a backend.
func (s *Set) PeerWaiting() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	total := 0
	for _, count := range s.peerWaiting {
		total += count
	}
	return max(total, 0)
}

// SetPropagation sets the time until other daemons learn of a change here.
func (s *Set) SetPropagation(delay time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.propagation = delay
}

// Propagation returns the time until other daemons learn of a change here.
func (s *Set) Propagation() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.propagation
}
