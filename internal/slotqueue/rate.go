package slotqueue

import "time"

const (
	// rateWindow is the time that a Rate covers, in rateBuckets buckets of bucketTime.
	// The oldest bucket is partly expired, so a count covers 0.9 s to 1 s.
	rateWindow  = time.Second
	rateBuckets = 10
	bucketTime  = rateWindow / rateBuckets
)

// Rate counts the events of the last second. The zero value is ready for use; it is
// not safe for concurrent use.
type Rate struct {
	counts [rateBuckets]int
	newest int64
}

// Add counts one event.
func (r *Rate) Add(now time.Time) {
	r.advance(now)
	r.counts[r.newest%rateBuckets]++
}

// Count returns the number of events in the last second.
func (r *Rate) Count(now time.Time) int {
	r.advance(now)
	total := 0
	for _, each := range r.counts {
		total += each
	}
	return total
}

// advance clears the buckets that are older than a second. If the clock was set
// back, events count in the newest bucket.
func (r *Rate) advance(now time.Time) {
	at := now.UnixNano() / int64(bucketTime)
	if at-r.newest >= rateBuckets {
		r.counts = [rateBuckets]int{}
		r.newest = at
		return
	}
	for r.newest < at {
		r.newest++
		r.counts[r.newest%rateBuckets] = 0
	}
}
