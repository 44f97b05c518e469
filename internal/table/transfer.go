package table

import (
	"sync"
	"time"
)

// maxTransferTime bounds the delay after large rows.
const maxTransferTime = time.Second

// transfer estimates how long the rows of a table take to receive at a limited rate. It is safe
// for concurrent use; mutex guards the fields below it.
type transfer struct {
	mutex sync.Mutex
	// last is the time for the rows received last, and until the time at which it ends.
	last  time.Duration
	until time.Time
}

// record records received rows.
func (t *transfer) record(rows []Row, bytesPerSecond int, now time.Time) {
	bytes := 0
	for _, row := range rows {
		bytes += len(row.Value)
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.last = min(time.Duration(bytes)*time.Second/time.Duration(bytesPerSecond), maxTransferTime)
	t.until = now.Add(t.last)
}

// remaining returns the time until the next rows may be received.
func (t *transfer) remaining(now time.Time) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.until.Sub(now)
}

// expected returns the time that the next rows may take.
func (t *transfer) expected() time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.last
}
