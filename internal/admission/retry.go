package admission

import "sync"

// RetryBudget limits retries to a share of first attempts, so that retries do not
// multiply the load during an outage. mutex guards tokens.
type RetryBudget struct {
	mutex sync.Mutex
	share float64
	// maximum is the largest number of saved tokens.
	maximum float64
	tokens  float64
}

// NewRetryBudget returns a budget that allows share retries per first attempt and
// saves up to reserve unused retries. It starts with reserve.
func NewRetryBudget(share, reserve float64) *RetryBudget {
	return &RetryBudget{share: share, maximum: reserve, tokens: reserve}
}

// Earn adds the share of one first attempt to the budget.
func (b *RetryBudget) Earn() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.tokens+b.share, b.maximum)
}

// Spend takes one retry from the budget. It returns false if the budget is exhausted.
func (b *RetryBudget) Spend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Left returns the number of retries that the budget allows now.
func (b *RetryBudget) Left() float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.tokens
}
