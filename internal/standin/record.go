package standin

import (
	"maps"
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/endpoint"
)

// Record is an endpoint's own account of what it was given. It is the oracle
// for whether a request ran.
type Record struct {
	// Runs counts the runs by request id.
	Runs map[string]int `json:"runs"`
	// Bodies counts the runs by the request's body, up to bodyLimit bytes.
	Bodies map[string]int `json:"bodies"`
	// PeakCold is the highest number of concurrent requests while cold.
	PeakCold int `json:"peakCold"`
	// Peak is the highest number of concurrent requests at any time.
	Peak int `json:"peak"`
	// LastStart is when the last request started.
	LastStart time.Time `json:"lastStart"`
	// Canceled counts requests whose caller left before the end.
	Canceled int `json:"cut"`
}

// bodyLimit bounds the part of a body that is recorded.
const bodyLimit = 64

// recorder keeps a Record.
type recorder struct {
	mu      sync.Mutex
	record  Record
	running int
	// reported is the last load report, made at reportedAt.
	reported   endpoint.Load
	reportedAt time.Time
	// cold requests are left until the endpoint is warm.
	cold int
}

func newRecorder(cold int) *recorder {
	return &recorder{record: Record{Runs: map[string]int{}, Bodies: map[string]int{}}, cold: cold}
}

// begin notes a run and reports whether the endpoint is cold.
func (r *recorder) begin(requestID string, body []byte) (cold bool, running int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running++
	r.record.Runs[requestID]++
	r.record.Bodies[string(body[:min(len(body), bodyLimit)])]++
	r.record.LastStart = time.Now()
	r.record.Peak = max(r.record.Peak, r.running)
	if r.cold > 0 {
		r.record.PeakCold = max(r.record.PeakCold, r.running)
	}
	return r.cold > 0, r.running
}

func (r *recorder) end(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	if cut {
		r.record.Canceled++
		return
	}
	r.cold = max(0, r.cold-1)
}

func (r *recorder) turnCold(requests int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cold = requests
}

func (r *recorder) snapshot() Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	copied := r.record
	copied.Runs = maps.Clone(r.record.Runs)
	copied.Bodies = maps.Clone(r.record.Bodies)
	return copied
}

// load returns a load report that is at most lag old.
func (r *recorder) load(boot string, leaving bool, lag time.Duration) endpoint.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.reportedAt) >= lag {
		r.reported = endpoint.Load{Boot: boot, Running: r.running, Leaving: leaving}
		r.reportedAt = time.Now()
	}
	return r.reported
}
