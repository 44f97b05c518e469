// Package boottime provides a monotonic clock that includes the time in which the
// machine is suspended (CLOCK_BOOTTIME), which the monotonic clock of package time
// does not. In this package, sleep means that the machine is suspended. Clock measures
// ages and validity periods that must include sleep. Wakeups calls functions after a
// sleep and makes contexts whose deadlines include sleep.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time as the duration since the machine was started. The zero value
// is before the start of any process.
type Instant time.Duration

// Clock returns the current time. The nil clock is the system's.
type Clock func() Instant

// Mark is a time by both this clock and the monotonic clock of package time. They
// diverge only by sleep. The zero value means no time.
type Mark struct {
	monotonic time.Time
	at        Instant
}

// IsZero reports whether this is the zero value.
func (m Mark) IsZero() bool { return m.monotonic.IsZero() }

// Mark returns the current time.
func (c Clock) Mark() Mark { return Mark{monotonic: time.Now(), at: c.Now()} }

// SleptSince returns for how long the machine has slept since a mark.
func (c Clock) SleptSince(earlier Mark) time.Duration { return c.Mark().sleptSince(earlier) }

// sleptSince returns for how long the machine slept between two marks.
func (m Mark) sleptSince(earlier Mark) time.Duration {
	return max(m.at.Sub(earlier.at)-m.monotonic.Sub(earlier.monotonic), 0)
}

// HasSleptSince reports whether the machine has slept since a mark for minSleep or
// longer.
func (c Clock) HasSleptSince(earlier Mark) bool { return c.SleptSince(earlier) >= minSleep }

// Now returns the current time.
func (c Clock) Now() Instant {
	if c == nil {
		return Now()
	}
	return c()
}

// processStart replaces the machine's start if CLOCK_BOOTTIME cannot be read.
var processStart = time.Now()

// Now returns the current time by the system's clock.
func Now() Instant {
	var read unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &read); err != nil {
		// The monotonic clock of package time differs only by sleep.
		return Instant(time.Since(processStart))
	}
	return Instant(read.Nano())
}

// Sub returns the duration i - other.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// Add returns i + span.
func (i Instant) Add(span time.Duration) Instant { return i + Instant(span) }
