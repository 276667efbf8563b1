package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// CallersConfig describes the callers of a deployment on the users' platform.
type CallersConfig struct {
	Entries   []string
	Host, Key string
	// Events is the number of events of a complete stream.
	Events int
	// Rate is in requests per second.
	Rate     int
	Duration time.Duration
}

// callerRoutes are the routes of the requests, sent in turn: draft has a streamed
// response, look is idempotent and book may run only once.
var callerRoutes = []string{"draft", "look", "book"}

// callerResult is the result of one request. The status is 0 if there was no response.
type callerResult struct {
	id, route string
	status    int
	complete  bool
	correct   bool
	latency   time.Duration
}

// CallerResults holds the results of all requests.
type CallerResults struct {
	mu      sync.Mutex
	results []callerResult
}

// RunCallers sends requests to each route and entry in turn, for the duration or until
// ctx ends.
func RunCallers(ctx context.Context, c CallersConfig) *CallerResults {
	r := &CallerResults{}
	var requests sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(c.Rate))
	defer ticker.Stop()
	end := time.After(c.Duration)
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
		case <-end:
		case <-ticker.C:
			requests.Go(func() { r.send(ctx, c, n) })
			continue
		}
		requests.Wait()
		return r
	}
}

// send sends request n and adds its result.
func (r *CallerResults) send(ctx context.Context, c CallersConfig, n int) {
	res := callerResult{id: fmt.Sprintf("call-%d", n), route: callerRoutes[n%len(callerRoutes)]}
	url := fmt.Sprintf("http://%s/%s/x", c.Entries[n/len(callerRoutes)%len(c.Entries)], res.route)
	started := time.Now()
	res.status, res.complete, res.correct = doRequest(ctx, c, url, res)
	res.latency = time.Since(started)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, res)
}

// doRequest sends one request on a new connection. The response is complete if
// its body was read without error.
func doRequest(ctx context.Context, c CallersConfig, url string, res callerResult) (status int, complete, correct bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, http.NoBody)
	if err != nil {
		return 0, false, false
	}
	req.Host = c.Host
	req.Header.Set("X-Api-Key", c.Key)
	req.Header.Set("X-Attempt-Id", res.id)
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, false, false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	want := PlainResponse(res.id)
	if res.route == "draft" {
		want = Stream(EventIDs(c.Events, 1))
	}
	return resp.StatusCode, err == nil, string(body) == want
}

// Audit returns the violations, given how often each request ran: a booking that ran
// twice, one that ran and got 503 as if it had not, and a complete but wrong response.
func (r *CallerResults) Audit(runs map[string]int) []string {
	var violations []string
	for _, res := range r.results {
		n := runs[res.id]
		switch {
		case res.route == "book" && n > 1:
			violations = append(violations, fmt.Sprintf("%s may run once but ran %d times", res.id, n))
		case res.route == "book" && res.status == http.StatusServiceUnavailable && n > 0:
			violations = append(violations, res.id+" got status 503, which means that it did not run, but it ran")
		case res.status == http.StatusOK && res.complete && !res.correct:
			violations = append(violations, res.id+" got a complete response with a wrong body")
		}
	}
	return violations
}

// Summary returns the number of responses by route and status, and the median latency
// of correct responses without a stream.
func (r *CallerResults) Summary() string {
	counts := map[string]int{}
	var latencies []time.Duration
	for _, res := range r.results {
		outcome := fmt.Sprint(res.status)
		if !res.complete {
			outcome = "cut"
		}
		counts[res.route+" "+outcome]++
		if res.route != "draft" && res.correct {
			latencies = append(latencies, res.latency)
		}
	}
	parts := []string{}
	for name, n := range counts {
		parts = append(parts, fmt.Sprintf("%s: %d", name, n))
	}
	slices.Sort(parts)
	slices.Sort(latencies)
	if len(latencies) > 0 {
		parts = append(parts, fmt.Sprintf("median latency of plain responses: %v", latencies[len(latencies)/2]))
	}
	return strings.Join(parts, ", ")
}
