package backend

import (
	"time"

	"topazpulley/internal/slotqueue"
)

// serviceQueue holds this daemon's queued online requests of one service. Set.mutex guards it.
type serviceQueue struct {
	// onTimeUntil is, by queued request, the latest time at which it is still on time.
	onTimeUntil map[*WaitingRequest]time.Time
	// freed counts the slots freed by requests and items of this daemon.
	freed           slotqueue.Rate
	firstOutputTime slotqueue.FirstOutputTime
}

// WaitingRequest is an online request that waits for a slot.
type WaitingRequest struct {
	set     *Set
	service string
}

// queueOf returns the queue of a service and creates it if necessary. mutex must be held.
func (s *Set) queueOf(service string) *serviceQueue {
	known, exists := s.queues[service]
	if !exists {
		known = &serviceQueue{onTimeUntil: map[*WaitingRequest]time.Time{}}
		s.queues[service] = known
	}
	return known
}

// TrackWaiting counts an online request that waits for a slot of a service, until Done. The
// request is on time until onTimeUntil, then overdue.
func (s *Set) TrackWaiting(service string, onTimeUntil time.Time) *WaitingRequest {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	request := &WaitingRequest{set: s, service: service}
	s.queueOf(service).onTimeUntil[request] = onTimeUntil
	return request
}

// Done stops counting the request.
func (w *WaitingRequest) Done() {
	w.set.mutex.Lock()
	defer w.set.mutex.Unlock()
	delete(w.set.queueOf(w.service).onTimeUntil, w)
}

// stats returns this daemon's queue stats. mutex must be held.
func (w *serviceQueue) stats(now time.Time) slotqueue.Stats {
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

// OwnQueueStats returns this daemon's queue stats by service. Services without queued
// requests and freed slots are left out.
func (s *Set) OwnQueueStats(now time.Time) map[string]slotqueue.Stats {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := map[string]slotqueue.Stats{}
	for service, known := range s.queues {
		if own := known.stats(now); own != (slotqueue.Stats{}) {
			found[service] = own
		}
	}
	return found
}

// FleetQueueStats returns a service's queue stats summed over all daemons: current ones of
// this daemon and the last reported ones of the others.
func (s *Set) FleetQueueStats(service string, now time.Time) slotqueue.Stats {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	total := s.queueOf(service).stats(now)
	for _, stats := range s.peerQueueStats {
		total = total.Plus(stats[service])
	}
	return total
}

// SetPeerQueueStats replaces another daemon's queue stats by service. A nil map removes the
// daemon.
func (s *Set) SetPeerQueueStats(peer string, stats map[string]slotqueue.Stats) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if stats == nil {
		delete(s.peerQueueStats, peer)
		return
	}
	s.peerQueueStats[peer] = stats
}

// ObserveFirstOutput adds the time of one request of a service from slot to first output.
func (s *Set) ObserveFirstOutput(service string, taken time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.queueOf(service).firstOutputTime.Add(taken)
}

// FirstOutputTime returns the first output time to reserve for a request of a service within
// an objective.
func (s *Set) FirstOutputTime(service string, objective time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.queueOf(service).firstOutputTime.Within(objective)
}
