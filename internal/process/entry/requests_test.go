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

var _ = Describe("requests sent directly to endpoints", func() {
	var d *deployment
	var e *testEntry
	var one, two *standin.Worker

	// withPair runs a body on a deployment with two endpoints that do not stream.
	withPair := func(body func()) {
		withFakeClock(func() {
			d, e, one, two = startPair("desk", "desk", nil)
			defer d.close()
			body()
		})
	}
	// both sets the same faults at both endpoints, because either may be chosen.
	both := func(f ...standin.WorkerFault) {
		one.SetNextFaults(f...)
		two.SetNextFaults(f...)
	}

	It("return the complete response with its signature", func() {
		withPair(func() {
			expectResponse(e.call("/look/a%2Fb?x=1&y=%20", "r1", nil), "r1")
			Expect(totalRuns(one, two)).To(Equal(1))
		})
	})

	It("forward target, client account and remaining time, but not the key", func() {
		withPair(func() {
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

	DescribeTable("that may run only once are not retried, and the response claims nothing false", func(f standin.WorkerFault, status int) {
		withPair(func() {
			both(f)
			r := e.call("/book/x", "r1", nil)
			Expect(r.status).To(Equal(status))
			Expect(totalRuns(one, two)).To(Equal(1))
			Expect(r.header.Get("X-Upstream-Signature") == "").To(Equal(f != standin.ErrorAfterRun))
		})
	},
		Entry("response lost", standin.DropResponse, http.StatusBadGateway),
		Entry("response truncated", standin.TruncateResponse, http.StatusBadGateway),
		Entry("response unsigned", standin.OmitSignature, http.StatusBadGateway),
		Entry("response to another request", standin.WrongAttemptID, http.StatusBadGateway),
		Entry("busy, although it ran", standin.UnavailableAfterRun, http.StatusBadGateway),
		Entry("no response in time", standin.Hang, http.StatusGatewayTimeout),
		Entry("endpoint failure", standin.ErrorAfterRun, http.StatusInternalServerError))

	DescribeTable("that are idempotent get another endpoint's response", func(f standin.WorkerFault) {
		withPair(func() {
			both(f)
			first := e.call("/look/x", "r1", nil)
			if first.status != http.StatusOK {
				// Both endpoints failed once; they do not fail the next request.
				first = e.call("/look/x", "r1", nil)
			}
			expectResponse(first, "r1")
		})
	},
		Entry("response lost", standin.DropResponse), Entry("response truncated", standin.TruncateResponse),
		Entry("response unsigned", standin.OmitSignature), Entry("endpoint failure", standin.ErrorAfterRun), Entry("shed", standin.Shed))

	It("that were shed did not run, and the refusal says when to retry", func() {
		withPair(func() {
			both(standin.Shed)
			expectNotRun(e.call("/book/x", "r1", nil))
			Expect(totalRuns(one, two)).To(Equal(0))
		})
	})

	It("go to another endpoint if nothing listens at the first, also those that may run only once", func() {
		withPair(func() {
			d.announce("desk-1", "desk", "a", "10.99.0.1:1", func(r map[string]any) { r["born"] = 2 })
			time.Sleep(reactionTime)
			for range 8 {
				expectResponse(e.call("/book/x", "r1", nil), "r1")
			}
			Expect(len(two.Runs())).To(Equal(8))
		})
	})

	It("do not run at an endpoint of another group that took over the address", func() {
		withPair(func() {
			other := d.startWorker("other-1", "other", "a", nil)
			d.announce("desk-1", "desk", "a", addressOf("other-1"), func(r map[string]any) { r["born"] = 2 })
			time.Sleep(reactionTime)
			for range 8 {
				expectResponse(e.call("/book/x", "r1", nil), "r1")
			}
			Expect(other.Runs()).To(BeEmpty())
			Expect(len(two.Runs())).To(Equal(8))
		})
	})

	It("are not sent again to an address that was taken over, whatever else is announced", func() {
		withPair(func() {
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

	It("that the new owner of an address turned away are retried only within the budget", func() {
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
			Expect(other.Misdirected()).To(Equal(1), "no retry is in the budget yet")
		})
	})

	It("end at the route's timeout", func() {
		withPair(func() {
			both(standin.Hang)
			r := e.call("/book/x", "r1", nil)
			Expect(r.duration).To(And(BeNumerically(">=", time.Second), BeNumerically("<", 1250*time.Millisecond)))
		})
	})

	It("end at the endpoint soon after the caller disconnects", func() {
		withPair(func() {
			for _, w := range []*standin.Worker{one, two} {
				w.StepTime = 900 * time.Millisecond
			}
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			e.call("/look/x", "r1", func(r *http.Request) { *r = *r.WithContext(ctx) })
			time.Sleep(300 * time.Millisecond)
			Expect(append(one.Runs(), two.Runs()...)[0].Canceled).To(BeTrue())
		})
	})

	It("get the priority of their client account, or that of the route if it has none", func() {
		withPair(func() {
			priority := func(id string) string {
				e.call("/look/x", id, nil)
				for _, run := range append(one.Runs(), two.Runs()...) {
					if run.ID == id {
						return run.Header.Get("X-Request-Priority")
					}
				}
				return ""
			}
			Expect(priority("r1")).To(Equal("1"))
			d.configure(func(c map[string]any) {
				c["tenants"] = []any{map[string]any{"name": "homeowners", "api_keys": []string{callerKey}, "priority": 3}}
			})
			time.Sleep(reactionTime)
			Expect(priority("r2")).To(Equal("3"))
		})
	})

	It("go by their client account, then by their route, where routes differ in priority", func() {
		withPair(func() {
			d.configure(func(c map[string]any) {
				c["routes"] = []any{
					route("look", "safe", "desk", func(r map[string]any) { r["priority"] = 2 }),
					route("find", "safe", "desk", func(r map[string]any) { r["priority"] = 0 }),
				}
				c["tenants"] = []any{map[string]any{"name": "homeowners", "api_keys": []string{callerKey}, "priority": 1}}
			})
			time.Sleep(reactionTime)
			priorities := map[string]string{}
			for _, path := range []string{"/look/x", "/find/x"} {
				e.call(path, path, nil)
			}
			for _, run := range append(one.Runs(), two.Runs()...) {
				priorities[run.ID] = run.Header.Get("X-Request-Priority")
			}
			Expect(priorities["/find/x"] < priorities["/look/x"]).To(BeTrue(), "%v", priorities)
		})
	})

	DescribeTable("that cannot be served get a status that says why", func(path, key, deadline, body string, status int) {
		withPair(func() {
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
		Entry("body over the limit", "/book/x", callerKey, "", strings.Repeat("b", 65), http.StatusRequestEntityTooLarge))
})

var _ = Describe("streams directly from endpoints", func() {
	var d *deployment
	var e *testEntry
	var one, two *standin.Worker

	withPair := func(body func()) {
		withFakeClock(func() {
			d, e, one, two = startPair("model", "models", func(w *standin.Worker) { w.Events = 20 })
			defer d.close()
			body()
		})
	}

	It("arrive complete", func() {
		withPair(func() {
			r := e.call("/draft/x", "s1", nil)
			Expect(r.complete).To(BeTrue())
			Expect(r.body).To(Equal(streamBody(20)))
		})
	})

	DescribeTable("that break off resume at another endpoint without gaps or repeats", func(f standin.WorkerFault) {
		withPair(func() {
			one.SetNextFaults(f)
			two.SetNextFaults(f)
			r := e.call("/draft/x", "s1", nil)
			if !r.complete {
				// The second endpoint broke off too, and the route allows two attempts.
				r = e.call("/draft/x", "s1", nil)
			}
			Expect(r.body).To(Equal(streamBody(20)))
			Expect(strings.Count(r.body, "id: ")).To(Equal(20))
		})
	}, Entry("between events", standin.DropResponse), Entry("within an event", standin.TruncateEvent))

	It("that break off resume within one response", func() {
		withPair(func() {
			one.SetNextFaults(standin.TruncateEvent)
			two.SetNextFaults(standin.NoFault, standin.NoFault)
			// The choice between two equal endpoints is random.
			for calls := 0; calls < 6 || (calls < 60 && len(one.Runs()) == 0); calls++ {
				r := e.call("/draft/x", "s1", nil)
				Expect(r.complete).To(BeTrue())
				Expect(r.body).To(Equal(streamBody(20)))
			}
			Expect(one.Runs()).NotTo(BeEmpty())
		})
	})

	It("that end with their connection arrive complete, and resume if they end within an event", func() {
		withPair(func() {
			for _, w := range []*standin.Worker{one, two} {
				w.Unframed = true
			}
			one.SetNextFaults(standin.TruncateEvent)
			for calls := 0; calls < 6 || (calls < 60 && len(one.Runs()) == 0); calls++ {
				r := e.call("/draft/x", "s1", nil)
				Expect(r.complete).To(BeTrue())
				Expect(r.body).To(Equal(streamBody(20)))
			}
			Expect(one.Runs()).NotTo(BeEmpty())
		})
	})

	It("that end with their connection and must not be resumed are broken off within an event", func() {
		withPair(func() {
			for _, w := range []*standin.Worker{one, two} {
				w.Unframed = true
				w.SetNextFaults(standin.TruncateEvent)
			}
			Expect(e.call("/once/x", "s1", nil).complete).To(BeFalse())
			Expect(totalRuns(one, two)).To(Equal(1))
		})
	})

	It("that must not be resumed are broken off", func() {
		withPair(func() {
			one.SetNextFaults(standin.DropResponse)
			two.SetNextFaults(standin.DropResponse)
			r := e.call("/once/x", "s1", nil)
			Expect(r.complete).To(BeFalse())
			Expect(totalRuns(one, two)).To(Equal(1))
		})
	})

	It("with a repeated event are broken off", func() {
		withPair(func() {
			one.SetNextFaults(standin.DuplicateEvent)
			two.SetNextFaults(standin.DuplicateEvent)
			r := e.call("/draft/x", "s1", nil)
			Expect(r.complete).To(BeFalse())
			Expect(streamBody(20)).To(HavePrefix(r.body))
		})
	})

	It("resume after the event that the caller names", func() {
		withPair(func() {
			r := e.call("/draft/x", "s1", func(r *http.Request) { r.Header.Set("Last-Event-Id", "12") })
			Expect(r.complete).To(BeTrue())
			Expect(streamBody(12) + r.body).To(Equal(streamBody(20)))
		})
	})
})
