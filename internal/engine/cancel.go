package engine

import (
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// cancelTries is the maximum number of times that a cancellation is sent. With
	// controlTimeout and the pauses in between this takes 13 s at most.
	cancelTries = 5
	// cancelPause is the pause after the first try; it doubles with each further try.
	cancelPause = 200 * time.Millisecond
)

// Cancel asks the engine to stop an attempt and retries while the engine does not answer:
// an attempt that is not stopped uses a slot until it ends. It reports whether the engine
// stopped the attempt; false means that the attempt had ended, that the engine answered
// with another status or that it did not answer.
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
