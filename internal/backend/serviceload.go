package backend

import "time"

// ServiceLoad is the work of all daemons in the slots of a service's backends that take
// work.
type ServiceLoad struct {
	Backends int
	Slots    int
	Online   int
	Batch    int
}

// ServiceLoad sums the load of a service, without backends that leave, whose zone is
// evacuated or that failed lately. What waits at a backend beyond its slots takes no other's room and is left out.
func (s *Set) ServiceLoad(service string, now time.Time) ServiceLoad {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	total := ServiceLoad{}
	for _, known := range s.byService[service] {
		if known.Draining || s.closing.evacuated[known.Zone] || now.Before(known.ejectedUntil) {
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

// OwnBatch is how many batch items of this daemon run at a service's backends.
func (s *Set) OwnBatch(service string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	total := 0
	for _, known := range s.byService[service] {
		total += known.batch
	}
	return total
}
