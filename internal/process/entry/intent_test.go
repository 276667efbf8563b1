package entry

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadareel/cicadareel/internal/standin"
)

var _ = Describe("the operators' intent", func() {
	var d *deployment
	var e *testEntry
	var one, two *standin.Worker

	withPair := func(body func()) {
		withFakeClock(func() {
			d, e, one, two = startPair("desk", "desk", nil)
			defer d.close()
			body()
		})
	}
	calls := func(n int) { expectLookups(e, n) }
	status := func(path string) int { return e.call(path, "r", nil).status }
	withoutBooking := func(c map[string]any) {
		c["routes"] = []any{route("look", "safe", "desk", nil)}
	}

	It("takes effect at once", func() {
		withPair(func() {
			d.configure(withoutBooking)
			time.Sleep(100 * time.Millisecond)
			Expect(status("/book/x")).To(Equal(http.StatusNotFound))
			Expect(status("/look/x")).To(Equal(http.StatusOK))
		})
	})

	It("revokes keys at once", func() {
		withPair(func() {
			d.configure(func(c map[string]any) {
				c["tenants"] = []any{map[string]any{"name": "homeowners", "api_keys": []string{"other"}}}
			})
			time.Sleep(100 * time.Millisecond)
			Expect(status("/look/x")).To(Equal(http.StatusUnauthorized))
		})
	})

	It("never goes back to an older version", func() {
		withPair(func() {
			d.configure(withoutBooking)
			time.Sleep(100 * time.Millisecond)
			d.version -= 6
			d.configure(nil)
			time.Sleep(100 * time.Millisecond)
			Expect(status("/book/x")).To(Equal(http.StatusNotFound))
		})
	})

	It("stays unchanged when a new version cannot be parsed", func() {
		withPair(func() {
			d.store.PutRaw("op", "config", []byte(`{"version": 99, "routes": [`))
			time.Sleep(100 * time.Millisecond)
			Expect(status("/look/x")).To(Equal(http.StatusOK))
		})
	})

	It("splits routes by weight", func() {
		withPair(func() {
			d.startWorker("other-1", "other", "a", nil)
			d.configure(func(c map[string]any) {
				c["services"] = append(c["services"].([]any), map[string]any{"name": "other"})
				c["routes"] = []any{route("look", "safe", "", func(r map[string]any) {
					r["weighted_services"] = []any{map[string]any{"service": "desk", "weight": 0}, map[string]any{"service": "other", "weight": 5}}
				})}
			})
			time.Sleep(100 * time.Millisecond)
			calls(10)
			Expect(totalRuns(one, two)).To(Equal(0))
		})
	})

	It("keeps requests out of a held failure domain until it is released", func() {
		withPair(func() {
			d.store.Put("op", "evacuate/a", struct{}{})
			time.Sleep(50 * time.Millisecond)
			calls(10)
			Expect(one.Runs()).To(BeEmpty())
			d.store.Put("op", "evacuate/b", struct{}{})
			time.Sleep(50 * time.Millisecond)
			expectNotRun(e.call("/look/x", "r", nil))
			d.store.Remove("op", "evacuate/a")
			time.Sleep(50 * time.Millisecond)
			calls(10)
			Expect(one.Runs()).To(HaveLen(10))
		})
	})

	It("reaches all entries again after the store was unreachable", func() {
		withPair(func() {
			other := d.startEntry("b")
			other.waitUntilReady()
			time.Sleep(2 * time.Second)
			d.network.Pause(storeAddress)
			time.Sleep(15 * time.Second)
			d.network.Resume(storeAddress)
			time.Sleep(time.Second)
			d.configure(withoutBooking)
			time.Sleep(time.Second)
			Expect(status("/book/x")).To(Equal(http.StatusNotFound))
			Expect(other.call("/book/x", "r", nil).status).To(Equal(http.StatusNotFound))
		})
	})

	It("reaches entries while the entries that follow the store for them do not respond", func() {
		withPair(func() {
			all := []*testEntry{e}
			for _, domain := range []string{"b", "c", "a", "b"} {
				all = append(all, d.startEntry(domain))
			}
			time.Sleep(5 * time.Second)
			for i := range 3 {
				d.network.Pause(entryAddress(i).String())
			}
			for round := range 8 {
				change, want := withoutBooking, http.StatusNotFound
				if round%2 == 1 {
					change, want = nil, http.StatusOK
				}
				d.configure(change)
				time.Sleep(1900 * time.Millisecond)
				for _, other := range all[3:] {
					Expect(other.call("/book/x", "r", nil).status).To(Equal(want))
				}
			}
			for i := range 3 {
				d.network.Resume(entryAddress(i).String())
			}
		})
	})

	It("reaches entries when all entries that follow the store for them freeze at once", func() {
		withPair(func() {
			all := []*testEntry{e}
			for _, domain := range []string{"b", "c", "a", "b"} {
				all = append(all, d.startEntry(domain))
			}
			time.Sleep(5 * time.Second)
			for i := range 3 {
				d.network.Pause(entryAddress(i).String())
			}
			d.configure(withoutBooking)
			time.Sleep(2 * time.Second)
			for _, other := range all[3:] {
				Expect(other.call("/book/x", "r", nil).status).To(Equal(http.StatusNotFound))
			}
			for i := range 3 {
				d.network.Resume(entryAddress(i).String())
			}
		})
	})

	It("is read soon after an outage that left calls unanswered", func() {
		withPair(func() {
			d.store.SetFaults(standin.StoreFaults{Silent: true})
			time.Sleep(500 * time.Millisecond)
			d.store.SetFaults(standin.StoreFaults{})
			d.configure(withoutBooking)
			time.Sleep(3 * time.Second)
			Expect(status("/book/x")).To(Equal(http.StatusNotFound))
		})
	})

	It("survives a store that loses its history", func() {
		withPair(func() {
			d.store.DropHistory()
			d.configure(withoutBooking)
			time.Sleep(200 * time.Millisecond)
			Expect(status("/book/x")).To(Equal(http.StatusNotFound))
		})
	})

	It("is read a few times a second only from a store that keeps no history", func() {
		withPair(func() {
			d.store.SetFaults(standin.StoreFaults{Delay: storeDelay, LoseHistory: true})
			before := d.store.Calls()
			time.Sleep(10 * time.Second)
			Expect(d.store.Calls() - before).To(BeNumerically("<", 150))
			d.configure(withoutBooking)
			time.Sleep(time.Second)
			Expect(status("/book/x")).To(Equal(http.StatusNotFound))
		})
	})

	It("stays in force while the store is down, and is updated afterwards", func() {
		withPair(func() {
			d.store.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
			time.Sleep(20 * time.Second)
			calls(5)
			d.store.SetFaults(standin.StoreFaults{})
			d.configure(withoutBooking)
			time.Sleep(time.Second)
			Expect(status("/book/x")).To(Equal(http.StatusNotFound))
		})
	})

	It("comes from peers to an entry that starts while the store is down", func() {
		withPair(func() {
			d.store.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
			late := d.startEntry("b")
			first := late.call("/look/x", "r", nil).status
			Expect(first).To(Or(Equal(http.StatusServiceUnavailable), Equal(http.StatusOK)), "never a response made without the configuration")
			time.Sleep(2 * time.Second)
			Expect(late.environment.ready()).To(BeTrue())
			expectResponse(late.call("/look/x", "r2", nil), "r2")
		})
	})
})

