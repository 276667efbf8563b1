package entry

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadareel/cicadareel/pkg/bundle"
)

var _ = Describe("the popularity of experts", func() {
	var p *popularityEstimate
	first, second := [][]float64{{1, 0}}, [][]float64{{0, 1}}
	// clone copies shares, because the estimate keeps what is added.
	clone := func(shares [][]float64) [][]float64 { return [][]float64{{shares[0][0], shares[0][1]}} }
	withEstimate := func(body func()) {
		withFakeClock(func() {
			p = &popularityEstimate{layers: 1, perLayer: 2}
			p.add(clone(first), 100)
			body()
		})
	}

	It("weights samples by their number of choices", func() {
		withEstimate(func() {
			Expect(p.add(clone(second), 300)[0][1]).To(BeNumerically("~", 0.75, 1e-9))
		})
	})

	It("gives older samples less weight", func() {
		withEstimate(func() {
			time.Sleep(sampleInterval)
			Expect(p.add(clone(second), 100)[0][1]).To(BeNumerically("~", 1/(1+weightKept), 1e-9))
		})
	})

	It("is not used once it is too old", func() {
		withEstimate(func() {
			Expect(p.recent()).To(Equal(first))
			time.Sleep(maxEstimateAge + time.Millisecond)
			Expect(p.recent()).To(BeNil())
		})
	})

	It("is shared by all lock-step groups of an endpoint group", func() {
		m := &mapController{estimates: map[string]*popularityEstimate{}}
		shape := bundle.Experts{Layers: 1, PerLayer: 2}
		one := m.estimateFor(groupSnapshot{name: "g-0", endpointGroup: "models", shape: shape})
		Expect(m.estimateFor(groupSnapshot{name: "g-1", endpointGroup: "models", shape: shape})).To(BeIdenticalTo(one))
		Expect(m.estimateFor(groupSnapshot{name: "h-0", endpointGroup: "others", shape: shape})).NotTo(BeIdenticalTo(one))
		Expect(m.estimateFor(groupSnapshot{name: "g-2", endpointGroup: "models", shape: bundle.Experts{Layers: 2, PerLayer: 2}})).NotTo(BeIdenticalTo(one))
	})
})
