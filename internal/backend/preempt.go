package backend

// preemptQueue bounds the preemptions that wait to be sent or answered. One that
// does not fit is left out: the item then gives way when its owner hears of the
// crowded backend.
const preemptQueue = 64

// Preempt asks for one batch item to be taken from a backend, because an
// online request waits there. If an item of this daemon runs there, the daemon
// gives it up itself.
func (s *Set) Preempt(id string) {
	_, isKnown := s.Get(id)
	switch {
	case !isKnown:
	case s.HasBatch(id):
		s.PreemptOwn(id)
	default:
		offer(s.preemptions, id)
	}
}

// Preemptions returns the channel of the backends at which items of other
// daemons should give way.
func (s *Set) Preemptions() <-chan string { return s.preemptions }

// PreemptOwn asks this daemon's batch work to take one item back from a backend.
func (s *Set) PreemptOwn(id string) { offer(s.ownPreemptions, id) }

// OwnPreemptions returns the channel of the backends from which this daemon should
// take an item back.
func (s *Set) OwnPreemptions() <-chan string { return s.ownPreemptions }

// HasBatch reports whether an item of this daemon runs at a backend.
func (s *Set) HasBatch(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known, exists := s.states[id]
	return exists && known.batch > 0
}

// PeerBatch returns how many batch items others have at a backend, by who
// told.
func (s *Set) PeerBatch(id string) map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := map[string]int{}
	known, exists := s.states[id]
	if !exists {
		return found
	}
	for name, load := range known.peers {
		if load.Batch > 0 {
			found[name] = load.Batch
		}
	}
	return found
}

func offer(queue chan string, id string) {
	select {
	case queue <- id:
	default:
	}
}
