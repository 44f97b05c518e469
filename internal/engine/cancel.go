package engine

import (
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// cancelTries bounds how often an engine is told to stop an attempt: with its pauses
	// (0.2 s, then twice as long each) and controlTimeout that is 13 s at most, in which
	// a connection that fell silent or was reset is replaced. An attempt that goes on
	// after that ends by its own limit of tokens.
	cancelTries = 5
	cancelPause = 200 * time.Millisecond
)

// Cancel tells the engine to stop an attempt, again while it does not answer: an attempt
// that is not stopped takes a place to its end, for nobody. It reports whether the engine
// stopped it; one that has ended, or answers otherwise, has nothing to stop.
func (c *Client) Cancel(address, attemptID string) bool {
	pause := cancelPause
	for try := range cancelTries {
		if try > 0 {
			time.Sleep(pause)
			pause *= 2
		}
		status, _, err := c.control(address, fasthttp.MethodDelete, PathAttempts+attemptID, nil, time.Now().Add(controlTimeout))
		if err == nil {
			return status == fasthttp.StatusOK
		}
	}
	return false
}
