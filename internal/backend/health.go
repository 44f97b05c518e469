package backend

import (
	"math"
	"time"
)

const (
	// failuresToEject is the number of consecutive failures seen by this daemon after
	// which a backend is ejected.
	failuresToEject = 2
	// scoreToEject is the failure score of all daemons at which a backend is ejected.
	// An error rate of a few per cent stays below it.
	scoreToEject = 3
	// scoreHalfLife is the half-life of the failure score.
	scoreHalfLife = 2 * time.Second
	// The first ejection lasts minEjection. Each further one is twice as long, up to
	// maxEjection.
	minEjection = time.Second
	maxEjection = 8 * time.Second
)

// addFailures raises the failure score and ejects the backend if the score is too high.
func (k *state) addFailures(count int, now time.Time) {
	elapsed := now.Sub(k.scoredAt)
	k.failureScore *= math.Exp2(-elapsed.Seconds() / scoreHalfLife.Seconds())
	k.failureScore += float64(count)
	k.scoredAt = now
	if k.failureScore >= scoreToEject {
		k.eject(now)
	}
}

// eject excludes the backend for a while, unless it is ejected already. Ejected backends
// are used only if all are ejected.
func (k *state) eject(now time.Time) {
	if now.Before(k.ejectedUntil) {
		return
	}
	k.ejectedFor = min(max(k.ejectedFor*2, minEjection), maxEjection)
	k.ejectedUntil = now.Add(k.ejectedFor)
	k.failureScore = 0
}

// Succeeded records a success. It resets the ejection time if the last ejection ended
// more than maxEjection ago.
func (s *Set) Succeeded(incarnation Incarnation, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.current(incarnation)
	if known == nil {
		return
	}
	known.failures = 0
	if now.Sub(known.ejectedUntil) > maxEjection {
		known.ejectedFor = 0
	}
}

// Failed records a failed request and reports whether the backend is now ejected.
func (s *Set) Failed(incarnation Incarnation, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.current(incarnation)
	if known == nil {
		return false
	}
	known.failures++
	s.unsentFailures[incarnation]++
	if known.failures >= failuresToEject {
		known.eject(now)
	}
	known.addFailures(1, now)
	return now.Before(known.ejectedUntil)
}

// Unreachable ejects a backend to which no connection could be made.
func (s *Set) Unreachable(incarnation Incarnation, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if known := s.current(incarnation); known != nil {
		known.eject(now)
	}
}

// TakeUnsentFailures returns the failures by incarnation since the last call.
func (s *Set) TakeUnsentFailures() map[Incarnation]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	taken := s.unsentFailures
	s.unsentFailures = map[Incarnation]int{}
	return taken
}

// RecordPeerFailures records failures seen by another daemon. Those of incarnations that
// aren't current are ignored.
func (s *Set) RecordPeerFailures(failures map[Incarnation]int, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for incarnation, count := range failures {
		if known := s.current(incarnation); known != nil {
			known.addFailures(count, now)
		}
	}
}
