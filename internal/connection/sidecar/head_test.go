package sidecar

import (
	"bytes"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/metrics"
	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/request/transport"
)

// deliver passes a head to a new exchange of a link, and returns the first event and the log.
func deliver(h *wire.Head) (transport.Event, string) {
	GinkgoHelper()
	m, err := metrics.NewMetrics()
	Expect(err).NotTo(HaveOccurred())
	var log bytes.Buffer
	k := &Link{endpoint: "desk-1", metrics: m, log: events.NewLogTo(&log, "info", "entry-1"), exchanges: map[string]*Exchange{}}
	h.Id = &wire.AttemptId{RequestId: "r", Number: 1}
	x := newExchange(k, h.GetId(), 0)
	k.exchanges["r"] = x
	k.deliverFrame(&wire.SidecarFrame{Kind: &wire.SidecarFrame_Head{Head: h}})
	k.log.Close()
	return x.pop(), log.String()
}

// expectRefused expects that a head ends its exchange, and a line in the log.
func expectRefused(h *wire.Head, cause string) {
	GinkgoHelper()
	event, log := deliver(h)
	Expect(event).To(Equal(transport.Refused{Reason: outcome.EndpointBroke, MayHaveRun: true}))
	Expect(log).To(And(ContainSubstring(`"event":302`), ContainSubstring(`"request":"r"`), ContainSubstring(cause)))
}

var _ = Describe("a link", func() {
	DescribeTable("refuses a response with an invalid status", func(status int) {
		expectRefused(&wire.Head{Status: int32(status)}, "invalid status")
	}, Entry(nil, -1), Entry(nil, 0), Entry(nil, 99), Entry(nil, 101), Entry(nil, 199), Entry(nil, 600), Entry(nil, 1000))

	DescribeTable("refuses a response with an invalid field", func(name, value, cause string) {
		expectRefused(&wire.Head{Status: 200, Headers: []*wire.Header{{Name: "X-Sound", Values: []string{"v"}}, {Name: name, Values: []string{"v", value}}}}, cause)
	},
		Entry("no name", "", "v", "invalid field name"), Entry("blank in the name", "X Trouble", "v", "invalid field name"),
		Entry("control byte in the name", "X\x01", "v", "invalid field name"), Entry("line end in the name", "X: v\r\nY", "v", "invalid field name"),
		Entry("NUL in the value", "X", "a\x00", "invalid value"), Entry("line end in the value", "X", "a\r\nY: b", "invalid value"),
		Entry("DEL in the value", "X", "\x7f", "invalid value"))

	DescribeTable("passes on any valid status", func(status int) {
		event, log := deliver(&wire.Head{Status: int32(status)})
		Expect(event).To(HaveField("Status", status))
		Expect(log).To(BeEmpty())
	}, Entry(nil, 200), Entry(nil, 204), Entry(nil, 299), Entry(nil, 451), Entry(nil, 599))
})
