package backend

import (
	"time"

	"topazpulley/internal/waiting"
)

// serviceWait is what waits for places of one service, here and elsewhere. Set.mutex
// guards it.
type serviceWait struct {
	// inTimeUntil is, by online request that waits here, until when it can be in time.
	inTimeUntil map[*OnlineWait]time.Time
	// freed counts the places that requests and items of this daemon freed.
	freed waiting.Rate
	lead  waiting.Lead
}

// OnlineWait is one online request that waits for a place.
type OnlineWait struct {
	set     *Set
	service string
}

// wait returns what waits for a service.
func (s *Set) wait(service string) *serviceWait {
	known, exists := s.waits[service]
	if !exists {
		known = &serviceWait{inTimeUntil: map[*OnlineWait]time.Time{}}
		s.waits[service] = known
	}
	return known
}

// Await counts an online request that waits for a place of a service. It can be in time
// until a moment.
func (s *Set) Await(service string, inTimeUntil time.Time) *OnlineWait {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	made := &OnlineWait{set: s, service: service}
	s.wait(service).inTimeUntil[made] = inTimeUntil
	return made
}

// Leave ends the count.
func (w *OnlineWait) Leave() {
	w.set.mutex.Lock()
	defer w.set.mutex.Unlock()
	delete(w.set.wait(w.service).inTimeUntil, w)
}

// sums are this daemon's own.
func (w *serviceWait) sums(now time.Time) waiting.Sums {
	found := waiting.Sums{Freed: w.freed.Count(now)}
	for _, until := range w.inTimeUntil {
		if now.Before(until) {
			found.InTime++
			continue
		}
		found.Late++
	}
	return found
}

// OwnSums returns by service what waits at this daemon, without services for which
// nothing waits and no place came free.
func (s *Set) OwnSums(now time.Time) map[string]waiting.Sums {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := map[string]waiting.Sums{}
	for service, known := range s.waits {
		if own := known.sums(now); own != (waiting.Sums{}) {
			found[service] = own
		}
	}
	return found
}

// FleetSums returns what waits for a service at all daemons: here now, elsewhere as it
// was last told.
func (s *Set) FleetSums(service string, now time.Time) waiting.Sums {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	total := s.wait(service).sums(now)
	for _, told := range s.sumsElsewhere {
		total = total.Add(told[service])
	}
	return total
}

// SetPeerSums replaces what waits at another daemon, by service. A nil map forgets the
// daemon.
func (s *Set) SetPeerSums(peer string, told map[string]waiting.Sums) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if told == nil {
		delete(s.sumsElsewhere, peer)
		return
	}
	s.sumsElsewhere[peer] = told
}

// Answered learns how long an answer of a service took from its place to the first
// output.
func (s *Set) Answered(service string, taken time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.wait(service).lead.Add(taken)
}

// Lead returns the time to be kept for an answer of a service within an objective.
func (s *Set) Lead(service string, objective time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.wait(service).lead.Within(objective)
}
