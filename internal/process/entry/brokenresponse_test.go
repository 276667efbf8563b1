package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadareel/cicadareel/internal/connection/caller"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/standin"
)

// rawAnswer is what a caller got from an entry whose only endpoint is a RawServer.
type rawAnswer struct {
	response
	// requests is the number of requests that the endpoint got.
	requests int
	// errors are the causes in the log of attempts that broke.
	errors []string
}

// answerOf sends a request with a short body to an entry whose only endpoint responds with
// the bytes.
func answerOf(raw string, e standin.Ending, path string) rawAnswer {
	GinkgoHelper()
	out := rawAnswer{}
	withFakeClock(func() {
		d := newDeployment()
		defer d.close()
		s := &standin.RawServer{Response: raw, Ending: e}
		for _, group := range []string{"desk", "models"} {
			address := addressOf(group + "-1")
			l := d.network.Listen(address)
			d.stops = append(d.stops, func() { _ = l.Close() })
			go s.Serve(l)
			d.announce(group+"-1", group, "a", address, nil)
		}
		entry := d.startEntry("a")
		entry.waitUntilReady()
		var log bytes.Buffer
		dependencies := entry.environment.dependencies
		dependencies.Log = events.NewLogTo(&log, "info", "entry-0")
		entry.address = "10.8.1.1:80"
		d.listenAndServe(entry.address, caller.NewService(dependencies))
		out.response = entry.call(path, "r1", func(r *http.Request) {
			r.Body, r.ContentLength = requestBody("booking"), int64(len("booking"))
		})
		dependencies.Log.Close()
		out.requests, out.errors = s.Requests(), brokenAttempts(log.String())
	})
	return out
}

// brokenAttempts returns the causes in the lines of a log about attempts that broke.
func brokenAttempts(log string) []string {
	GinkgoHelper()
	causes := []string{}
	for line := range strings.Lines(log) {
		var l struct {
			Event events.Event `json:"event"`
			Error string       `json:"error"`
		}
		Expect(json.Unmarshal([]byte(line), &l)).To(Succeed())
		if l.Event == events.AttemptBroken {
			causes = append(causes, l.Error)
		}
	}
	return causes
}

// expectOutcomeUnknown expects a refusal that leaves open whether the request has run, and a
// cause in the log.
func expectOutcomeUnknown(a rawAnswer, cause string) {
	GinkgoHelper()
	Expect(a.status).To(Equal(http.StatusBadGateway))
	Expect(a.complete).To(BeTrue())
	Expect(a.body).To(BeEmpty())
	Expect(a.header).NotTo(HaveKey("X-Upstream-Signature"))
	Expect(a.requests).To(Equal(1))
	Expect(a.errors).To(ConsistOf(ContainSubstring(cause)))
}

// eachRoute runs a body for a route of each kind.
func eachRoute(body func(path string)) {
	for _, path := range []string{"/book/x", "/look/x", "/draft/x", "/once/x"} {
		By(path, func() { body(path) })
	}
}

// expectPassedOn expects the endpoint's response.
func expectPassedOn(a rawAnswer, status int, body string) {
	GinkgoHelper()
	Expect(a.status).To(Equal(status))
	Expect(a.complete).To(BeTrue())
	Expect(a.body).To(Equal(body))
	Expect(a.header.Get("X-Upstream-Signature")).To(Equal("s"))
	Expect(a.errors).To(BeEmpty())
}

const signed = "X-Upstream-Signature: s\r\n"

