package quarantine

import (
	"time"

	"topazpulley/internal/boottime"
)

const (
	// successTime is how long, at least, and twice it how long at most, a good end of
	// a request speaks against later evidence. A request that many callers send is in
	// flight at several backends when these end for a reason of their own, and it
	// came to a good end somewhere just before. Longer would let a request that a
	// change of the model has turned bad end more backends.
	successTime = 5 * time.Second
	// waveTime is within what time backends that end at one moment are known to have
	// ended: the runs are gathered, the backend is asked, the word passes on.
	waveTime = LiveCheckTimeout + 100*time.Millisecond
	// maxSuccesses bounds one generation: at 12 requests a second and daemon, 5
	// seconds hold 60. Beyond it the older generation goes early.
	maxSuccesses = 4096
)

// wave is the backends whose ends a good end speaks against: those that end together.
// Backends that go on ending under a request one after the other, with no good end
// between them, are evidence whatever came to a good end before: one backend that
// misbehaves may answer what ends all others.
type wave struct {
	began     boottime.Instant
	instances map[string]struct{}
}

// covers reports whether it is known that a backend ended in this wave.
func (w *wave) covers(instance string) bool {
	if w == nil {
		return false
	}
	_, isKnown := w.instances[instance]
	return isKnown
}

// successes remembers which requests came to a good end lately, in two
// generations: the older one is dropped as a whole. Each has the wave that its latest
// good end speaks against, nil as long as no backend has ended under it since.
type successes struct {
	newer, older map[Fingerprint]*wave
	// turnedAt is by the clock that counts sleep: a good end of long ago must not speak
	// for a request because the machine slept meanwhile.
	turnedAt boottime.Instant
}

func newSuccesses() *successes {
	return &successes{newer: map[Fingerprint]*wave{}, older: map[Fingerprint]*wave{}}
}

func (s *successes) turn(now boottime.Instant) {
	elapsed := now.Sub(s.turnedAt)
	if elapsed < successTime && len(s.newer) < maxSuccesses {
		return
	}
	s.older = s.newer
	if elapsed >= 2*successTime {
		s.older = map[Fingerprint]*wave{}
	}
	s.newer = map[Fingerprint]*wave{}
	s.turnedAt = now
}

func (s *successes) note(fingerprint Fingerprint, now boottime.Instant) {
	s.turn(now)
	s.newer[fingerprint] = nil
}

func (s *successes) has(fingerprint Fingerprint, now boottime.Instant) bool {
	return s.generation(fingerprint, now) != nil
}

// generation returns the generation that holds the latest good end of a request, nil if
// there is none.
func (s *successes) generation(fingerprint Fingerprint, now boottime.Instant) map[Fingerprint]*wave {
	s.turn(now)
	if _, isNewer := s.newer[fingerprint]; isNewer {
		return s.newer
	}
	if _, isOlder := s.older[fingerprint]; isOlder {
		return s.older
	}
	return nil
}

// excuses reports whether a good end speaks against evidence of some age. Old evidence
// is not excused: whoever hears late of several ends cannot tell whether they were one wave.
func (s *successes) excuses(evidence Evidence, age time.Duration, now boottime.Instant) bool {
	generation := s.generation(evidence.Fingerprint, now)
	if generation == nil {
		return false
	}
	covered := generation[evidence.Fingerprint]
	switch {
	case covered.covers(evidence.Instance):
		return true
	case age > waveTime:
		return false
	case covered == nil:
		covered = &wave{began: now, instances: map[string]struct{}{}}
		generation[evidence.Fingerprint] = covered
	case now.Sub(covered.began) > waveTime:
		return false
	}
	covered.instances[evidence.Instance] = struct{}{}
	return true
}
