package balancer

import (
	"sort"

	"github.com/cicadareel/cicadareel/internal/rendezvous"
)

// Candidate is an endpoint and its failure domain.
type Candidate struct{ Name, FailureDomain string }

// Subset returns the endpoints that an entry connects to: all of them up to
// size, else the same number in each failure domain by rendezvous hashing, so
// that each entry covers every failure domain and the choice changes little
// when endpoints come and go.
func Subset(entry string, all []Candidate, size int) []Candidate {
	if len(all) <= size {
		return all
	}
	byDomain := map[string][]Candidate{}
	for _, s := range all {
		byDomain[s.FailureDomain] = append(byDomain[s.FailureDomain], s)
	}
	share := (size + len(byDomain) - 1) / len(byDomain)
	chosen := make([]Candidate, 0, size+len(byDomain))
	for _, sites := range byDomain {
		rank(entry, sites)
		chosen = append(chosen, sites[:min(share, len(sites))]...)
	}
	sort.Slice(chosen, func(i, j int) bool { return chosen[i].Name < chosen[j].Name })
	return chosen
}

func rank(entry string, sites []Candidate) {
	sort.Slice(sites, func(i, j int) bool {
		a, b := rendezvous.Score(entry, sites[i].Name), rendezvous.Score(entry, sites[j].Name)
		if a != b {
			return a < b
		}
		return sites[i].Name < sites[j].Name
	})
}