var _ = Describe("a broken response of an endpoint", func() {
	It("that ends early is refused, and the log names the cause", func() {
		eachRoute(func(path string) {
			expectOutcomeUnknown(answerOf("HTTP/1.1 404 Not Found\r\nContent-Length: 9\r\n"+signed+"\r\npart", standin.Close{}, path), "unexpected EOF")
		})
	})

	It("that is not the endpoint's own is refused, and the log names the cause", func() {
		eachRoute(func(path string) {
			expectOutcomeUnknown(answerOf("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", standin.KeepOpen{}, path), "not the endpoint's own")
		})
	})

	DescribeTable("with a status that is not the final one of HTTP is refused", func(status string) {
		eachRoute(func(path string) {
			for _, body := range []string{"Content-Length: 4\r\n" + signed + "\r\nbody", signed + "\r\nbody"} {
				expectOutcomeUnknown(answerOf("HTTP/1.1 "+status+" Trouble\r\n"+body, standin.Close{}, path), "invalid status")
			}
		})
	},
		Entry(nil, "000"), Entry(nil, "099"), Entry(nil, "+20"), Entry(nil, "101"), Entry(nil, "600"), Entry(nil, "999"))

	for _, problem := range slices.Sorted(maps.Keys(standin.InvalidFields)) {
		field := standin.InvalidFields[problem]
		It("with a field that HTTP forbids is refused: "+problem, func() {
			eachRoute(func(path string) {
				expectOutcomeUnknown(answerOf("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"+field+"\r\n"+signed+"\r\nbody", standin.Close{}, path), "")
			})
		})
	}

	DescribeTable("that hides its length or its chunks behind a blank is refused", func(field, body string) {
		eachRoute(func(path string) {
			expectOutcomeUnknown(answerOf("HTTP/1.1 200 OK\r\n"+field+"\r\n"+signed+"\r\n"+body, standin.Close{}, path), "")
		})
	},
		Entry("blank, length", "Content-Length : 4", "body and more"), Entry("tab, length", "Content-Length\t: 4", "body and more"),
		Entry("blank, chunks", "Transfer-Encoding : chunked", "4\r\nbody\r\n0\r\n\r\n"),
		Entry("tab, chunks", "Transfer-Encoding\t: chunked", "4\r\nbody\r\n0\r\n\r\n"))

	DescribeTable("whose framing disagrees with itself is refused", func(version, fields, cause string) {
		eachRoute(func(path string) {
			expectOutcomeUnknown(answerOf(version+" 200 OK\r\n"+fields+signed+"\r\n4\r\nbody\r\n0\r\n\r\n", standin.Close{}, path), cause)
		})
	},
		Entry("length and chunks", "HTTP/1.1", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "both Content-Length and Transfer-Encoding"),
		Entry("chunks in HTTP/1.0", "HTTP/1.0", "Transfer-Encoding: chunked\r\n", "Transfer-Encoding in HTTP/1.0"),
		Entry("two lengths", "HTTP/1.1", "Content-Length: 4\r\nContent-Length: 5\r\n", ""),
		Entry("length that is no number", "HTTP/1.1", "Content-Length: +4\r\n", ""),
		Entry("unknown coding", "HTTP/1.1", "Transfer-Encoding: gzip, chunked\r\n", ""),
		Entry("another protocol", "HTTP/2.0", "Content-Length: 4\r\n", "version HTTP/2.0"))
})

var _ = Describe("a sound response of an endpoint", func() {
	DescribeTable("with an unusual status is passed on", func(status int) {
		for _, path := range []string{"/book/x", "/once/x"} {
			expectPassedOn(answerOf(fmt.Sprintf("HTTP/1.1 %d \r\nContent-Length: 4\r\n%s\r\nbody", status, signed), standin.Close{}, path), status, "body")
		}
	},
		Entry(nil, 203), Entry(nil, 299), Entry(nil, 306), Entry(nil, 399), Entry(nil, 418), Entry(nil, 451), Entry(nil, 499),
		Entry(nil, 500), Entry(nil, 511), Entry(nil, 599))

	DescribeTable("without a body is passed on", func(status int) {
		expectPassedOn(answerOf(fmt.Sprintf("HTTP/1.1 %d X\r\n%s\r\n", status, signed), standin.KeepOpen{}, "/book/x"), status, "")
	}, Entry(nil, 204), Entry(nil, 304))

	It("after interim responses is passed on", func() {
		interim := "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 199 X\r\n\r\n"
		expectPassedOn(answerOf(interim+"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"+signed+"\r\nbody", standin.Close{}, "/book/x"), 200, "body")
	})

	DescribeTable("with an unusual field is passed on", func(name, value string) {
		a := answerOf("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"+name+": "+value+"\r\n"+signed+"\r\nbody", standin.Close{}, "/book/x")
		expectPassedOn(a, 200, "body")
		Expect(a.header).To(HaveKeyWithValue(http.CanonicalHeaderKey(name), []string{value}))
	},
		Entry("every character of a name", "!#$%&'*+-.^_`|~09az", "v"), Entry("no value", "X-Empty", ""),
		Entry("tab within the value", "X-Tab", "a\tb"), Entry("bytes over 127", "X-Text", "caf\xe9 \xff"))

	It("with a field over several lines is passed on", func() {
		a := answerOf("HTTP/1.1 200 OK\r\nX-Long: a\r\n b\r\n\tc\r\nContent-Length:\r\n 4\r\n"+signed+"\r\nbody", standin.Close{}, "/book/x")
		expectPassedOn(a, 200, "body")
		Expect(a.header.Get("X-Long")).To(Equal("a b c"))
	})
})
