package entry

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadareel/cicadareel/internal/standin"
)

// accountLoad counts the responses to the requests of one client account.
type accountLoad struct {
	mu                       sync.Mutex
	answered, refused, other int
	// shortestRetryAfter is that of the refusals, in seconds.
	shortestRetryAfter float64
}

func (a *accountLoad) count(r response) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case r.status == http.StatusOK && r.complete:
		a.answered++
	case r.status == http.StatusServiceUnavailable && r.duration == 0:
		a.refused++
		if a.shortestRetryAfter == 0 || r.retryAfter < a.shortestRetryAfter {
			a.shortestRetryAfter = r.retryAfter
		}
	default:
		a.other++
	}
}

// send sends requests of an account at a rate for some time, to the entries in turn.
func (a *accountLoad) send(all []*testEntry, key string, perSecond int, length time.Duration) {
	var calls sync.WaitGroup
	started := time.Now()
	for i := 0; time.Since(started) < length; i++ {
		calls.Go(func() {
			a.count(all[i%len(all)].call("/look/x", fmt.Sprint(key, i, "-", started.UnixNano()), func(r *http.Request) { r.Header.Set("X-Api-Key", key) }))
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	calls.Wait()
}

var _ = Describe("a client account that floods", func() {
	It("is refused at once what exceeds its share, and others are served", func() {
		withFakeClock(func() {
			d := newDeployment()
			defer d.close()
			d.configure(func(c map[string]any) {
				c["tenants"] = []any{
					map[string]any{"name": "flooding", "api_keys": []string{"flooding-key"}},
					map[string]any{"name": "usual", "api_keys": []string{"usual-key"}},
				}
			})
			var workers []*standin.Worker
			for _, name := range []string{"desk-1", "desk-2", "desk-3"} {
				workers = append(workers, d.startWorker(name, "desk", "a", func(w *standin.Worker) { w.StepTime = 300 * time.Millisecond }))
			}
			var all []*testEntry
			for _, domain := range []string{"a", "b", "c"} {
				all = append(all, d.startEntry(domain))
				all[len(all)-1].waitUntilReady()
			}
			time.Sleep(2 * time.Second)
			var before, flooding, usual accountLoad
			var loads sync.WaitGroup
			loads.Go(func() { before.send(all, "flooding-key", 20, 8*time.Second) })
			loads.Go(func() { before.send(all, "usual-key", 20, 8*time.Second) })
			loads.Wait()
			Expect(before.refused+before.other).To(BeZero(), "the usual load is not limited")
			loads.Go(func() { flooding.send(all, "flooding-key", 400, 6*time.Second) })
			loads.Go(func() { usual.send(all, "usual-key", 20, 6*time.Second) })
			loads.Wait()
			Expect(usual.answered).To(Equal(120))
			Expect(flooding.refused).To(BeNumerically(">", 1000))
			Expect(flooding.answered).To(BeNumerically(">=", 120), "the account gets its usual")
			Expect(flooding.shortestRetryAfter).To(BeNumerically(">", 0.1))
			Expect(totalRuns(workers...)).To(Equal(before.answered+usual.answered+flooding.answered+flooding.other), "what was refused did not run")
		})
	})
})
