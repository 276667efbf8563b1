package entry

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadareel/cicadareel/internal/connection/caller"
	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/request/admission"
	"github.com/cicadareel/cicadareel/internal/request/quarantine"
	"github.com/cicadareel/cicadareel/internal/standin"
	"github.com/cicadareel/cicadareel/platform"
)

var _ = Describe("where a request would go", func() {
	var d *deployment
	var e *testEntry
	var one, two *standin.Worker
	var previewer *caller.Previewer

	// withPair runs a body on a deployment with two endpoints, whose responses take some
	// time.
	withPair := func(body func()) {
		withFakeClock(func() {
			d, e, one, two = startPair("desk", "desk", func(w *standin.Worker) { w.StepTime = 407 * time.Millisecond })
			defer d.close()
			d.announce("desk-1", "desk", "a", addressOf("desk-1"), func(r map[string]any) { r["slots"] = 24 })
			time.Sleep(reactionTime)
			var ok bool
			previewer, ok = caller.NewPreviewer(e.environment.dependencies)
			Expect(ok).To(BeTrue())
			body()
		})
	}
	// ask asks for a request to the route look with prompt parts.
	ask := func(parts string) caller.Preview {
		GinkgoHelper()
		p, err := previewer.Preview(caller.Question{Host: hostName, Target: "/look/x?y=1", Account: "homeowners", Header: platform.PromptHeader(parts, "")})
		Expect(err).NotTo(HaveOccurred())
		return p
	}
	// expectRefusal expects a refusal, and the same one for the next request.
	expectRefusal := func(parts string, reason outcome.Reason) caller.Preview {
		GinkgoHelper()
		p, runs := ask(parts), totalRuns(one, two)
		Expect(p.Choice).To(BeEmpty())
		Expect(p.Refusal).NotTo(BeNil())
		Expect(p.Refusal.Reason).To(Equal(reason))
		Expect(p.Refusal.RetryAfter).NotTo(BeEmpty())
		r := e.call("/look/x", "r1", func(r *http.Request) { r.Header = mergeHeader(r.Header, platform.PromptHeader(parts, "")) })
		Expect(r.status).To(Equal(p.Refusal.Status))
		Expect(totalRuns(one, two)).To(Equal(runs))
		return p
	}

	It("is where the next request goes, while loads rise and fall", func() {
		withPair(func() {
			chosen, equals := map[string]int{}, 0
			for range 60 {
				p := ask("")
				Expect(p.Candidates).To(HaveLen(2))
				Expect(p.Refusal).To(BeNil())
				Expect([]any{p.Route, p.Group, p.Account}).To(Equal([]any{"look", "desk", "homeowners"}))
				before := map[string]int{one.Name: len(one.Runs()), two.Name: len(two.Runs())}
				go e.call("/look/x", "r", nil)
				time.Sleep(20 * time.Millisecond)
				after := map[string]int{one.Name: len(one.Runs()), two.Name: len(two.Runs())}
				if p.Candidates[0].Load == p.Candidates[1].Load {
					// The choice between equals is random.
					equals++
					continue
				}
				Expect(after[p.Choice]).To(Equal(before[p.Choice]+1), p.Choice)
				chosen[p.Choice]++
			}
			Expect(equals).To(BeNumerically("<", 30))
			Expect(chosen).To(HaveLen(2), "both endpoints are chosen in their turns")
			time.Sleep(time.Second)
		})
	})

	It("counts and sends nothing", func() {
		withPair(func() {
			d.announce("desk-1", "desk", "a", addressOf("desk-1"), func(r map[string]any) { r["cold_remaining_ms"] = 3000; r["born"] = 2; r["slots"] = 24 })
			time.Sleep(reactionTime)
			before := ask("")
			for range 200 {
				Expect(ask("").Choice).To(Equal(before.Choice))
			}
			Expect(totalRuns(one, two)).To(BeZero())
			for _, c := range ask("").Candidates {
				Expect(c.Own).To(BeZero())
				Expect(c.Obstacles).To(BeEmpty())
			}
		})
	})

	It("is nowhere without an endpoint", func() {
		withPair(func() {
			for _, w := range []*standin.Worker{one, two} {
				d.announce(w.Name, "desk", "a", addressOf(w.Name), func(r map[string]any) { r["state"] = "draining" })
			}
			time.Sleep(reactionTime)
			p := expectRefusal("", outcome.NoEndpoint)
			Expect(p.Candidates).To(HaveLen(2))
			Expect(p.Candidates[0].Obstacles).To(Equal([]string{"takes no new work"}))
		})
	})

	It("is nowhere with a suspected part of the prompt", func() {
		withPair(func() {
			e.environment.dependencies.Quarantine.RecordCrash(quarantine.Crash{Endpoint: "desk-1", Parts: []string{"bad"}})
			Expect(expectRefusal("bad:1,own:1", outcome.PromptQuarantined).Refusal.Part).To(Equal("bad"))
			Expect(ask("good:1,own:1").Choice).NotTo(BeEmpty())
		})
	})

	It("is nowhere beyond the limit of the client account", func() {
		withPair(func() {
			e.call("/look/x", "r0", nil)
			controller, _ := e.environment.dependencies.Admission.(*admission.Controller)
			limit := admission.Limit{InFlight: 1, Demand: 100}
			controller.ApplyPlans([]admission.GroupPlan{{Group: "desk", Plan: admission.Plan{
				Limits: map[string]admission.Limit{"homeowners": limit}, RetryAfter: 2 * time.Second, State: admission.State{Target: 1, Usual: map[string]float64{}},
			}}})
			a := expectRefusal("", outcome.AccountLimited).Admission
			Expect(a.Admitted).To(BeFalse())
			Expect(a.LimitedAccounts).To(Equal([]string{"homeowners"}))
		})
	})

	It("is told with the reason if the request fits no route or account", func() {
		withPair(func() {
			p, err := previewer.Preview(caller.Question{Host: hostName, Target: "/nowhere/x", Account: "homeowners"})
			Expect(err).NotTo(HaveOccurred())
			Expect(p.Refusal.Status).To(Equal(http.StatusNotFound))
			p, err = previewer.Preview(caller.Question{Host: hostName, Target: "/look/x"})
			Expect(err).NotTo(HaveOccurred())
			Expect(p.Refusal.Status).To(Equal(http.StatusUnauthorized))
			for _, q := range []caller.Question{{Host: hostName, Target: "/look/x", Account: "nobody"}, {Host: hostName, Target: "look"}} {
				_, err := previewer.Preview(q)
				Expect(err).To(BeAssignableToTypeOf(&caller.InvalidQuestionError{}))
			}
		})
	})

	It("is told over HTTP", func() {
		withPair(func() {
			get := func(query url.Values) *httptest.ResponseRecorder {
				w := httptest.NewRecorder()
				previewer.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/where?"+query.Encode(), http.NoBody))
				return w
			}
			w := get(url.Values{"host": {hostName}, "target": {"/look/x"}, "account": {"homeowners"}})
			Expect(w.Code).To(Equal(http.StatusOK))
			Expect(w.Body.String()).To(ContainSubstring(`"choice":"desk-1"`))
			w = get(url.Values{"host": {hostName}, "target": {"/look/x"}, "account": {"nobody"}})
			Expect(w.Code).To(Equal(http.StatusBadRequest))
			Expect(w.Body.String()).To(ContainSubstring("nobody"))
		})
	})
})

// mergeHeader returns the fields of both headers.
func mergeHeader(h, other http.Header) http.Header {
	for name, values := range other {
		h[name] = values
	}
	return h
}
