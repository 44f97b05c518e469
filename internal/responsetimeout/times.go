package responsetimeout

import (
	"math"
	"time"
)

const (
	// buckets of times, each a quarter longer than the one before, reach from
	// shortestTime to more than a minute.
	buckets      = 52
	growth       = 1.25
	shortestTime = time.Millisecond
	// remembered is how many times are known at most; then each counts half, so that what
	// a service took a while ago fades with its traffic.
	remembered = 1000
)

// times is a histogram of times that forgets. It belongs to its user.
type times struct {
	counts [buckets]float64
	total  float64
}

// add notes a time.
func (t *times) add(took time.Duration) {
	if t.total >= remembered {
		for index := range t.counts {
			t.counts[index] /= 2
		}
		t.total /= 2
	}
	t.counts[bucketOf(took)]++
	t.total++
}

// bucketOf returns the first bucket whose upper end is no shorter than the time.
func bucketOf(took time.Duration) int {
	if took <= shortestTime {
		return 0
	}
	steps := math.Ceil(math.Log(float64(took)/float64(shortestTime)) / math.Log(growth))
	return min(int(steps), buckets-1)
}

// quantile returns the upper end of the bucket in which the quantile lies.
func (t *times) quantile(share float64) time.Duration {
	wanted := share * t.total
	sum := 0.0
	for index, count := range t.counts {
		sum += count
		if sum >= wanted {
			return time.Duration(float64(shortestTime) * math.Pow(growth, float64(index)))
		}
	}
	return time.Duration(float64(shortestTime) * math.Pow(growth, buckets-1))
}
