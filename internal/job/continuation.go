package job

import (
	"time"

	"topazpulley/internal/backend"
	"topazpulley/internal/routing"
	"topazpulley/internal/streamorigin"
)

// continuation is what happens to an item that has events and waits for a backend.
type continuation uint8

const (
	// continueAtSoftware sends the item to a backend with the software version that began it.
	continueAtSoftware continuation = iota
	// awaitSoftware waits until such a backend has a free slot.
	awaitSoftware
	// startOver discards the item's events, so that any backend will do.
	startOver
)

// begunItem is an item that has events.
type begunItem struct {
	// software is the software version that began the item; empty if unknown, or if the item
	// began at another service than it is sent to.
	software string
	// redoTime is how long the item took to produce its events.
	redoTime time.Duration
	// waited is how long it has waited for a backend with its software version.
	waited time.Duration
}

// continuationOf decides what happens to an item, given the candidates of its service and the
// number of backends with its software version that take new work or may come back. The item
// waits for at most as long as producing its events again would take: whenever the next slot
// becomes free, that costs at most twice the time of the better choice.
func continuationOf(begun begunItem, candidates []routing.Candidate, serving int) continuation {
	if begun.software == "" || serving == 0 {
		return startOver
	}
	for _, each := range routing.WithSoftware(candidates, begun.software) {
		if freeBatchSlots(each) > 0 {
			return continueAtSoftware
		}
	}
	if begun.waited < begun.redoTime {
		return awaitSoftware
	}
	return startOver
}

// backendsFor returns the candidates that an item may be sent to, and whether they are restricted
// to the software version that began it.
func (s *Service) backendsFor(waiting *ownedItem, service string, candidates []routing.Candidate, now time.Time) (allowed []routing.Candidate, isRestricted bool) {
	if waiting.progress.lastID() == 0 {
		return candidates, false
	}
	begun := s.begun(waiting, service, now)
	usable := s.backends.CountSoftware(service, begun.software) + s.backends.CountReturning(service, begun.software, now)
	if continuationOf(begun, candidates, usable) == startOver {
		return candidates, false
	}
	return routing.WithSoftware(candidates, begun.software), true
}

// begun returns what is known of an item that has events and waits for a service. Items of an
// earlier owner have no run time here; half of a usual one is assumed.
func (s *Service) begun(waiting *ownedItem, service string, now time.Time) begunItem {
	s.mutex.Lock()
	redoTime := s.itemTimes.expected() / 2
	s.mutex.Unlock()
	waiting.owner.mutex.Lock()
	defer waiting.owner.mutex.Unlock()
	if waiting.waitingSince.IsZero() {
		waiting.waitingSince = now
	}
	if waiting.ranFor > 0 {
		redoTime = waiting.ranFor
	}
	began := waiting.progress.origin()
	if began.Service != service {
		began.Software = ""
	}
	return begunItem{software: began.Software, redoTime: redoTime, waited: now.Sub(waiting.waitingSince)}
}

// originAt returns the origin of what a backend sends.
func originAt(instance backend.Instance) streamorigin.Origin {
	return streamorigin.Origin{Service: instance.Service, Software: instance.Version}
}

// presentOrigin returns the origin of what a backend that was chosen earlier sends. Its software
// version is unknown if it is listed with another one by now.
func (s *Service) presentOrigin(chosen backend.Instance) streamorigin.Origin {
	return streamorigin.Origin{Service: chosen.Service, Software: s.backends.PresentSoftware(chosen)}
}

// startOver discards the events of an item that nothing can follow: it is about to be sent to a backend
// of another service or software version, its last event may be the last of all, or its text is too long.
func (s *Service) startOver(waiting *ownedItem, backendID string, at streamorigin.Origin) {
	began, lost := waiting.progress.origin(), waiting.progress.reset()
	waiting.owner.mutex.Lock()
	waited := time.Since(waiting.waitingSince)
	waiting.ranFor = 0
	waiting.owner.mutex.Unlock()
	s.metrics.Items.WithLabelValues("started_over").Inc()
	s.log.Info("item_started_over", "job", waiting.owner.job.ID, "item", waiting.item.ID, "backend", backendID, "service", at.Service, "software", at.Software,
		"began_service", began.Service, "began_software", began.Software, "events_lost", lost, "waited_ms", waited.Milliseconds())
}

// losesEvents reports whether an item that is preempted would have to start over: no other
// backend has the software version that began it.
func (s *Service) losesEvents(running *ownedItem) bool {
	if running.progress.lastID() == 0 {
		return false
	}
	instance, isListed := s.backends.Get(running.backend)
	return isListed && s.backends.CountSoftware(instance.Service, running.progress.origin().Software) <= 1
}
