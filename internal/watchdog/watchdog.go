// Package watchdog cancels work at a backend that shows no activity for too long.
package watchdog

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Watchdog calls a function once if Feed is not called in time. The methods of a nil
// Watchdog do nothing.
type Watchdog struct {
	pause  time.Duration
	cancel func()
	fired  atomic.Bool

	// mutex guards the fields below.
	mutex sync.Mutex
	timer *time.Timer
	// rest is how much longer the first activity may take if mayFire returns false.
	rest time.Duration
	// mayFire is nil after it was called, after the first activity and after Stop.
	mayFire func() bool
}

// Start starts a watchdog that fires if the first call of Feed does not come within
// first, or a further one not within pause.
func Start(first, pause time.Duration, cancel func()) *Watchdog {
	return StartEarly(first, first, pause, nil, cancel)
}

// StartEarly starts a watchdog with two limits for the first call of Feed. After early it
// calls mayFire and fires if that returns true; otherwise it fires after latest. Both are
// counted from the start. It also fires if a further call of Feed does not come within
// pause.
func StartEarly(early, latest, pause time.Duration, mayFire func() bool, cancel func()) *Watchdog {
	started := &Watchdog{pause: pause, cancel: cancel, rest: latest - early, mayFire: mayFire}
	started.timer = time.AfterFunc(math.MaxInt64, started.expire)
	started.timer.Reset(early)
	return started
}

// expire fires unless the time for the first activity is extended.
func (w *Watchdog) expire() {
	if w.extend() {
		return
	}
	w.fired.Store(true)
	w.cancel()
}

// extend extends the time for the first activity by rest and returns true if mayFire
// returns false.
func (w *Watchdog) extend() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	mayFire := w.mayFire
	w.mayFire = nil
	if mayFire == nil || w.rest <= 0 || mayFire() {
		return false
	}
	w.timer.Reset(w.rest)
	return true
}

// Feed records activity and restarts the timer with pause.
func (w *Watchdog) Feed() {
	if w == nil {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.mayFire = nil
	w.timer.Reset(w.pause)
}

// Stop stops the timer. mayFire is not running when Stop returns.
func (w *Watchdog) Stop() {
	if w == nil {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.mayFire = nil
	w.timer.Stop()
}

// Fired reports whether the watchdog cancelled the work.
func (w *Watchdog) Fired() bool { return w != nil && w.fired.Load() }
