package choice

import (
	"sync"
	"time"
)

// Warmup is a token bucket for the requests of one entry to one cold endpoint.
// It is safe for concurrent use.
type Warmup struct {
	mu sync.Mutex
	// until is the end of the cold time; zero if the endpoint is warm.
	until time.Time
	// rate is in requests a second, size in requests.
	rate, size float64
	tokens     float64
	filled     time.Time
}

// Cold notes that the endpoint stays cold until then and bears that many
// requests a second from this entry. A later end replaces an earlier one.
func (w *Warmup) Cold(until time.Time, rate float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if now.After(w.until) {
		w.tokens, w.filled = 1, now
	}
	if until.After(w.until) {
		w.until = until
	}
	w.rate = rate
	w.size = max(1, rate/coldBurst)
}

// coldBurst is the part of a second's requests that may come at once.
const coldBurst = 4

// Ready reports whether a request may be sent now.
func (w *Warmup) Ready() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.warm() || w.tokens >= 1
}

// Take uses up one request and reports whether it may be sent.
func (w *Warmup) Take() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.warm() {
		return true
	}
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

// warm fills the bucket and reports whether the cold time is over.
func (w *Warmup) warm() bool {
	now := time.Now()
	if !now.Before(w.until) {
		return true
	}
	w.tokens = min(w.size, w.tokens+now.Sub(w.filled).Seconds()*w.rate)
	w.filled = now
	return false
}
