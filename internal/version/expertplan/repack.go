package expertplan

import "sort"

// Repack computes a placement from scratch. It gives spare slots to the experts
// with the highest load per copy, then places the copies, heaviest first, on the
// least loaded rank that has a free slot. internal/measure also uses it as the
// baseline for the planner.
func Repack(ranks, perRank int, popularity []float64) Placement {
	copies := assignCopies(ranks*perRank, popularity)
	order := []int32{}
	for e, n := range copies {
		for range n {
			order = append(order, int32(e))
		}
	}
	share := func(e int32) float64 { return popularity[e] / float64(copies[e]) }
	sort.SliceStable(order, func(i, j int) bool { return share(order[i]) > share(order[j]) })
	p := Placement{Slots: make([]int32, ranks*perRank), PerRank: perRank}
	loads, used := make([]float64, ranks), make([]int, ranks)
	for _, e := range order {
		r := leastLoaded(loads, used, perRank)
		p.Slots[r*perRank+used[r]] = e
		used[r]++
		loads[r] += share(e)
	}
	return p
}

// assignCopies gives each expert one copy and every further copy to the expert
// with the highest load per copy.
func assignCopies(slots int, popularity []float64) []int {
	copies := make([]int, len(popularity))
	for e := range copies {
		copies[e] = 1
	}
	for range slots - len(popularity) {
		heaviest := 0
		for e := range copies {
			if popularity[e]/float64(copies[e]) > popularity[heaviest]/float64(copies[heaviest]) {
				heaviest = e
			}
		}
		copies[heaviest]++
	}
	return copies
}

// leastLoaded returns the least loaded rank that has a free slot.
func leastLoaded(loads []float64, used []int, perRank int) int {
	best := -1
	for r := range loads {
		if used[r] < perRank && (best < 0 || loads[r] < loads[best]) {
			best = r
		}
	}
	return best
}
