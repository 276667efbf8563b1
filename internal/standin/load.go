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

// RequestKind is one kind of request that the load tool sends.
type RequestKind struct {
	Path string
	// Keyed requests carry an Idempotency-Key and are not repeated.
	Keyed bool
	// Tokens is the expected number of events; 0 for a plain service.
	Tokens int
}

// LoadConfig describes a run of the load tool.
type LoadConfig struct {
	// Entries are the base URLs, used in turn.
	Entries []string
	// Tokens are callers' tokens, used in turn.
	Tokens []string
	Kinds  []RequestKind
	// Rate is in requests a second, Length the time to send for.
	Rate     int
	Duration time.Duration
	Seed     uint64
}

// Tally is what became of the requests sent.
type Tally struct {
	Sent, Whole, NotRun, Unknown int
	// Wrong counts answers that were wrong, mixed up, or cut without notice.
	Wrong int
	// Aborted counts answers that were visibly cut.
	Aborted int
	// ByFailureDomain counts whole answers by failure domain.
	ByFailureDomain map[string]int
	// Reasons counts refusals by reason.
	Reasons map[string]int
	// Latencies are of whole answers, sorted.
	Latencies []time.Duration
	// Keys maps each key of a keyed request to its outcome.
	Keys map[string]string
}

// Quantile returns the latency that the given share of whole answers kept.
func (t *Tally) Quantile(q float64) time.Duration {
	if len(t.Latencies) == 0 {
		return 0
	}
	return t.Latencies[min(len(t.Latencies)-1, int(q*float64(len(t.Latencies))))]
}

type loader struct {
	config LoadConfig
	client *http.Client
	mu     sync.Mutex
	tally  Tally
}

// RunLoad sends requests at an even rate and checks every answer.
func RunLoad(ctx context.Context, c LoadConfig) *Tally {
	l := &loader{
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
		job := c.Kinds[random.IntN(len(c.Kinds))]
		requests.Go(func() { l.send(ctx, n, job) })
		<-ticker.C
	}
	requests.Wait()
	sort.Slice(l.tally.Latencies, func(i, j int) bool { return l.tally.Latencies[i] < l.tally.Latencies[j] })
	return &l.tally
}

func (l *loader) send(ctx context.Context, n int, job RequestKind) {
	body := fmt.Appendf(nil, "request %d of run %d", n, l.config.Seed)
	entry := l.config.Entries[n%len(l.config.Entries)]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+job.Path, bytes.NewReader(body))
	if err != nil {
		return
	}
	key := ""
	if job.Keyed {
		key = fmt.Sprintf("key-%d-%d", l.config.Seed, n)
		req.Header.Set("Idempotency-Key", key)
	}
	req.Header.Set("Authorization", "Bearer "+l.config.Tokens[n%len(l.config.Tokens)])
	started := time.Now()
	resp, err := l.client.Do(req)
	if err != nil {
		l.note(key, "aborted", func(t *Tally) { t.Aborted++ })
		return
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	l.judge(job, key, body, resp, content, err, time.Since(started))
}

func (l *loader) judge(job RequestKind, key string, body []byte, resp *http.Response, content []byte, err error, took time.Duration) {
	switch {
	case err != nil:
		l.note(key, "aborted", func(t *Tally) { t.Aborted++ })
	case resp.StatusCode == http.StatusOK && string(content) == expected(job, body):
		l.note(key, "whole", func(t *Tally) {
			t.Whole++
			t.ByFailureDomain[resp.Header.Get(FailureDomainHeader)]++
			t.Latencies = append(t.Latencies, took)
		})
	case resp.StatusCode == http.StatusOK:
		l.note(key, "broken", func(t *Tally) { t.Wrong++ })
	default:
		l.judgeRefusal(key, content)
	}
}

func (l *loader) judgeRefusal(key string, content []byte) {
	var problem struct{ Outcome, Reason string }
	if err := json.Unmarshal(content, &problem); err != nil {
		l.note(key, "broken", func(t *Tally) { t.Wrong++ })
		return
	}
	l.note(key, problem.Outcome, func(t *Tally) {
		t.Reasons[problem.Reason]++
		if problem.Outcome == "notRun" {
			t.NotRun++
			return
		}
		t.Unknown++
	})
}

func expected(job RequestKind, body []byte) string {
	if job.Tokens > 0 {
		return ExpectedStream(body, job.Tokens)
	}
	return ExpectedServiceResponse(body)
}

func (l *loader) note(key, outcome string, change func(*Tally)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tally.Sent++
	change(&l.tally)
	if key != "" {
		l.tally.Keys[key] = outcome
	}
}

// Post sends one request and returns its body, or the error's text.
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
