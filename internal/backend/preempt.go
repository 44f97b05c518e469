package backend

// maxQueuedPreemptions limits the preemptions that wait to be sent or carried out. Further
// ones are dropped: the item's owner then preempts it when it observes the overload.
const maxQueuedPreemptions = 64

// Preempt requests that one batch item at a backend be preempted, because an online request
// waits there. If this daemon has an item there, its own batch work preempts it.
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

// Preemptions delivers the ids of backends at which another daemon should preempt an item.
func (s *Set) Preemptions() <-chan string { return s.preemptions }

// PreemptOwn requests that this daemon's batch work preempt one of its items at a backend.
func (s *Set) PreemptOwn(id string) { offer(s.ownPreemptions, id) }

// OwnPreemptions delivers the ids of backends at which this daemon should preempt an item.
func (s *Set) OwnPreemptions() <-chan string { return s.ownPreemptions }

// HasBatch reports whether an item of this daemon runs at a backend.
func (s *Set) HasBatch(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known, exists := s.states[id]
	return exists && known.batch > 0
}

// PeerBatch returns the number of other daemons' batch items at a backend, by daemon.
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
