package quarantine

import (
	"time"

	"topazpulley/internal/boottime"
)

const (
	// successTime is the minimum time for which a success of a request excuses later
	// crashes; the maximum is twice that. A request that many callers send may be in flight
	// at several backends that crash for another reason. A longer time would let a request
	// that a change of the model has made crash backends crash more of them.
	successTime = 5 * time.Second
	// crashGroupTime is the maximum time between the observations of simultaneous crashes:
	// a live check, and the delivery of the notice.
	crashGroupTime = LiveCheckTimeout + 100*time.Millisecond
	// maxSuccesses is the maximum size of a generation. A full one is rotated early.
	maxSuccesses = 4096
)

// crashGroup holds the backends whose crashes one success excuses: those that crash at
// about the same time. Later crashes without another success count as evidence: a faulty
// backend may answer a request that crashes all others.
type crashGroup struct {
	began     boottime.Instant
	instances map[string]struct{}
}

// covers reports whether the group contains a backend. A nil group is empty.
func (c *crashGroup) covers(instance string) bool {
	if c == nil {
		return false
	}
	_, isKnown := c.instances[instance]
	return isKnown
}

// successes holds the requests that succeeded recently, in two generations. All
// entries of the older generation are dropped together. The value is the crash group that the latest success excuses, nil
// until a backend crashes.
type successes struct {
	newer, older map[Fingerprint]*crashGroup
	// rotatedAt is the time of the last rotation, by a clock that advances while the machine is suspended.
	rotatedAt boottime.Instant
}

func newSuccesses() *successes {
	return &successes{newer: map[Fingerprint]*crashGroup{}, older: map[Fingerprint]*crashGroup{}}
}

func (s *successes) rotate(now boottime.Instant) {
	elapsed := now.Sub(s.rotatedAt)
	if elapsed < successTime && len(s.newer) < maxSuccesses {
		return
	}
	s.older = s.newer
	if elapsed >= 2*successTime {
		s.older = map[Fingerprint]*crashGroup{}
	}
	s.newer = map[Fingerprint]*crashGroup{}
	s.rotatedAt = now
}

func (s *successes) record(fingerprint Fingerprint, now boottime.Instant) {
	s.rotate(now)
	s.newer[fingerprint] = nil
}

func (s *successes) has(fingerprint Fingerprint, now boottime.Instant) bool {
	return s.generation(fingerprint, now) != nil
}

// generation returns the generation with the latest success of a request, or nil.
func (s *successes) generation(fingerprint Fingerprint, now boottime.Instant) map[Fingerprint]*crashGroup {
	s.rotate(now)
	if _, isNewer := s.newer[fingerprint]; isNewer {
		return s.newer
	}
	if _, isOlder := s.older[fingerprint]; isOlder {
		return s.older
	}
	return nil
}

// excuses reports whether a success excuses evidence of the given age, and adds the backend
// to the success's crash group. A backend in the group stays excused. Other evidence older
// than crashGroupTime is not excused: it was received late, and the times at which it was
// received do not show whether the crashes were simultaneous.
func (s *successes) excuses(evidence Evidence, age time.Duration, now boottime.Instant) bool {
	generation := s.generation(evidence.Fingerprint, now)
	if generation == nil {
		return false
	}
	group := generation[evidence.Fingerprint]
	switch {
	case group.covers(evidence.Instance):
		return true
	case age > crashGroupTime:
		return false
	case group == nil:
		group = &crashGroup{began: now, instances: map[string]struct{}{}}
		generation[evidence.Fingerprint] = group
	case now.Sub(group.began) > crashGroupTime:
		return false
	}
	group.instances[evidence.Instance] = struct{}{}
	return true
}
