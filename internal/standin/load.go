package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// RequestKind is one kind of request that RunLoad sends.
type RequestKind struct {
	Path string
	// Keyed requests carry an Idempotency-Key header and may run only once.
	Keyed bool
	// Tokens is the number of events of the expected stream; 0 for a plain service.
	Tokens int
}

// LoadConfig configures RunLoad.
type LoadConfig struct {
	// Entries are the base URLs of the entries, used in turn.
	Entries []string
	// BearerTokens are bearer tokens of callers, used in turn.
	BearerTokens []string
	Kinds        []RequestKind
	// Rate is in requests per second. Duration is the time to send for.
	Rate     int
	Duration time.Duration
	Seed     uint64
}

// Tally counts the requests by outcome. Whole responses are complete and correct;
// NotRun and Unknown are the outcomes of error responses.
type Tally struct {
	Sent, Whole, NotRun, Unknown int
	// Wrong counts responses that are complete by HTTP but have another body than
	// expected, such as that of another request, and error responses that are not JSON.
	Wrong int
	// Aborted counts requests that ended with a transport error.
	Aborted int
	// ByFailureDomain counts whole responses by failure domain.
	ByFailureDomain map[string]int
	// Reasons counts error responses by reason.
	Reasons map[string]int
	// Latencies holds the latencies of whole responses, sorted.
	Latencies []time.Duration
	// Keys holds the outcome of each keyed request by its idempotency key.
	Keys map[string]string
}

// Quantile returns the q-quantile of the latencies of whole responses, or 0 if there are
// none.
func (t *Tally) Quantile(q float64) time.Duration {
	if len(t.Latencies) == 0 {
		return 0
	}
	return t.Latencies[min(len(t.Latencies)-1, int(q*float64(len(t.Latencies))))]
}

// loadGenerator is the state of one RunLoad.
type loadGenerator struct {
	config LoadConfig
	client *http.Client
	mu     sync.Mutex
	tally  Tally
}

// RunLoad sends requests at a constant rate and checks every response. The seed decides
// the kind of each request.
func RunLoad(ctx context.Context, c LoadConfig) *Tally {
	l := &loadGenerator{
		config: c,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		tally:  Tally{ByFailureDomain: map[string]int{}, Reasons: map[string]int{}, Keys: map[string]string{}},
	}
	random := rand.New(rand.NewPCG(c.Seed, c.Seed))
	var requests sync.WaitGroup
	interval := time.Second / time.Duration(c.Rate)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	end := time.Now().Add(c.Duration)
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		kind := c.Kinds[random.IntN(len(c.Kinds))]
		requests.Go(func() { l.send(ctx, n, kind) })
		<-ticker.C
	}
	requests.Wait()
	sort.Slice(l.tally.Latencies, func(i, j int) bool { return l.tally.Latencies[i] < l.tally.Latencies[j] })
	return &l.tally
}

// send sends request n and counts its outcome.
func (l *loadGenerator) send(ctx context.Context, n int, kind RequestKind) {
	body := fmt.Appendf(nil, "request %d of run %d", n, l.config.Seed)
	entry := l.config.Entries[n%len(l.config.Entries)]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+kind.Path, bytes.NewReader(body))
	if err != nil {
		return
	}
	key := ""
	if kind.Keyed {
		key = fmt.Sprintf("key-%d-%d", l.config.Seed, n)
		req.Header.Set("Idempotency-Key", key)
	}
	req.Header.Set("Authorization", "Bearer "+l.config.BearerTokens[n%len(l.config.BearerTokens)])
	started := time.Now()
	resp, err := l.client.Do(req)
	if err != nil {
		l.count(key, "aborted", func(t *Tally) { t.Aborted++ })
		return
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	l.classify(kind, key, body, resp, content, err, time.Since(started))
}

// classify counts a response by its outcome.
func (l *loadGenerator) classify(kind RequestKind, key string, body []byte, resp *http.Response, content []byte, err error, latency time.Duration) {
	switch {
	case err != nil:
		l.count(key, "aborted", func(t *Tally) { t.Aborted++ })
	case resp.StatusCode == http.StatusOK && string(content) == expectedResponse(kind, body):
		l.count(key, "whole", func(t *Tally) {
			t.Whole++
			t.ByFailureDomain[resp.Header.Get(FailureDomainHeader)]++
			t.Latencies = append(t.Latencies, latency)
		})
	case resp.StatusCode == http.StatusOK:
		l.count(key, "broken", func(t *Tally) { t.Wrong++ })
	default:
		l.classifyRejection(key, content)
	}
}

// classifyRejection counts an error response by the outcome and reason in its body.
func (l *loadGenerator) classifyRejection(key string, content []byte) {
	var problem struct{ Outcome, Reason string }
	if err := json.Unmarshal(content, &problem); err != nil {
		l.count(key, "broken", func(t *Tally) { t.Wrong++ })
		return
	}
	l.count(key, problem.Outcome, func(t *Tally) {
		t.Reasons[problem.Reason]++
		if problem.Outcome == "notRun" {
			t.NotRun++
			return
		}
		t.Unknown++
	})
}

// expectedResponse returns the correct response to a request.
func expectedResponse(kind RequestKind, body []byte) string {
	if kind.Tokens > 0 {
		return ExpectedStream(body, kind.Tokens)
	}
	return ExpectedServiceResponse(body)
}

// count adds a request to the tally and stores the outcome under its idempotency key,
// if it has one.
func (l *loadGenerator) count(key, outcome string, update func(*Tally)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tally.Sent++
	update(&l.tally)
	if key != "" {
		l.tally.Keys[key] = outcome
	}
}

// Post sends one request and returns the response body, or the text of the error.
func Post(url, token, body string) string {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return string(content)
}
