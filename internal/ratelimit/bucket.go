package ratelimit

import (
	"math/rand/v2"
	"time"
)

// minRetryAfter and maxRetryAfter bound the retry delay given to refused requests.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// bucket is a token bucket. Its times are monotonic.
type bucket struct {
	// level is the number of available tokens. It is negative after charges that exceed it.
	level float64
	at    time.Time
	// nextRetryAt is the earliest retry time for the next refused request.
	nextRetryAt time.Time
}

func newBucket(s share, now time.Time) bucket { return bucket{level: s.start, at: now} }

// refill adds the tokens accrued since the last call.
func (b *bucket) refill(s share, now time.Time) {
	elapsed := max(now.Sub(b.at).Seconds(), 0)
	b.level = min(b.level+elapsed*s.perSecond, s.capacity)
	b.at = now
}

// take removes a token and reports whether one was available.
func (b *bucket) take(s share, now time.Time) bool {
	b.refill(s, now)
	isGranted := b.level >= 1 || (s.isProbabilistic && rand.Float64() < b.level)
	if isGranted {
		b.level--
	}
	return isGranted
}

// charge removes a token even if none is available.
func (b *bucket) charge(s share, now time.Time) {
	b.refill(s, now)
	b.level = max(b.level-1, -s.capacity)
}

// refund adds the token of a granted request back.
func (b *bucket) refund(s share, now time.Time) {
	b.refill(s, now)
	b.level = min(b.level+1, s.capacity)
}

// retryAfter returns the retry delay of a request that is refused now. Each refused request
// gets a later time than the one before, so that callers don't retry together.
func (b *bucket) retryAfter(s share, now time.Time) time.Duration {
	if s.perSecond <= 0 {
		return maxRetryAfter
	}
	next := now.Add(secondsOf((1 - b.level) / s.perSecond))
	if b.nextRetryAt.After(next) {
		next = b.nextRetryAt
	}
	wait := next.Sub(now)
	if wait >= maxRetryAfter {
		return maxRetryAfter
	}
	// All shards are asked before a request is refused, and all of them refill. Retries are
	// therefore spaced by the rate of the limit, not of this shard.
	b.nextRetryAt = next.Add(secondsOf(1 / s.limitPerSecond))
	return max(wait, minRetryAfter)
}

func secondsOf(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}
