package table

import (
	"sync"
	"time"

	"topazpulley/internal/boottime"
)

// History tells since when a copy of a table has received every change. Rows that were added and
// removed before are not known to the copy. It is safe for concurrent use; mutex guards the
// fields below it.
type History struct {
	// Clock is the clock of the history; nil means the system's.
	Clock boottime.Clock

	mutex sync.Mutex
	since boottime.Instant
	// isWhole is set if the table's whole history is known.
	isWhole bool
	// generation is incremented by each gap.
	generation uint64
}

// NewHistory returns a history that begins now.
func NewHistory() *History { return &History{since: boottime.Now()} }

// restart records that changes before now may be missing.
func (h *History) restart() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.since, h.isWhole = h.Clock.Now(), false
	h.generation++
}

// Generation returns a number that each gap increments.
func (h *History) Generation() uint64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.generation
}

// Covers reports whether all changes within the window before now are known.
func (h *History) Covers(window time.Duration) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.isWhole || h.Clock.Now().Sub(h.since) >= window
}

// Extend records that the changes within the window before now have become known in another way.
// It has no effect if there was a gap since the generation.
func (h *History) Extend(generation uint64, window time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if generation == h.generation {
		h.since = min(h.since, h.Clock.Now()-boottime.Instant(window))
	}
}

// setWhole records that the table's whole history is known, unless there was a gap since the
// generation.
func (h *History) setWhole(generation uint64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.isWhole = h.isWhole || generation == h.generation
}
