package backend

import (
	"slices"
	"time"
)

// StreamWindow is the time after a stream's first event in which its caller may resume it. A
// software version that was listed within it may have begun streams that go on.
const StreamWindow = 30 * time.Second

// SoftwareWindow is the time for which a software version counts after it was last listed. It is
// longer than StreamWindow by maxListLag.
const SoftwareWindow = StreamWindow + maxListLag

// maxListLag is the longest time for which another daemon, whose list is out of date, may begin
// streams at a version that is not listed any more.
const maxListLag = 30 * time.Second

// softwareVersions holds the software versions of each service that were listed within
// SoftwareWindow. Set.mutex guards it.
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

// of returns a service's entry for a version and the number of the service's versions. It adds
// the entry if there is none.
func (v *softwareVersions) of(service, version string) (known *listedSoftware, count int) {
	versions, isKnown := v.byService[service]
	if !isKnown {
		versions = map[string]*listedSoftware{}
		v.byService[service] = versions
	}
	known, isKnown = versions[version]
	if !isKnown {
		known = &listedSoftware{}
		versions[version] = known
	}
	return known, len(versions)
}

// add counts a backend that was listed. It reports whether the service now has this version
// beside others.
func (v *softwareVersions) add(instance Instance) bool {
	known, count := v.of(instance.Service, instance.Version)
	known.listed++
	return known.listed == 1 && count > 1
}

// addUse adds a version that another daemon listed. It reports whether the service now has this
// version beside others.
func (v *softwareVersions) addUse(use SoftwareUse, now time.Time) bool {
	known, count := v.of(use.Service, use.Version)
	wasWithin := known.isWithin(now)
	if at := now.Add(-use.Age); at.After(known.lastListed) {
		known.lastListed = at
	}
	return !wasWithin && count > 1
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

// prune removes versions that were last listed before SoftwareWindow.
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

// isWithin reports whether a backend with the version was listed within SoftwareWindow.
func (l *listedSoftware) isWithin(now time.Time) bool {
	return l.listed > 0 || now.Sub(l.lastListed) < SoftwareWindow
}

// age returns the time since a backend with the version was last listed, 0 if one is.
func (l *listedSoftware) age(now time.Time) time.Duration {
	if l.listed > 0 {
		return 0
	}
	return now.Sub(l.lastListed)
}

// SoftwareVersions returns the software versions of a service that were listed within
// SoftwareWindow, in text order. The empty version stands for backends whose version is unknown.
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

// SoftwareUse is a software version of a service that was listed within SoftwareWindow.
type SoftwareUse struct {
	Service, Version string
	// Age is the time since a backend with it was last listed; 0 means that one is.
	Age time.Duration
}

// SoftwareHistory returns the software versions of all services that were listed within
// SoftwareWindow.
func (s *Set) SoftwareHistory(now time.Time) []SoftwareUse {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := []SoftwareUse{}
	for service, versions := range s.software.byService {
		for version, known := range versions {
			if known.isWithin(now) {
				found = append(found, SoftwareUse{Service: service, Version: version, Age: known.age(now)})
			}
		}
	}
	return found
}

// AddSoftwareHistory adds software versions that another daemon listed.
func (s *Set) AddSoftwareHistory(uses []SoftwareUse, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, use := range uses {
		if s.software.addUse(use, now) {
			signal(s.softwareSignal)
		}
	}
}

// addUnused counts the software version of an entry of a stale incarnation. mutex must be held.
func (s *Set) addUnused(instance Instance) {
	s.unused[instance.ID] = instance
	if s.software.add(instance) {
		signal(s.softwareSignal)
	}
}

// dropUnused stops counting it. mutex must be held.
func (s *Set) dropUnused(id string) {
	if instance, isUnused := s.unused[id]; isUnused {
		delete(s.unused, id)
		s.software.remove(instance, time.Now())
	}
}

// DropUnused forgets the entries of stale incarnations: the table is read anew.
func (s *Set) DropUnused() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id := range s.unused {
		s.dropUnused(id)
	}
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
		if known.Version == version && !s.isLeaving(known) {
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
