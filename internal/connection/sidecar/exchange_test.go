package sidecar

import (
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadareel/cicadareel/internal/connection/wire"
)

func TestSidecar(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sidecar")
}

var _ = Describe("an exchange", func() {
	var x *Exchange
	data := func(offset int64, text string) { x.data(&wire.Data{Offset: offset, Payload: []byte(text)}) }
	expectNext := func(want ...Event) {
		GinkgoHelper()
		for _, w := range want {
			got, err := x.Next(context.Background())
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(w))
		}
		Expect(x.Idle()).To(BeTrue())
	}

	BeforeEach(func() {
		x = newExchange(nil, &wire.AttemptId{RequestId: "r", Number: 1}, 0)
		x.push(HeadEvent{Status: 200})
	})

	It("drops repeated bytes and keeps the rest", func() {
		data(0, "abc")
		data(0, "abc")
		data(2, "cde")
		x.end(5)
		expectNext(HeadEvent{Status: 200}, DataEvent{[]byte("abc")}, DataEvent{[]byte("de")}, EndEvent{Length: 5})
	})

	It("breaks at a gap", func() {
		data(0, "abc")
		data(4, "e")
		expectNext(HeadEvent{Status: 200}, DataEvent{[]byte("abc")}, BrokenEvent{})
	})

	It("breaks at an end that comes before all bytes", func() {
		data(0, "abc")
		x.end(5)
		expectNext(HeadEvent{Status: 200}, DataEvent{[]byte("abc")}, BrokenEvent{})
	})

	It("drops what comes after its last event", func() {
		x.push(RefusedEvent{Reason: "held"})
		data(0, "late")
		x.end(4)
		expectNext(HeadEvent{Status: 200}, RefusedEvent{Reason: "held"})
	})
})
