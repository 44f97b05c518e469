package responsetimeout

import (
	"math"
	"time"
)

const (
	// The upper bounds of the buckets grow by the factor growth, from shortestTime to
	// more than a minute.
	buckets      = 52
	growth       = 1.25
	shortestTime = time.Millisecond
	// maxTotal is the total weight at which all counts are halved, so that old response times
	// fade with the traffic.
	maxTotal = 1000
)

// times is a decaying histogram of durations. It is not safe for concurrent use.
type times struct {
	counts [buckets]float64
	total  float64
}

// add records a duration.
func (t *times) add(elapsed time.Duration) {
	if t.total >= maxTotal {
		for index := range t.counts {
			t.counts[index] /= 2
		}
		t.total /= 2
	}
	t.counts[bucketOf(elapsed)]++
	t.total++
}

// bucketOf returns the first bucket whose upper bound is not less than elapsed.
func bucketOf(elapsed time.Duration) int {
	if elapsed <= shortestTime {
		return 0
	}
	steps := math.Ceil(math.Log(float64(elapsed)/float64(shortestTime)) / math.Log(growth))
	return min(int(steps), buckets-1)
}

// quantile returns the upper bound of the bucket that contains the quantile.
func (t *times) quantile(q float64) time.Duration {
	target := q * t.total
	sum := 0.0
	for index, count := range t.counts {
		sum += count
		if sum >= target {
			return time.Duration(float64(shortestTime) * math.Pow(growth, float64(index)))
		}
	}
	return time.Duration(float64(shortestTime) * math.Pow(growth, buckets-1))
}
