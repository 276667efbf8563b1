package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/urfave/cli/v3"

	"github.com/cicadareel/cicadareel/internal/connection/caller"
	"github.com/cicadareel/cicadareel/internal/outcome"
)

var _ = Describe("where", func() {
	var asked *http.Request
	var server *httptest.Server
	answer := caller.Preview{
		BundleVersion: 7, Route: "look", Path: "/look/", Group: "desk", Account: "homeowners", Priority: 3, Urgency: 6, Cost: 1.5,
		SharedParts: []string{"5c1e07a2"},
		Admission:   &caller.AdmissionPreview{Admitted: true, PlanAgeMs: 120, GroupInFlight: 20, GroupTarget: 30, Entries: 4},
		Candidates:  []caller.Candidate{{Endpoint: "desk-1", FailureDomain: "a", Eligible: true, Limit: 12}, {Endpoint: "desk-2", FailureDomain: "b", Obstacles: []string{"paused"}, PausedForMs: 900}},
		Choice:      "desk-1",
	}

	BeforeEach(func() {
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asked = r
			if r.URL.Query().Get("account") == "nobody" {
				http.Error(w, "no client account of the bundle has the name nobody", http.StatusBadRequest)
				return
			}
			_ = json.NewEncoder(w).Encode(answer)
		}))
		DeferCleanup(server.Close)
	})
	run := func(args ...string) (string, error) {
		var out bytes.Buffer
		root := &cli.Command{Name: "cicadareel", Writer: &out, Commands: []*cli.Command{whereCommand()}, ExitErrHandler: func(context.Context, *cli.Command, error) {}}
		at := strings.TrimPrefix(server.URL, "http://")
		err := root.Run(GinkgoT().Context(), append([]string{"cicadareel", "where", "--at", at}, args...))
		return out.String(), err
	}

	It("asks for the request and prints the choice with its inputs", func() {
		text, err := run("--host", "h.example", "--account", "homeowners", "--parts", "5c1e07a2:800,e4402b7d:250", "--size", "1460,80", "/look/x?y=1")
		Expect(err).NotTo(HaveOccurred())
		query := asked.URL.Query()
		Expect([]string{query.Get("host"), query.Get("target"), query.Get("account")}).To(Equal([]string{"h.example", "/look/x?y=1", "homeowners"}))
		Expect(asked.Header.Get("X-Prompt-Prefix")).To(Equal("5c1e07a2:800,e4402b7d:250"))
		Expect(asked.Header.Get("X-Token-Usage")).To(Equal("1460,80"))
		for _, part := range []string{"would go to desk-1", "version 7", "look (/look/), group desk", "homeowners, priority 3", "120ms old", "paused for 900ms; paused"} {
			Expect(text).To(ContainSubstring(part))
		}
	})

	It("prints the answer as JSON", func() {
		text, err := run("--json", "/look/x")
		Expect(err).NotTo(HaveOccurred())
		var got caller.Preview
		Expect(json.Unmarshal([]byte(text), &got)).To(Succeed())
		Expect(got).To(Equal(answer))
	})

	It("prints a refusal with its Retry-After", func() {
		var out bytes.Buffer
		printWhere(&out, caller.Preview{Refusal: &caller.RefusalPreview{Status: 503, Reason: outcome.PromptQuarantined, RetryAfter: "1.500", Part: "bad"}})
		Expect(out.String()).To(HavePrefix("would be refused: status 503, promptQuarantined; suspected part bad; Retry-After 1.500\n"))
	})

	DescribeTable("refuses invalid input and says why", func(problem string, args ...string) {
		_, err := run(args...)
		Expect(err).To(MatchError(ContainSubstring(problem)))
		Expect(exitCode(err)).To(Equal(exitInvalid))
	},
		Entry("no path", "exactly one argument"), Entry("a relative path", "must begin with a slash", "look"),
		Entry("parts", "ID:TOKENS", "--parts", "a:x", "/look"), Entry("no size of the answer", "two numbers of tokens", "--size", "1460", "/look"),
		Entry("address", "--at", "--at", "nowhere", "/look"), Entry("account", "has the name nobody", "--account", "nobody", "/look"))

	It("fails if the entry cannot be reached", func() {
		server.Close()
		_, err := run("/look")
		Expect(exitCode(err)).To(Equal(exitUnreachable))
	})
})
