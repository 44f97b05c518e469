// Package stopping decides what a daemon that was told to stop still takes, and when what it has taken
// ends. A stop has three parts:
//
//   - until ListenUntil the platform may still send callers here: a request is taken unless most of
//     its kind take longer than what is left;
//   - until EndAt a request is taken only if it ends before EndAt in any case. How long other requests
//     took is believed only for one that had been read before ListenUntil, or whose caller may repeat it
//     after a failure;
//   - from EndAt on nothing is taken, and what is in flight ends: with a whole answer that tells the
//     truth if none has begun. Until ExitAt answers that are made reach their callers.
package stopping

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// ListenTime is how long the platform may send new callers after the stop began: it notices
	// after two missed checks, a second apart.
	ListenTime = 2500 * time.Millisecond
	// endMargin is how long before the end of the grace period requests end, and exitMargin how long
	// before it the process does.
	endMargin  = 700 * time.Millisecond
	exitMargin = 250 * time.Millisecond
	// sureShare is how much longer than all recent ones a request that is taken by them may take, as a
	// divisor of that time, and sureMargin what is added to it.
	sureShare  = 4
	sureMargin = 100 * time.Millisecond
	// minRecent is the number of recent requests from which the longest is known. With fewer a request
	// whose answer can't be cut is assumed to take objectivesOfUnknown times its objective.
	minRecent           = 16
	objectivesOfUnknown = 3
)

// Plan holds the times of one stop.
type Plan struct {
	// Began is when the daemon was told to stop, and Grace the time after which it is killed.
	Began time.Time
	Grace time.Duration
}

// ListenUntil returns when new connections are no longer accepted.
func (p Plan) ListenUntil() time.Time { return p.Began.Add(min(ListenTime, p.usable())) }

// EndAt returns when the requests in flight end.
func (p Plan) EndAt() time.Time { return p.Began.Add(p.usable()) }

// ExitAt returns when the process ends at the latest.
func (p Plan) ExitAt() time.Time { return p.Began.Add(max(p.Grace-exitMargin, 0)) }

func (p Plan) usable() time.Duration { return max(p.Grace-endMargin, 0) }

// Risk is what becomes of a request that is taken and whose time does not suffice.
type Risk uint8

// The risks, from the least to the gravest.
const (
	// RiskRetry means that its caller gets a failure as a whole answer, and may repeat the request.
	RiskRetry Risk = iota
	// RiskFailure means that its caller gets a failure as a whole answer, and may not repeat the request.
	RiskFailure
	// RiskCut means that its answer may have begun, and is cut.
	RiskCut
)

// String returns the name used in logs.
func (r Risk) String() string { return [...]string{"retry", "failure", "cut"}[r] }

// Need is what is known about the time that a request takes.
type Need struct {
	// Limit is the time after which the request has ended in any case: what its caller waits, or its
	// route's timeout.
	Limit time.Duration
	// ReadAt is when the request had been read completely.
	ReadAt time.Time
	// Objective is the time in which an answer is expected.
	Objective time.Duration
	// Risk is what a wrong decision to take the request costs.
	Risk Risk
	// Recent are the durations of other requests of its kind, which are no bound of this one.
	Recent Recent
}

// Admits reports whether a request that needs a backend is taken.
func (p Plan) Admits(now time.Time, need Need) bool {
	left := p.EndAt().Sub(now)
	switch {
	case left <= 0:
		return false
	case need.Limit <= left:
		return true
	case now.Before(p.ListenUntil()):
		return need.Recent.Usual <= left
	case p.wasReadLate(need) && need.Risk > RiskRetry:
		return false
	}
	longest, isKnown := need.longest()
	return isKnown && longest+longest/sureShare+sureMargin <= left
}

// wasReadLate reports whether a request had been read only after ListenUntil.
func (p Plan) wasReadLate(need Need) bool { return !need.ReadAt.Before(p.ListenUntil()) }

// longest returns the longest time that other requests took, as far as is known. That of requests whose
// answers may be cut must be known.
func (n Need) longest() (time.Duration, bool) {
	if n.Recent.Count >= minRecent {
		return n.Recent.Longest, true
	}
	return max(n.Recent.Longest, objectivesOfUnknown*n.Objective), n.Risk < RiskCut
}

// Fields returns what a decision on a request rests on, as the keys and values of a log line.
func (p Plan) Fields(now time.Time, need Need) []any {
	return []any{
		"since_stop_ms", now.Sub(p.Began).Milliseconds(), "read_ms", need.ReadAt.Sub(p.Began).Milliseconds(), "risk", need.Risk.String(), "left_ms", p.EndAt().Sub(now).Milliseconds(), "limit_ms", need.Limit.Milliseconds(),
		"usual_ms", need.Recent.Usual.Milliseconds(), "longest_ms", need.Recent.Longest.Milliseconds(), "recent", need.Recent.Count,
	}
}

// RetryAfter returns the time after which the caller of a refused request reaches another daemon.
func (p Plan) RetryAfter(now time.Time) time.Duration {
	return max(p.ListenUntil().Sub(now), minRetryAfter)
}

// minRetryAfter is the shortest Retry-After of a refusal.
const minRetryAfter = 50 * time.Millisecond

// Stop is the state of a daemon's stop. It is safe for concurrent use. A nil Stop never begins.
type Stop struct {
	plan atomic.Pointer[Plan]
	// running ends with End.
	running context.Context
	end     context.CancelFunc
}

// New returns the stop of a running daemon.
func New() *Stop {
	made := &Stop{}
	made.running, made.end = context.WithCancel(context.Background())
	return made
}

// Begin begins the stop. Only the first call has an effect.
func (s *Stop) Begin(plan Plan) { s.plan.CompareAndSwap(nil, &plan) }

// End ends the requests in flight. From now on nothing is taken.
func (s *Stop) End() { s.end() }

// Plan returns the times of the stop, and whether it has begun.
func (s *Stop) Plan() (Plan, bool) {
	if s == nil {
		return Plan{}, false
	}
	plan := s.plan.Load()
	if plan == nil {
		return Plan{}, false
	}
	return *plan, true
}

// HasBegun reports whether the stop has begun.
func (s *Stop) HasBegun() bool {
	_, hasBegun := s.Plan()
	return hasBegun
}

// HasEnded reports whether End was called.
func (s *Stop) HasEnded() bool { return s != nil && s.running.Err() != nil }

// IsOver reports whether requests in flight end now: End was called, or its planned time has come.
func (s *Stop) IsOver(now time.Time) bool {
	plan, hasBegun := s.Plan()
	return s.HasEnded() || hasBegun && !now.Before(plan.EndAt())
}

// Admits reports whether a request that needs a backend is taken: every one unless the stop has begun.
func (s *Stop) Admits(now time.Time, need Need) bool {
	plan, hasBegun := s.Plan()
	return !hasBegun || !s.HasEnded() && plan.Admits(now, need)
}

// OnEnd calls a function in a goroutine of its own when End is called, unless it is cancelled before.
func (s *Stop) OnEnd(call func()) (cancel func()) {
	if s == nil {
		return func() {}
	}
	remove := context.AfterFunc(s.running, call)
	return func() { remove() }
}

// WithTimeout returns a context that ends after a time, or with End. cancel must be called.
func (s *Stop) WithTimeout(parent context.Context, timeout time.Duration) (ctx context.Context, cancel context.CancelFunc) {
	ctx, end := context.WithTimeout(parent, timeout)
	remove := s.OnEnd(end)
	return ctx, func() {
		remove()
		end()
	}
}
