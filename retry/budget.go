// Package retry decides whether a failed request may be tried again: by a
// budget shared by all requests of an entry, and by marks on requests that
// were running when an upstream crashed. It does no I/O and reads no clock.
package retry

import "sync"

const (
	// budgetRatio is the number of retries earned by each fresh request.
	budgetRatio = 0.1
	// budgetBurst is the largest number of saved retries.
	budgetBurst = 10
)

// Budget bounds retries to a fraction of fresh traffic, so that they cannot
// amplify an outage.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns an empty budget. It earns before it spends, so that the
// bound holds from the first request on.
func NewBudget() *Budget {
	return &Budget{}
}

// Deposit records one fresh request.
func (b *Budget) Deposit() {
	b.mu.Lock()
	b.tokens = min(budgetBurst, b.tokens+budgetRatio)
	b.mu.Unlock()
}

// TryWithdraw spends one retry and reports whether the budget had it.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
