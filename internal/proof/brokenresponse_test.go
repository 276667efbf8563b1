package proof

import (
	"maps"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadareel/cicadareel/internal/standin"
)

// exchangeWith sends a request through a sidecar to an endpoint that responds with the bytes,
// and returns also the number of requests that the endpoint got.
func exchangeWith(raw string, e standin.Ending) (r response, requests int) {
	GinkgoHelper()
	inBubble(func() {
		c := newCluster("desk1")
		defer c.close()
		node := c.endpoints["desk1"]
		node.killEndpoint()
		s := &standin.RawServer{Response: raw, Ending: e, Healthy: true}
		l := c.network.Listen(node.endpointAddress().String())
		defer func() { _ = l.Close() }()
		go s.Serve(l)
		time.Sleep(time.Second)
		r, requests = c.entries[0].exchange("/book", "booking", ""), s.Requests()
	})
	return r, requests
}

// expectBroken expects that a broken response is reported as an unknown outcome, soon.
func expectBroken(raw string) {
	GinkgoHelper()
	r, requests := exchangeWith(raw, standin.Close{})
	expectRefused(r, "unknown")
	Expect(r.reason).To(Equal("endpointBroke"))
	Expect(r.duration).To(BeNumerically("<", time.Second))
	Expect(requests).To(Equal(1))
}

// expectPassedOn expects that a response is passed on.
func expectPassedOn(raw string, status int, body string) {
	GinkgoHelper()
	r, _ := exchangeWith(raw, standin.Close{})
	Expect(r.aborted).To(BeFalse())
	Expect(r.status).To(Equal(status))
	Expect(r.body).To(Equal(body))
}

var _ = Describe("a response through a sidecar", func() {
	DescribeTable("with a status that is not the final one of HTTP is refused", func(status string) {
		expectBroken("HTTP/1.1 " + status + " Trouble\r\nContent-Length: 4\r\n\r\nbody")
	},
		Entry(nil, "000"), Entry(nil, "099"), Entry(nil, "+20"), Entry(nil, "101"), Entry(nil, "600"), Entry(nil, "999"))

	It("with an unusual status is passed on", func() {
		expectPassedOn("HTTP/1.1 299 \r\nContent-Length: 4\r\n\r\nbody", 299, "body")
		expectPassedOn("HTTP/1.1 599 X\r\n\r\nbody", 599, "body")
	})

	for _, problem := range slices.Sorted(maps.Keys(standin.InvalidFields)) {
		field := standin.InvalidFields[problem]
		It("with a field that HTTP forbids is refused: "+problem, func() {
			expectBroken("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + field + "\r\n\r\nbody")
		})
	}

	It("that hides its length or its chunks behind a blank is refused", func() {
		expectBroken("HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody and more")
		expectBroken("HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")
	})

	It("with an unusual field is passed on", func() {
		expectPassedOn("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n!#$%&'*+-.^_`|~09az: a\tb\r\nX-Long: a\r\n b\r\n\r\nbody", 200, "body")
	})

	It("whose framing disagrees with itself is refused", func() {
		expectBroken("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")
		expectBroken("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")
		expectBroken("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody")
	})
})
