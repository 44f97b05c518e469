package backend

import (
	"maps"
	"time"

	"topazpulley/internal/warmup"
)

// ColdShare returns how many requests this daemon may send in a turn to a cold backend that
// bears so many a second.
type ColdShare func(life Incarnation, perSecond float64, turn warmup.Window) int

// closing is what keeps new work from backends that discovery lists as usable: orders of
// the operator for their zones, and the little that cold ones bear. Set.mutex guards it.
type closing struct {
	// evacuated are the zones whose backends get nothing new, and reopened is when
	// others were given back. Their backends may be cold, and entries that say so come
	// by another way than the order.
	evacuated map[string]bool
	reopened  map[string]time.Time
	// coldRates are the requests a second that a cold backend bears, by service; none
	// means any number.
	coldRates func(service string) float64
	coldShare ColdShare
}

// reopenedTime is how long backends of a zone that was given back count as cold whatever
// is known of them: the entry of one that has turned cold is listed within a second.
const reopenedTime = time.Second

func newClosing() closing {
	return closing{
		evacuated: map[string]bool{}, reopened: map[string]time.Time{},
		coldRates: func(string) float64 { return 0 },
		coldShare: func(Incarnation, float64, warmup.Window) int { return 1 },
	}
}

// coldAllowance counts the requests that this daemon sent to a cold backend in a turn.
type coldAllowance struct {
	window warmup.Window
	limit  int
	sent   int
}

// SetEvacuated replaces the zones whose backends get no new work, and reports which zones
// are evacuated now that were not before, and which were given back.
func (s *Set) SetEvacuated(zones map[string]bool, now time.Time) (evacuated, reopened []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for zone := range zones {
		if !s.closing.evacuated[zone] {
			evacuated = append(evacuated, zone)
		}
		delete(s.closing.reopened, zone)
	}
	for zone := range s.closing.evacuated {
		if !zones[zone] {
			reopened = append(reopened, zone)
			s.closing.reopened[zone] = now
		}
	}
	s.closing.evacuated = maps.Clone(zones)
	return evacuated, reopened
}

// SetColdLimits sets how many requests a second cold backends of a service bear, 0 for any
// number, and this daemon's part of them. It must be called before the set is used.
func (s *Set) SetColdLimits(coldRates func(service string) float64, pacer ColdShare) {
	s.closing.coldRates, s.closing.coldShare = coldRates, pacer
}

// IsEvacuated reports whether a service has backends, all of them in evacuated zones.
func (s *Set) IsEvacuated(service string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, known := range s.byService[service] {
		if !s.closing.evacuated[known.Zone] {
			return false
		}
	}
	return len(s.byService[service]) > 0
}

// isClosed reports whether the backend may get no new work now. mutex must be held.
func (s *Set) isClosed(known *state, now time.Time) bool {
	return known.Draining || s.closing.evacuated[known.Zone] || !s.hasColdAllowance(known, now)
}

// isCold reports whether the backend bears only what its service's cold ones do.
func (s *Set) isCold(known *state, now time.Time) bool {
	reopened, wasEvacuated := s.closing.reopened[known.Zone]
	return now.Before(known.coldUntil) || (wasEvacuated && now.Sub(reopened) < reopenedTime)
}

// hasColdAllowance reports whether this daemon may send the backend one more request now. Cold
// backends bear few requests a second from all daemons together. mutex must be held.
func (s *Set) hasColdAllowance(known *state, now time.Time) bool {
	if !s.isCold(known, now) {
		return true
	}
	perSecond := s.closing.coldRates(known.Service)
	if perSecond <= 0 {
		return true
	}
	turn := warmup.WindowAt(now)
	if known.coldAllowance.window != turn {
		known.coldAllowance = coldAllowance{window: turn, limit: s.closing.coldShare(known.Incarnation(), perSecond, turn)}
	}
	return known.coldAllowance.sent < known.coldAllowance.limit
}

// useColdAllowance counts a request that is sent to the backend. mutex must be held.
func (s *Set) useColdAllowance(known *state, now time.Time) {
	if known.coldAllowance.window == warmup.WindowAt(now) {
		known.coldAllowance.sent++
	}
}
