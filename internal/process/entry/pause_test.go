package entry

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadareel/cicadareel/internal/standin"
)

// pauseReaction is how soon a pause that an endpoint asks for must be kept, and
// pauseSlack how many requests may reach it in the pause nevertheless.
const (
	pauseReaction = 500 * time.Millisecond
	pauseSlack    = 2
)

var _ = Describe("an endpoint that refuses a request and says when it takes the next", func() {
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
	lookups := func(n int) {
		for range n {
			e.call("/look/x", "p", nil)
			time.Sleep(50 * time.Millisecond)
		}
	}
	// refusedLate counts the refusals later than pauseReaction after the first.
	refusedLate := func(w *standin.Worker) int {
		all, late := w.Refused(), 0
		for _, at := range all {
			if at.Sub(all[0]) > pauseReaction {
				late++
			}
		}
		return late
	}

	It("gets no requests until then, and then gets some again", func() {
		withPair(func() {
			one.Pause(5 * time.Second)
			lookups(90)
			Expect(one.Refused()).NotTo(BeEmpty())
			Expect(refusedLate(one)).To(BeNumerically("<=", pauseSlack))
			time.Sleep(time.Second)
			before := totalRuns(one)
			lookups(20)
			Expect(totalRuns(one)).To(BeNumerically(">", before))
		})
	})

	It("gets no requests until then when its row changes", func() {
		withPair(func() {
			one.Pause(5 * time.Second)
			lookups(20)
			d.announce("desk-1", "desk", "a", addressOf("desk-1"), func(r map[string]any) { r["slots"] = 24 })
			lookups(60)
			Expect(refusedLate(one)).To(BeNumerically("<=", pauseSlack))
		})
	})

	It("lets callers return then if all endpoints of the group do so", func() {
		withPair(func() {
			one.Pause(5 * time.Second)
			two.Pause(3 * time.Second)
			lookups(4)
			Expect(one.Refused()).NotTo(BeEmpty())
			Expect(two.Refused()).NotTo(BeEmpty())
			refused := e.call("/look/x", "q", nil)
			expectNotRun(refused)
			Expect(refused.duration).To(BeNumerically("<", 100*time.Millisecond))
			Expect(refused.retryAfter).To(BeNumerically(">", 2.5))
			Expect(refused.retryAfter).To(BeNumerically("<", 5))
			time.Sleep(time.Duration(refused.retryAfter * float64(time.Second)))
			expectResponse(e.call("/look/x", "q2", nil), "q2")
			Expect(refusedLate(one)).To(BeNumerically("<=", pauseSlack))
			Expect(refusedLate(two)).To(BeNumerically("<=", pauseSlack))
		})
	})
})
