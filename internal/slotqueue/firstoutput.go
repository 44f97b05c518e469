package slotqueue

import "time"

// leadWeight is the weight of the newest answer in the mean: some twenty answers, two
// seconds of one daemon's requests, change it.
const leadWeight = 0.1

// FirstOutputTime is the learned time from a place to the first output of an answer. The zero
// value is ready for use; it is not safe for concurrent use.
type FirstOutputTime struct{ mean time.Duration }

// Add learns from one answer.
func (l *FirstOutputTime) Add(taken time.Duration) {
	if l.mean == 0 {
		l.mean = taken
		return
	}
	l.mean += time.Duration(float64(taken-l.mean) * leadWeight)
}

// Within returns the time to be kept for the answer of a request with that objective:
// half of it at most, so that slow answers never make a request late that has just
// come.
func (l *FirstOutputTime) Within(objective time.Duration) time.Duration {
	return min(l.mean, objective/2)
}
