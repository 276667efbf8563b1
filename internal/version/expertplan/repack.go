package expertplan

import "sort"

// Repack places the experts from scratch for a popularity: spare slots go to
// the experts with the highest load per copy, then copies go to the least
// loaded rank with room, heaviest first. It is the naive version that the
// planner is compared with.
func Repack(ranks, perRank int, popularity []float64) Placement {
	copies := spread(ranks*perRank, popularity)
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
		r := lightest(loads, used, perRank)
		p.Slots[r*perRank+used[r]] = e
		used[r]++
		loads[r] += share(e)
	}
	return p
}

// spread gives each expert one copy and the rest to the heaviest per copy.
func spread(slots int, popularity []float64) []int {
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

func lightest(loads []float64, used []int, perRank int) int {
	best := -1
	for r := range loads {
		if used[r] < perRank && (best < 0 || loads[r] < loads[best]) {
			best = r
		}
	}
	return best
}
