package intake

import (
	"sync"
	"time"
)

// mixTime is the length of the periods in which requests are counted; the present and the last one
// are considered.
const mixTime = time.Second

// Mix counts a daemon's recent requests by service. It is safe for concurrent use.
type Mix struct {
	mutex   sync.Mutex
	present map[string]int
	last    map[string]int
	began   time.Time
}

// NewMix returns a mix without requests.
func NewMix() *Mix { return &Mix{present: map[string]int{}, last: map[string]int{}} }

// Count counts a request.
func (m *Mix) Count(service string, now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.rotate(now)
	m.present[service]++
}

// Shares returns the share of the recent requests that each service has.
func (m *Mix) Shares(now time.Time) map[string]float64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.rotate(now)
	shares, total := map[string]float64{}, 0
	for _, counted := range []map[string]int{m.present, m.last} {
		for service, count := range counted {
			shares[service] += float64(count)
			total += count
		}
	}
	for service := range shares {
		shares[service] /= float64(total)
	}
	return shares
}

func (m *Mix) rotate(now time.Time) {
	elapsed := now.Sub(m.began)
	if elapsed < mixTime {
		return
	}
	m.last = m.present
	if elapsed >= 2*mixTime {
		m.last = map[string]int{}
	}
	m.present, m.began = map[string]int{}, now
}
