package stopping

import (
	"slices"
	"sync"
	"time"
)

const (
	// recentCount is the number of durations kept for each kind of request.
	recentCount = 256
	// maxKinds bounds the kinds of requests whose durations are kept.
	maxKinds = 1024
	// usualQuantile is the share of requests that take no longer than the usual time.
	usualQuantile = 0.9
)

// Recent summarizes the durations of recent requests of one kind. It is zero if there were none.
type Recent struct {
	// Usual is the time within which nine in ten ended, and Longest that of the longest.
	Usual, Longest time.Duration
	// Count is the number of requests.
	Count int
}

// Durations holds how long recent requests took, from when they had been read until their answer was
// complete here, by kind. It is safe for concurrent use. A nil Durations holds none.
type Durations struct {
	mutex  sync.Mutex
	byKind map[string]*window
}

// window is a ring of the last durations.
type window struct {
	durations []time.Duration
	next      int
}

// NewDurations returns durations without any request.
func NewDurations() *Durations { return &Durations{byKind: map[string]*window{}} }

// Observe records the duration of a request that was answered.
func (d *Durations) Observe(kind string, took time.Duration) {
	if d == nil {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.byKind[kind]
	if known == nil {
		known = &window{}
		d.makeRoom()
		d.byKind[kind] = known
	}
	known.add(took)
}

// makeRoom removes any kind if there are too many. mutex must be held.
func (d *Durations) makeRoom() {
	for kind := range d.byKind {
		if len(d.byKind) < maxKinds {
			return
		}
		delete(d.byKind, kind)
	}
}

// Recent returns the durations of the recent requests of a kind.
func (d *Durations) Recent(kind string) Recent {
	if d == nil {
		return Recent{}
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.byKind[kind]
	if known == nil {
		return Recent{}
	}
	sorted := slices.Sorted(slices.Values(known.durations))
	usual := int(usualQuantile * float64(len(sorted)-1))
	return Recent{Usual: sorted[usual], Longest: sorted[len(sorted)-1], Count: len(sorted)}
}

func (w *window) add(took time.Duration) {
	if len(w.durations) < recentCount {
		w.durations = append(w.durations, took)
		return
	}
	w.durations[w.next] = took
	w.next = (w.next + 1) % recentCount
}
