package entry

import (
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadareel/cicadareel/internal/standin"
)

// storeDelay is how long the store takes for a response.
const storeDelay = 4 * time.Millisecond

// restoreReaction is how soon a change must take effect after the store came back from a
// copy. The users require two seconds.
const restoreReaction = 2 * time.Second

var _ = Describe("a store that comes back from a copy", func() {
	var d *deployment
	var e *testEntry
	var one, two *standin.Worker

	withPair := func(body func()) {
		withFakeClock(func() {
			d, e, one, two = startPair("desk", "desk", nil)
			defer d.close()
			d.store.SetFaults(standin.StoreFaults{Delay: storeDelay})
			body()
		})
	}
	withoutBooking := func(c map[string]any) { c["routes"] = []any{route("look", "safe", "desk", nil)} }
	status := func(e *testEntry, path string) int { return e.call(path, "r", nil).status }
	draining := func(r map[string]any) { r["state"] = "draining" }
	runsOf := func(w *standin.Worker) int {
		before := totalRuns(w)
		expectLookups(e, 20)
		return totalRuns(w) - before
	}
	expectNoRuns := func(w *standin.Worker) {
		GinkgoHelper()
		Expect(runsOf(w)).To(BeZero())
	}
	expectRuns := func(w *standin.Worker) {
		GinkgoHelper()
		Expect(runsOf(w)).To(BeNumerically(">", 0))
	}
	// loseChanges makes the store lose a number of changes of a row without effect.
	loseChanges := func(n int) {
		lost := d.store.Copy()
		for range n {
			d.store.Put("op", "unrelated", struct{}{})
		}
		time.Sleep(time.Second)
		d.store.Restore(lost)
	}
	// lose makes a change that the store then loses.
	lose := func(change func()) {
		before := d.store.Copy()
		change()
		time.Sleep(time.Second)
		d.store.Restore(before)
		time.Sleep(200 * time.Millisecond)
	}

	It("is followed at once by the entries that read it", func() {
		withPair(func() {
			loseChanges(20)
			time.Sleep(time.Second)
			d.configure(withoutBooking)
			d.announce("desk-1", "desk", "a", addressOf("desk-1"), draining)
			time.Sleep(restoreReaction)
			Expect(status(e, "/book/x")).To(Equal(http.StatusNotFound))
			expectNoRuns(one)
			expectRuns(two)
		})
	})

	It("is followed at once by the entries that get copies from others", func() {
		withPair(func() {
			all := []*testEntry{e}
			for _, domain := range []string{"b", "c", "a", "b"} {
				all = append(all, d.startEntry(domain))
			}
			time.Sleep(5 * time.Second)
			loseChanges(20)
			time.Sleep(time.Second)
			d.configure(withoutBooking)
			time.Sleep(restoreReaction)
			for _, other := range all {
				Expect(status(other, "/book/x")).To(Equal(http.StatusNotFound))
			}
		})
	})

	It("is asked a few times only until it has made up for the lost changes", func() {
		withPair(func() {
			before := d.store.Calls()
			loseChanges(20)
			time.Sleep(5 * time.Second)
			Expect(d.store.Calls() - before).To(BeNumerically("<", 60))
		})
	})

	It("hides no change whose revision an entry had from before", func() {
		withPair(func() {
			before := d.store.Copy()
			for range 3 {
				d.store.Put("op", "unrelated", struct{}{})
			}
			time.Sleep(time.Second)
			d.store.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
			d.store.Restore(before)
			d.configure(withoutBooking)
			for range 5 {
				d.store.Put("op", "unrelated", struct{}{})
			}
			time.Sleep(time.Second)
			d.store.SetFaults(standin.StoreFaults{Delay: storeDelay})
			time.Sleep(restoreReaction)
			Expect(status(e, "/book/x")).To(Equal(http.StatusNotFound))
		})
	})

	It("is followed by an entry that was cut off meanwhile and has a higher revision", func() {
		withPair(func() {
			late := d.startEntry("b")
			late.waitUntilReady()
			time.Sleep(5 * time.Second)
			address := entryAddress(1).String()
			lose(func() {
				d.store.Put("op", "unrelated", struct{}{})
				time.Sleep(time.Second)
				for range 20 {
					d.store.Put("op", "unrelated", struct{}{})
				}
				time.Sleep(time.Second)
				d.network.Pause(address)
			})
			d.configure(withoutBooking)
			time.Sleep(restoreReaction)
			d.network.Resume(address)
			time.Sleep(restoreReaction)
			Expect(status(e, "/book/x")).To(Equal(http.StatusNotFound))
			Expect(status(late, "/book/x")).To(Equal(http.StatusNotFound))
		})
	})

	It("does not bring back endpoints that have left", func() {
		withPair(func() {
			lose(func() { d.announce("desk-1", "desk", "a", addressOf("desk-1"), draining) })
			expectNoRuns(one)
			time.Sleep(3 * time.Second)
			expectNoRuns(one)
		})
	})

	It("does not bring back endpoints whose rows were removed, for as long as their rows take to expire", func() {
		withPair(func() {
			lose(func() { d.store.Remove("servers", "desk-1") })
			expectNoRuns(one)
			time.Sleep(5 * time.Second)
			expectNoRuns(one)
			time.Sleep(6 * time.Second)
			expectRuns(one)
		})
	})

	It("does not take new endpoints away while they announce themselves again", func() {
		withPair(func() {
			var three *standin.Worker
			lose(func() { three = d.startWorker("desk-3", "desk", "c", nil) })
			time.Sleep(time.Second)
			expectRuns(three)
			d.announce("desk-3", "desk", "c", addressOf("desk-3"), nil)
			time.Sleep(3 * time.Second)
			expectRuns(three)
		})
	})

	It("does not release failure domains until operators write again what was lost", func() {
		withPair(func() {
			lose(func() { d.store.Put("op", "evacuate/a", struct{}{}) })
			expectNoRuns(one)
			time.Sleep(3 * time.Second)
			expectNoRuns(one)
			d.store.Put("op", "evacuate/a", struct{}{})
			time.Sleep(12 * time.Second)
			expectNoRuns(one)
		})
	})

	It("releases failure domains that nobody holds again", func() {
		withPair(func() {
			lose(func() { d.store.Put("op", "evacuate/a", struct{}{}) })
			time.Sleep(11 * time.Second)
			expectRuns(one)
		})
	})

	It("does not hold failure domains again that were released", func() {
		withPair(func() {
			d.store.Put("op", "evacuate/a", struct{}{})
			time.Sleep(time.Second)
			lose(func() { d.store.Remove("op", "evacuate/a") })
			time.Sleep(time.Second)
			expectRuns(one)
			d.store.Remove("op", "evacuate/a")
			time.Sleep(time.Second)
			d.store.Put("op", "evacuate/a", struct{}{})
			time.Sleep(500 * time.Millisecond)
			expectNoRuns(one)
		})
	})

	It("does not give an older configuration to an entry that starts before it is written again", func() {
		withPair(func() {
			lose(func() { d.configure(withoutBooking) })
			time.Sleep(time.Second)
			d.store.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
			late := d.startEntry("b")
			late.waitUntilReady()
			Expect(status(e, "/book/x")).To(Equal(http.StatusNotFound))
			Expect(status(late, "/book/x")).To(Equal(http.StatusNotFound))
		})
	})

	It("does not revive keys that were taken away", func() {
		withPair(func() {
			lose(func() {
				d.configure(func(c map[string]any) {
					c["tenants"] = []any{map[string]any{"name": "homeowners", "api_keys": []string{"other"}}}
				})
			})
			time.Sleep(time.Second)
			Expect(status(e, "/look/x")).To(Equal(http.StatusUnauthorized))
		})
	})

	It("does not take endpoints for cold again", func() {
		withPair(func() {
			d.startWorker("model", "models", "a", func(w *standin.Worker) { w.Events = 1 })
			d.announce("model", "models", "a", addressOf("model"), func(r map[string]any) { r["cold_remaining_ms"] = 3000 })
			time.Sleep(5 * time.Second)
			loseChanges(20)
			time.Sleep(500 * time.Millisecond)
			for i := range 20 {
				id := strconv.Itoa(i)
				Expect(e.call("/draft/x", id, nil).status).To(Equal(http.StatusOK))
			}
		})
	})
})
