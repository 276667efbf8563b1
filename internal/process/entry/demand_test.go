package entry

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadareel/cicadareel/pkg/bundle"
)

var _ = Describe("what callers ask of experts", func() {
	var d *popularityEstimate
	first, second := [][]float64{{1, 0}}, [][]float64{{0, 1}}
	// later makes shares that the estimate may keep.
	later := func(shares [][]float64) [][]float64 { return [][]float64{{shares[0][0], shares[0][1]}} }
	within := func(body func()) {
		withFakeClock(func() {
			d = &popularityEstimate{layers: 1, perLayer: 2}
			d.add(later(first), 100)
			body()
		})
	}

	It("is weighed by the choices that samples rest on", func() {
		within(func() {
			Expect(d.add(later(second), 300)[0][1]).To(BeNumerically("~", 0.75, 1e-9))
		})
	})

	It("fades as time passes", func() {
		within(func() {
			time.Sleep(sampleInterval)
			Expect(d.add(later(second), 100)[0][1]).To(BeNumerically("~", 1/(1+weightKept), 1e-9))
		})
	})

	It("is not planned from once it is old", func() {
		within(func() {
			Expect(d.recent()).To(Equal(first))
			time.Sleep(maxEstimateAge + time.Millisecond)
			Expect(d.recent()).To(BeNil())
		})
	})

	It("is the same for all lock-step groups of an endpoint group", func() {
		x := &mapController{estimates: map[string]*popularityEstimate{}}
		shape := bundle.Experts{Layers: 1, PerLayer: 2}
		one := x.estimateFor(groupSnapshot{name: "g-0", endpointGroup: "models", shape: shape})
		Expect(x.estimateFor(groupSnapshot{name: "g-1", endpointGroup: "models", shape: shape})).To(BeIdenticalTo(one))
		Expect(x.estimateFor(groupSnapshot{name: "h-0", endpointGroup: "others", shape: shape})).NotTo(BeIdenticalTo(one))
		Expect(x.estimateFor(groupSnapshot{name: "g-2", endpointGroup: "models", shape: bundle.Experts{Layers: 2, PerLayer: 2}})).NotTo(BeIdenticalTo(one))
	})
})
