// Package admission limits the work that is admitted: a concurrency limit per tenant,
// an adaptive limit with a short deadline-aware queue per service, retry budgets, and
// the batch window of an engine. Requests over a limit are rejected with a retry delay.
package admission

import (
	"container/list"
	"context"
	"sync"
	"time"

	"topazpulley/internal/failure"
)

// LimiterConfig holds the parameters of a service's limiter.
type LimiterConfig struct {
	// Minimum and Maximum bound the adaptive limit.
	Minimum int
	Maximum int
	// QueueTimeout is the maximum time in the queue.
	QueueTimeout time.Duration
	// SlowAfter is the time to the first token above which the limit decreases.
	SlowAfter time.Duration
}

const (
	// decreaseFactor is the factor of one decrease, decreaseInterval the minimum time
	// between two.
	decreaseFactor   = 0.85
	decreaseInterval = 200 * time.Millisecond
	// queuePerSlot is the maximum queue length per unit of the limit.
	queuePerSlot = 1
	// serviceTimeWeight is the weight of the newest sample in the average service time.
	serviceTimeWeight = 0.1
	// minRetryAfter and maxRetryAfter bound the retry delay of rejected requests.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Limiter limits the online requests of one service in flight. The limit follows
// additive increase and multiplicative decrease: it grows with each fast response and
// shrinks when responses are slow or engines reject requests. mutex guards all fields.
type Limiter struct {
	mutex    sync.Mutex
	config   LimiterConfig
	limit    float64
	inFlight int
	queue    *list.List
	// serviceTime is a moving average in seconds.
	serviceTime  float64
	lastDecrease time.Time
}

// waiter is a queued request. admitted is closed on admission.
type waiter struct {
	admitted chan struct{}
}

// NewLimiter returns a limiter with the limit at config.Maximum.
func NewLimiter(config LimiterConfig) *Limiter {
	return &Limiter{config: config, limit: float64(config.Maximum), queue: list.New()}
}

// Configure changes the parameters. An increase of the maximum increases the limit by
// the same amount.
func (l *Limiter) Configure(config LimiterConfig) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if config.Maximum > l.config.Maximum {
		l.limit += float64(config.Maximum - l.config.Maximum)
	}
	l.config = config
	l.clamp()
	l.admitWaiters()
}

func (l *Limiter) clamp() {
	l.limit = max(min(l.limit, float64(l.config.Maximum)), float64(l.config.Minimum))
}

// Acquire admits a request, queues it until the queue timeout or its deadline, or
// rejects it. After a nil return the caller must call Release.
func (l *Limiter) Acquire(ctx context.Context, now, deadline time.Time) error {
	l.mutex.Lock()
	if l.inFlight < int(l.limit) && l.queue.Len() == 0 {
		l.inFlight++
		l.mutex.Unlock()
		return nil
	}
	timeout := min(l.config.QueueTimeout, deadline.Sub(now))
	if l.queue.Len() >= int(l.limit)*queuePerSlot || l.expectedWait() > timeout {
		defer l.mutex.Unlock()
		return l.rejection()
	}
	queued := &waiter{admitted: make(chan struct{})}
	element := l.queue.PushBack(queued)
	l.mutex.Unlock()
	return l.wait(ctx, element, queued, timeout)
}

func (l *Limiter) wait(ctx context.Context, element *list.Element, queued *waiter, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-queued.admitted:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	select {
	case <-queued.admitted:
		return nil
	default:
	}
	l.queue.Remove(element)
	return l.rejection()
}

// expectedWait estimates the time until a new request at the end of the queue is
// admitted. The caller holds mutex.
func (l *Limiter) expectedWait() time.Duration {
	if l.limit < 1 {
		return l.config.QueueTimeout
	}
	return time.Duration(l.serviceTime * float64(l.queue.Len()+1) / l.limit * float64(time.Second))
}

// rejection returns the error for a request that is not admitted. The caller holds
// mutex.
func (l *Limiter) rejection() *failure.Error {
	after := min(max(l.expectedWait(), minRetryAfter), maxRetryAfter)
	return failure.New(failure.KindOverloaded, "service_overloaded", "the service is at its limit: try again later").WithNotRun().WithRetryAfter(after)
}

// Release records the end of an admitted request. firstToken is its time to the first
// token and total its duration. isOverloaded means that engines rejected it for lack of
// capacity.
func (l *Limiter) Release(now time.Time, firstToken, total time.Duration, isOverloaded bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.inFlight--
	l.serviceTime += serviceTimeWeight * (total.Seconds() - l.serviceTime)
	if isOverloaded || firstToken > l.config.SlowAfter {
		l.decrease(now)
	} else {
		l.limit += 1 / max(l.limit, 1)
	}
	l.clamp()
	l.admitWaiters()
}

func (l *Limiter) decrease(now time.Time) {
	if now.Sub(l.lastDecrease) < decreaseInterval {
		return
	}
	l.lastDecrease = now
	l.limit *= decreaseFactor
}

func (l *Limiter) admitWaiters() {
	for l.queue.Len() > 0 && l.inFlight < int(l.limit) {
		first := l.queue.Remove(l.queue.Front()).(*waiter)
		l.inFlight++
		close(first.admitted)
	}
}

// State returns the current limit and the numbers of requests in flight and queued.
func (l *Limiter) State() (limit, inFlight, queued int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return int(l.limit), l.inFlight, l.queue.Len()
}
