package quota

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of the exponential decay in freedRate.
const rateTimeConstant = 5 * time.Second

// freedRate is an exponentially weighted rate of freed tokens.
type freedRate struct {
	sum float64
	at  time.Time
}

// add counts freed tokens. Negative values, from growth of the account, are ignored.
func (r *freedRate) add(tokens int64, now time.Time) {
	r.sum = r.decayed(now) + float64(max(tokens, 0))
	r.at = now
}

func (r *freedRate) decayed(now time.Time) float64 {
	return r.sum * math.Exp(-now.Sub(r.at).Seconds()/rateTimeConstant.Seconds())
}

func (r *freedRate) perSecond(now time.Time) float64 {
	return r.decayed(now) / rateTimeConstant.Seconds()
}

// The range of the retry delay in refusals.
const (
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// retryAfter returns the retry delay of a refused job: the estimated time until its tokens
// fit.
func retryAfter(tokens int64, outcome Outcome) time.Duration {
	missing := float64(outcome.Waiting + tokens - outcome.Limit)
	if outcome.FreedPerSecond <= 0 {
		return maxRetryAfter
	}
	seconds := missing / outcome.FreedPerSecond
	return min(max(time.Duration(seconds*float64(time.Second)), minRetryAfter), maxRetryAfter)
}
