package balancer

import "time"

// State is what decides whether and how gladly a member is picked, for operators.
type State struct {
	Name          string
	FailureDomain string
	// Eligible is true if a request may be sent to the member now. The fields below say
	// what keeps requests from it otherwise.
	Eligible bool
	// Open is true while the endpoint admits work, Up while it can be reached, and Held
	// while an operator's order forbids new work.
	Open, Up, Held bool
	// DependsOnBroken is true while something is broken that the endpoint depends on, such
	// as its rank group.
	DependsOnBroken bool
	// PausedFor is how much longer the endpoint wants no requests.
	PausedFor time.Duration
	// ColdFor is how much longer the endpoint is cold; ColdFull is true if it takes no
	// more requests for the moment because of that.
	ColdFor  time.Duration
	ColdFull bool
	// RateFull is true if the limit that the endpoint named permits no request now.
	RateFull bool
	// Limit is the number of requests that the endpoint runs at the same time, Own the
	// number of this entry's there, and Others that of other entries, as of OthersAge ago.
	Limit, Own, Others int
	OthersAge          time.Duration
	// Load is the load by which members are compared.
	Load float64
	// Slowness is how long the endpoint takes as a multiple of the usual time.
	Slowness float64
}

// State returns the member's state.
func (m *Member) State() State {
	s := State{
		Name: m.Name, FailureDomain: m.FailureDomain, Eligible: m.eligible(),
		Open: m.open.Load(), Up: m.up.Load(), Held: m.held.Load(), DependsOnBroken: m.Usable != nil && !m.Usable(),
		PausedFor: m.PausedFor(), RateFull: !m.RequestLimit.Ready(),
		Limit: int(m.limit.Load()), Own: m.OwnRequests(), Load: m.load(), Slowness: 1,
	}
	if at := m.othersAt.Load(); at != 0 {
		s.Others, s.OthersAge = int(m.others.Load()), time.Since(time.Unix(0, at))
	}
	if m.Warmup != nil {
		s.ColdFor, s.ColdFull = m.Warmup.ColdFor(), !m.Warmup.Ready()
	}
	if m.Slowness != nil {
		s.Slowness = m.Slowness()
	}
	return s
}
