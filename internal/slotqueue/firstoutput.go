package slotqueue

import "time"

// sampleWeight is the weight of the newest sample in the moving average: some twenty samples,
// two seconds of one daemon's requests, change it.
const sampleWeight = 0.1

// FirstOutputTime is a moving average of the time from getting a slot to the first
// output. The zero value is ready for use; it is not safe for concurrent use.
type FirstOutputTime struct{ mean time.Duration }

// Add adds one sample to the average.
func (t *FirstOutputTime) Add(sample time.Duration) {
	if t.mean == 0 {
		t.mean = sample
		return
	}
	t.mean += time.Duration(float64(sample-t.mean) * sampleWeight)
}

// Within returns the average, but at most half of the objective: a new request is
// never overdue at once, even if answers are slow.
func (t *FirstOutputTime) Within(objective time.Duration) time.Duration {
	return min(t.mean, objective/2)
}
