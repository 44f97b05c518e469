package admission

import (
	"sync"
	"time"

	"topazpulley/internal/failure"
)

// concurrencyRetryAfter is the retry delay returned to a tenant at its limit.
const concurrencyRetryAfter = time.Second

// Concurrency limits the requests of each tenant in flight at this daemon. mutex guards inFlight.
type Concurrency struct {
	mutex    sync.Mutex
	inFlight map[string]int
}

// NewConcurrency returns a Concurrency without requests in flight.
func NewConcurrency() *Concurrency { return &Concurrency{inFlight: map[string]int{}} }

// Acquire admits a request of a tenant or rejects it immediately. A limit of 0
// means no limit. After a nil return the caller must call Release.
func (c *Concurrency) Acquire(tenant string, limit int) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	current := c.inFlight[tenant]
	if limit > 0 && current >= limit {
		return failure.New(failure.KindOverloaded, "tenant_concurrency",
			"the tenant has %d requests in flight, which is its limit: retry after one has finished", current).WithNotRun().WithRetryAfter(concurrencyRetryAfter)
	}
	c.inFlight[tenant] = current + 1
	return nil
}

// Release records the end of an admitted request.
func (c *Concurrency) Release(tenant string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.inFlight[tenant]--
	if c.inFlight[tenant] <= 0 {
		delete(c.inFlight, tenant)
	}
}
