package backend

import (
	"maps"
	"time"

	"topazpulley/internal/warmup"
)

// ColdShare returns how many requests this daemon may send to a cold backend in a window.
// perSecond is the limit for all daemons together.
type ColdShare func(incarnation Incarnation, perSecond float64, window warmup.Window) int

// admission restricts new work to listed backends: evacuated zones get none, cold
// backends a limited rate. Set.mutex guards it.
type admission struct {
	// evacuated are the zones that get no new work. reopened holds when a zone's
	// evacuation ended: its backends may be cold before their entries show it.
	evacuated map[string]bool
	reopened  map[string]time.Time
	// coldRates returns the requests per second allowed at a cold backend of a service; 0
	// means no limit.
	coldRates func(service string) float64
	coldShare ColdShare
}

// reopenedTime is how long all backends of a reopened zone count as cold. By then their
// entries are up to date.
const reopenedTime = time.Second

func newAdmission() admission {
	return admission{
		evacuated: map[string]bool{}, reopened: map[string]time.Time{},
		coldRates: func(string) float64 { return 0 },
		coldShare: func(Incarnation, float64, warmup.Window) int { return 1 },
	}
}

// coldAllowance counts the requests that this daemon sent to a cold backend in a window.
type coldAllowance struct {
	window warmup.Window
	limit  int
	sent   int
}

// SetEvacuated replaces the set of evacuated zones. It returns the zones that are newly
// evacuated and those that are reopened.
func (s *Set) SetEvacuated(zones map[string]bool, now time.Time) (evacuated, reopened []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for zone := range zones {
		if !s.admission.evacuated[zone] {
			evacuated = append(evacuated, zone)
		}
		delete(s.admission.reopened, zone)
	}
	for zone := range s.admission.evacuated {
		if !zones[zone] {
			reopened = append(reopened, zone)
			s.admission.reopened[zone] = now
		}
	}
	s.admission.evacuated = maps.Clone(zones)
	return evacuated, reopened
}

// SetColdLimits sets the rate limit of cold backends by service (requests per second, 0 for
// no limit) and this daemon's share of it. It must be called before the set is used.
func (s *Set) SetColdLimits(coldRates func(service string) float64, coldShare ColdShare) {
	s.admission.coldRates, s.admission.coldShare = coldRates, coldShare
}

// IsEvacuated reports whether a service has backends and all of them are in evacuated zones.
func (s *Set) IsEvacuated(service string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, known := range s.byService[service] {
		if !s.admission.evacuated[known.Zone] {
			return false
		}
	}
	return len(s.byService[service]) > 0
}

// isClosed reports whether the backend must get no new work now. mutex must be held.
func (s *Set) isClosed(known *state, now time.Time) bool {
	return s.isLeaving(known) || !s.hasColdAllowance(known, now)
}

// isCold reports whether the backend is cold or in a zone that was just reopened. mutex must
// be held.
func (s *Set) isCold(known *state, now time.Time) bool {
	reopened, wasEvacuated := s.admission.reopened[known.Zone]
	return now.Before(known.coldUntil) || (wasEvacuated && now.Sub(reopened) < reopenedTime)
}

// hasColdAllowance reports whether this daemon may send the backend one more request in the
// current window. Warm backends are not limited. mutex must be held.
func (s *Set) hasColdAllowance(known *state, now time.Time) bool {
	if !s.isCold(known, now) {
		return true
	}
	perSecond := s.admission.coldRates(known.Service)
	if perSecond <= 0 {
		return true
	}
	window := warmup.WindowAt(now)
	if known.coldAllowance.window != window {
		known.coldAllowance = coldAllowance{window: window, limit: s.admission.coldShare(known.Incarnation(), perSecond, window)}
	}
	return known.coldAllowance.sent < known.coldAllowance.limit
}

// useColdAllowance counts a request sent to the backend. mutex must be held.
func (s *Set) useColdAllowance(known *state, now time.Time) {
	if known.coldAllowance.window == warmup.WindowAt(now) {
		known.coldAllowance.sent++
	}
}
