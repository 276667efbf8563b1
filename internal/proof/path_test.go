package proof

import (
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadareel/cicadareel/internal/standin"
)

func decodeJSON(content []byte, value any) error { return json.Unmarshal(content, value) }

func expectWholeDraft(a answer, body string) {
	GinkgoHelper()
	Expect(a.aborted).To(BeFalse())
	Expect(a.body).To(Equal(standin.ExpectedStream([]byte(body), tokens)))
}

func expectWholeEntry(a answer, body string) {
	GinkgoHelper()
	Expect(a.aborted).To(BeFalse())
	Expect(a.body).To(Equal(standin.ExpectedServiceResponse([]byte(body))))
}

func expectRefused(a answer, outcome string) {
	GinkgoHelper()
	Expect(a.aborted).To(BeFalse())
	Expect(a.outcome).To(Equal(outcome), a.reason)
}

var _ = Describe("the path without faults", func() {
	It("answers streamed and plain requests whole", func() {
		bubble(func() {
			r := newRig("m1", "m2", "desk1")
			defer r.close()
			expectWholeDraft(r.doors[0].exchange("/draft", "one", ""), "one")
			expectWholeEntry(r.doors[0].exchange("/book", "two", ""), "two")
			expectWholeEntry(r.doors[0].exchange("/book", "three", "k1"), "three")
			Expect(r.totalRuns()).To(Equal(3))
		})
	})

	It("says unknown, not not run, of a draft whose only endpoint died for good", func() {
		bubble(func() {
			r := newRig("m1")
			defer r.close()
			result := r.doors[0].start("/draft", "lost", "")
			time.Sleep(step / 2)
			r.sites["m1"].killEndpoint()
			expectRefused(<-result, "unknown")
			Expect(r.totalRuns()).To(Equal(1))
		})
	})

	It("gives a repeat of a key the first outcome without a second run", func() {
		bubble(func() {
			r := newRig("desk1", "desk2")
			defer r.close()
			second := r.openDoor()
			time.Sleep(time.Second)
			first := r.doors[0].start("/book", "same", "k")
			time.Sleep(step / 2)
			repeat, original := second.exchange("/book", "same", "k"), <-first
			expectWholeEntry(repeat, "same")
			expectWholeEntry(original, "same")
			Expect(repeat.requestID).To(Equal(original.requestID))
			expectRefused(second.exchange("/book", "other", "k"), "notRun")
			Expect(r.totalRuns()).To(Equal(1))
		})
	})
})
