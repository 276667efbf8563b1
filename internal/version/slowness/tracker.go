// Package slowness tracks how slow endpoints report themselves to be.
package slowness

import (
	"sync"
	"time"
)

// reportLifetime is how long a report is valid. Endpoints are asked every second.
const reportLifetime = 5 * time.Second

// Report is the slowness that an endpoint reported.
type Report struct {
	Endpoint string
	// Slowness is the endpoint's time for its work as a multiple of the usual time.
	Slowness   float64
	ReportedAt time.Time
}

// Tracker holds the latest report of each endpoint. It is safe for concurrent use.
type Tracker struct {
	mu      sync.RWMutex
	reports map[string]Report
}

// NewTracker returns a tracker without reports.
func NewTracker() *Tracker { return &Tracker{reports: map[string]Report{}} }

// Record stores a report unless a later one is known.
func (t *Tracker) Record(r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Slowness > 0 && r.ReportedAt.After(t.reports[r.Endpoint].ReportedAt) {
		t.reports[r.Endpoint] = r
	}
}

// Slowness returns an endpoint's slowness, or 1 if there is no valid report.
func (t *Tracker) Slowness(endpoint string) float64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.reports[endpoint]
	if !ok || time.Since(r.ReportedAt) > reportLifetime {
		return 1
	}
	return r.Slowness
}

// slowThreshold is the slowness above which an endpoint counts as slow.
const slowThreshold = 1.05

// SlowReports returns the valid reports of slow endpoints and drops the reports
// that are no longer valid.
func (t *Tracker) SlowReports() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var slow []Report
	for name, r := range t.reports {
		switch {
		case time.Since(r.ReportedAt) > reportLifetime:
			delete(t.reports, name)
		case r.Slowness > slowThreshold:
			slow = append(slow, r)
		}
	}
	return slow
}
