package slotqueue

import "time"

const (
	// counted is the time over which a Rate counts, and parts the pieces into which
	// it is cut: what it returns covers between nine tenths of it and the whole.
	counted = time.Second
	parts   = 10
	part    = counted / parts
)

// Rate counts what happened in the last second. The zero value is ready for use; it is
// not safe for concurrent use.
type Rate struct {
	counts [parts]int
	newest int64
}

// Add counts one more.
func (r *Rate) Add(now time.Time) {
	r.advance(now)
	r.counts[r.newest%parts]++
}

// Count returns how many there were in the last second.
func (r *Rate) Count(now time.Time) int {
	r.advance(now)
	total := 0
	for _, each := range r.counts {
		total += each
	}
	return total
}

// advance empties the parts that are older than a second. A clock that was set back
// counts on in the newest part.
func (r *Rate) advance(now time.Time) {
	at := now.UnixNano() / int64(part)
	if at-r.newest >= parts {
		r.counts = [parts]int{}
		r.newest = at
		return
	}
	for r.newest < at {
		r.newest++
		r.counts[r.newest%parts] = 0
	}
}
