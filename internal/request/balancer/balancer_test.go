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

// tally counts how often each member is chosen.
func tally(t *balancer.Picker, q func(i int) *balancer.Query) map[string]int {
	counts := map[string]int{}
	for i := range 3000 {
		counts[t.Pick(q(i)).Name]++
	}
	return counts
}

func plain(int) *balancer.Query { return &balancer.Query{} }

var _ = Describe("a choice", func() {
	It("never takes a member that is closed, down, held or avoided", func() {
		all := members(5)
		all[0].ApplyGateState(16, 0, false)
		all[1].MarkDown()
		all[2].SetHeld(true)
		avoiding := func(int) *balancer.Query {
			q := &balancer.Query{}
			q.Exclude(all[3])
			return q
		}
		Expect(tally(balancer.NewPicker(all, "d0"), avoiding)).To(Equal(map[string]int{"e4": 3000}))
	})

	It("returns nothing if nobody is eligible", func() {
		all := members(2)
		all[0].MarkDown()
		all[1].MarkDown()
		Expect(balancer.NewPicker(all, "d0").Pick(&balancer.Query{})).To(BeNil())
	})

	It("prefers the own failure domain while it is not more loaded", func() {
		all := members(12)
		local := func(counts map[string]int) int { return counts["e0"] + counts["e3"] + counts["e6"] + counts["e9"] }
		table := balancer.NewPicker(all, "d0")
		Expect(local(tally(table, plain))).To(BeNumerically(">", 2900))
		for i := 0; i < 12; i += 3 {
			all[i].ApplyGateState(16, 14, true)
		}
		Expect(local(tally(table, plain))).To(BeNumerically("<", 300))
	})

	It("keeps a prefix at one member until that is loaded above the mean", func() {
		all := members(12)
		table := balancer.NewPicker(all, "d0")
		same := func(int) *balancer.Query {
			return &balancer.Query{HasPrefix: true, PrefixHash: balancer.HashPrefix([]byte("p"))}
		}
		preferred := table.Pick(same(0))
		Expect(tally(table, same)[preferred.Name]).To(Equal(3000))
		preferred.ApplyGateState(16, 16, true)
		Expect(tally(table, same)[preferred.Name]).To(BeNumerically("<", 30), "the mean is sampled")
	})

	It("counts its own requests since the last report", func() {
		all := members(2)
		table := balancer.NewPicker(all, "d0")
		for range 10 {
			all[0].Begin()
		}
		Expect(tally(table, plain)).To(Equal(map[string]int{"e1": 3000}))
	})

	It("allocates nothing", func() {
		table := balancer.NewPicker(members(910), "d0")
		Expect(testing.AllocsPerRun(1000, func() {
			q := balancer.Query{HasPrefix: true, PrefixHash: 7}
			table.Pick(&q)
		})).To(BeZero())
	})
})

var _ = Describe("a subset", func() {
	It("covers every failure domain, spreads over all endpoints, and changes little", func() {
		sites := []balancer.Candidate{}
		for i := range 91 {
			sites = append(sites, balancer.Candidate{Name: fmt.Sprint("e", i), FailureDomain: fmt.Sprint("d", i%4)})
		}
		entries := map[string]int{}
		for i := range 410 {
			domains := map[string]bool{}
			for _, s := range balancer.Subset(fmt.Sprint("entry", i), sites, 20) {
				domains[s.FailureDomain] = true
				entries[s.Name]++
			}
			Expect(domains).To(HaveLen(4))
		}
		for _, s := range sites {
			Expect(entries[s.Name]).To(BeNumerically("~", 410*20/91, 45), s.Name)
		}
		before := balancer.Subset("entry", sites, 20)
		after := balancer.Subset("entry", sites[1:], 20)
		kept := 0
		for _, s := range after {
			for _, b := range before {
				if s == b {
					kept++
				}
			}
		}
		Expect(kept).To(BeNumerically(">=", 19))
	})
})
