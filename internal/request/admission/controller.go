package admission

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// loadLifetime is how long the load that another entry reported counts.
	loadLifetime = 2 * time.Second
	// minCoverage is the share of entries whose loads an entry must know to make plans.
	minCoverage = 0.66
)

// GroupLoad is the load of a group at one entry.
type GroupLoad struct {
	Group string
	Load  Load
}

// GroupPlan is the plan for a group.
type GroupPlan struct {
	Group string
	Plan  Plan
}

// Endpoints are the endpoints of all groups as this entry sees them.
type Endpoints interface {
	// Slots returns the number of requests that a group's usable endpoints run at the
	// same time.
	Slots(group string) int
	// Levels returns the number of levels of urgency that the bundle in force gives to the
	// requests to a group; 1 if they do not differ.
	Levels(group string) int
	// InProgress returns the requests at a group's usable endpoints: those of this entry,
	// and what it knows of those of others.
	InProgress(group string) int
	// Requests returns this entry's requests in progress at the endpoints of a group.
	Requests(group string) map[EndpointKey]int
	// ApplyOthers applies the requests of other entries in progress at the endpoints of a
	// group.
	ApplyOthers(group string, requests map[EndpointKey]int)
}

// Controller admits the requests of one entry to all groups, and exchanges loads and
// plans with other entries. It is safe for concurrent use.
type Controller struct {
	endpoints Endpoints
	// entries returns the number of live entries.
	entries func() int

	mu     sync.Mutex
	groups map[string]*group
	// reports holds the last loads that other entries reported, by instance.
	reports map[string]report
	// plans are the plans that this entry made last; nil if it knows too few loads, and
	// without those of groups whose usual demands it does not know, unless their requests
	// differ in urgency, which needs only the requests at endpoints.
	plans []GroupPlan
}

// group is the state of one group.
type group struct {
	meter   *Meter
	limiter *Limiter
	planner *Planner
	levels  *Levels
	// reported is the load that this entry measured last, previous the one before, of
	// which the plans of other entries know.
	reported, previous Load
}

// hasUsual reports whether the plan in force was made with usual demands. One without them
// has no limits and does not replace it.
func (g *group) hasUsual() bool {
	plan, _ := g.limiter.Plan()
	return len(plan.State.Usual) > 0
}

// withPlanAge adds to a refusal by urgency the age of the plan that tells the requests of
// other entries.
func (g *group) withPlanAge(d Decision) Decision {
	if d.LessUrgent {
		_, d.PlanAge = g.limiter.Plan()
	}
	return d
}

// report is what another entry reported.
type report struct {
	loads      map[string]Load
	receivedAt time.Time
}

// NewController returns a controller that has measured nothing and limits nothing.
func NewController(e Endpoints, entries func() int) *Controller {
	return &Controller{endpoints: e, entries: entries, groups: map[string]*group{}, reports: map[string]report{}}
}

// group returns the state of a group.
func (c *Controller) group(name string) *group {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.groups[name]
	if g == nil {
		m := NewMeter()
		g = &group{meter: m, limiter: NewLimiter(m), planner: &Planner{}, levels: &Levels{}}
		c.groups[name] = g
	}
	return g
}

// Admit decides on a request. It returns its ticket, which is empty if the request is
// refused.
func (c *Controller) Admit(groupName string, r Request) (Decision, Ticket) {
	g := c.group(groupName)
	g.meter.CountArrival(r)
	d := g.limiter.Decide(r)
	if d.Admitted {
		d = g.withPlanAge(g.levels.Decide(r, d))
	}
	if !d.Admitted {
		return d, Ticket{}
	}
	g.meter.Begin(r)
	g.levels.Begin()
	return d, Ticket{meter: g.meter, levels: g.levels, request: r, begun: time.Now()}
}

// Preview returns what Admit would decide on a request, and the plan in force with its age.
// The request is not counted.
func (c *Controller) Preview(groupName string, r Request) (Decision, Plan, time.Duration) {
	g := c.group(groupName)
	plan, age := g.limiter.Plan()
	d := g.limiter.Preview(r)
	if d.Admitted {
		d = g.withPlanAge(g.levels.Preview(r, d))
	}
	return d, plan, age
}

// Ticket stands for an admitted request in progress. The zero value stands for none.
type Ticket struct {
	// meter and levels are nil in the zero value.
	meter   *Meter
	levels  *Levels
	request Request
	begun   time.Time
}

// RecordTimeliness counts a request that missed or kept its objectives.
func (t Ticket) RecordTimeliness(late bool) {
	if t.meter != nil {
		t.meter.RecordTimeliness(late)
	}
}

// End ends the request. Call it once.
func (t Ticket) End() {
	if t.meter != nil {
		t.meter.End(t.request, time.Since(t.begun))
		t.levels.End()
	}
}

