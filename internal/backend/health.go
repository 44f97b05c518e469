package backend

import (
	"math"
	"time"
)

const (
	// failuresToEject is how many failures in a row, seen by one daemon, take a
	// backend out.
	failuresToEject = 2
	// scoreToEject is the score of failures seen by all daemons that takes a
	// backend out. A few lost answers in a hundred stay far below it.
	scoreToEject = 3
	// scoreHalfLife is the time after which a failure counts half.
	scoreHalfLife = 2 * time.Second
	ejectFor      = time.Second
	ejectCeiling  = 8 * time.Second
)

// addFailures raises the score and ejects the backend if it is too high.
func (k *state) addFailures(count int, now time.Time) {
	elapsed := now.Sub(k.scoredAt)
	k.failureScore *= math.Exp2(-elapsed.Seconds() / scoreHalfLife.Seconds())
	k.failureScore += float64(count)
	k.scoredAt = now
	if k.failureScore >= scoreToEject {
		k.eject(now)
	}
}

// eject takes the backend out for a while, each time for longer. An ejected
// backend is used only when all are.
func (k *state) eject(now time.Time) {
	if now.Before(k.ejectedUntil) {
		return
	}
	k.ejectedFor = min(max(k.ejectedFor*2, ejectFor), ejectCeiling)
	k.ejectedUntil = now.Add(k.ejectedFor)
	k.failureScore = 0
}

// Succeeded records that the backend worked. The time of its next ejection
// starts anew once it has worked for a while.
func (s *Set) Succeeded(life Incarnation, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.current(life)
	if known == nil {
		return
	}
	known.failures = 0
	if now.Sub(known.ejectedUntil) > ejectCeiling {
		known.ejectedFor = 0
	}
}

// Failed records that the backend failed a request, and reports whether it is
// ejected now.
func (s *Set) Failed(life Incarnation, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.current(life)
	if known == nil {
		return false
	}
	known.failures++
	s.unsentFailures[life]++
	if known.failures >= failuresToEject {
		known.eject(now)
	}
	known.addFailures(1, now)
	return now.Before(known.ejectedUntil)
}

// Unreachable ejects a backend at once: a connection to it could not be made.
func (s *Set) Unreachable(life Incarnation, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if known := s.current(life); known != nil {
		known.eject(now)
	}
}

// TakeUnsentFailures returns the failures by life since the last call.
func (s *Set) TakeUnsentFailures() map[Incarnation]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	taken := s.unsentFailures
	s.unsentFailures = map[Incarnation]int{}
	return taken
}

// RecordPeerFailures records failures that another daemon saw. Those of another life than
// the present one tell nothing of it.
func (s *Set) RecordPeerFailures(failures map[Incarnation]int, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for life, count := range failures {
		if known := s.current(life); known != nil {
			known.addFailures(count, now)
		}
	}
}
