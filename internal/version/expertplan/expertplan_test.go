package expertplan_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cicadareel/cicadareel/internal/version/expertplan"
)

var suite *testing.T

func TestExpertPlan(t *testing.T) {
	suite = t
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	RegisterFailHandler(Fail)
	RunSpecs(t, "expertplan")
}

var costs = expertplan.Costs{
	ExpertBytes: 44 << 20, StoreRate: 1 << 30, HoldPause: 100 * time.Millisecond, LoadOverhead: 0.02, PopularityLifetime: 20 * time.Minute,
}

// counts returns noisy token counts that are proportional to 1/(position+2),
// where positions has each expert's position in the order of popularity.
func counts(random *rand.Rand, positions []int) [][]float64 {
	row := make([]float64, len(positions))
	for e, position := range positions {
		row[e] = 40000/float64(position+2) + 50*random.NormFloat64()
	}
	return [][]float64{row}
}

var _ = Describe("a planner", func() {
	newPlanner := func() *expertplan.Planner {
		return expertplan.NewPlanner([]expertplan.Placement{expertplan.CyclicPlacement(12, 5, 48)}, 48, costs)
	}
	// run passes windows to the planner and returns those after which it changed
	// the map.
	run := func(p *expertplan.Planner, windows int, positions []int) []int {
		random := rand.New(rand.NewPCG(1, 1))
		changes := []int{}
		for w := range windows {
			p.Observe(counts(random, positions))
			if plan, ok := p.Decide(); ok {
				p.Adopt(plan)
				changes = append(changes, w)
			}
		}
		return changes
	}

	It("balances the load at first and then does not react to noise", func() {
		p := newPlanner()
		positions := rand.New(rand.NewPCG(2, 2)).Perm(48)
		changes := run(p, 100, positions)
		Expect(changes).NotTo(BeEmpty())
		Expect(changes[len(changes)-1]).To(BeNumerically("<", 20))
		skew := expertplan.Skew(p.Layers()[0].Loads(counts(rand.New(rand.NewPCG(3, 3)), positions)[0]))
		Expect(skew).To(BeNumerically("<", 1.1))
	})

	It("follows a sudden shift of popularity within four windows", func() {
		p := newPlanner()
		run(p, 50, rand.New(rand.NewPCG(2, 2)).Perm(48))
		after := rand.New(rand.NewPCG(9, 9)).Perm(48)
		run(p, 4, after)
		Expect(expertplan.Skew(p.Layers()[0].Loads(counts(rand.New(rand.NewPCG(3, 3)), after)[0]))).To(BeNumerically("<", 1.15))
	})

	It("does not change the map if the cost exceeds the saving", func() {
		expensive := costs
		expensive.PopularityLifetime = time.Second
		p := expertplan.NewPlanner([]expertplan.Placement{expertplan.CyclicPlacement(12, 5, 48)}, 48, expensive)
		Expect(run(p, 20, rand.New(rand.NewPCG(2, 2)).Perm(48))).To(BeEmpty())
	})

	It("always keeps a slot for every expert and never raises the skew", func() {
		rapid.Check(suite, func(t *rapid.T) {
			ranks := rapid.IntRange(1, 8).Draw(t, "ranks")
			perRank := rapid.IntRange(1, 4).Draw(t, "perRank")
			experts := rapid.IntRange(1, ranks*perRank).Draw(t, "experts")
			row := rapid.SliceOfN(rapid.Float64Range(1, 1e6), experts, experts).Draw(t, "counts")
			start := expertplan.CyclicPlacement(ranks, perRank, experts)
			p := expertplan.NewPlanner([]expertplan.Placement{start}, experts, costs)
			p.Observe([][]float64{row})
			plan, ok := p.Decide()
			if !ok {
				return
			}
			for e, n := range plan.Layers[0].Copies(experts) {
				if n < 1 {
					t.Fatalf("expert %d has no slot", e)
				}
			}
			if before, after := expertplan.Skew(start.Loads(row)), expertplan.Skew(plan.Layers[0].Loads(row)); after > before+1e-9 {
				t.Fatalf("skew rose from %f to %f", before, after)
			}
		})
	})
})
