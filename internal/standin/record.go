package standin

import (
	"maps"
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/endpoint"
)

// Record is what an endpoint records of its requests. Tests take it as the truth about
// which requests ran.
type Record struct {
	// Runs counts the runs by request id.
	Runs map[string]int `json:"runs"`
	// Bodies counts the runs by the first bodyLimit bytes of the request body.
	Bodies map[string]int `json:"bodies"`
	// PeakCold is the highest number of concurrent requests while the endpoint was cold.
	PeakCold int `json:"peakCold"`
	// Peak is the highest number of concurrent requests.
	Peak int `json:"peak"`
	// LastStart is the time at which the last request started.
	LastStart time.Time `json:"lastStart"`
	// Canceled counts requests that were canceled before their end.
	Canceled int `json:"cut"`
}

// bodyLimit is the number of bytes of a body that are recorded.
const bodyLimit = 64

// recorder keeps the Record of an endpoint and makes its load reports.
type recorder struct {
	mu      sync.Mutex
	record  Record
	running int
	// reported is the last load report, made at reportedAt.
	reported   endpoint.Load
	reportedAt time.Time
	// cold is the number of requests left until the endpoint is warm.
	cold int
}

// newRecorder returns the recorder of an endpoint that is cold for a number of requests.
func newRecorder(cold int) *recorder {
	return &recorder{record: Record{Runs: map[string]int{}, Bodies: map[string]int{}}, cold: cold}
}

// begin records the start of a request. It returns whether the endpoint is cold, and the
// number of running requests.
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

// end records the end of a request. Canceled requests do not warm the endpoint up.
func (r *recorder) end(canceled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	if canceled {
		r.record.Canceled++
		return
	}
	r.cold = max(0, r.cold-1)
}

// turnCold makes the endpoint cold for a number of requests.
func (r *recorder) turnCold(requests int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cold = requests
}

// snapshot returns a copy of the record.
func (r *recorder) snapshot() Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	copied := r.record
	copied.Runs = maps.Clone(r.record.Runs)
	copied.Bodies = maps.Clone(r.record.Bodies)
	return copied
}

// load returns the last load report, or makes a new one if the last is maxAge old or
// older.
func (r *recorder) load(boot string, leaving bool, maxAge time.Duration) endpoint.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.reportedAt) >= maxAge {
		r.reported = endpoint.Load{Boot: boot, Running: r.running, Leaving: leaving}
		r.reportedAt = time.Now()
	}
	return r.reported
}
