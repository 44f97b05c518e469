package backend

import "time"

// MarkMissing records that a backend's entry went and that the backend is used on. The next entry
// ends that.
func (s *Set) MarkMissing(id string, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if known, exists := s.states[id]; exists && known.missingSince.IsZero() {
		known.missingSince = now
	}
}

// SetListAge sets the function that returns for how long the list of backends may have been out of
// date. It must be called before the set is used.
func (s *Set) SetListAge(listAge func() time.Duration) { s.listAge = listAge }

// maxShownListAge is logged for greater ages, and for that of a list that was never confirmed.
const maxShownListAge = time.Hour

// Evidence is what a daemon knows about the entry of a backend, for the log line of a request.
type Evidence struct {
	// ListAge is for how long the list of backends may have been out of date.
	ListAge time.Duration
	// MissingFor is how long ago this daemon heard that the entry went; 0 if there is one.
	MissingFor time.Duration
}

// EvidenceOf returns what is known about the entry of an incarnation.
func (s *Set) EvidenceOf(incarnation Incarnation, now time.Time) Evidence {
	found := Evidence{ListAge: min(s.listAge(), maxShownListAge)}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if known := s.current(incarnation); known != nil && !known.missingSince.IsZero() {
		found.MissingFor = now.Sub(known.missingSince)
	}
	return found
}
