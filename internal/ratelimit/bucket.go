package ratelimit

import (
	"math/rand/v2"
	"time"
)

// shortestWait and longestWait bound the time that a refused request is told to
// wait.
const (
	shortestWait = 50 * time.Millisecond
	longestWait  = 2 * time.Second
)

// bucket is a token bucket. Its times are by the steady clock.
type bucket struct {
	// level is how many requests may be granted now; it falls below zero when
	// requests were charged that nobody was asked for.
	level float64
	at    time.Time
	// promisedUntil is when the bucket will have room for all that were refused
	// and told when to come back.
	promisedUntil time.Time
}

func newBucket(s share, now time.Time) bucket { return bucket{level: s.start, at: now} }

// flow adds what has come in since the last time.
func (b *bucket) flow(s share, now time.Time) {
	elapsed := max(now.Sub(b.at).Seconds(), 0)
	b.level = min(b.level+elapsed*s.perSecond, s.capacity)
	b.at = now
}

// take grants a request if there is room.
func (b *bucket) take(s share, now time.Time) bool {
	b.flow(s, now)
	isEnough := b.level >= 1 || (s.isByChance && rand.Float64() < b.level)
	if isEnough {
		b.level--
	}
	return isEnough
}

// charge counts a request that is not asked for.
func (b *bucket) charge(s share, now time.Time) {
	b.flow(s, now)
	b.level = max(b.level-1, -s.capacity)
}

// give takes a granted request back.
func (b *bucket) give(s share, now time.Time) {
	b.flow(s, now)
	b.level = min(b.level+1, s.capacity)
}

// wait returns when a request that was refused now finds room, behind those
// refused before it: told one time each, they do not come back together.
func (b *bucket) wait(s share, now time.Time) time.Duration {
	if s.perSecond <= 0 {
		return longestWait
	}
	next := now.Add(secondsOf((1 - b.level) / s.perSecond))
	if b.promisedUntil.After(next) {
		next = b.promisedUntil
	}
	wait := next.Sub(now)
	if wait >= longestWait {
		return longestWait
	}
	// Every keeper is asked for the same request, and all parts fill meanwhile.
	b.promisedUntil = next.Add(secondsOf(1 / s.limitPerSecond))
	return max(wait, shortestWait)
}

func secondsOf(seconds float64) time.Duration {
	return time.Duration(min(seconds, longestWait.Seconds()) * float64(time.Second))
}
