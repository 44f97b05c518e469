package quarantine

import (
	"time"

	"topazpulley/internal/boottime"
)

const (
	// successTime is how long, at least, and twice it how long at most, a good end of
	// a request speaks against later evidence. A request that many callers send is in
	// flight at several back ends when these end for a reason of their own, and it
	// came to a good end somewhere just before. Longer would let a request that a
	// change of the model has turned bad end more back ends.
	successTime = 5 * time.Second
	// maxSuccesses bounds one generation: at 12 requests a second and daemon, 5
	// seconds hold 60. Beyond it the older generation goes early.
	maxSuccesses = 4096
)

// successes remembers which requests came to a good end lately, in two
// generations: the older one is dropped as a whole.
type successes struct {
	newer, older map[Fingerprint]struct{}
	// turnedAt is by the clock that counts sleep: a good end of long ago must not speak
	// for a request because the machine slept meanwhile.
	turnedAt boottime.Instant
}

func newSuccesses() *successes {
	return &successes{newer: map[Fingerprint]struct{}{}, older: map[Fingerprint]struct{}{}}
}

func (s *successes) turn(now boottime.Instant) {
	elapsed := now.Sub(s.turnedAt)
	if elapsed < successTime && len(s.newer) < maxSuccesses {
		return
	}
	s.older = s.newer
	if elapsed >= 2*successTime {
		s.older = map[Fingerprint]struct{}{}
	}
	s.newer = map[Fingerprint]struct{}{}
	s.turnedAt = now
}

func (s *successes) note(fingerprint Fingerprint, now boottime.Instant) {
	s.turn(now)
	s.newer[fingerprint] = struct{}{}
}

func (s *successes) has(fingerprint Fingerprint, now boottime.Instant) bool {
	s.turn(now)
	if _, isNewer := s.newer[fingerprint]; isNewer {
		return true
	}
	_, isOlder := s.older[fingerprint]
	return isOlder
}
