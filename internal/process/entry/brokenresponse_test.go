package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
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
})
