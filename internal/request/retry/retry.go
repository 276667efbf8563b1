// Package retry decides whether an attempt may be followed by another.
package retry

import (
	"sync"

	"github.com/cicadareel/cicadareel/internal/request/outcome"
)

const (
	// MaxAttempts bounds the attempts at one request.
	MaxAttempts = 3
	// budgetRatio is the share of requests that may be retried.
	budgetRatio = 0.1
	// budgetReserve bounds the retries of an entry that come all at once.
	budgetReserve = 32
)

// Budget bounds the retries that put load on endpoints to a share of the
// requests. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: budgetReserve} }

// Earn notes a new request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+budgetRatio, budgetReserve)
}

// Spend takes one retry from the budget and reports whether it had one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Free reports whether a retry after the reason costs nothing: the attempt
// certainly put no load on an endpoint, and work must go elsewhere.
func Free(r outcome.Reason) bool {
	switch r {
	case outcome.Held, outcome.Leaving, outcome.StaleView, outcome.NotReady,
		outcome.WrongIncarnation, outcome.OldEpoch, outcome.Sealed, outcome.EndpointUnreachable,
		outcome.NoBundle, outcome.ShuttingDown:
		return true
	}
	return false
}