// reactionTime is how soon a change of endpoints must take effect. The users
// require two seconds; the other 1.5 seconds are for the delay of the store.
const reactionTime = 500 * time.Millisecond

var _ = Describe("endpoints that announce themselves", func() {
	var d *deployment
	var e *testEntry
	var one, two *standin.Worker

	withPair := func(body func()) {
		withFakeClock(func() {
			d, e, one, two = startPair("desk", "desk", nil)
			defer d.close()
			body()
		})
	}
	calls := func(n int) { expectLookups(e, n) }

	It("get no new requests once they drain", func() {
		withPair(func() {
			d.announce("desk-1", "desk", "a", addressOf("desk-1"), func(r map[string]any) { r["state"] = "draining" })
			time.Sleep(reactionTime)
			calls(10)
			Expect(one.Runs()).To(BeEmpty())
		})
	})

	It("get no new requests once they are gone, while running requests finish", func() {
		withPair(func() {
			one.StepTime, two.StepTime = 500*time.Millisecond, 500*time.Millisecond
			done := make(chan response, 1)
			go func() { done <- e.call("/look/x", "r1", nil) }()
			time.Sleep(100 * time.Millisecond)
			d.store.Remove("servers", "desk-1")
			d.store.Remove("servers", "desk-2")
			time.Sleep(reactionTime)
			expectNotRun(e.call("/look/x", "r2", nil))
			expectResponse(<-done, "r1")
		})
	})

	It("stay for two seconds after the store is back if their rows lapsed", func() {
		withPair(func() {
			d.store.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
			time.Sleep(3 * time.Second)
			d.store.Remove("servers", "desk-1")
			d.store.Remove("servers", "desk-2")
			d.store.SetFaults(standin.StoreFaults{})
			time.Sleep(1500 * time.Millisecond)
			calls(5)
			d.announce("desk-2", "desk", "b", addressOf("desk-2"), nil)
			time.Sleep(1500 * time.Millisecond)
			before := len(one.Runs())
			calls(10)
			Expect(one.Runs()).To(HaveLen(before), "an endpoint that is still missing gets no requests")
		})
	})

	DescribeTable("are ignored if their rows are invalid", func(row string) {
		withPair(func() {
			d.store.PutRaw("servers", "foreign", []byte(row))
			time.Sleep(reactionTime)
			calls(10)
		})
	},
		Entry("truncated", `{"service":"desk","addr`),
		Entry("unknown state", `{"service":"desk","address":"10.1.1.1:1","zone":"a","slots":3,"state":"sleeping","version":"v1","cold_remaining_ms":0,"sequence":1,"born":1}`),
		Entry("wrong type", `{"service":7,"address":"10.1.1.1:1","zone":"a","slots":3,"state":"ready","version":"v1","cold_remaining_ms":0,"sequence":1,"born":1}`),
		Entry("invalid address", `{"service":"desk","address":"nowhere","zone":"a","slots":3,"state":"ready","version":"v1","cold_remaining_ms":0,"sequence":1,"born":1}`),
		Entry("unknown service", `{"service":"unheard","address":"10.1.1.1:1","zone":"a","slots":3,"state":"ready","version":"v1","cold_remaining_ms":0,"sequence":1,"born":1}`),
		Entry("fields missing", `{"service":"desk","address":"10.1.1.1:1","zone":"a","slots":3,"state":"ready"}`),
		Entry("not an object", `[]`), Entry("empty", ``))

	It("are used again under their name after a restart", func() {
		withPair(func() {
			d.announce("desk-1", "desk", "a", addressOf("desk-1"), func(r map[string]any) { r["born"] = 99 })
			time.Sleep(reactionTime)
			d.store.Remove("servers", "desk-2")
			time.Sleep(reactionTime)
			calls(5)
			Expect(one.Runs()).To(HaveLen(5))
		})
	})

	It("that are cold get no more than their limit from all entries together", func() {
		withFakeClock(func() {
			d = newDeployment()
			defer d.close()
			cold := d.startWorker("model-1", "models", "a", func(w *standin.Worker) { w.Events = 1 })
			for i := range 4 {
				d.startEntry(string(rune('a' + i))).waitUntilReady()
			}
			time.Sleep(3 * time.Second)
			d.announce("model-1", "models", "a", addressOf("model-1"), func(r map[string]any) { r["cold_remaining_ms"] = 3000; r["born"] = 2 })
			time.Sleep(reactionTime)
			flood(d.entries, 150, 10*time.Millisecond)
			Expect(maxPerSecond(cold.Runs())).To(BeNumerically("<=", 10*1.5+5))
			Expect(cold.Runs()).NotTo(BeEmpty())
		})
	})
})

