// Package retry decides whether an attempt may be followed by another.
package retry

import (
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/internal/outcome"
)

const (
	// MaxAttempts bounds the attempts at one request whose route sets no bound.
	MaxAttempts = 3
	// budgetRatio is the share of requests that may be retried.
	budgetRatio = 0.1
	// budgetReserve bounds the retries of an entry that come all at once.
	budgetReserve = 32
)

// Config say how many retries an entry may add to the load of one group.
type Config struct {
	// Ratio is the number of retries that each request earns.
	Ratio float64
	// Burst bounds the retries that come all at once.
	Burst float64
	// PerSecond is the number of retries that time alone earns.
	PerSecond float64
	// Window is the time for which retries of an earlier process at this place
	// count: its successor has no reserve before. 0 gives the reserve at once.
	Window time.Duration
}

// DefaultConfig are those of the product itself.
func DefaultConfig() Config { return Config{Ratio: budgetRatio, Burst: budgetReserve} }

// atOnce is the part of the slack that an entry may use all at once, as when a
// group breaks with all its streams; the rest comes back over a window.
const atOnce = 0.9

// SharedConfig splits the retries that all entries together may add in any
// window between that many entries. What is there at once and what comes back
// in a window make up no more than the slack.
func SharedConfig(ratio, slack float64, window time.Duration, entries int) Config {
	own := slack / float64(max(1, entries))
	return Config{Ratio: ratio, Burst: own * atOnce, PerSecond: own * (1 - atOnce) / window.Seconds(), Window: window}
}

// Budgets holds a budget for each group. It is safe for concurrent use.
type Budgets struct {
	mu      sync.Mutex
	terms   Config
	groups  map[string]*Budget
	started time.Time
}

// NewBudgets returns budgets on the given terms that have their reserve once
// the terms' window has passed.
func NewBudgets(t Config) *Budgets {
	return &Budgets{terms: t, groups: map[string]*Budget{}, started: time.Now()}
}

// Configure replaces the terms of all groups.
func (b *Budgets) Configure(t Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.terms = t
	for _, g := range b.groups {
		g.setTerms(t)
	}
}

// ForGroup returns the budget of a group.
func (b *Budgets) ForGroup(group string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.groups[group]
	if g == nil {
		g = &Budget{terms: b.terms, reserveAt: b.started.Add(b.terms.Window), filled: time.Now()}
		b.groups[group] = g
	}
	return g
}

// Budget bounds the retries that put load on the endpoints of one group. It is
// safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	terms  Config
	tokens float64
	// reserveAt is when the reserve comes; zero once it has.
	reserveAt time.Time
	// filled is the time up to which PerSecond was added.
	filled time.Time
}

func (b *Budget) setTerms(t Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.terms = t
	b.tokens = min(b.tokens, t.Burst)
}

// fill adds what time alone earns.
func (b *Budget) fill() {
	now := time.Now()
	b.tokens = min(b.tokens+now.Sub(b.filled).Seconds()*b.terms.PerSecond, b.terms.Burst)
	b.filled = now
	if !b.reserveAt.IsZero() && !now.Before(b.reserveAt) {
		b.tokens, b.reserveAt = b.terms.Burst, time.Time{}
	}
}

// Earn notes a new request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill()
	b.tokens = min(b.tokens+b.terms.Ratio, b.terms.Burst)
}

// Spend takes one retry from the budget and reports whether it had one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Cost is what an attempt that failed has put on the endpoints.
type Cost int

// Costs, from the least.
const (
	// CostNone says that nothing reached an endpoint.
	CostNone Cost = iota
	// CostBudget says that the attempt reached an endpoint that it was not meant for,
	// which turned it away: the next attempt takes a retry from the budget, but the
	// route's attempts are not used up.
	CostBudget
	// CostAttempt says that the attempt used up one of the route's attempts.
	CostAttempt
)

// CostOf returns what an attempt that failed for the reason has cost.
func CostOf(r outcome.Reason) Cost {
	switch r {
	case outcome.Held, outcome.Leaving, outcome.StaleView, outcome.NotReady,
		outcome.WrongIncarnation, outcome.OldEpoch, outcome.Sealed, outcome.EndpointUnreachable,
		outcome.NoBundle, outcome.ShuttingDown:
		return CostNone
	case outcome.EndpointReplaced:
		return CostBudget
	}
	return CostAttempt
}
