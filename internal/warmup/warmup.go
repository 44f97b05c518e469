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
	// turnTime is the length of a turn. Any second meets five turns at most.
	turnTime = 250 * time.Millisecond
	// safeShare is the part of a backend's rate that is given out. Any second meets a
	// quarter more than its own turns, and daemons on both sides of a cut give all seats
	// out: together they send 2 x 1.25 x 0.6 = 1.5 times the rate at most.
	safeShare = 0.6
)

// Turn numbers spans of time alike on all daemons, as far as their clocks agree.
type Turn int64

// TurnAt returns the turn of a moment.
func TurnAt(now time.Time) Turn { return Turn(now.UnixNano() / int64(turnTime)) }

// seats is how many requests all daemons together may send in a turn to a backend that
// bears so many a second. Parts of a seat add up over the turns.
func seats(perSecond float64, turn Turn) int {
	perTurn := perSecond * safeShare * turnTime.Seconds()
	until := func(turn Turn) float64 { return math.Floor(float64(turn%turnCycle) * perTurn) }
	return int(until(turn%turnCycle+1) - until(turn))
}

// turnCycle bounds the numbers that are multiplied, so that parts of a seat are exact.
const turnCycle = 1 << 20

// Seats returns how many requests a daemon may send to a backend in a turn. The backend
// is named by its life, so that each life has its own draw.
func Seats(daemon string, daemons []string, backend string, perSecond float64, turn Turn) int {
	own := 0
	for seat := range seats(perSecond, turn) {
		key := backend + "/" + strconv.FormatInt(int64(turn), 10) + "/" + strconv.Itoa(seat)
		if duty.Owner(key, daemons) == daemon {
			own++
		}
	}
	return own
}
