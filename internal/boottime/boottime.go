// Package boottime is a clock that goes on while the machine sleeps, unlike the
// steady clock of package time, and is never set, unlike the time of day. It serves
// durations on which a promise to others rests: a machine that slept must find that
// what it knew is old.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a moment, as the time since the machine was started. The zero value
// lies before all that a process can have seen.
type Instant time.Duration

// Clock tells the present moment. The nil clock is the system's.
type Clock func() Instant

// Mark is a moment by this clock and by the steady one, between which only sleep
// makes a difference. The zero value marks no moment.
type Mark struct {
	steady time.Time
	at     Instant
}

// IsZero reports whether no moment was marked.
func (m Mark) IsZero() bool { return m.steady.IsZero() }

// Mark marks the present moment.
func (c Clock) Mark() Mark { return Mark{steady: time.Now(), at: c.Now()} }

// SleptSince returns for how long the machine has slept since a moment.
func (c Clock) SleptSince(earlier Mark) time.Duration {
	return max(c.Now().Sub(earlier.at)-time.Since(earlier.steady), 0)
}

// HasSleptSince reports whether the machine has slept since a moment for long enough to
// tell.
func (c Clock) HasSleptSince(earlier Mark) bool { return c.SleptSince(earlier) >= leastSleep }

// Now returns the present moment.
func (c Clock) Now() Instant {
	if c == nil {
		return Now()
	}
	return c()
}

// processStart stands in for the machine's start where its clock cannot be read.
var processStart = time.Now()

// Now is the system's clock.
func Now() Instant {
	var read unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &read); err != nil {
		// No kernel of the last ten years is without this clock; the steady one is
		// the same but for sleep.
		return Instant(time.Since(processStart))
	}
	return Instant(read.Nano())
}

// Sub returns how long after another moment this one is.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// Add returns the moment so long after this one.
func (i Instant) Add(span time.Duration) Instant { return i + Instant(span) }
