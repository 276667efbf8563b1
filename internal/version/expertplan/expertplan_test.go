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

// counts returns noisy token counts with the popularity of 1/(place+1).
func counts(random *rand.Rand, places []int) [][]float64 {
	row := make([]float64, len(places))
	for e, place := range places {
		row[e] = 40000/float64(place+2) + 50*random.NormFloat64()
	}
	return [][]float64{row}
}

var _ = Describe("a planner", func() {
	newPlanner := func() *expertplan.Planner {
		return expertplan.NewPlanner([]expertplan.Placement{expertplan.CyclicPlacement(12, 5, 48)}, 48, costs)
	}
	// run lets the planner see windows and returns the windows with changes.
	run := func(p *expertplan.Planner, windows int, places []int) []int {
		random := rand.New(rand.NewPCG(1, 1))
		changes := []int{}
		for w := range windows {
			p.Observe(counts(random, places))
			if plan, ok := p.Decide(); ok {
				p.Adopt(plan)
				changes = append(changes, w)
			}
		}
		return changes
	}

	It("evens the load out at once and then leaves jitter alone", func() {
		p := newPlanner()
		places := rand.New(rand.NewPCG(2, 2)).Perm(48)
		changes := run(p, 100, places)
		Expect(changes).NotTo(BeEmpty())
		Expect(changes[len(changes)-1]).To(BeNumerically("<", 20))
		skew := expertplan.Skew(p.Layers()[0].Loads(counts(rand.New(rand.NewPCG(3, 3)), places)[0]))
		Expect(skew).To(BeNumerically("<", 1.1))
	})

	It("follows a sudden swap within a few windows", func() {
		p := newPlanner()
		run(p, 50, rand.New(rand.NewPCG(2, 2)).Perm(48))
		after := rand.New(rand.NewPCG(9, 9)).Perm(48)
		run(p, 4, after)
		Expect(expertplan.Skew(p.Layers()[0].Loads(counts(rand.New(rand.NewPCG(3, 3)), after)[0]))).To(BeNumerically("<", 1.15))
	})

	It("does not move if the cost exceeds the gain", func() {
		dear := costs
		dear.PopularityLifetime = time.Second
		p := expertplan.NewPlanner([]expertplan.Placement{expertplan.CyclicPlacement(12, 5, 48)}, 48, dear)
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
