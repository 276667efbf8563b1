package peer

import (
	"sort"

	"github.com/cicadareel/cicadareel/internal/connection/store"
	"github.com/cicadareel/cicadareel/internal/rendezvous"
)

const (
	// sameDomainNeighbours is the number of neighbours in the same failure domain.
	sameDomainNeighbours = 2
	// otherDomainNeighbours is the number of neighbours in each other failure domain.
	otherDomainNeighbours = 2
)

// Neighbours returns the peers that a process exchanges views with: its successor
// in the ring of all names, which connects all processes, and a few peers in
// each failure domain by rendezvous hashing, which keep the paths between
// processes short. The choice changes little when instances come and go.
func Neighbours(self Self, all []store.Instance) []store.Instance {
	byDomain := map[string][]store.Instance{}
	for _, p := range all {
		if p.Name != self.Instance {
			byDomain[p.FailureDomain] = append(byDomain[p.FailureDomain], p)
		}
	}
	domains := make([]string, 0, len(byDomain))
	for d := range byDomain {
		domains = append(domains, d)
	}
	sort.Strings(domains)
	chosen := successor(self.Instance, all)
	for _, d := range domains {
		limit := otherDomainNeighbours
		if d == self.FailureDomain {
			limit = sameDomainNeighbours
		}
		chosen = append(chosen, closest(self.Instance, byDomain[d], limit)...)
	}
	return chosen
}

// successor returns the process with the next higher name, or the one with the
// lowest name if there is none.
func successor(self string, all []store.Instance) []store.Instance {
	var next, lowest *store.Instance
	for i := range all {
		p := &all[i]
		if p.Name == self {
			continue
		}
		if lowest == nil || p.Name < lowest.Name {
			lowest = p
		}
		if p.Name > self && (next == nil || p.Name < next.Name) {
			next = p
		}
	}
	switch {
	case next != nil:
		return []store.Instance{*next}
	case lowest != nil:
		return []store.Instance{*lowest}
	}
	return nil
}

// closest returns the peers with the lowest rendezvous scores.
func closest(self string, peers []store.Instance, limit int) []store.Instance {
	sort.Slice(peers, func(i, j int) bool {
		a, b := rendezvous.Score(self, peers[i].Name), rendezvous.Score(self, peers[j].Name)
		if a != b {
			return a < b
		}
		return peers[i].Name < peers[j].Name
	})
	return peers[:min(limit, len(peers))]
}
