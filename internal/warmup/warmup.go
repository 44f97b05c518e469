// Package warmup divides the request rate of a cold backend among the daemons of a fleet.
// The daemons exchange no messages for this. A backend that has just started, or whose
// zone was reopened, is slow for some seconds and is overloaded if every daemon selects
// it as the least loaded one. Time is divided into windows. In each window a backend has
// a fleet-wide allowance of requests, and rendezvous hashing assigns each of them to one
// daemon.
package warmup

import (
	"math"
	"strconv"
	"time"

	"topazpulley/internal/duty"
)

const (
	// windowTime is the length of a window. Any second overlaps five windows at most.
	windowTime = 250 * time.Millisecond
	// safeShare is the share of a backend's rate that is assigned. The five windows of a
	// second allow 1.25 times the assigned rate, and two sides of a partition each assign
	// all of it: at most 2 x 1.25 x 0.6 = 1.5 times the backend's rate.
	safeShare = 0.6
)

// Window is the number of a window. It is the same on all daemons with synchronized clocks.
type Window int64

// WindowAt returns the window of a time.
func WindowAt(now time.Time) Window { return Window(now.UnixNano() / int64(windowTime)) }

// fleetAllowance returns how many requests all daemons together may send to a backend in a
// window. perSecond is the backend's rate. Fractions of a request accumulate over windows.
func fleetAllowance(perSecond float64, window Window) int {
	perWindow := perSecond * safeShare * windowTime.Seconds()
	granted := func(window Window) float64 { return math.Floor(float64(window%windowCycle) * perWindow) }
	return int(granted(window%windowCycle+1) - granted(window))
}

// windowCycle limits the window numbers that are multiplied, so that fractions stay exact.
const windowCycle = 1 << 20

// Allowance returns how many requests a daemon may send to a backend in a window. daemons are
// all members that may send to it, perSecond is the backend's rate, and backend identifies its incarnation.
func Allowance(daemon string, daemons []string, backend string, perSecond float64, window Window) int {
	own := 0
	for index := range fleetAllowance(perSecond, window) {
		key := backend + "/" + strconv.FormatInt(int64(window), 10) + "/" + strconv.Itoa(index)
		if duty.Owner(key, daemons) == daemon {
			own++
		}
	}
	return own
}
