package admission

import "time"

// BatchWindow decides how many batch items one engine may run. It grows by
// steps while the engine has idle capacity and collapses as soon as online
// work exceeds the guard. It is pure.
type BatchWindow struct {
	maximum  int
	guard    int
	size     float64
	hint     int
	hintEnds time.Time
	lastGrow time.Time
}

const (
	windowGrowthPerSecond = 24.0
	hintLifetime          = 400 * time.Millisecond
	maxGrowthGap          = time.Second
)

// NewBatchWindow returns an empty window with a policy's bounds.
func NewBatchWindow(maximum, guard int) *BatchWindow {
	return &BatchWindow{maximum: maximum, guard: guard}
}

// SetPolicy changes the bounds.
func (w *BatchWindow) SetPolicy(maximum, guard int) { w.maximum, w.guard = maximum, guard }

// Hint records the number of online requests that gateways say they have sent
// to the engine; it precedes the engine's own lagging report. Only one above
// the guard counts: shrinking in proportion to hints cost more throughput than
// a smaller window does for the same harm, see docs/PERFORMANCE.md.
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

// Observe takes a load report and returns the window's new size.
func (w *BatchWindow) Observe(online, waiting int, now time.Time) int {
	if now.Before(w.hintEnds) {
		online = max(online, w.hint)
	}
	pressure := online + waiting
	elapsed := min(now.Sub(w.lastGrow), maxGrowthGap)
	w.lastGrow = now
	w.size = min(w.size+windowGrowthPerSecond*elapsed.Seconds(), w.ceiling(pressure))
	return w.Size()
}

// ceiling is the greatest window at an online pressure: the whole at none,
// nothing above the guard, in proportion between.
func (w *BatchWindow) ceiling(pressure int) float64 {
	if pressure > w.guard {
		return 0
	}
	return float64(w.maximum) * (1 - float64(pressure)/float64(w.guard+1))
}

// Size returns the number of batch items that may be in flight.
func (w *BatchWindow) Size() int { return int(w.size) }
