package sidecar

import (
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/request/transport"
)

func TestSidecar(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sidecar")
}

var _ = Describe("an exchange", func() {
	var x *Exchange
	data := func(offset int64, text string) { x.receiveData(&wire.Data{Offset: offset, Payload: []byte(text)}) }
	expectNext := func(want ...transport.Event) {
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
		x.push(transport.Head{Status: 200})
	})

	It("drops repeated bytes and keeps the rest", func() {
		data(0, "abc")
		data(0, "abc")
		data(2, "cde")
		x.receiveEnd(5)
		expectNext(transport.Head{Status: 200}, transport.Data{Payload: []byte("abc")}, transport.Data{Payload: []byte("de")}, transport.End{Length: 5})
	})

	It("breaks at a gap", func() {
		data(0, "abc")
		data(4, "e")
		expectNext(transport.Head{Status: 200}, transport.Data{Payload: []byte("abc")}, transport.Broken{})
	})

	It("breaks at an end that comes before all bytes", func() {
		data(0, "abc")
		x.receiveEnd(5)
		expectNext(transport.Head{Status: 200}, transport.Data{Payload: []byte("abc")}, transport.Broken{})
	})

	It("drops what comes after its last event", func() {
		x.push(transport.Refused{Reason: "held"})
		data(0, "late")
		x.receiveEnd(4)
		expectNext(transport.Head{Status: 200}, transport.Refused{Reason: "held"})
	})
})
