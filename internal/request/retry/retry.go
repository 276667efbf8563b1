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
	// defaultRatio is the share of requests that may be retried.
	defaultRatio = 0.1
	// defaultBurst is the number of retries that an entry may make at once.
	defaultBurst = 32
)

// Config sets how many retries an entry may add to the load of one group. It
// describes a token bucket in which each retry takes one token.
type Config struct {
	// Ratio is the number of tokens that each new request adds.
	Ratio float64
	// Burst is the capacity of the bucket: the retries that may come at once.
	Burst float64
	// PerSecond is the number of tokens that each second adds.
	PerSecond float64
	// Window is the time after an entry's start during which it has no burst, because
	// the retries of the process that it replaces still count. 0 gives the burst at
	// once.
	Window time.Duration
}

// DefaultConfig returns the limits of an entry for which no others are set.
func DefaultConfig() Config { return Config{Ratio: defaultRatio, Burst: defaultBurst} }

// burstShare is the part of the slack that an entry may use at once, as when a
// group fails with all its streams. The rest is added over a window.
const burstShare = 0.9

// SharedConfig returns the limits of each of a number of entries that together
// may add, in any window, ratio times the requests and slack further retries.
// Burst and the tokens that one window adds by time make up each entry's share
// of the slack.
func SharedConfig(ratio, slack float64, window time.Duration, entries int) Config {
	share := slack / float64(max(1, entries))
	return Config{Ratio: ratio, Burst: share * burstShare, PerSecond: share * (1 - burstShare) / window.Seconds(), Window: window}
}

// Budgets holds a budget for each group. It is safe for concurrent use.
type Budgets struct {
	mu      sync.Mutex
	config  Config
	groups  map[string]*Budget
	started time.Time
}

// NewBudgets returns budgets that get their burst once the window of the config
// has passed.
func NewBudgets(c Config) *Budgets {
	return &Budgets{config: c, groups: map[string]*Budget{}, started: time.Now()}
}

// Configure replaces the limits of all groups.
func (b *Budgets) Configure(c Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config = c
	for _, g := range b.groups {
		g.configure(c)
	}
}

// ForGroup returns the budget of a group.
func (b *Budgets) ForGroup(group string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.groups[group]
	if g == nil {
		g = &Budget{config: b.config, burstAt: b.started.Add(b.config.Window), refilledAt: time.Now()}
		b.groups[group] = g
	}
	return g
}

// Budget bounds the retries that put load on the endpoints of one group. It is
// safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	config Config
	tokens float64
	// burstAt is when the bucket is filled for the first time; zero once it was.
	burstAt time.Time
	// refilledAt is the time up to which tokens were added for elapsed time.
	refilledAt time.Time
}

// configure replaces the limits. Tokens above the new capacity are lost.
func (b *Budget) configure(c Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config = c
	b.tokens = min(b.tokens, c.Burst)
}

// refill adds the tokens for the time since the last refill, and fills the bucket
// when the first burst is due.
func (b *Budget) refill() {
	now := time.Now()
	b.tokens = min(b.tokens+now.Sub(b.refilledAt).Seconds()*b.config.PerSecond, b.config.Burst)
	b.refilledAt = now
	if !b.burstAt.IsZero() && !now.Before(b.burstAt) {
		b.tokens, b.burstAt = b.config.Burst, time.Time{}
	}
}

// Earn adds the tokens of one new request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.tokens = min(b.tokens+b.config.Ratio, b.config.Burst)
}

// Spend takes the token of one retry and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Cost says which limits on further attempts a failed attempt counts against.
type Cost int

// Costs, from the least.
const (
	// CostNone says that nothing reached an endpoint.
	CostNone Cost = iota
	// CostBudget says that the attempt reached an endpoint that it was not meant
	// for, which rejected it: the next attempt takes a token from the budget, but
	// none of the route's attempts is used up.
	CostBudget
	// CostAttempt says that the attempt used up one of the route's attempts; the
	// next one also takes a token from the budget.
	CostAttempt
)

// CostOf returns the cost of an attempt that failed for the reason.
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
