package backend

import "time"

// missingEntry is the entry of a backend that went while the backend is used on.
type missingEntry struct {
	// since is when this daemon heard of it.
	since time.Time
	// isOver reports whether the backend must get no new work any more.
	isOver func() bool
}

// MarkMissing records that a backend's entry went and that the backend gets new work until isOver
// reports true. The next entry ends that. isOver is called with the set locked and must not call it.
func (s *Set) MarkMissing(id string, now time.Time, isOver func() bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if known, exists := s.states[id]; exists && known.missing == nil {
		known.missing = &missingEntry{since: now, isOver: isOver}
	}
}

// RemoveLapsed removes a backend that is used without an entry, if the time for that is over. It returns
// false if the entry is back.
func (s *Set) RemoveLapsed(id string) (Instance, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known, exists := s.states[id]
	if !exists || known.missing == nil || !known.missing.isOver() {
		return Instance{}, false
	}
	s.dropUnused(id)
	s.lapse(id)
	return known.Instance, true
}

// isLeaving reports whether the backend has said or shown that it leaves, or its zone is evacuated.
// mutex must be held.
func (s *Set) isLeaving(known *state) bool {
	return known.Draining || s.admission.evacuated[known.Zone] || (known.missing != nil && known.missing.isOver())
}

// IsLeaving reports whether an incarnation must get no new work because it leaves or has left.
func (s *Set) IsLeaving(incarnation Incarnation) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.current(incarnation)
	return known == nil || s.isLeaving(known)
}

// SetListAge sets the function that returns for how long the list of backends may have been out of
// date. It must be called before the set is used.
func (s *Set) SetListAge(listAge func() time.Duration) { s.listAge = listAge }

// Evidence is what a daemon knows about the entry of a backend, for the log line of a request.
type Evidence struct {
	// ListAge is for how long the list of backends may have been out of date.
	ListAge time.Duration
	// MissingFor is how long ago this daemon heard that the entry went; 0 if there is one.
	MissingFor time.Duration
}

// EvidenceOf returns what is known about the entry of an incarnation.
func (s *Set) EvidenceOf(incarnation Incarnation, now time.Time) Evidence {
	found := Evidence{ListAge: s.listAge()}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if known := s.current(incarnation); known != nil && known.missing != nil {
		found.MissingFor = now.Sub(known.missing.since)
	}
	return found
}
