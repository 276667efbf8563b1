package entry

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadareel/cicadareel/internal/connection/caller"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/standin"
)

var _ = Describe("requests that differ in urgency", func() {
	It("are turned away at full endpoints if they are the least urgent, and the others are served", func() {
		withFakeClock(func() {
			d, e, one, two := startPair("desk", "desk", func(w *standin.Worker) { w.StepTime = 2 * time.Second })
			defer d.close()
			d.configure(func(c map[string]any) {
				c["routes"] = []any{
					route("look", "safe", "desk", func(r map[string]any) { r["priority"] = 2 }),
					route("find", "safe", "desk", func(r map[string]any) { r["priority"] = 0 }),
				}
			})
			time.Sleep(reactionTime)
			var log bytes.Buffer
			dependencies := e.environment.dependencies
			dependencies.Log = events.NewLogTo(&log, "info", "entry-0")
			e.address = "10.8.1.1:80"
			d.listenAndServe(e.address, caller.NewService(dependencies))

			var calls sync.WaitGroup
			var mu sync.Mutex
			responses := map[string][]response{}
			send := func(route string, n int) {
				for i := range n {
					calls.Go(func() {
						r := e.call("/"+route+"/x", fmt.Sprintf("%s-%d-%d", route, n, i), nil)
						mu.Lock()
						defer mu.Unlock()
						responses[route] = append(responses[route], r)
					})
				}
			}
			send("look", 1)
			send("find", 23)
			time.Sleep(time.Second)
			send("look", 20)
			send("find", 2)
			calls.Wait()
			dependencies.Log.Close()

			for _, r := range responses["find"] {
				Expect(r.status).To(Equal(http.StatusOK), log.String())
			}
			refused := 0
			for _, r := range responses["look"] {
				if r.status == http.StatusOK {
					continue
				}
				expectNotRun(r)
				Expect(r.duration).To(BeZero())
				refused++
			}
			Expect(refused).To(BeNumerically(">=", 10))
			Expect(strings.Count(log.String(), fmt.Sprintf("\"reason\":%q", outcome.LessUrgent))).To(Equal(refused), log.String())
			Expect(totalRuns(one, two)).To(Equal(46-refused), "what was refused did not run")
		})
	})
})
