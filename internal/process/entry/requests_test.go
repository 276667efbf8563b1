package entry

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadareel/cicadareel/internal/standin"
)

var _ = Describe("requests straight to endpoints", func() {
	var d *deployment
	var e *testEntry
	var one, two *standin.Worker

	// within runs a body on a deployment with two plain endpoints.
	within := func(body func()) {
		withFakeClock(func() {
			d, e, one, two = startPair("desk", "desk", nil)
			defer d.close()
			body()
		})
	}
	// both sets the same faults for whichever endpoint is chosen first.
	both := func(f ...standin.WorkerFault) {
		one.NextFaults(f...)
		two.NextFaults(f...)
	}

	It("bring the whole answer with its signature", func() {
		within(func() {
			expectAnswer(e.call("/look/a%2Fb?x=1&y=%20", "r1", nil), "r1")
			Expect(totalRuns(one, two)).To(Equal(1))
		})
	})

	It("pass method, target, account and what is left of the time, and keep the key", func() {
		within(func() {
			e.call("/book/a%2Fb//c?x=1;y", "r1", func(r *http.Request) {
				r.URL = &url.URL{Scheme: "http", Host: r.URL.Host, Opaque: "/book/a%2Fb//c?x=1;y"}
				r.Header.Set("X-Deadline-Ms", "700")
				r.Header.Set("X-Tenant", "forged")
			})
			run := append(one.Runs(), two.Runs()...)[0]
			Expect(run.Target).To(Equal("/book/a%2Fb//c?x=1;y"))
			Expect(run.Header.Get("X-Tenant")).To(Equal("homeowners"))
			Expect(run.Header.Get("X-Api-Key")).To(BeEmpty())
			Expect(run.Header.Get("X-Deadline-Ms")).To(Or(Equal("700"), Equal("699"), Equal("698")))
		})
	})

	DescribeTable("that may run once are not repeated, and nothing false is promised", func(f standin.WorkerFault, status int) {
		within(func() {
			both(f)
			r := e.call("/book/x", "r1", nil)
			Expect(r.status).To(Equal(status))
			Expect(totalRuns(one, two)).To(Equal(1))
			Expect(r.header.Get("X-Upstream-Signature") == "").To(Equal(f != standin.ErrorAfterRun))
		})
	},
		Entry("answer lost", standin.DropResponse, http.StatusBadGateway),
		Entry("answer truncated", standin.TruncateResponse, http.StatusBadGateway),
		Entry("answer unsigned", standin.OmitSignature, http.StatusBadGateway),
		Entry("answer to another request", standin.WrongAttemptID, http.StatusBadGateway),
		Entry("busy, though it ran", standin.UnavailableAfterRun, http.StatusBadGateway),
		Entry("no answer in time", standin.Hang, http.StatusGatewayTimeout),
		Entry("failure of the endpoint", standin.ErrorAfterRun, http.StatusInternalServerError))

	DescribeTable("that may be repeated get another endpoint's answer", func(f standin.WorkerFault) {
		within(func() {
			both(f)
			first := e.call("/look/x", "r1", nil)
			if first.status != http.StatusOK {
				// Both endpoints had a fault left; the next request finds none.
				first = e.call("/look/x", "r1", nil)
			}
			expectAnswer(first, "r1")
		})
	},
		Entry("answer lost", standin.DropResponse), Entry("answer truncated", standin.TruncateResponse),
		Entry("answer unsigned", standin.OmitSignature), Entry("failure", standin.ErrorAfterRun), Entry("shed", standin.Shed))

	It("that were shed have not run, and say when to come back", func() {
		within(func() {
			both(standin.Shed)
			expectNotRun(e.call("/book/x", "r1", nil))
			Expect(totalRuns(one, two)).To(Equal(0))
		})
	})

	It("go elsewhere where nothing listens, also those that may run once", func() {
		within(func() {
			d.announce("desk-1", "desk", "a", "10.99.0.1:1", func(r map[string]any) { r["born"] = 2 })
			time.Sleep(reactionTime)
			for range 8 {
				expectAnswer(e.call("/book/x", "r1", nil), "r1")
			}
			Expect(len(two.Runs())).To(Equal(8))
		})
	})

	It("do not run at an endpoint of another group that took over an address", func() {
		within(func() {
			other := d.startWorker("other-1", "other", "a", nil)
			d.announce("desk-1", "desk", "a", addressOf("other-1"), func(r map[string]any) { r["born"] = 2 })
			time.Sleep(reactionTime)
			for range 8 {
				expectAnswer(e.call("/book/x", "r1", nil), "r1")
			}
			Expect(other.Runs()).To(BeEmpty())
			Expect(len(two.Runs())).To(Equal(8))
		})
	})

	It("are not sent again to an address that was taken over, whatever else is announced", func() {
		within(func() {
			other := d.startWorker("other-1", "other", "a", nil)
			d.announce("desk-1", "desk", "a", addressOf("other-1"), func(r map[string]any) { r["born"] = 2 })
			for i := range 10 {
				d.announce("desk-3", "desk", "a", "10.99.0.1:1", func(r map[string]any) { r["born"] = i })
				time.Sleep(reactionTime)
				expectLookups(e, 4)
			}
			Expect(other.Misdirected()).To(Equal(1))
		})
	})

	It("that an address's new owner turned away are repeated within the budget only", func() {
		withFakeClock(func() {
			d := newDeployment()
			defer d.close()
			other := d.startWorker("other-1", "other", "a", nil)
			for i := range 8 {
				d.announce(fmt.Sprintf("gone-%d", i), "desk", "a", addressOf("other-1"), nil)
			}
			e := d.startEntry("a")
			e.waitUntilReady()
			expectNotRun(e.call("/look/x", "r1", nil))
			Expect(other.Misdirected()).To(Equal(1), "no retry is earned yet")
		})
	})

	It("get a final answer at the route's time, and the endpoint stops", func() {
		within(func() {
			both(standin.Hang)
			r := e.call("/book/x", "r1", nil)
			Expect(r.duration).To(And(BeNumerically(">=", time.Second), BeNumerically("<", 1250*time.Millisecond)))
		})
	})

	It("end at the endpoint soon after their caller left", func() {
		within(func() {
			for _, k := range []*standin.Worker{one, two} {
				k.StepTime = 900 * time.Millisecond
			}
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			e.call("/look/x", "r1", func(r *http.Request) { *r = *r.WithContext(ctx) })
			time.Sleep(300 * time.Millisecond)
			Expect(append(one.Runs(), two.Runs()...)[0].Canceled).To(BeTrue())
		})
	})

	It("are as urgent as their account, if it has a priority, else as their route", func() {
		within(func() {
			urgency := func(id string) string {
				e.call("/look/x", id, nil)
				for _, run := range append(one.Runs(), two.Runs()...) {
					if run.ID == id {
						return run.Header.Get("X-Request-Priority")
					}
				}
				return ""
			}
			Expect(urgency("r1")).To(Equal("1"))
			d.configure(func(c map[string]any) {
				c["tenants"] = []any{map[string]any{"name": "homeowners", "api_keys": []string{callerKey}, "priority": 3}}
			})
			time.Sleep(reactionTime)
			Expect(urgency("r2")).To(Equal("3"))
		})
	})

	DescribeTable("that cannot be served are told why", func(path, key, deadline, body string, status int) {
		within(func() {
			r := e.call(path, "r1", func(r *http.Request) {
				r.Header.Set("X-Api-Key", key)
				if deadline != "" {
					r.Header.Set("X-Deadline-Ms", deadline)
				}
				r.Body = http.NoBody
				if body != "" {
					r.Body, r.ContentLength = requestBody(body), int64(len(body))
				}
			})
			Expect(r.status).To(Equal(status))
			Expect(totalRuns(one, two)).To(Equal(0))
		})
	},
		Entry("unknown key", "/book/x", "nobody", "", "", http.StatusUnauthorized),
		Entry("unknown route", "/none/x", callerKey, "", "", http.StatusNotFound),
		Entry("bad deadline", "/book/x", callerKey, "soon", "", http.StatusBadRequest),
		Entry("body past the limit", "/book/x", callerKey, "", strings.Repeat("b", 65), http.StatusRequestEntityTooLarge))
})

