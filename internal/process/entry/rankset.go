package entry

import (
	"slices"

	"github.com/cicadareel/cicadareel/internal/version/expertswitch"
	"github.com/cicadareel/cicadareel/pkg/bundle"
	"github.com/cicadareel/cicadareel/platform"
)

// rankSet is a lock-step group with its ranks in order.
type rankSet struct {
	name string
	// service names the endpoint group of its ranks.
	service string
	epoch   uint64
	ranks   []expertswitch.Rank
	shape   bundle.Experts
	size    int
	open    bool
}

func (g rankSet) complete() bool { return g.open && len(g.ranks) == g.size }

// takesWork reports whether an endpoint is in use.
func (d *directory) takesWork(name string) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	n := d.nodes[name]
	return n != nil && !n.info.Leaving && !d.held[n.info.FailureDomain] && n.member.IsUp()
}

// rankGroups returns the lock-step groups of all endpoints.
func (d *directory) rankGroups() []rankSet {
	b := d.bundle.Load()
	if b == nil {
		return nil
	}
	d.mu.RLock()
	defer d.mu.RUnlock()
	groups := map[string][]*worker{}
	for _, n := range d.nodes {
		if n.info.Place != nil {
			groups[n.info.Place.Group] = append(groups[n.info.Place.Group], n)
		}
	}
	sets := make([]rankSet, 0, len(groups))
	for name, workers := range groups {
		if g := b.Group(workers[0].info.Group); g != nil && g.Experts != nil {
			sets = append(sets, newRankSet(name, workers, *g.Experts))
		}
	}
	slices.SortFunc(sets, func(a, b rankSet) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return sets
}

// newRankSet takes the ranks of the latest epoch.
func newRankSet(name string, workers []*worker, shape bundle.Experts) rankSet {
	g := rankSet{name: name, service: workers[0].info.Group, shape: shape, open: true}
	for _, w := range workers {
		g.epoch = max(g.epoch, w.info.Place.Epoch)
	}
	slices.SortFunc(workers, func(a, b *worker) int { return a.info.Place.Rank - b.info.Place.Rank })
	for _, w := range workers {
		if w.info.Place.Epoch != g.epoch {
			continue
		}
		g.size = w.info.Place.Size
		g.open = g.open && w.info.Place.Open
		g.ranks = append(g.ranks, platform.NewRankClient(w.info.Name, w.way.Client()))
	}
	return g
}
