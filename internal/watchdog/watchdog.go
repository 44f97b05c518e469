// Package watchdog cancels work at a back end that stays silent for too long.
package watchdog

import (
	"sync/atomic"
	"time"
)

// Watchdog calls a function once when it is not fed in time. The nil watchdog
// watches nothing.
type Watchdog struct {
	timer *time.Timer
	pause time.Duration
	fired atomic.Bool
}

// Start arms a watchdog: the first sign of life must come within first, each
// further one within pause.
func Start(first, pause time.Duration, cancel func()) *Watchdog {
	started := &Watchdog{pause: pause}
	started.timer = time.AfterFunc(first, func() {
		started.fired.Store(true)
		cancel()
	})
	return started
}

// Feed tells of a sign of life.
func (w *Watchdog) Feed() {
	if w != nil {
		w.timer.Reset(w.pause)
	}
}

// Stop ends the watch.
func (w *Watchdog) Stop() {
	if w != nil {
		w.timer.Stop()
	}
}

// Fired reports whether the watchdog cancelled the work.
func (w *Watchdog) Fired() bool { return w != nil && w.fired.Load() }
