package measure

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cicadareel/cicadareel/internal/version/expertplan"
)

// groupSize is the size of a group in the expert map experiment.
type groupSize struct {
	name                            string
	ranks, perRank, experts, layers int
	tokens                          float64
}

const (
	planWindows = 240
	windowTime  = 10 * time.Second
	expertBytes = 44 << 20
	storeRate   = 1 << 30
	skewBound   = 1.1
	// learningWindows are left out of the count of changes.
	learningWindows = 10
)

var groupSizes = []groupSize{
	{"12 ranks, 48 experts", 12, 5, 48, 4, 40_000},
	{"128 ranks, 128 experts", 128, 2, 128, 4, 2_000_000},
}

// strategy changes the map of a group after each window.
type strategy interface {
	layers() []expertplan.Placement
	// observe is given counts that are one window old.
	observe(counts [][]float64) (moves int)
}

type never struct{ placements []expertplan.Placement }

func (n *never) layers() []expertplan.Placement { return n.placements }
func (n *never) observe([][]float64) int        { return 0 }

type repack struct {
	size       groupSize
	placements []expertplan.Placement
}

func (r *repack) layers() []expertplan.Placement { return r.placements }

func (r *repack) observe(counts [][]float64) int {
	moves := 0
	for layer, row := range counts {
		next := expertplan.Repack(r.size.ranks, r.size.perRank, row)
		moves += r.placements[layer].Moves(next)
		r.placements[layer] = next
	}
	return moves
}

type planned struct{ planner *expertplan.Planner }

func (p *planned) layers() []expertplan.Placement { return p.planner.Layers() }

func (p *planned) observe(counts [][]float64) int {
	p.planner.Observe(counts)
	plan, ok := p.planner.Decide()
	if !ok {
		return 0
	}
	p.planner.Adopt(plan)
	return plan.Moves
}

// ExpertMaps compares the planner with the naive versions.
func ExpertMaps(seed uint64) {
	fmt.Printf("\nexpert maps, %d windows, seed %d\n", planWindows, seed)
	fmt.Printf("%-24s %-14s %-8s %8s %8s %8s %8s %10s %10s\n", "group", "popularity", "version", "mean", "p99", ">1.1", "changes", "moved", "decision")
	for _, size := range groupSizes {
		for i := range popularityModels(seed, size.experts) {
			for _, version := range []string{"never", "repack", "ours"} {
				compare(size, seed, i, version)
			}
		}
	}
}

func newStrategy(size groupSize, version string) strategy {
	placements := []expertplan.Placement{}
	for range size.layers {
		placements = append(placements, expertplan.CyclicPlacement(size.ranks, size.perRank, size.experts))
	}
	switch version {
	case "never":
		return &never{placements}
	case "repack":
		return &repack{size, placements}
	}
	costs := expertplan.Costs{ExpertBytes: expertBytes, StoreRate: storeRate, HoldPause: 100 * time.Millisecond,
		LoadOverhead: 0.02, PopularityLifetime: 20 * time.Minute}
	return &planned{expertplan.NewPlanner(placements, size.experts, costs)}
}

// compare runs one version on one input. Every version sees the same counts.
func compare(size groupSize, seed uint64, input int, version string) {
	model := popularityModels(seed, size.experts)[input]
	random := rand.New(rand.NewPCG(seed, 2))
	s := newStrategy(size, version)
	skews, moves, changes := []float64{}, 0, 0
	var slowest time.Duration
	var late [][]float64
	for w := range planWindows {
		popularity := model.next(w)
		counts := [][]float64{}
		for layer := range size.layers {
			row := sample(random, popularity, size.tokens)
			counts = append(counts, row)
			skews = append(skews, expertplan.Skew(s.layers()[layer].Loads(row)))
		}
		if late != nil {
			started := time.Now()
			moved := s.observe(late)
			slowest = max(slowest, time.Since(started))
			moves += moved
			if moved > 0 && w > learningWindows {
				changes++
			}
		}
		late = counts
	}
	report(size, model.name, version, skews, moves, changes, slowest)
}

func report(size groupSize, model, version string, skews []float64, moves, changes int, slowest time.Duration) {
	sort.Float64s(skews)
	sum, over := 0.0, 0
	for _, s := range skews {
		sum += s
		if s > skewBound {
			over++
		}
	}
	n := len(skews)
	gigabytes := float64(moves) * expertBytes / (1 << 30)
	fmt.Printf("%-24s %-14s %-8s %8.3f %8.3f %7.1f%% %8d %8.1fGB %10v\n", size.name, model, version,
		sum/float64(n), skews[n*99/100], 100*float64(over)/float64(n), changes, gigabytes, slowest.Round(10*time.Microsecond))
}