var _ = Describe("streams straight to endpoints", func() {
	var d *deployment
	var e *testEntry
	var one, two *standin.Worker

	within := func(body func()) {
		withFakeClock(func() {
			d, e, one, two = startPair("model", "models", func(k *standin.Worker) { k.Events = 20 })
			defer d.close()
			body()
		})
	}

	It("arrive whole", func() {
		within(func() {
			r := e.call("/draft/x", "s1", nil)
			Expect(r.complete).To(BeTrue())
			Expect(r.body).To(Equal(streamBody(20)))
		})
	})

	DescribeTable("that break go on at another endpoint without gap or repetition", func(f standin.WorkerFault) {
		within(func() {
			one.NextFaults(f)
			two.NextFaults(f)
			r := e.call("/draft/x", "s1", nil)
			if !r.complete {
				// The other endpoint broke too, and the route allows two.
				r = e.call("/draft/x", "s1", nil)
			}
			Expect(r.body).To(Equal(streamBody(20)))
			Expect(strings.Count(r.body, "id: ")).To(Equal(20))
		})
	}, Entry("between events", standin.DropResponse), Entry("within an event", standin.TruncateEvent))

	It("that break go on within one answer", func() {
		within(func() {
			one.NextFaults(standin.TruncateEvent)
			two.NextFaults(standin.NoFault, standin.NoFault)
			for range 6 {
				r := e.call("/draft/x", "s1", nil)
				Expect(r.complete).To(BeTrue())
				Expect(r.body).To(Equal(streamBody(20)))
			}
			Expect(len(one.Runs())).To(BeNumerically(">", 0))
		})
	})

	It("that must not be continued end visibly", func() {
		within(func() {
			one.NextFaults(standin.DropResponse)
			two.NextFaults(standin.DropResponse)
			r := e.call("/once/x", "s1", nil)
			Expect(r.complete).To(BeFalse())
			Expect(totalRuns(one, two)).To(Equal(1))
		})
	})

	It("with a doubled event end visibly", func() {
		within(func() {
			one.NextFaults(standin.DuplicateEvent)
			two.NextFaults(standin.DuplicateEvent)
			r := e.call("/draft/x", "s1", nil)
			Expect(r.complete).To(BeFalse())
			Expect(streamBody(20)).To(HavePrefix(r.body))
		})
	})

	It("go on where their caller says", func() {
		within(func() {
			r := e.call("/draft/x", "s1", func(r *http.Request) { r.Header.Set("Last-Event-Id", "12") })
			Expect(r.complete).To(BeTrue())
			Expect(streamBody(12) + r.body).To(Equal(streamBody(20)))
		})
	})
})
