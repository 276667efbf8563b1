package measure

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cicadareel/cicadareel/internal/version/expertplan"
)

// groupSize is the size and load of a simulated group.
type groupSize struct {
	name                            string
	ranks, perRank, experts, layers int
	// tokens is the mean number of tokens per layer and window.
	tokens float64
}

const (
	windowCount = 240
	windowTime  = 10 * time.Second
	expertBytes = 44 << 20 // weights of one expert in one layer, in bytes
	storeRate   = 1 << 30  // bytes per second
	// skewThreshold is the skew above which a window counts in the column ">1.1".
	skewThreshold = 1.1
	// learningWindows is the number of first windows in which map changes are not
	// counted.
	learningWindows = 10
)

var groupSizes = []groupSize{
	{"12 ranks, 48 experts", 12, 5, 48, 4, 40_000},
	{"128 ranks, 128 experts", 128, 2, 128, 4, 2_000_000},
}

// strategy decides on the map of a group after each window.
type strategy interface {
	layers() []expertplan.Placement
	// observe takes the token counts of the window before the last, by layer and
	// expert, and returns the number of experts that ranks load for a new map.
	observe(counts [][]float64) (moves int)
}

// fixedStrategy never changes the map.
type fixedStrategy struct{ placements []expertplan.Placement }

func (f *fixedStrategy) layers() []expertplan.Placement { return f.placements }
func (f *fixedStrategy) observe([][]float64) int        { return 0 }

// repackStrategy computes a new map after each window, whatever the change costs.
type repackStrategy struct {
	size       groupSize
	placements []expertplan.Placement
}

func (r *repackStrategy) layers() []expertplan.Placement { return r.placements }

func (r *repackStrategy) observe(counts [][]float64) int {
	moves := 0
	for layer, row := range counts {
		next := expertplan.Repack(r.size.ranks, r.size.perRank, row)
		moves += r.placements[layer].Moves(next)
		r.placements[layer] = next
	}
	return moves
}

// plannerStrategy changes the map as expertplan.Planner decides.
type plannerStrategy struct{ planner *expertplan.Planner }

func (p *plannerStrategy) layers() []expertplan.Placement { return p.planner.Layers() }

func (p *plannerStrategy) observe(counts [][]float64) int {
	p.planner.Observe(counts)
	plan, ok := p.planner.Decide()
	if !ok {
		return 0
	}
	p.planner.Adopt(plan)
	return plan.Moves
}

// CompareExpertMaps compares the planner with two baselines: to keep the first map, and
// to repack after each window.
func CompareExpertMaps(seed uint64) {
	fmt.Printf("\nexpert maps, %d windows, seed %d\n", windowCount, seed)
	fmt.Printf("%-24s %-14s %-8s %8s %8s %8s %8s %10s %10s\n", "group", "popularity", "strategy", "mean", "p99", ">1.1", "changes", "moved", "decision")
	for _, size := range groupSizes {
		for i := range popularityModels(seed, size.experts) {
			for _, name := range []string{"fixed", "repack", "planner"} {
				runStrategy(size, seed, i, name)
			}
		}
	}
}

func newStrategy(size groupSize, name string) strategy {
	placements := []expertplan.Placement{}
	for range size.layers {
		placements = append(placements, expertplan.CyclicPlacement(size.ranks, size.perRank, size.experts))
	}
	switch name {
	case "fixed":
		return &fixedStrategy{placements}
	case "repack":
		return &repackStrategy{size, placements}
	}
	costs := expertplan.Costs{ExpertBytes: expertBytes, StoreRate: storeRate, HoldPause: 100 * time.Millisecond,
		LoadOverhead: 0.02, PopularityLifetime: 20 * time.Minute}
	return &plannerStrategy{expertplan.NewPlanner(placements, size.experts, costs)}
}

// runStrategy runs a strategy on one input and prints the result. All strategies get
// the same token counts.
func runStrategy(size groupSize, seed uint64, input int, name string) {
	model := popularityModels(seed, size.experts)[input]
	random := rand.New(rand.NewPCG(seed, 2))
	s := newStrategy(size, name)
	skews, moves, changes := []float64{}, 0, 0
	var slowest time.Duration
	var delayed [][]float64
	for w := range windowCount {
		popularity := model.next(w)
		counts := [][]float64{}
		for layer := range size.layers {
			row := sample(random, popularity, size.tokens)
			counts = append(counts, row)
			skews = append(skews, expertplan.Skew(s.layers()[layer].Loads(row)))
		}
		if delayed != nil {
			started := time.Now()
			moved := s.observe(delayed)
			slowest = max(slowest, time.Since(started))
			moves += moved
			if moved > 0 && w > learningWindows {
				changes++
			}
		}
		delayed = counts
	}
	printRow(size, model.name, name, skews, moves, changes, slowest)
}

func printRow(size groupSize, model, name string, skews []float64, moves, changes int, slowest time.Duration) {
	sort.Float64s(skews)
	sum, over := 0.0, 0
	for _, s := range skews {
		sum += s
		if s > skewThreshold {
			over++
		}
	}
	n := len(skews)
	gigabytes := float64(moves) * expertBytes / (1 << 30)
	fmt.Printf("%-24s %-14s %-8s %8.3f %8.3f %7.1f%% %8d %8.1fGB %10v\n", size.name, model, name,
		sum/float64(n), skews[n*99/100], 100*float64(over)/float64(n), changes, gigabytes, slowest.Round(10*time.Microsecond))
}
