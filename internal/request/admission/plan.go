package admission

import "time"

// Limit is what a client account gets that asks for more than its fair share.
type Limit struct {
	// InFlight is the number of the account's requests that may be in progress, in all
	// entries together.
	InFlight float64
	// Demand is the account's demand that the limit is for, in cost per second.
	Demand float64
	// NewFraction is the part admitted of requests that come for the first time. Those
	// that come back as told are admitted first.
	NewFraction float64
}

// Plan limits the requests of client accounts to a group.
type Plan struct {
	// Limits has the accounts that get less than they ask for.
	Limits map[string]Limit
	// RetryAfter is when refused callers should come back; set if there are limits.
	RetryAfter time.Duration
	// AtEndpoints has the requests in progress at each endpoint, of all entries.
	AtEndpoints map[EndpointKey]int
	// State is what another planner needs to go on from this plan.
	State State
	// Basis is empty in plans of other entries.
	Basis Basis
}

// State is what a planner has learned.
type State struct {
	// Target is the number of requests in progress that is aimed at, as a share of the
	// slots.
	Target float64
	// Usual has the usual demands of accounts that are not small, in cost per second;
	// nil while the planner does not know them.
	Usual map[string]float64
}

// Largest returns the limited account that asks for most, or "" if there is none.
func (p Plan) Largest() (account string, l Limit) {
	for name, limit := range p.Limits {
		if limit.Demand > l.Demand {
			account, l = name, limit
		}
	}
	return account, l
}

// Basis is what a plan was made from.
type Basis struct {
	// Entries is the number of entries whose loads are known.
	Entries int
	// InFlight is the number of requests in progress, Target how many there should be at
	// most, and Demand what all accounts ask for per second.
	InFlight, Target, Demand float64
	// ServiceTime is how long a request is in progress.
	ServiceTime time.Duration
}
