// Package watchdog cancels work at a backend that stays silent for too long.
package watchdog

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Watchdog calls a function once when it is not fed in time. The nil watchdog
// watches nothing.
type Watchdog struct {
	pause  time.Duration
	cancel func()
	fired  atomic.Bool

	// mutex guards the fields behind it.
	mutex sync.Mutex
	timer *time.Timer
	// rest is how much longer the first sign of life may take if mayFire says no;
	// mayFire is nil once it has been asked or there was a sign of life.
	rest    time.Duration
	mayFire func() bool
}

// Start arms a watchdog: the first sign of life must come within first, each
// further one within pause.
func Start(first, pause time.Duration, cancel func()) *Watchdog {
	return StartEarly(first, first, pause, nil, cancel)
}

// StartEarly arms a watchdog that asks before it fires early: the first sign of life must
// come within early, or within latest if mayFire says no then; each further one within
// pause.
func StartEarly(early, latest, pause time.Duration, mayFire func() bool, cancel func()) *Watchdog {
	started := &Watchdog{pause: pause, cancel: cancel, rest: latest - early, mayFire: mayFire}
	started.timer = time.AfterFunc(math.MaxInt64, started.expire)
	started.timer.Reset(early)
	return started
}

// expire fires, unless the first sign of life may yet come.
func (w *Watchdog) expire() {
	if w.extend() {
		return
	}
	w.fired.Store(true)
	w.cancel()
}

// extend gives the first sign of life the rest of its time if it may not be ended early.
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

// Feed tells of a sign of life.
func (w *Watchdog) Feed() {
	if w == nil {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.mayFire = nil
	w.timer.Reset(w.pause)
}

// Stop ends the watch. mayFire is not running any more when it returns.
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
