// Package submissionbuffer decides which submissions a daemon holds while the durable store is
// away, and when those that it cannot hold should come back. The load it answers: jobs
// that arrive in an outage of seconds, from callers who wait for about as long. Nobody can
// keep a job that nothing durable holds, but who comes in the last part of an outage can
// be accepted behind it, without a call to the store meanwhile.
package submissionbuffer

import (
	"sync"
	"time"
)

const (
	// maxSubmissions bounds the submissions of one daemon: each has a connection and two
	// goroutines, and all of them go to the store within a moment of its return.
	maxSubmissions = 64
	// copies is how often the content of a held submission lies in memory: as it came, in
	// the encoding of the wire (four thirds), and as it was read.
	copies = 3
	// unboundedMegabytes stands for the memory of a daemon without a bound.
	unboundedMegabytes = 512

	// minRetryAfter and maxRetryAfter bound the advice to a caller that is not held.
	// Callers wait for some seconds in all.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// bufferedRetryAfter is the advice to a caller whose time was over while it was held: it is
	// held again wherever it comes, and the sooner the less of the outage's end it misses.
	bufferedRetryAfter = 100 * time.Millisecond
)

// Limits bound what one daemon holds at a time. The zero value holds nothing.
type Limits struct {
	Count int
	// Bytes bounds the memory of the contents.
	Bytes int64
}

// LimitsOf returns the limits of a daemon by its memory in megabytes, 0 for no bound, and
// the share of it that may be held.
func LimitsOf(memoryMegabytes int, share float64) Limits {
	if share <= 0 {
		return Limits{}
	}
	if memoryMegabytes <= 0 {
		memoryMegabytes = unboundedMegabytes
	}
	return Limits{Count: maxSubmissions, Bytes: int64(share * float64(memoryMegabytes<<20))}
}

// Buffer is what a daemon holds. It is safe for concurrent use; mutex guards count and
// bytes.
type Buffer struct {
	limits Limits

	mutex sync.Mutex
	count int
	bytes int64
}

// New returns an empty room.
func New(limits Limits) *Buffer { return &Buffer{limits: limits} }

// Add holds a submission with a content of so many bytes, if there is room for it. leave
// is called when it is held no more.
func (r *Buffer) Add(contentBytes int) (leave func(), isHeld bool) {
	taken := int64(contentBytes) * copies
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.count >= r.limits.Count || r.bytes+taken > r.limits.Bytes {
		return nil, false
	}
	r.count++
	r.bytes += taken
	return func() { r.remove(taken) }, true
}

func (r *Buffer) remove(taken int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.count--
	r.bytes -= taken
}

// Count returns how many submissions are held.
func (r *Buffer) Count() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.count
}

// RetryAfter returns when a refused caller should come again. Of an outage nothing is known
// but how long it has lasted; it is expected to last as long again.
func RetryAfter(awayFor time.Duration, wasHeld bool) time.Duration {
	if wasHeld {
		return bufferedRetryAfter
	}
	return min(max(awayFor, minRetryAfter), maxRetryAfter)
}
