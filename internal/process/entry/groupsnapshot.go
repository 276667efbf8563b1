package entry

import (
	"slices"

	"github.com/cicadareel/cicadareel/internal/version/expertswitch"
	"github.com/cicadareel/cicadareel/pkg/bundle"
	"github.com/cicadareel/cicadareel/platform"
)

// groupSnapshot is the announced state of a lock-step group, with its ranks in
// order.
type groupSnapshot struct {
	name string
	// endpointGroup names the endpoint group of the ranks.
	endpointGroup string
	epoch         uint64
	ranks         []expertswitch.Rank
	shape         bundle.Experts
	size          int
	ready         bool
}

// complete reports whether the group is ready and all its ranks are known.
func (g groupSnapshot) complete() bool { return g.ready && len(g.ranks) == g.size }

// acceptsWork reports whether an endpoint gets new requests.
func (f *directFleet) acceptsWork(name string) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	e := f.endpoints[name]
	return e != nil && !e.info.Leaving && !f.heldDomains[e.info.FailureDomain] && e.member.IsUp()
}

// groupSnapshots returns the lock-step groups of all endpoints, ordered by name.
func (f *directFleet) groupSnapshots() []groupSnapshot {
	b := f.bundle.Load()
	if b == nil {
		return nil
	}
	f.mu.RLock()
	defer f.mu.RUnlock()
	groups := map[string][]*directEndpoint{}
	for _, e := range f.endpoints {
		if e.info.Membership != nil {
			groups[e.info.Membership.Group] = append(groups[e.info.Membership.Group], e)
		}
	}
	snapshots := make([]groupSnapshot, 0, len(groups))
	for name, endpoints := range groups {
		if g := b.Group(endpoints[0].info.Group); g != nil && g.Experts != nil {
			snapshots = append(snapshots, newGroupSnapshot(name, endpoints, *g.Experts))
		}
	}
	slices.SortFunc(snapshots, func(a, b groupSnapshot) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return snapshots
}

// newGroupSnapshot returns a group with the ranks of its latest epoch.
func newGroupSnapshot(name string, endpoints []*directEndpoint, shape bundle.Experts) groupSnapshot {
	g := groupSnapshot{name: name, endpointGroup: endpoints[0].info.Group, shape: shape, ready: true}
	for _, e := range endpoints {
		g.epoch = max(g.epoch, e.info.Membership.Epoch)
	}
	slices.SortFunc(endpoints, func(a, b *directEndpoint) int { return a.info.Membership.Rank - b.info.Membership.Rank })
	bodies := platform.NewCommandBodies()
	for _, e := range endpoints {
		if e.info.Membership.Epoch != g.epoch {
			continue
		}
		g.size = e.info.Membership.Size
		g.ready = g.ready && e.info.Membership.Ready
		g.ranks = append(g.ranks, platform.NewRankClient(e.info.Name, e.commands, bodies))
	}
	return g
}
