package balancer

import (
	"sort"

	"github.com/cicadareel/cicadareel/internal/rendezvous"
)

// Candidate is an endpoint that an entry may connect to.
type Candidate struct{ Name, FailureDomain string }

// Subset returns the endpoints that an entry connects to. If there are at most size
// candidates, it returns all. Otherwise rendezvous hashing selects the same number
// in each failure domain, so that each entry covers every failure domain and the
// selection changes little when endpoints come and go.
func Subset(entry string, all []Candidate, size int) []Candidate {
	if len(all) <= size {
		return all
	}
	byDomain := map[string][]Candidate{}
	for _, c := range all {
		byDomain[c.FailureDomain] = append(byDomain[c.FailureDomain], c)
	}
	perDomain := (size + len(byDomain) - 1) / len(byDomain)
	selected := make([]Candidate, 0, size+len(byDomain))
	for _, candidates := range byDomain {
		sortByScore(entry, candidates)
		selected = append(selected, candidates[:min(perDomain, len(candidates))]...)
	}
	sort.Slice(selected, func(i, j int) bool { return selected[i].Name < selected[j].Name })
	return selected
}

// sortByScore sorts the candidates by their rendezvous score with the entry.
func sortByScore(entry string, candidates []Candidate) {
	sort.Slice(candidates, func(i, j int) bool {
		a, b := rendezvous.Score(entry, candidates[i].Name), rendezvous.Score(entry, candidates[j].Name)
		if a != b {
			return a < b
		}
		return candidates[i].Name < candidates[j].Name
	})
}
