package backend

import (
	"time"

	"topazpulley/internal/slotqueue"
)

// serviceWait is what waits for places of one service, here and elsewhere. Set.mutex
// guards it.
type serviceWait struct {
	// onTimeUntil is, by online request that waits here, until when it can be in time.
	onTimeUntil map[*WaitingRequest]time.Time
	// freed counts the places that requests and items of this daemon freed.
	freed           slotqueue.Rate
	firstOutputTime slotqueue.FirstOutputTime
}

// WaitingRequest is one online request that waits for a place.
type WaitingRequest struct {
	set     *Set
	service string
}

// wait returns what waits for a service.
func (s *Set) wait(service string) *serviceWait {
	known, exists := s.waits[service]
	if !exists {
		known = &serviceWait{onTimeUntil: map[*WaitingRequest]time.Time{}}
		s.waits[service] = known
	}
	return known
}

// TrackWaiting counts an online request that waits for a place of a service. It can be in time
// until a moment.
func (s *Set) TrackWaiting(service string, inTimeUntil time.Time) *WaitingRequest {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	made := &WaitingRequest{set: s, service: service}
	s.wait(service).onTimeUntil[made] = inTimeUntil
	return made
}

// Done ends the count.
func (w *WaitingRequest) Done() {
	w.set.mutex.Lock()
	defer w.set.mutex.Unlock()
	delete(w.set.wait(w.service).onTimeUntil, w)
}

// stats are this daemon's own.
func (w *serviceWait) stats(now time.Time) slotqueue.Stats {
	found := slotqueue.Stats{FreedSlots: w.freed.Count(now)}
	for _, until := range w.onTimeUntil {
		if now.Before(until) {
			found.OnTime++
			continue
		}
		found.Overdue++
	}
	return found
}

// OwnQueueStats returns by service what waits at this daemon, without services for which
// nothing waits and no place came free.
func (s *Set) OwnQueueStats(now time.Time) map[string]slotqueue.Stats {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := map[string]slotqueue.Stats{}
	for service, known := range s.waits {
		if own := known.stats(now); own != (slotqueue.Stats{}) {
			found[service] = own
		}
	}
	return found
}

// FleetQueueStats returns what waits for a service at all daemons: here now, elsewhere as it
// was last told.
func (s *Set) FleetQueueStats(service string, now time.Time) slotqueue.Stats {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	total := s.wait(service).stats(now)
	for _, told := range s.peerQueueStats {
		total = total.Plus(told[service])
	}
	return total
}

// SetPeerQueueStats replaces what waits at another daemon, by service. A nil map forgets the
// daemon.
func (s *Set) SetPeerQueueStats(peer string, told map[string]slotqueue.Stats) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if told == nil {
		delete(s.peerQueueStats, peer)
		return
	}
	s.peerQueueStats[peer] = told
}

// ObserveFirstOutput learns how long an answer of a service took from its place to the first
// output.
func (s *Set) ObserveFirstOutput(service string, taken time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.wait(service).firstOutputTime.Add(taken)
}

// FirstOutputTime returns the time to be kept for an answer of a service within an objective.
func (s *Set) FirstOutputTime(service string, objective time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.wait(service).firstOutputTime.Within(objective)
}
