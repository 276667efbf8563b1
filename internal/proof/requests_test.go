package proof

import (
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadareel/cicadareel/internal/standin"
)

func decodeJSON(content []byte, value any) error { return json.Unmarshal(content, value) }

func expectCompleteStream(r response, body string) {
	GinkgoHelper()
	Expect(r.aborted).To(BeFalse())
	Expect(r.body).To(Equal(standin.ExpectedStream([]byte(body), tokens)))
}

func expectCompleteServiceResponse(r response, body string) {
	GinkgoHelper()
	Expect(r.aborted).To(BeFalse())
	Expect(r.body).To(Equal(standin.ExpectedServiceResponse([]byte(body))))
}

func expectRefused(r response, outcome string) {
	GinkgoHelper()
	Expect(r.aborted).To(BeFalse())
	Expect(r.outcome).To(Equal(outcome), r.reason)
}

var _ = Describe("a request", func() {
	It("gets a complete response without faults, streamed or not", func() {
		inBubble(func() {
			c := newCluster("m1", "m2", "desk1")
			defer c.close()
			expectCompleteStream(c.entries[0].exchange("/draft", "one", ""), "one")
			expectCompleteServiceResponse(c.entries[0].exchange("/book", "two", ""), "two")
			expectCompleteServiceResponse(c.entries[0].exchange("/book", "three", "k1"), "three")
			Expect(c.totalRuns()).To(Equal(3))
		})
	})

	It("is reported as unknown, not as not run, if its only endpoint dies for good", func() {
		inBubble(func() {
			c := newCluster("m1")
			defer c.close()
			result := c.entries[0].startExchange("/draft", "lost", "")
			time.Sleep(stepTime / 2)
			c.endpoints["m1"].killEndpoint()
			expectRefused(<-result, "unknown")
			Expect(c.totalRuns()).To(Equal(1))
		})
	})

	It("with a repeated idempotency key gets the first outcome without a second run", func() {
		inBubble(func() {
			c := newCluster("desk1", "desk2")
			defer c.close()
			second := c.addEntry()
			time.Sleep(time.Second)
			first := c.entries[0].startExchange("/book", "same", "k")
			time.Sleep(stepTime / 2)
			repeat, original := second.exchange("/book", "same", "k"), <-first
			expectCompleteServiceResponse(repeat, "same")
			expectCompleteServiceResponse(original, "same")
			Expect(repeat.requestID).To(Equal(original.requestID))
			expectRefused(second.exchange("/book", "other", "k"), "notRun")
			Expect(c.totalRuns()).To(Equal(1))
		})
	})
})
