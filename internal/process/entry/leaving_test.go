package entry

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadareel/cicadareel/internal/standin"
)

var _ = Describe("an endpoint whose responses say that it is leaving", func() {
	var d *deployment
	var e *testEntry
	var one, two *standin.Worker

	withPair := func(body func()) {
		withFakeClock(func() {
			d, e, one, two = startPair("desk", "desk", nil)
			defer d.close()
			body()
		})
	}
	// meet sends requests until the endpoint has responded to one.
	meet := func(w *standin.Worker) {
		GinkgoHelper()
		before := totalRuns(w)
		for range 50 {
			e.call("/look/x", "m", nil)
			if totalRuns(w) > before {
				return
			}
		}
		Fail("endpoint got no request")
	}
	expectNoFurtherRuns := func(w *standin.Worker) {
		GinkgoHelper()
		before := totalRuns(w)
		expectLookups(e, 30)
		Expect(totalRuns(w)).To(Equal(before))
	}

	It("gets no new requests, although its row says nothing of it", func() {
		withPair(func() {
			one.SetLeaving()
			meet(one)
			expectNoFurtherRuns(one)
			time.Sleep(time.Minute)
			expectNoFurtherRuns(one)
			Expect(totalRuns(two)).To(BeNumerically(">", 0))
		})
	})

	It("gets no new requests after it has refused one", func() {
		withPair(func() {
			one.SetLeaving()
			one.SetNextFaults(standin.Shed)
			for range 30 {
				e.call("/look/x", "m", nil)
			}
			Expect(totalRuns(one)).To(BeZero())
		})
	})

	It("gets no new requests when its row changes, or while the store is down", func() {
		withPair(func() {
			one.SetLeaving()
			meet(one)
			d.announce("desk-1", "desk", "a", addressOf("desk-1"), func(r map[string]any) { r["slots"] = 24 })
			time.Sleep(time.Second)
			expectNoFurtherRuns(one)
			d.store.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
			time.Sleep(5 * time.Second)
			expectNoFurtherRuns(one)
		})
	})

	It("gets requests again once it has started again", func() {
		withPair(func() {
			one.SetLeaving()
			meet(one)
			d.announce("desk-1", "desk", "a", addressOf("desk-1"), func(r map[string]any) { r["born"] = 2 })
			time.Sleep(time.Second)
			meet(one)
		})
	})
})
