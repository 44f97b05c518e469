package admission

import (
	"sync"
	"time"

	"topazpulley/internal/failure"
)

// retryAfterConcurrency is the advice to a tenant with too many requests in
// flight: about the time of a short answer.
const retryAfterConcurrency = time.Second

// Concurrency bounds the requests of each tenant that are in flight at this
// daemon. mutex guards inFlight.
type Concurrency struct {
	mutex    sync.Mutex
	inFlight map[string]int
}

// NewConcurrency returns bounds without any request in flight.
func NewConcurrency() *Concurrency { return &Concurrency{inFlight: map[string]int{}} }

// Acquire admits one request of a tenant or refuses it at once; a limit of 0
// means no bound. After a nil return the caller must call Release.
func (c *Concurrency) Acquire(tenant string, limit int) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	present := c.inFlight[tenant]
	if limit > 0 && present >= limit {
		return failure.New(failure.KindOverloaded, "tenant_concurrency",
			"the tenant has %d requests in flight, its limit: wait for one to end", present).WithNotRun().WithRetryAfter(retryAfterConcurrency)
	}
	c.inFlight[tenant] = present + 1
	return nil
}

// Release ends a request of a tenant.
func (c *Concurrency) Release(tenant string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.inFlight[tenant]--
	if c.inFlight[tenant] <= 0 {
		delete(c.inFlight, tenant)
	}
}
