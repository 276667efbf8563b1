package balancer

import (
	"math"
	"sync"
	"time"
)

// This file answers the load of many entries that send to the same ranks in lock-step at
// the same moment. What one knows of the others' requests is as old as the last exchange.
// If all send to the ranks that had few requests then, these are overrun in turns while
// others idle. So each entry spreads its own requests, which it counts itself: first over
// groups by the times of their passes, then over the ranks of a group, of which it takes
// the first one with the fewest own requests, from a start of its own. The starts divide
// the ring of ranks evenly, so that the parts which the entries fill lie side by side.
// Nothing of that depends on exchanges but the number of entries and their order.

const (
	// listLifetime is how long a list of usable members is used at most. Refresh makes a
	// new one in the background.
	listLifetime = 200 * time.Millisecond
	// listRetry is how old a list without a member for a query must be to be made anew.
	listRetry = 5 * time.Millisecond
)

// evenSpread spreads requests over the members of lock-step groups.
type evenSpread struct {
	place *Place

	mu sync.Mutex
	// takenAt is when groups was made.
	takenAt time.Time
	groups  []evenGroup
	// locksteps and slots are those of groups, without members of no group.
	locksteps []*Lockstep
	slots     []float64
}

// evenGroup has the usable members of one group, in the order of the ring.
type evenGroup struct {
	// lockstep is nil for members of no group.
	lockstep *Lockstep
	members  []evenMember
	slots    float64
	share    float64
	// score orders the groups for one pick: the least comes first. It is infinite once the
	// group had no member for the query.
	score float64
}

type evenMember struct {
	member *Member
	// slowness is that of the member when the list was made, and scale the mean slots of
	// the group's members divided by its own.
	slowness, scale float64
}

// hasLockstep reports whether any member is a rank of a lock-step group.
func (p *Picker) hasLockstep() bool {
	for _, m := range p.members {
		if m.Lockstep != nil {
			return true
		}
	}
	return false
}

// pickEven returns a member that the query allows, or nil if there is none.
func (p *Picker) pickEven(q *Query) *Member {
	e := &p.even
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Sub(e.takenAt) >= listLifetime {
		e.take(p.ordered, now)
	}
	m := e.pick(q)
	if m == nil && now.Sub(e.takenAt) >= listRetry {
		e.take(p.ordered, now)
		m = e.pick(q)
	}
	return m
}

// Refresh makes the list of the usable members of lock-step groups anew and balances the
// groups. Call it some ten times a second, so that picks need not.
func (p *Picker) Refresh() {
	if !p.hasLockstep() {
		return
	}
	p.even.mu.Lock()
	defer p.even.mu.Unlock()
	p.even.take(p.ordered, time.Now())
}

// take makes the list of usable members and balances the groups.
func (e *evenSpread) take(members []*Member, now time.Time) {
	e.takenAt = now
	for i := range e.groups {
		e.groups[i].members, e.groups[i].slots = e.groups[i].members[:0], 0
	}
	for _, m := range members {
		if !m.eligible() {
			continue
		}
		g := e.group(m.Lockstep)
		slowness := 1.0
		if m.Slowness != nil {
			slowness = m.Slowness()
		}
		slots := float64(max(1, m.limit.Load()))
		g.members = append(g.members, evenMember{member: m, slowness: slowness, scale: 1 / slots})
		g.slots += slots
	}
	e.locksteps, e.slots = e.locksteps[:0], e.slots[:0]
	for _, g := range e.groups {
		for i := range g.members {
			g.members[i].scale *= g.slots / float64(len(g.members))
		}
		if g.lockstep != nil && len(g.members) > 0 {
			e.locksteps, e.slots = append(e.locksteps, g.lockstep), append(e.slots, g.slots)
		}
	}
	if len(e.locksteps) > 1 {
		rebalance(e.locksteps, e.slots, now)
	}
	for i := range e.groups {
		e.groups[i].share = 1
		if l := e.groups[i].lockstep; l != nil && len(e.locksteps) > 1 {
			e.groups[i].share = l.Share()
		}
	}
}

// group returns the list of a group's members.
func (e *evenSpread) group(l *Lockstep) *evenGroup {
	for i := range e.groups {
		if e.groups[i].lockstep == l {
			return &e.groups[i]
		}
	}
	e.groups = append(e.groups, evenGroup{lockstep: l})
	return &e.groups[len(e.groups)-1]
}

func (e *evenSpread) pick(q *Query) *Member {
	turn := e.place.turn()
	for i := range e.groups {
		e.groups[i].rate(turn + float64(i)/float64(len(e.groups)))
	}
	for range e.groups {
		g := &e.groups[0]
		for i := range e.groups {
			if e.groups[i].score < g.score {
				g = &e.groups[i]
			}
		}
		if math.IsInf(g.score, 1) {
			return nil
		}
		if m := g.pick(q, e.place); m != nil {
			return m
		}
		g.score = math.Inf(1)
	}
	return nil
}

// rate sets the group's score: the entry's own requests by what the group should have of
// them. Entries that have few requests prefer different groups by their turn.
func (g *evenGroup) rate(turn float64) {
	if len(g.members) == 0 {
		g.score = math.Inf(1)
		return
	}
	_, requests := math.Modf(turn)
	for _, m := range g.members {
		requests += m.requests()
	}
	g.score = requests / (g.slots * g.share)
}

// pick returns the first member with the fewest of the entry's requests, from the entry's
// start on.
func (g *evenGroup) pick(q *Query, p *Place) *Member {
	var best *Member
	least := math.Inf(1)
	start := p.start(len(g.members))
	for i := range g.members {
		if i += start; i >= len(g.members) {
			i -= len(g.members)
		}
		m := &g.members[i]
		if load := m.load(); load < least && q.allows(m.member) {
			best, least = m.member, load
		}
	}
	return best
}

// requests returns the entry's requests at the member, with those that failed lately.
func (m *evenMember) requests() float64 {
	return float64(m.member.own.Load()) + m.member.failures.recent()
}

// load returns the requests, scaled by the member's slots and slowness.
func (m *evenMember) load() float64 {
	load := m.requests() * m.scale
	if m.slowness == 1 {
		return load
	}
	return (load+1)*m.slowness - 1
}
