package intake

import (
	"sync"
	"time"
)

const (
	// loadTime is how long a decision holds, so that many connections cost one look at the load.
	loadTime = 5 * time.Millisecond
	// takenInterval is the longest time without a connection that is taken. What it brings shows
	// whether the daemon is still full.
	takenInterval = 100 * time.Millisecond
	// delayWeight is the weight of the latest delay in the mean.
	delayWeight = 0.2
)

// Gate decides on the connections of one daemon. It is safe for concurrent use.
type Gate struct {
	load func(startDelay time.Duration) Load

	mutex     sync.Mutex
	decided   Reason
	decidedAt time.Time
	takenAt   time.Time
	delay     time.Duration
}

// NewGate returns a gate. load returns the present load, of which it is given the StartDelay.
func NewGate(load func(startDelay time.Duration) Load) *Gate { return &Gate{load: load} }

// Refuses returns why a connection that was accepted now is not taken; empty if it is.
func (g *Gate) Refuses(now time.Time) Reason {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if now.Sub(g.decidedAt) >= loadTime {
		g.decided, g.decidedAt = g.load(g.delay).Full(), now
	}
	if g.decided != "" && now.Sub(g.takenAt) < takenInterval {
		return g.decided
	}
	g.takenAt = now
	return ""
}

// ObserveDelay records the delay between the acceptance of a connection and its first step.
func (g *Gate) ObserveDelay(delay time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.delay += time.Duration(delayWeight * float64(delay-g.delay))
}
