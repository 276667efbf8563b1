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
	// Events is the number of events of a whole stream.
	Events int
	// Rate is in requests a second.
	Rate     int
	Duration time.Duration
}

// kinds of request, by the route that serves them.
var callerKinds = []string{"draft", "look", "book"}

// callerAnswer is what one request got.
type callerAnswer struct {
	id, kind string
	status   int
	whole    bool
	right    bool
	took     time.Duration
}

// CallerResults holds all answers.
type CallerResults struct {
	mu      sync.Mutex
	answers []callerAnswer
}

// RunCallers sends requests of each kind in turn to the entries in turn.
func RunCallers(ctx context.Context, c CallersConfig) *CallerResults {
	t := &CallerResults{}
	var calls sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(c.Rate))
	defer ticker.Stop()
	end := time.After(c.Duration)
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
		case <-end:
		case <-ticker.C:
			calls.Go(func() { t.send(ctx, c, n) })
			continue
		}
		calls.Wait()
		return t
	}
}

func (t *CallerResults) send(ctx context.Context, c CallersConfig, n int) {
	a := callerAnswer{id: fmt.Sprintf("call-%d", n), kind: callerKinds[n%len(callerKinds)]}
	url := fmt.Sprintf("http://%s/%s/x", c.Entries[n/len(callerKinds)%len(c.Entries)], a.kind)
	started := time.Now()
	a.status, a.whole, a.right = call(ctx, c, url, a)
	a.took = time.Since(started)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers = append(t.answers, a)
}

func call(ctx context.Context, c CallersConfig, url string, a callerAnswer) (status int, whole, right bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, http.NoBody)
	if err != nil {
		return 0, false, false
	}
	req.Host = c.Host
	req.Header.Set("X-Api-Key", c.Key)
	req.Header.Set("X-Attempt-Id", a.id)
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, false, false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	want := PlainResponse(a.id)
	if a.kind == "draft" {
		want = wholeStream(c.Events)
	}
	return resp.StatusCode, err == nil, string(body) == want
}

func wholeStream(events int) string {
	var text strings.Builder
	for id := 1; id <= events; id++ {
		text.WriteString(StreamEvent(id))
	}
	return text.String()
}

// Audit compares the answers with how often each request ran.
func (t *CallerResults) Audit(runs map[string]int) []string {
	var findings []string
	for _, a := range t.answers {
		n := runs[a.id]
		switch {
		case a.kind == "book" && n > 1:
			findings = append(findings, fmt.Sprintf("%s may run once and ran %d times", a.id, n))
		case a.kind == "book" && a.status == http.StatusServiceUnavailable && n > 0:
			findings = append(findings, a.id+" was refused as not run, and ran")
		case a.status == http.StatusOK && a.whole && !a.right:
			findings = append(findings, a.id+" looks whole and is wrong")
		}
	}
	return findings
}

// Summary counts the answers by kind and status, with the median time of whole
// plain answers.
func (t *CallerResults) Summary() string {
	counts := map[string]int{}
	var plain []time.Duration
	for _, a := range t.answers {
		outcome := fmt.Sprint(a.status)
		if !a.whole {
			outcome = "cut"
		}
		counts[a.kind+" "+outcome]++
		if a.kind != "draft" && a.right {
			plain = append(plain, a.took)
		}
	}
	names := []string{}
	for name, n := range counts {
		names = append(names, fmt.Sprintf("%s: %d", name, n))
	}
	slices.Sort(names)
	slices.Sort(plain)
	if len(plain) > 0 {
		names = append(names, fmt.Sprintf("median of plain answers: %v", plain[len(plain)/2]))
	}
	return strings.Join(names, ", ")
}
