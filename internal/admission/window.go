package admission

import "time"

// BatchWindow limits the batch items in flight at one engine. The window grows over time
// while online load is low and is 0 while online load exceeds the guard. It is not safe
// for concurrent use.
type BatchWindow struct {
	maximum int
	guard   int
	size    float64
	// hint is the hinted number of online requests, valid until hintEnds.
	hint     int
	hintEnds time.Time
	lastGrow time.Time
}

const (
	// windowGrowthPerSecond is the growth of the window in items per second.
	windowGrowthPerSecond = 24.0
	// hintLifetime is how long a hint overrides lower reports.
	hintLifetime = 400 * time.Millisecond
	// maxGrowthTime is the longest time between reports that counts as growth.
	maxGrowthTime = time.Second
)

// NewBatchWindow returns an empty window. maximum is its largest size, guard the
// highest online load with batch items.
func NewBatchWindow(maximum, guard int) *BatchWindow {
	return &BatchWindow{maximum: maximum, guard: guard}
}

// SetPolicy changes the maximum and the guard.
func (w *BatchWindow) SetPolicy(maximum, guard int) { w.maximum, w.guard = maximum, guard }

// Restart sets the size to the number of items in flight at an engine that was out of touch.
func (w *BatchWindow) Restart(inFlight int, now time.Time) {
	w.size, w.lastGrow = float64(inFlight), now
}

// Hint records the number of online requests that gateways report as sent to the
// engine, which is more recent than the engine's own report. Hints up to the guard are
// ignored.
func (w *BatchWindow) Hint(online int, now time.Time) {
	if online <= w.guard {
		return
	}
	if now.After(w.hintEnds) || online > w.hint {
		w.hint = online
	}
	w.hintEnds = now.Add(hintLifetime)
	w.size = min(w.size, w.ceiling(w.hint))
}

// Observe records a load report of the engine and returns the new size of the window.
func (w *BatchWindow) Observe(online, waiting int, now time.Time) int {
	if now.Before(w.hintEnds) {
		online = max(online, w.hint)
	}
	onlineLoad := online + waiting
	elapsed := min(now.Sub(w.lastGrow), maxGrowthTime)
	w.lastGrow = now
	w.size = min(w.size+windowGrowthPerSecond*elapsed.Seconds(), w.ceiling(onlineLoad))
	return w.Size()
}

// ceiling returns the largest window at an online load: the maximum at 0, 0 above the
// guard, and linear in between.
func (w *BatchWindow) ceiling(onlineLoad int) float64 {
	if onlineLoad > w.guard {
		return 0
	}
	return float64(w.maximum) * (1 - float64(onlineLoad)/float64(w.guard+1))
}

// Size returns the maximum number of batch items in flight.
func (w *BatchWindow) Size() int { return int(w.size) }