// Loads returns this entry's loads, to be reported to another entry.
func (c *Controller) Loads() []GroupLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	loads := make([]GroupLoad, 0, len(c.groups))
	for name, g := range c.groups {
		loads = append(loads, GroupLoad{Group: name, Load: g.reported})
	}
	slices.SortFunc(loads, func(a, b GroupLoad) int { return strings.Compare(a.Group, b.Group) })
	return loads
}

// RecordLoads records what another entry reported.
func (c *Controller) RecordLoads(instance string, loads []GroupLoad) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := report{loads: map[string]Load{}, receivedAt: time.Now()}
	for _, l := range loads {
		r.loads[l.Group] = l.Load
	}
	c.reports[instance] = r
}

// Plans returns the plans that this entry made, or nil if it knows too few loads.
func (c *Controller) Plans() []GroupPlan {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plans
}

// ApplyPlans applies plans that another entry made to groups for which this entry makes
// none, and keeps what the other has learned, to go on from there.
func (c *Controller) ApplyPlans(plans []GroupPlan) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range plans {
		g := c.groups[p.Group]
		if g == nil || (c.makesPlan(p.Group) && g.planner.knowsUsual()) {
			continue
		}
		switch usual := p.Plan.State.Usual; {
		case len(usual) == 0 && c.endpoints.Levels(p.Group) > 1:
			if g.hasUsual() {
				continue
			}
		case usual == nil:
			continue
		default:
			g.planner.adopt(p.Plan.State)
		}
		c.apply(p, g, g.previous)
	}
}

// makesPlan reports whether this entry made a plan for a group last. The caller must hold
// mu.
func (c *Controller) makesPlan(group string) bool {
	return slices.ContainsFunc(c.plans, func(p GroupPlan) bool { return p.Group == group })
}

// Update measures this entry's loads and, if it knows the loads of enough entries,
// makes plans and applies them. Call it a few times a second.
func (c *Controller) Update() {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.reports, func(_ string, r report) bool { return time.Since(r.receivedAt) > loadLifetime })
	covered := float64(1+len(c.reports)) >= minCoverage*float64(c.entries())
	c.plans = nil
	for name, g := range c.groups {
		g.previous = g.reported
		g.reported = g.meter.Load(float64(c.endpoints.Slots(name)))
		g.reported.AtEndpoints = c.endpoints.Requests(name)
		g.limiter.LearnUsual(g.reported)
		plan, _ := g.limiter.Plan()
		g.levels.Update(float64(c.endpoints.InProgress(name)), g.reported.Slots, plan.AtEndpoints != nil)
		g.planner.leveled = c.endpoints.Levels(name) > 1
		if !covered {
			continue
		}
		p := GroupPlan{Group: name, Plan: g.planner.Update(c.loadsOf(name, g))}
		if !g.planner.knowsUsual() && (!g.planner.leveled || g.hasUsual()) {
			continue
		}
		c.apply(p, g, g.reported)
		c.plans = append(c.plans, p)
	}
}

// apply applies a plan that takes a load of this entry into account. The caller must
// hold mu.
func (c *Controller) apply(p GroupPlan, g *group, own Load) {
	g.limiter.Apply(p.Plan, own)
	others := make(map[EndpointKey]int, len(p.Plan.AtEndpoints))
	for endpoint, n := range p.Plan.AtEndpoints {
		others[endpoint] = max(0, n-own.AtEndpoints[endpoint])
	}
	c.endpoints.ApplyOthers(p.Group, others)
}

// loadsOf returns the loads of a group at all entries that are known. The caller must
// hold mu.
func (c *Controller) loadsOf(name string, g *group) []Load {
	loads := []Load{g.reported}
	for _, r := range c.reports {
		if l, ok := r.loads[name]; ok {
			loads = append(loads, l)
		}
	}
	return loads
}

// PlansInForce returns the plans that this entry applies, ordered by group.
func (c *Controller) PlansInForce() []GroupPlan {
	c.mu.Lock()
	defer c.mu.Unlock()
	plans := make([]GroupPlan, 0, len(c.groups))
	for name, g := range c.groups {
		plan, _ := g.limiter.Plan()
		plans = append(plans, GroupPlan{Group: name, Plan: plan})
	}
	slices.SortFunc(plans, func(a, b GroupPlan) int { return strings.Compare(a.Group, b.Group) })
	return plans
}

// LimitedAccounts returns the number of client accounts that are limited now.
func (c *Controller) LimitedAccounts() int64 {
	limited := 0
	for _, p := range c.PlansInForce() {
		limited += len(p.Plan.Limits)
	}
	return int64(limited)
}

// Levels returns what the levels of groups decide from whose requests differ in urgency,
// ordered by group. It starts counting refusals anew.
func (c *Controller) Levels() []LevelState {
	c.mu.Lock()
	defer c.mu.Unlock()
	var states []LevelState
	for name, g := range c.groups {
		if g.levels.Active() {
			s := g.levels.State()
			s.Group = name
			states = append(states, s)
		}
	}
	slices.SortFunc(states, func(a, b LevelState) int { return strings.Compare(a.Group, b.Group) })
	return states
}
