package backend

import "time"

// ServiceLoad is the work of all daemons in the slots of a service's usable backends.
type ServiceLoad struct {
	Backends int
	Slots    int
	Online   int
	Batch    int
}

// ServiceLoad sums the load of a service's backends. Backends that are leaving, evacuated
// or ejected are left out, and so are requests beyond a backend's slots.
func (s *Set) ServiceLoad(service string, now time.Time) ServiceLoad {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	total := ServiceLoad{}
	for _, known := range s.byService[service] {
		if !s.isUsable(known, now) {
			continue
		}
		online, batch, _ := known.load()
		total.Backends++
		total.Slots += known.Slots
		online = min(online, known.Slots)
		total.Online += online
		total.Batch += min(batch, known.Slots-online)
	}
	return total
}

// isUsable reports whether a backend is neither leaving, evacuated nor ejected. mutex must be
// held.
func (s *Set) isUsable(known *state, now time.Time) bool {
	return !s.isLeaving(known) && !now.Before(known.ejectedUntil)
}

// Usable returns a service's backends that are neither leaving, evacuated nor ejected.
func (s *Set) Usable(service string, now time.Time) []Incarnation {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := []Incarnation{}
	for _, known := range s.byService[service] {
		if s.isUsable(known, now) {
			found = append(found, known.Incarnation())
		}
	}
	return found
}

// OwnBatch returns the number of this daemon's batch items that run at a service's backends.
func (s *Set) OwnBatch(service string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	total := 0
	for _, known := range s.byService[service] {
		total += known.batch
	}
	return total
}

// InFlight returns the number of this daemon's requests and items at a service's backends, and that
// of the other daemons together.
func (s *Set) InFlight(service string) (own, peers int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, known := range s.byService[service] {
		own += known.online + known.batch
		for _, peer := range known.peers {
			peers += peer.Online + peer.Batch
		}
	}
	return own, peers
}
