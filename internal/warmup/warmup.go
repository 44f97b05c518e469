// Package warmup shares out the few requests that a cold backend bears among the
// daemons of a fleet, without a message for each request. A backend that has just
// started, or whose zone has come back, works slowly for some seconds and falls over when
// all daemons take it for the emptiest at once. Time is cut into turns; in each turn a
// backend has some seats, and each seat belongs to one daemon, drawn by rendezvous
// hashing, which may send one request for it.
package warmup

import (
	"math"
	"strconv"
	"time"

	"topazpulley/internal/duty"
)

const (
	// windowTime is the length of a turn. Any second meets five turns at most.
	windowTime = 250 * time.Millisecond
	// safeShare is the part of a backend's rate that is given out. Any second meets a
	// quarter more than its own turns, and daemons on both sides of a cut give all seats
	// out: together they send 2 x 1.25 x 0.6 = 1.5 times the rate at most.
	safeShare = 0.6
)

// Window numbers spans of time alike on all daemons, as far as their clocks agree.
type Window int64

// WindowAt returns the turn of a moment.
func WindowAt(now time.Time) Window { return Window(now.UnixNano() / int64(windowTime)) }

// fleetAllowance is how many requests all daemons together may send in a turn to a backend that
// bears so many a second. Parts of a seat add up over the turns.
func fleetAllowance(perSecond float64, turn Window) int {
	perTurn := perSecond * safeShare * windowTime.Seconds()
	until := func(turn Window) float64 { return math.Floor(float64(turn%windowCycle) * perTurn) }
	return int(until(turn%windowCycle+1) - until(turn))
}

// windowCycle bounds the numbers that are multiplied, so that parts of a seat are exact.
const windowCycle = 1 << 20

// Allowance returns how many requests a daemon may send to a backend in a turn. The backend
// is named by its life, so that each life has its own draw.
func Allowance(daemon string, daemons []string, backend string, perSecond float64, turn Window) int {
	own := 0
	for seat := range fleetAllowance(perSecond, turn) {
		key := backend + "/" + strconv.FormatInt(int64(turn), 10) + "/" + strconv.Itoa(seat)
		if duty.Owner(key, daemons) == daemon {
			own++
		}
	}
	return own
}
