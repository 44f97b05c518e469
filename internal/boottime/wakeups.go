package boottime

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"topazpulley/internal/periodic"
)

const (
	// lookInterval is how often it is looked whether the machine has slept. With a turn
	// of a slow machine it stays under the half second within which work for callers
	// who left must end.
	lookInterval = 200 * time.Millisecond
	// leastSleep is the shortest sleep that is noticed: below it lies what reading two
	// clocks one after the other can make on a busy machine.
	leastSleep = 50 * time.Millisecond
)

// Wakeups tells that the machine has slept: timers of the steady clock, which stood
// still meanwhile, are late by that much. The nil value never tells. It is safe for
// concurrent use; mutex guards the fields behind it.
type Wakeups struct {
	clock Clock
	log   *slog.Logger

	mutex sync.Mutex
	next  uint64
	tell  map[uint64]func()
}

// NewWakeups returns one that watches the clock while Run goes on.
func NewWakeups(clock Clock, log *slog.Logger) *Wakeups {
	return &Wakeups{clock: clock, log: log, tell: map[uint64]func(){}}
}

// Notify has a function called after each sleep until stop is called. The function
// must not block.
func (w *Wakeups) Notify(told func()) (stop func()) {
	if w == nil {
		return func() {}
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	number := w.next
	w.next++
	w.tell[number] = told
	return func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		delete(w.tell, number)
	}
}

// Run watches the clock until the context ends.
func (w *Wakeups) Run(ctx context.Context) {
	before := w.clock.Mark()
	periodic.Run(ctx, lookInterval, func() {
		slept := w.clock.SleptSince(before)
		before = w.clock.Mark()
		if slept < leastSleep {
			return
		}
		told := w.registered()
		w.log.Warn("machine_slept", "slept_ms", slept.Milliseconds(), "told", len(told))
		for _, each := range told {
			each()
		}
	})
}

func (w *Wakeups) registered() []func() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	found := make([]func(), 0, len(w.tell))
	for _, each := range w.tell {
		found = append(found, each)
	}
	return found
}
