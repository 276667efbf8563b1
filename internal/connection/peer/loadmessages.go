package peer

import (
	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/request/admission"
)

// Loads exchanges the loads of groups and the plans that limit them.
type Loads interface {
	// Loads returns this process's loads.
	Loads() []admission.GroupLoad
	// RecordLoads records the loads of another process.
	RecordLoads(instance string, loads []admission.GroupLoad)
	// Plans returns the plans that this process made; nil if it made none.
	Plans() []admission.GroupPlan
	// ApplyPlans applies plans that another process made.
	ApplyPlans(plans []admission.GroupPlan)
}

// loadsToWire converts loads to their messages.
func loadsToWire(loads []admission.GroupLoad) []*wire.GroupLoad {
	messages := make([]*wire.GroupLoad, len(loads))
	for i, l := range loads {
		m := &wire.GroupLoad{
			Group: l.Group, Ended: float32(l.Load.Ended), TimeSpent: float32(l.Load.TimeSpent),
			Late: float32(l.Load.Late), OnTime: float32(l.Load.OnTime),
			InFlight: float32(l.Load.InFlight), Slots: float32(l.Load.Slots),
			AtEndpoints: countsToWire(l.Load.AtEndpoints),
		}
		for account, d := range l.Load.Accounts {
			m.Accounts = append(m.Accounts, &wire.AccountDemand{Account: account, Fresh: float32(d.New), Returned: float32(d.Returned), InFlight: float32(d.InFlight)})
		}
		messages[i] = m
	}
	return messages
}

// loadsFromWire converts messages to loads.
func loadsFromWire(messages []*wire.GroupLoad) []admission.GroupLoad {
	loads := make([]admission.GroupLoad, len(messages))
	for i, m := range messages {
		l := admission.Load{
			Accounts: map[string]admission.Demand{}, Ended: float64(m.GetEnded()), TimeSpent: float64(m.GetTimeSpent()),
			Late: float64(m.GetLate()), OnTime: float64(m.GetOnTime()),
			InFlight: float64(m.GetInFlight()), Slots: float64(m.GetSlots()),
			AtEndpoints: countsFromWire(m.GetAtEndpoints()),
		}
		for _, a := range m.GetAccounts() {
			l.Accounts[a.GetAccount()] = admission.Demand{New: float64(a.GetFresh()), Returned: float64(a.GetReturned()), InFlight: float64(a.GetInFlight())}
		}
		loads[i] = admission.GroupLoad{Group: m.GetGroup(), Load: l}
	}
	return loads
}

// plansToWire converts plans to their messages.
func plansToWire(plans []admission.GroupPlan) []*wire.GroupPlan {
	messages := make([]*wire.GroupPlan, len(plans))
	for i, p := range plans {
		m := &wire.GroupPlan{Group: p.Group, RetryAfter: DurationToWire(p.Plan.RetryAfter), AtEndpoints: countsToWire(p.Plan.AtEndpoints), Target: float32(p.Plan.State.Target)}
		for account, perSecond := range p.Plan.State.Usual {
			m.Usual = append(m.Usual, &wire.AccountUsual{Account: account, PerSecond: float32(perSecond)})
		}
		for account, l := range p.Plan.Limits {
			m.Limits = append(m.Limits, &wire.AccountLimit{Account: account, InFlight: float32(l.InFlight), Demand: float32(l.Demand), NewFraction: float32(l.NewFraction)})
		}
		messages[i] = m
	}
	return messages
}

// plansFromWire converts messages to plans.
func plansFromWire(messages []*wire.GroupPlan) []admission.GroupPlan {
	plans := make([]admission.GroupPlan, len(messages))
	for i, m := range messages {
		p := admission.Plan{RetryAfter: m.GetRetryAfter().AsDuration(), Limits: map[string]admission.Limit{}, AtEndpoints: countsFromWire(m.GetAtEndpoints())}
		p.State = admission.State{Target: float64(m.GetTarget()), Usual: map[string]float64{}}
		for _, u := range m.GetUsual() {
			p.State.Usual[u.GetAccount()] = float64(u.GetPerSecond())
		}
		for _, l := range m.GetLimits() {
			p.Limits[l.GetAccount()] = admission.Limit{InFlight: float64(l.GetInFlight()), Demand: float64(l.GetDemand()), NewFraction: float64(l.GetNewFraction())}
		}
		plans[i] = admission.GroupPlan{Group: m.GetGroup(), Plan: p}
	}
	return plans
}

// countsToWire converts counts of requests to their message.
func countsToWire(counts map[admission.EndpointKey]int) *wire.EndpointCounts {
	m := &wire.EndpointCounts{}
	for endpoint, n := range counts {
		m.Endpoints = append(m.Endpoints, uint32(endpoint))
		m.Requests = append(m.Requests, uint32(n))
	}
	return m
}

// countsFromWire converts a message to counts of requests. It ignores endpoints without
// a count.
func countsFromWire(m *wire.EndpointCounts) map[admission.EndpointKey]int {
	counts := map[admission.EndpointKey]int{}
	requests := m.GetRequests()
	for i, endpoint := range m.GetEndpoints() {
		if i < len(requests) {
			counts[admission.EndpointKey(endpoint)] = int(requests[i])
		}
	}
	return counts
}
