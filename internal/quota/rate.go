package quota

import (
	"math"
	"time"
)

// rateMemory is the time over which the rate of ending work is taken.
const rateMemory = 5 * time.Second

// freedRate measures how many tokens end in a second, each counting less with
// time.
type freedRate struct {
	sum float64
	at  time.Time
}

// note counts tokens that ended; growth of the account counts as nothing.
func (r *freedRate) note(tokens int64, now time.Time) {
	r.sum = r.faded(now) + float64(max(tokens, 0))
	r.at = now
}

func (r *freedRate) faded(now time.Time) float64 {
	return r.sum * math.Exp(-now.Sub(r.at).Seconds()/rateMemory.Seconds())
}

func (r *freedRate) perSecond(now time.Time) float64 { return r.faded(now) / rateMemory.Seconds() }

const (
	shortestRetry = 300 * time.Millisecond
	longestRetry  = 5 * time.Second
)

// retryAfter estimates when a job of so many tokens will fit.
func retryAfter(tokens int64, outcome Outcome) time.Duration {
	missing := float64(outcome.Waiting + tokens - outcome.Limit)
	if outcome.FreedPerSecond <= 0 {
		return longestRetry
	}
	seconds := missing / outcome.FreedPerSecond
	return min(max(time.Duration(seconds*float64(time.Second)), shortestRetry), longestRetry)
}
