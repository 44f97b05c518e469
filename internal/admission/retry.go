package admission

import "sync"

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
