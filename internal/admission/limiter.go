// Package admission bounds the work that is let in: tenants' rates and
// concurrency, an adaptive limit with a short deadline-aware queue per service,
// retry budgets, and the batch window of an engine. What does not fit is
// refused at once with the time after which to come back.
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
	// QueueTimeout bounds the wait for admission.
	QueueTimeout time.Duration
	// SlowAfter is the time to the first token above which the service counts
	// as overloaded.
	SlowAfter time.Duration
}

const (
	decreaseFactor   = 0.85
	decreaseInterval = 200 * time.Millisecond
	queuePerSlot     = 1
	drainSmoothing   = 0.1
	minRetryAfter    = time.Second
	maxRetryAfter    = 30 * time.Second
)

// Limiter admits online requests of one service: additive increase while
// answers are quick, multiplicative decrease when they are slow or refused.
// mutex guards all fields.
type Limiter struct {
	mutex        sync.Mutex
	config       LimiterConfig
	limit        float64
	inFlight     int
	queue        *list.List
	serviceTime  float64
	lastDecrease time.Time
}

// waiter is a request in the queue.
type waiter struct {
	admitted chan struct{}
}

// NewLimiter returns a limiter at its maximum.
func NewLimiter(config LimiterConfig) *Limiter {
	return &Limiter{config: config, limit: float64(config.Maximum), queue: list.New()}
}

// Configure changes the parameters; a raised maximum raises the limit too.
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

// Acquire admits the caller, queues it briefly, or refuses it. The deadline is
// that of the request.
func (l *Limiter) Acquire(ctx context.Context, now, deadline time.Time) error {
	l.mutex.Lock()
	if l.inFlight < int(l.limit) && l.queue.Len() == 0 {
		l.inFlight++
		l.mutex.Unlock()
		return nil
	}
	patience := min(l.config.QueueTimeout, deadline.Sub(now))
	if l.queue.Len() >= int(l.limit)*queuePerSlot || l.expectedWait() > patience {
		defer l.mutex.Unlock()
		return l.refusal()
	}
	waiting := &waiter{admitted: make(chan struct{})}
	element := l.queue.PushBack(waiting)
	l.mutex.Unlock()
	return l.wait(ctx, element, waiting, patience)
}

func (l *Limiter) wait(ctx context.Context, element *list.Element, waiting *waiter, patience time.Duration) error {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-waiting.admitted:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	select {
	case <-waiting.admitted:
		return nil
	default:
	}
	l.queue.Remove(element)
	return l.refusal()
}

// expectedWait estimates the time until a newcomer at the end of the queue is
// admitted. mutex is held.
func (l *Limiter) expectedWait() time.Duration {
	if l.limit < 1 {
		return l.config.QueueTimeout
	}
	return time.Duration(l.serviceTime * float64(l.queue.Len()+1) / l.limit * float64(time.Second))
}

// refusal makes the final answer for a request that is not let in. mutex is
// held.
func (l *Limiter) refusal() *failure.Error {
	after := min(max(l.expectedWait(), minRetryAfter), maxRetryAfter)
	return failure.New(failure.KindOverloaded, "service_overloaded", "the service is at its limit: try again later").WithNotRun().WithRetryAfter(after)
}

// Release ends an admitted request. firstToken is the time to its first token
// and total its whole time; overloaded tells that engines refused it for lack
// of room.
func (l *Limiter) Release(now time.Time, firstToken, total time.Duration, overloaded bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.inFlight--
	l.serviceTime += drainSmoothing * (total.Seconds() - l.serviceTime)
	if overloaded || firstToken > l.config.SlowAfter {
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

// State returns the present limit, the requests in flight and those queued.
func (l *Limiter) State() (limit, inFlight, queued int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return int(l.limit), l.inFlight, l.queue.Len()
}
