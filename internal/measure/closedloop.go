package measure

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync"
	"time"
)

// ClosedLoopResult has the totals and latencies of a closed-loop run. Requests and the
// latencies include failed requests.
type ClosedLoopResult struct {
	Requests  int
	Failed    int
	P50, P99  time.Duration
	PerSecond float64
}

// ClosedLoopConfig configures a closed-loop run: each caller sends its next request
// once it has the whole response to the last.
type ClosedLoopConfig struct {
	URL string
	// Host is the Host header; if empty, the host of the URL.
	Host string
	// Header is sent with each request.
	Header   http.Header
	Callers  int
	Duration time.Duration
}

// RunClosedLoop sends requests to the URL for the configured duration.
func RunClosedLoop(c ClosedLoopConfig) ClosedLoopResult {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: c.Callers}}
	var mu sync.Mutex
	latencies := []time.Duration{}
	failed := 0
	started := time.Now()
	var workers sync.WaitGroup
	for caller := range c.Callers {
		workers.Go(func() {
			for n := 0; time.Since(started) < c.Duration; n++ {
				took, err := sendRequest(client, c, caller, n)
				mu.Lock()
				if err != nil {
					failed++
				}
				latencies = append(latencies, took)
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	n := len(latencies)
	return ClosedLoopResult{
		Requests:  n,
		Failed:    failed,
		P50:       latencies[n/2],
		P99:       latencies[n*99/100],
		PerSecond: float64(n) / time.Since(started).Seconds(),
	}
}

// StatusError is a response with a status other than 200.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return http.StatusText(e.Status) }

// sendRequest returns the time until the whole response was read.
func sendRequest(client *http.Client, c ClosedLoopConfig, caller, n int) (time.Duration, error) {
	started := time.Now()
	body := fmt.Appendf(nil, "caller %d request %d", caller, n)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, c.URL, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Host = c.Host
	req.Header = c.Header.Clone()
	resp, err := client.Do(req)
	if err != nil {
		return time.Since(started), err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return time.Since(started), err
	}
	if resp.StatusCode != http.StatusOK {
		return time.Since(started), &StatusError{Status: resp.StatusCode}
	}
	return time.Since(started), nil
}
