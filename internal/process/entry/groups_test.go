package entry

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("requests to a broken group", func() {
	// withBrokenGroup runs a body once an entry knows that the group is broken.
	withBrokenGroup := func(body func(d mapDeployment, e *testEntry)) {
		withMaps(1, 1, func(d mapDeployment) {
			time.Sleep(retryWindow)
			d.ranks.SetBroken(true)
			e := d.entries[0]
			// The entry learns from this request that the group is broken.
			e.call("/draft/x", "first", nil)
			time.Sleep(300 * time.Millisecond)
			body(d, e)
		})
	}

	It("are refused at once, and the refusal says when to retry", func() {
		withBrokenGroup(func(_ mapDeployment, e *testEntry) {
			for range 20 {
				r := e.call("/draft/x", "s1", nil)
				expectNotRun(r)
				Expect(r.duration).To(BeNumerically("<", 100*time.Millisecond))
				Expect(r.retryAfter).To(And(BeNumerically(">=", 1.9), BeNumerically("<", 3.3)), "about when the group can serve again")
			}
		})
	})
})
