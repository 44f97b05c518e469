package boottime

import (
	"context"
	"sync"
	"time"
)

// WithDeadline returns a context that ends at the deadline minus the time that the
// machine has slept since a mark. Timers of package context stop during sleep, so a
// plain context would end too late. A sleep is detected within checkInterval
// after it. With the nil Wakeups, sleep is ignored.
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

// earlierEnd ends a context before its deadline. mutex guards the fields below it.
type earlierEnd struct {
	deadline time.Time
	end      context.CancelFunc

	mutex     sync.Mutex
	timer     *time.Timer
	isStopped bool
}

// advance moves the end to the deadline minus slept.
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
