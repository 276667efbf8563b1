// Package slowness keeps how slow endpoints say that they are.
package slowness

import (
	"sync"
	"time"
)

// life is how long a report counts. Endpoints are asked each second.
const life = 5 * time.Second

// Report is a report of one endpoint.
type Report struct {
	Endpoint string
	// Slowness is the endpoint's time for its work as a multiple of the usual.
	Slowness float64
	// ReportedAt is when the report was made.
	ReportedAt time.Time
}

// Tracker is safe for concurrent use.
type Tracker struct {
	mu    sync.RWMutex
	notes map[string]Report
}

// NewTracker returns an empty board.
func NewTracker() *Tracker { return &Tracker{notes: map[string]Report{}} }

// Record takes a report, unless a later one is known.
func (b *Tracker) Record(n Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n.Slowness > 0 && n.ReportedAt.After(b.notes[n.Endpoint].ReportedAt) {
		b.notes[n.Endpoint] = n
	}
}

// Of returns the pace of an endpoint, 1 if nothing is known.
func (b *Tracker) Of(endpoint string) float64 {
	b.mu.RLock()
	defer b.mu.RUnlock()
	n, ok := b.notes[endpoint]
	if !ok || time.Since(n.ReportedAt) > life {
		return 1
	}
	return n.Slowness
}

// usual is the pace up to which an endpoint is not worth a word.
const usual = 1.05

// SlowReports returns the reports of endpoints that are slow or were lately, and drops
// those that no longer count.
func (b *Tracker) SlowReports() []Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	var slow []Report
	for name, n := range b.notes {
		switch {
		case time.Since(n.ReportedAt) > life:
			delete(b.notes, name)
		case n.Slowness > usual:
			slow = append(slow, n)
		}
	}
	return slow
}
