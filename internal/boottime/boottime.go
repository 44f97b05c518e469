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

// Clock tells the present moment.
type Clock func() Instant

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
