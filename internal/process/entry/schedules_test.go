package entry

import (
	"flag"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/cicadareel/cicadareel/internal/standin"
)

// fixSeed makes the random schedules the same in every run, unless a seed is given.
func fixSeed() {
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
}

// anyFaults draws the faults of an endpoint in its next requests.
var anyFaults = rapid.SliceOfN(rapid.SampledFrom([]standin.WorkerFault{
	standin.NoFault, standin.NoFault, standin.Shed, standin.ErrorAfterRun, standin.DropResponse, standin.TruncateResponse,
	standin.OmitSignature, standin.WrongAttemptID, standin.UnavailableAfterRun, standin.Hang, standin.DuplicateEvent, standin.TruncateEvent,
}), 0, 40)

// sentRequest is a request and the response that its caller got.
type sentRequest struct {
	route, id string
	response  response
}

// violations returns the guarantees that the response breaks, given how often the
// request ran. The count is its only state, so that no earlier event can be lost.
func (s sentRequest) violations(runs int) []string {
	var violations []string
	check := func(holds bool, guarantee string) {
		if !holds {
			violations = append(violations, fmt.Sprintf("%s %s, status %d, ran %d times: %s", s.route, s.id, s.response.status, runs, guarantee))
		}
	}
	check(runs <= 2, "a request runs at no more endpoints than the route allows")
	check(s.route != "book" || runs <= 1, "a request that may run only once does not run twice")
	check(s.response.status != http.StatusServiceUnavailable || runs == 0, "a request that is refused as not run did not run")
	stream := s.route == "draft" || s.route == "once"
	check(s.response.status != http.StatusOK || strings.HasSuffix(s.response.header.Get("X-Upstream-Signature"), "."+s.id), "a response has the signature of its endpoint")
	switch {
	case s.response.status != http.StatusOK:
	case stream && s.response.complete:
		check(s.response.body == streamBody(20), "a complete stream has every event once")
	case stream:
		check(strings.HasPrefix(streamBody(20), s.response.body), "a stream that breaks off is correct up to there")
	default:
		check(s.response.complete && s.response.body == standin.PlainResponse(s.id), "a response is complete and belongs to the request")
	}
	return violations
}

// sendAll sends requests on all routes, several at a time.
func sendAll(e *testEntry, count int) []sentRequest {
	routes := []string{"look", "book", "draft", "once"}
	all := make([]sentRequest, count)
	var calls sync.WaitGroup
	for i := range all {
		all[i] = sentRequest{route: routes[i%len(routes)], id: fmt.Sprint("r", i)}
		calls.Go(func() { all[i].response = e.call("/"+all[i].route+"/x", all[i].id, nil) })
		time.Sleep(40 * time.Millisecond)
	}
	calls.Wait()
	return all
}

var _ = Describe("any schedule of faults", func() {
	It("leaves every answer whole or honestly refused", func() {
		rapid.Check(suite, func(t *rapid.T) {
			names := []string{"desk-1", "desk-2", "model-1", "model-2"}
			faults := rapid.SliceOfN(anyFaults, len(names), len(names)).Draw(t, "faults")
			count := rapid.IntRange(4, 60).Draw(t, "requests")
			var violations []string
			withFakeClock(func() { violations = runFaults(names, faults, count) })
			if len(violations) > 0 {
				t.Fatal(strings.Join(violations, "\n"))
			}
		})
	})
})

// runFaults sends requests to endpoints with the given faults and returns the
// violations.
func runFaults(names []string, faults [][]standin.WorkerFault, count int) []string {
	d := newDeployment()
	defer d.close()
	var workers []*standin.Worker
	for i, name := range names {
		group, events := "desk", 0
		if strings.HasPrefix(name, "model") {
			group, events = "models", 20
		}
		workers = append(workers, d.startWorker(name, group, "a", func(w *standin.Worker) { w.Events = events }))
		workers[i].SetNextFaults(faults[i]...)
	}
	e := d.startEntry("a")
	e.waitUntilReady()
	time.Sleep(retryWindow)
	all := sendAll(e, count)
	runs := map[string]int{}
	for _, w := range workers {
		for _, r := range w.Runs() {
			runs[r.ID]++
		}
	}
	var violations []string
	for _, s := range all {
		violations = append(violations, s.violations(runs[s.id])...)
	}
	return violations
}

// mapEvent is one event that happens to a group while its map is being changed.
type mapEvent struct {
	kind  string
	after time.Duration
}

func drawMapEvent(t *rapid.T) mapEvent {
	return mapEvent{
		kind:  rapid.SampledFrom([]string{"shift", "shift", "holder gone", "holder gone", "formed anew", "store down", "store back", "quiet", "losing", "late", "late"}).Draw(t, "kind"),
		after: time.Duration(rapid.IntRange(100, 2000).Draw(t, "ms")) * time.Millisecond,
	}
}

func (d mapDeployment) apply(e mapEvent) {
	switch e.kind {
	case "shift":
		d.ranks.ShiftPopularity()
	case "holder gone":
		if h := d.leaseHolder(); h != nil {
			h.environment.lease.MarkLost("test")
		}
	case "formed anew":
		d.ranks.StartNewEpoch()
		d.announceRanks()
	case "store down":
		d.store.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
	case "store back":
		d.store.SetFaults(standin.StoreFaults{})
	case "quiet":
		d.ranks.SetFaults(standin.RankFaults{})
	case "losing":
		d.ranks.SetFaults(standin.RankFaults{Lose: 0.4})
	case "late":
		d.ranks.SetFaults(standin.RankFaults{Lose: 0.2, Late: 0.5, LateBy: 2 * time.Second})
	}
	time.Sleep(e.after)
}

var _ = Describe("any schedule around expert maps", func() {
	DescribeTable("gives every step one map and ends every hold", func(fenced bool) {
		rapid.Check(suite, func(t *rapid.T) {
			mapEvents := rapid.SliceOfN(rapid.Custom(drawMapEvent), 6, 16).Draw(t, "steps")
			var violations []string
			var longest time.Duration
			withMapsFenced(fenced, 2, 1, func(d mapDeployment) {
				for _, e := range mapEvents {
					d.apply(e)
				}
				d.apply(mapEvent{kind: "quiet"})
				d.apply(mapEvent{kind: "store back", after: 9 * time.Second})
				violations, longest = d.ranks.Violations(), d.ranks.LongestHold()
			})
			if len(violations) > 0 || longest > 8*time.Second {
				t.Fatalf("%v, longest hold %v", violations, longest)
			}
		})
	}, Entry("where ranks refuse lower fencing tokens", true), Entry("where they do not", false))
})
