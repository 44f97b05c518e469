package backend

import (
	"slices"
	"time"
)

// StreamWindow is the time after a stream's first event in which its caller may resume it. A
// software version that was listed within it may have begun streams that go on.
const StreamWindow = 30 * time.Second

// softwareVersions holds the software versions of each service that were listed within
// StreamWindow. Set.mutex guards it.
type softwareVersions struct {
	byService map[string]map[string]*listedSoftware
	prunedAt  time.Time
}

// listedSoftware is a software version of a service.
type listedSoftware struct {
	// listed is the number of listed backends with this version.
	listed int
	// lastListed is when the last of them was removed.
	lastListed time.Time
}

func newSoftwareVersions() softwareVersions {
	return softwareVersions{byService: map[string]map[string]*listedSoftware{}}
}

// add counts a backend that was listed. It reports whether the service now has this version
// beside others.
func (v *softwareVersions) add(instance Instance) bool {
	versions, isKnown := v.byService[instance.Service]
	if !isKnown {
		versions = map[string]*listedSoftware{}
		v.byService[instance.Service] = versions
	}
	known, isKnown := versions[instance.Version]
	if !isKnown {
		known = &listedSoftware{}
		versions[instance.Version] = known
	}
	known.listed++
	return known.listed == 1 && len(versions) > 1
}

// remove stops counting a backend that was listed.
func (v *softwareVersions) remove(instance Instance, now time.Time) {
	if known, isKnown := v.byService[instance.Service][instance.Version]; isKnown {
		known.listed--
		known.lastListed = now
	}
	v.prune(now)
}

// pruneInterval is the minimum time between two removals of old versions.
const pruneInterval = time.Second

// prune removes versions that were last listed before StreamWindow.
func (v *softwareVersions) prune(now time.Time) {
	if now.Sub(v.prunedAt) < pruneInterval {
		return
	}
	v.prunedAt = now
	for service, versions := range v.byService {
		for version, known := range versions {
			if !known.isWithin(now) {
				delete(versions, version)
			}
		}
		if len(versions) == 0 {
			delete(v.byService, service)
		}
	}
}

// isWithin reports whether a backend with the version was listed within StreamWindow.
func (l *listedSoftware) isWithin(now time.Time) bool {
	return l.listed > 0 || now.Sub(l.lastListed) < StreamWindow
}

// SoftwareVersions returns the software versions of a service that were listed within
// StreamWindow, in text order. The empty version stands for backends whose version is unknown.
func (s *Set) SoftwareVersions(service string, now time.Time) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := []string{}
	for version, known := range s.software.byService[service] {
		if known.isWithin(now) {
			found = append(found, version)
		}
	}
	slices.Sort(found)
	return found
}

// SoftwareSignal is signalled when a service gets a further software version.
func (s *Set) SoftwareSignal() <-chan struct{} { return s.softwareSignal }

// CountSoftware returns the number of a service's backends with a software version that take
// new work, or will once they are warm.
func (s *Set) CountSoftware(service, version string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for _, known := range s.byService[service] {
		if known.Version == version && !known.Draining && !s.admission.evacuated[known.Zone] {
			count++
		}
	}
	return count
}

// PresentSoftware returns the software version of a backend that was chosen earlier, empty if it
// is listed with another one by now: the process at its address may have been replaced.
func (s *Set) PresentSoftware(chosen Instance) string {
	listed, isListed := s.Get(chosen.ID)
	if isListed && listed.Version != chosen.Version {
		return ""
	}
	return chosen.Version
}
