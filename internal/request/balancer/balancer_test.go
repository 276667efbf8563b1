package balancer_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadareel/cicadareel/internal/request/balancer"
)

var suite *testing.T

func TestBalancer(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "balancer")
}

func members(n int) []*balancer.Member {
	all := []*balancer.Member{}
	for i := range n {
		m := balancer.NewMember(fmt.Sprint("e", i), fmt.Sprint("d", i%3))
		m.ApplyGateState(16, 4, true)
		all = append(all, m)
	}
	return all
}

// countPicks picks 3000 times and counts how often each member is picked.
func countPicks(p *balancer.Picker, q func(i int) *balancer.Query) map[string]int {
	counts := map[string]int{}
	for i := range 3000 {
		counts[p.Pick(q(i)).Name]++
	}
	return counts
}

func emptyQuery(int) *balancer.Query { return &balancer.Query{} }

var _ = Describe("a picker", func() {
	It("never picks a member that is closed, down, held or excluded", func() {
		all := members(5)
		all[0].ApplyGateState(16, 0, false)
		all[1].MarkDown()
		all[2].SetHeld(true)
		excluding := func(int) *balancer.Query {
			q := &balancer.Query{}
			q.Exclude(all[3])
			return q
		}
		Expect(countPicks(balancer.NewPicker(all, "d0"), excluding)).To(Equal(map[string]int{"e4": 3000}))
	})

	It("picks none that the other attempts at a request excluded", func() {
		const attempts = 6
		all := members(attempts)
		for _, leastLoaded := range []bool{false, true} {
			q := &balancer.Query{LeastLoaded: leastLoaded}
			for _, m := range all[1:] {
				q.Exclude(m)
			}
			picker := balancer.NewPicker(all, "d0")
			Expect(countPicks(picker, func(int) *balancer.Query { return q })).To(Equal(map[string]int{"e0": 3000}))
		}
	})

	It("returns nil if no member is eligible", func() {
		all := members(2)
		all[0].MarkDown()
		all[1].MarkDown()
		Expect(balancer.NewPicker(all, "d0").Pick(&balancer.Query{})).To(BeNil())
	})

	It("prefers the entry's own failure domain while it is not more loaded", func() {
		all := members(12)
		local := func(counts map[string]int) int { return counts["e0"] + counts["e3"] + counts["e6"] + counts["e9"] }
		picker := balancer.NewPicker(all, "d0")
		Expect(local(countPicks(picker, emptyQuery))).To(BeNumerically(">", 2900))
		for i := 0; i < 12; i += 3 {
			all[i].ApplyGateState(16, 14, true)
		}
		Expect(local(countPicks(picker, emptyQuery))).To(BeNumerically("<", 300))
	})

	It("sends a prefix to one member until that is loaded above the mean", func() {
		all := members(12)
		picker := balancer.NewPicker(all, "d0")
		samePrefix := func(int) *balancer.Query {
			return &balancer.Query{HasPrefix: true, PrefixHash: balancer.HashPrefix([]byte("p"))}
		}
		preferred := picker.Pick(samePrefix(0))
		Expect(countPicks(picker, samePrefix)[preferred.Name]).To(Equal(3000))
		preferred.ApplyGateState(16, 16, true)
		Expect(countPicks(picker, samePrefix)[preferred.Name]).To(BeNumerically("<", 30), "the mean is sampled")
	})

	It("counts the entry's own requests since the last report", func() {
		all := members(2)
		picker := balancer.NewPicker(all, "d0")
		for range 10 {
			all[0].BeginRequest()
		}
		Expect(countPicks(picker, emptyQuery)).To(Equal(map[string]int{"e1": 3000}))
	})

	It("prefers, of equal members, those with fewer requests of other entries", func() {
		all := members(10)
		for i, m := range all {
			m.ApplyOthers(8 * (i % 2))
		}
		leastLoaded := func(int) *balancer.Query { return &balancer.Query{LeastLoaded: true} }
		picker := balancer.NewPicker(all, "d0")
		idle := func(counts map[string]int) int {
			return counts["e0"] + counts["e2"] + counts["e4"] + counts["e6"] + counts["e8"]
		}
		Expect(idle(countPicks(picker, leastLoaded))).To(BeNumerically("~", 3000*7/9, 150))
		for i := 0; i < 10; i += 2 {
			all[i].BeginRequest()
		}
		Expect(idle(countPicks(picker, leastLoaded))).To(BeZero(), "own requests count first")
	})

	It("picks the least loaded without allocating", func() {
		picker := balancer.NewPicker(members(910), "d0")
		Expect(testing.AllocsPerRun(1000, func() {
			picker.Pick(&balancer.Query{LeastLoaded: true})
		})).To(BeZero())
	})

	It("picks without allocating", func() {
		picker := balancer.NewPicker(members(910), "d0")
		Expect(testing.AllocsPerRun(1000, func() {
			q := balancer.Query{HasPrefix: true, PrefixHash: 7}
			picker.Pick(&q)
		})).To(BeZero())
	})
})

func BenchmarkPickLeastLoaded(b *testing.B) {
	for _, n := range []int{192, 910} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			picker := balancer.NewPicker(members(n), "d0")
			b.ReportAllocs()
			for b.Loop() {
				picker.Pick(&balancer.Query{LeastLoaded: true})
			}
		})
	}
}

var _ = Describe("a subset", func() {
	It("covers every failure domain, spreads entries over all endpoints, and changes little", func() {
		candidates := []balancer.Candidate{}
		for i := range 91 {
			candidates = append(candidates, balancer.Candidate{Name: fmt.Sprint("e", i), FailureDomain: fmt.Sprint("d", i%4)})
		}
		entriesPerEndpoint := map[string]int{}
		for i := range 410 {
			domains := map[string]bool{}
			for _, c := range balancer.Subset(fmt.Sprint("entry", i), candidates, 20) {
				domains[c.FailureDomain] = true
				entriesPerEndpoint[c.Name]++
			}
			Expect(domains).To(HaveLen(4))
		}
		for _, c := range candidates {
			Expect(entriesPerEndpoint[c.Name]).To(BeNumerically("~", 410*20/91, 45), c.Name)
		}
		before := balancer.Subset("entry", candidates, 20)
		after := balancer.Subset("entry", candidates[1:], 20)
		kept := 0
		for _, c := range after {
			for _, b := range before {
				if c == b {
					kept++
				}
			}
		}
		Expect(kept).To(BeNumerically(">=", 19))
	})
})
