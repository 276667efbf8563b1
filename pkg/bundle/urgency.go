package bundle

import (
	"cmp"
	"iter"
	"slices"
)

// rank is the urgency of a request. That of its client account decides, and among equals
// that of its route.
type rank struct {
	// account is the priority of the client account, or that of the route if the account
	// has none.
	account int
	route   int
}

// compare orders ranks, the most urgent first.
func (r rank) compare(o rank) int {
	return cmp.Or(cmp.Compare(o.account, r.account), cmp.Compare(o.route, r.route))
}

func rankOf(accountPriority *int, r *Route) rank {
	if accountPriority == nil {
		return rank{r.Priority, r.Priority}
	}
	return rank{*accountPriority, r.Priority}
}

// indexLevels collects the ranks that requests to each group may have, for groups whose
// routes differ in priority.
func (b *Bundle) indexLevels() {
	priorities := map[string]map[int]bool{}
	for i := range b.Routes {
		for g := range b.Routes[i].groups() {
			if priorities[g] == nil {
				priorities[g] = map[int]bool{}
			}
			priorities[g][b.Routes[i].Priority] = true
		}
	}
	ofAccounts := b.accountPriorities()
	for g, ofRoutes := range priorities {
		if len(ofRoutes) == 1 {
			continue
		}
		var ranks []rank
		for priority := range ofRoutes {
			for _, account := range ofAccounts {
				ranks = append(ranks, rankOf(account, &Route{Priority: priority}))
			}
		}
		slices.SortFunc(ranks, rank.compare)
		b.index.levels[g] = slices.Compact(ranks)
	}
}

// accountPriorities returns the different priorities of client accounts, and nil for those
// without and for requests without a token.
func (b *Bundle) accountPriorities() []*int {
	different := []*int{nil}
	for i := range b.ClientAccounts {
		p := b.ClientAccounts[i].Priority
		if p != nil && !slices.ContainsFunc(different, func(d *int) bool { return d != nil && *d == *p }) {
			different = append(different, p)
		}
	}
	return different
}

// groups iterates over the groups to which the route may lead.
func (r *Route) groups() iter.Seq[string] {
	return func(yield func(string) bool) {
		if len(r.Shares) == 0 {
			yield(r.Group)
			return
		}
		for _, s := range r.Shares {
			if !yield(s.Group) {
				return
			}
		}
	}
}

// Level returns how many ranks of requests to a group are more urgent than that of an
// account's request on a route, and the number of all ranks. It returns 0 and 1 if the
// routes to the group have the same priority.
func (b *Bundle) Level(group string, a *ClientAccount, r *Route) (level, levels int) {
	all := b.index.levels[group]
	own := rankOf(a.Priority, r)
	for level < len(all)-1 && all[level].compare(own) < 0 {
		level++
	}
	return level, b.Levels(group)
}

// Levels returns the number of ranks of requests to a group, 1 if its routes have the same
// priority.
func (b *Bundle) Levels(group string) int { return max(1, len(b.index.levels[group])) }
