package admission

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"topazpulley/internal/failure"
)

// TenantLimit bounds one tenant on one daemon; zeros mean no limit.
type TenantLimit struct {
	RequestsPerSecond float64
	Concurrency       int
}

// tenantState is the use of one tenant.
type tenantState struct {
	limit    TenantLimit
	bucket   *rate.Limiter
	inFlight int
}

// Tenants bounds each tenant's rate and concurrency. mutex guards states.
type Tenants struct {
	mutex  sync.Mutex
	states map[string]*tenantState
}

// NewTenants returns bounds without any state.
func NewTenants() *Tenants { return &Tenants{states: map[string]*tenantState{}} }

const burstSeconds = 2

// Acquire admits one request of a tenant or refuses it at once. After a nil
// return the caller must call Release.
func (t *Tenants) Acquire(tenant string, limit TenantLimit, now time.Time) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	state := t.state(tenant, limit)
	if limit.Concurrency > 0 && state.inFlight >= limit.Concurrency {
		return failure.New(failure.KindOverloaded, "tenant_concurrency",
			"the tenant has %d requests in flight, its limit: wait for one to end", state.inFlight).WithNotRun().WithRetryAfter(time.Second)
	}
	if state.bucket != nil && !state.bucket.AllowN(now, 1) {
		wait := time.Duration((1 - state.bucket.TokensAt(now)) / limit.RequestsPerSecond * float64(time.Second))
		return failure.New(failure.KindOverloaded, "tenant_rate",
			"the tenant is above %.3g requests a second: slow down", limit.RequestsPerSecond).WithNotRun().WithRetryAfter(wait)
	}
	state.inFlight++
	return nil
}

// Release ends a request of a tenant.
func (t *Tenants) Release(tenant string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	state, known := t.states[tenant]
	if !known {
		return
	}
	state.inFlight--
	if state.inFlight == 0 && state.bucket == nil {
		delete(t.states, tenant)
	}
}

// state returns the tenant's state under its present limit. mutex is held.
func (t *Tenants) state(tenant string, limit TenantLimit) *tenantState {
	state, known := t.states[tenant]
	if known && state.limit == limit {
		return state
	}
	if !known {
		state = &tenantState{}
		t.states[tenant] = state
	}
	state.limit = limit
	state.bucket = nil
	if limit.RequestsPerSecond > 0 {
		state.bucket = rate.NewLimiter(rate.Limit(limit.RequestsPerSecond), int(limit.RequestsPerSecond*burstSeconds)+1)
	}
	return state
}

// RetryBudget lets retries be no more than a share of first attempts, so that
// an outage does not multiply the load. mutex guards tokens.
type RetryBudget struct {
	mutex  sync.Mutex
	share  float64
	most   float64
	tokens float64
}

// NewRetryBudget returns a full budget of the given share and reserve.
func NewRetryBudget(share, reserve float64) *RetryBudget {
	return &RetryBudget{share: share, most: reserve, tokens: reserve}
}

// Earn credits a first attempt.
func (b *RetryBudget) Earn() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.tokens+b.share, b.most)
}

// Spend takes one retry from the budget and reports whether there was one.
func (b *RetryBudget) Spend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
