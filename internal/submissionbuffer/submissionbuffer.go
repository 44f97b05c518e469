// Package submissionbuffer limits the job submissions that a daemon buffers during an outage of
// the durable store, and computes the retry delay of those that it refuses. Buffered
// submissions are stored when the outage ends; they are accepted only then.
package submissionbuffer

import (
	"sync"
	"time"
)

const (
	// maxSubmissions bounds the buffered submissions of one daemon. Each uses a connection and
	// two goroutines, and all are sent to the store when it returns.
	maxSubmissions = 64
	// copies is the memory used by a buffered submission relative to its content: the content
	// as received, its wire encoding (four thirds) and its decoded form.
	copies = 3
	// unboundedMegabytes is the memory assumed for a daemon without a limit.
	unboundedMegabytes = 512

	// minRetryAfter and maxRetryAfter bound the retry delay of a caller that is not buffered.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// bufferedRetryAfter is the retry delay of a caller whose submission was buffered until its
	// timeout. It is short, because the caller is buffered again at any daemon.
	bufferedRetryAfter = 100 * time.Millisecond
)

// Limits bound the submissions that one daemon buffers at a time. The zero value allows none.
type Limits struct {
	Count int
	// Bytes bounds the memory of the contents.
	Bytes int64
}

// LimitsOf returns the limits of a daemon with memoryMegabytes of memory, 0 for no limit, of
// which share may be used for buffered submissions.
func LimitsOf(memoryMegabytes int, share float64) Limits {
	if share <= 0 {
		return Limits{}
	}
	if memoryMegabytes <= 0 {
		memoryMegabytes = unboundedMegabytes
	}
	return Limits{Count: maxSubmissions, Bytes: int64(share * float64(memoryMegabytes<<20))}
}

// Buffer counts the buffered submissions. It is safe for concurrent use; mutex guards count and
// bytes.
type Buffer struct {
	limits Limits

	mutex sync.Mutex
	count int
	bytes int64
}

// New returns an empty buffer.
func New(limits Limits) *Buffer { return &Buffer{limits: limits} }

// Add adds a submission with contentBytes of content if the limits allow it. The caller calls
// release when the submission leaves the buffer.
func (b *Buffer) Add(contentBytes int) (release func(), isBuffered bool) {
	reserved := int64(contentBytes) * copies
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.count >= b.limits.Count || b.bytes+reserved > b.limits.Bytes {
		return nil, false
	}
	b.count++
	b.bytes += reserved
	return func() { b.remove(reserved) }, true
}

func (b *Buffer) remove(reserved int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.count--
	b.bytes -= reserved
}

// Count returns the number of buffered submissions.
func (b *Buffer) Count() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.count
}

// RetryAfter returns the retry delay of a refused caller: the outage is expected to last as
// long again as it has lasted so far.
func RetryAfter(outage time.Duration, wasBuffered bool) time.Duration {
	if wasBuffered {
		return bufferedRetryAfter
	}
	return min(max(outage, minRetryAfter), maxRetryAfter)
}
