// Package retry decides whether a failed request may be retried: by a budget
// shared by all requests of an entry, and by records of the requests that were
// running when an upstream crashed. It does no I/O and reads no clock.
package retry

import "sync"

const (
	// budgetRatio is the number of retries added by each new request.
	budgetRatio = 0.1
	// budgetBurst is the largest number of retries that can accumulate.
	budgetBurst = 10
)

// Budget is a token bucket that limits retries to a fraction of new requests, so
// that retries cannot amplify an outage.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns an empty budget: retries must be deposited before they can
// be withdrawn, so that the limit holds from the first request on.
func NewBudget() *Budget {
	return &Budget{}
}

// Deposit adds budgetRatio retries, for one new request.
func (b *Budget) Deposit() {
	b.mu.Lock()
	b.tokens = min(budgetBurst, b.tokens+budgetRatio)
	b.mu.Unlock()
}

// TryWithdraw takes one retry from the budget and reports whether there was one.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
