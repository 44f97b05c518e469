package boottime

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"topazpulley/internal/periodic"
)

const (
	// checkInterval is the interval of the checks for sleep. It must be well below the
	// 500 ms within which work for callers that left must end.
	checkInterval = 200 * time.Millisecond
	// minSleep is the shortest sleep that is detected. Shorter differences can come from
	// reading two clocks one after the other.
	minSleep = 50 * time.Millisecond
)

// Wakeups calls registered functions after the machine has slept: timers of package
// time, which stop during sleep, fire late by that duration. The nil value never calls
// a function. It is safe for concurrent use; mutex guards the fields below it.
type Wakeups struct {
	clock Clock
	log   *slog.Logger

	mutex sync.Mutex
	// next is the next key of callbacks.
	next      uint64
	callbacks map[uint64]func()
}

// NewWakeups returns a Wakeups for a clock. It detects sleep while Run runs.
func NewWakeups(clock Clock, log *slog.Logger) *Wakeups {
	return &Wakeups{clock: clock, log: log, callbacks: map[uint64]func(){}}
}

// Notify registers a function to be called after each sleep until stop is called. The
// function must not block.
func (w *Wakeups) Notify(callback func()) (stop func()) {
	if w == nil {
		return func() {}
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	number := w.next
	w.next++
	w.callbacks[number] = callback
	return func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		delete(w.callbacks, number)
	}
}

// Run checks for sleep every checkInterval until the context ends.
func (w *Wakeups) Run(ctx context.Context) {
	before := w.clock.Mark()
	periodic.Run(ctx, checkInterval, func() {
		now := w.clock.Mark()
		slept := now.sleptSince(before)
		before = now
		if slept < minSleep {
			return
		}
		callbacks := w.registered()
		w.log.Warn("machine_slept", "slept_ms", slept.Milliseconds(), "told", len(callbacks))
		for _, callback := range callbacks {
			callback()
		}
	})
}

// registered returns a copy of the callbacks, to be called without the mutex.
func (w *Wakeups) registered() []func() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	found := make([]func(), 0, len(w.callbacks))
	for _, callback := range w.callbacks {
		found = append(found, callback)
	}
	return found
}
