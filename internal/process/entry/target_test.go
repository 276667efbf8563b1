package entry

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadareel/cicadareel/internal/standin"
)

// callTarget sends a request whose first line has the target as it is.
func (e *testEntry) callTarget(target, id string) int {
	GinkgoHelper()
	c, err := e.deployment.network.Dial(context.Background(), e.address)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Api-Key: %s\r\nConnection: close\r\n\r\n", target, hostName, id, callerKey)
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	Expect(err).NotTo(HaveOccurred())
	_ = resp.Body.Close()
	return resp.StatusCode
}

// targetsOf returns the targets of the requests that ran.
func targetsOf(w *standin.Worker) []string {
	targets := []string{}
	for _, run := range w.Runs() {
		targets = append(targets, run.Target)
	}
	return targets
}

var _ = Describe("the target of a request", func() {
	// withCatchAll runs a body on a deployment whose group desk serves all paths that have
	// no other route. The group other serves the route /other/.
	withCatchAll := func(body func(e *testEntry, desk, other *standin.Worker)) {
		withFakeClock(func() {
			d := newDeployment()
			defer d.close()
			d.configure(func(c map[string]any) {
				routes, _ := c["routes"].([]any)
				c["routes"] = append(slices.Clone(routes), route("other", "safe", "other", nil),
					route("all", "safe", "desk", func(r map[string]any) { r["path_prefix"] = "/" }))
				services, _ := c["services"].([]any)
				c["services"] = append(slices.Clone(services), map[string]any{"name": "other", "max_connections": 100})
			})
			desk, other := d.startWorker("desk-1", "desk", "a", nil), d.startWorker("other-1", "other", "a", nil)
			e := d.startEntry("a")
			e.waitUntilReady()
			body(e, desk, other)
		})
	}

	DescribeTable("reaches the endpoint unchanged", func(target string) {
		withCatchAll(func(e *testEntry, desk, _ *standin.Worker) {
			Expect(e.callTarget(target, "r1")).To(Equal(http.StatusOK))
			Expect(targetsOf(desk)).To(Equal([]string{target}))
		})
	},
		Entry("two slashes", "//lohu930/1f"), Entry("three slashes", "///lohu930"), Entry("slashes only", "//"),
		Entry("two slashes and escapes", "//a%2Fb%20c/;d=1?x=%41&y"), Entry("two slashes and an empty query", "//a?"),
		Entry("characters that should be escaped", `/a"b<c>`), Entry("slashes in the query", "/a?//b"))

	It("is refused if it cannot be sent unchanged", func() {
		withCatchAll(func(e *testEntry, desk, _ *standin.Worker) {
			Expect(e.callTarget(`//a"b`, "r1")).To(Equal(http.StatusBadRequest))
			Expect(e.callTarget("/a", "r2")).To(Equal(http.StatusOK))
			Expect(targetsOf(desk)).To(Equal([]string{"/a"}))
		})
	})

	DescribeTable("selects the route as it was sent", func(target string, leadsToOther bool) {
		withCatchAll(func(e *testEntry, desk, other *standin.Worker) {
			expected, elsewhere := desk, other
			if leadsToOther {
				expected, elsewhere = other, desk
			}
			Expect(e.callTarget(target, "r1")).To(Equal(http.StatusOK))
			Expect(targetsOf(expected)).To(Equal([]string{target}))
			Expect(elsewhere.Runs()).To(BeEmpty())
		})
	},
		Entry("slash", "/other/1f", true), Entry("query", "/other/?/x", true), Entry("encoded slash behind the prefix", "/other/%2F1f", true),
		Entry("encoded slash", "/other%2F1f", false), Entry("encoded slash in lower case", "/other%2f1f", false),
		Entry("encoded letter", "/%6fther/1f", false), Entry("slash in the query", "/other?/", false))

	It("is sent in origin form if the caller uses absolute form", func() {
		withCatchAll(func(e *testEntry, desk, _ *standin.Worker) {
			for i, target := range []string{"http://" + hostName + "/a%2F?x=1", "http://" + hostName, "http://" + hostName + "?y"} {
				Expect(e.callTarget(target, fmt.Sprint("r", i))).To(Equal(http.StatusOK))
			}
			Expect(e.callTarget("/a", "r9")).To(Equal(http.StatusOK))
			Expect(targetsOf(desk)).To(Equal([]string{"/a%2F?x=1", "/", "/?y", "/a"}))
		})
	})

	DescribeTable("matches no route if it has no path", func(target string) {
		withCatchAll(func(e *testEntry, desk, _ *standin.Worker) {
			Expect(e.callTarget(target, "r1")).To(Equal(http.StatusNotFound))
			Expect(targetsOf(desk)).To(BeEmpty())
		})
	}, Entry("asterisk", "*"), Entry("scheme only", "mailto:a"), Entry("no authority", "http:/a"))
})