// flood sends a number of requests to each entry, with an interval between them.
func flood(entries []*testEntry, each int, interval time.Duration) {
	done := make(chan struct{}, each*len(entries))
	for i := range each {
		for j, e := range entries {
			go func() {
				e.call("/draft/x", fmt.Sprintf("f%d-%d", i, j), nil)
				done <- struct{}{}
			}()
		}
		time.Sleep(interval)
	}
	for range each * len(entries) {
		<-done
	}
}

// maxPerSecond returns the largest number of runs within any second.
func maxPerSecond(runs []standin.Run) int {
	largest := 0
	for i := range runs {
		n := 0
		for _, r := range runs[i:] {
			if r.At.Sub(runs[i].At) < time.Second {
				n++
			}
		}
		largest = max(largest, n)
	}
	return largest
}

var _ = Describe("retries", func() {
	It("stay within the budget of all entries together", func() {
		withFakeClock(func() {
			d := newDeployment()
			defer d.close()
			workers := []*standin.Worker{}
			for _, name := range []string{"desk-1", "desk-2", "desk-3"} {
				workers = append(workers, d.startWorker(name, "desk", "a", func(w *standin.Worker) { w.StepTime = time.Millisecond }))
			}
			for i := range 3 {
				d.startEntry(string(rune('a' + i))).waitUntilReady()
			}
			time.Sleep(retryWindow)
			failing := make([]standin.WorkerFault, 2000)
			for i := range failing {
				failing[i] = standin.ErrorAfterRun
			}
			for _, w := range workers {
				w.SetNextFaults(failing...)
			}
			requests, started := 0, time.Now()
			for range 200 {
				for _, e := range d.entries {
					r := e.call("/look/x", fmt.Sprintf("r%d", requests), nil)
					Expect(r.status).To(Equal(http.StatusInternalServerError))
					Expect(strings.HasPrefix(r.body, "done")).To(BeTrue(), "the response of the endpoint itself")
					requests++
				}
			}
			Expect(time.Since(started)).To(BeNumerically("<", 10*time.Second), "within one retry window")
			Expect(totalRuns(workers...) - requests).To(BeNumerically("<=", float64(requests)*0.2+88))
		})
	})
})
