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

// PathResult is one closed-loop run against one address.
type PathResult struct {
	Requests  int
	Failed    int
	P50, P99  time.Duration
	PerSecond float64
}

// PathConfig describes one closed-loop run.
type PathConfig struct {
	URL string
	// Host replaces that of the URL; usually empty.
	Host string
	// Header is sent with each request.
	Header  http.Header
	Callers int
	Length  time.Duration
}

// Path sends requests from a number of callers, each waiting for its whole answer
// before the next, for a time.
func Path(c PathConfig) PathResult {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: c.Callers}}
	var mu sync.Mutex
	latencies := []time.Duration{}
	failed := 0
	started := time.Now()
	var workers sync.WaitGroup
	for caller := range c.Callers {
		workers.Go(func() {
			for n := 0; time.Since(started) < c.Length; n++ {
				took, err := one(client, c, caller, n)
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
	return PathResult{
		Requests:  n,
		Failed:    failed,
		P50:       latencies[n/2],
		P99:       latencies[n*99/100],
		PerSecond: float64(n) / time.Since(started).Seconds(),
	}
}

// StatusError reports an answer other than 200.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return http.StatusText(e.Status) }

func one(client *http.Client, c PathConfig, caller, n int) (time.Duration, error) {
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
