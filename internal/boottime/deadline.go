package boottime

import (
	"context"
	"sync"
	"time"
)

// WithDeadline returns a context that ends at a moment of the steady clock, or earlier
// by as long as the machine has slept since a mark, as soon as that is noticed. The
// timers of package context stand still while the machine sleeps: a request of 4 s
// whose machine slept for one of them was held, with the work at backends, for 1 s
// longer than its caller waited. The nil value counts no sleep.
func (w *Wakeups) WithDeadline(parent context.Context, deadline time.Time, since Mark) (context.Context, context.CancelFunc) {
	bounded, cancel := context.WithDeadline(parent, deadline)
	if w == nil {
		return bounded, cancel
	}
	earlier := &earlierEnd{deadline: deadline, end: cancel}
	stop := w.Notify(func() { earlier.advance(w.clock.SleptSince(since)) })
	return bounded, func() {
		stop()
		earlier.stop()
		cancel()
	}
}

// earlierEnd ends a context earlier than its deadline. mutex guards the fields behind
// it.
type earlierEnd struct {
	deadline time.Time
	end      context.CancelFunc

	mutex     sync.Mutex
	timer     *time.Timer
	isStopped bool
}

// advance moves the end to so long before the deadline.
func (e *earlierEnd) advance(slept time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.isStopped {
		return
	}
	if e.timer != nil {
		e.timer.Stop()
	}
	e.timer = time.AfterFunc(max(time.Until(e.deadline)-slept, 0), e.end)
}

func (e *earlierEnd) stop() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.isStopped = true
	if e.timer != nil {
		e.timer.Stop()
	}
}
