package balancer

import (
	"math"
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/internal/rendezvous"
)

const (
	// burstShare is the part of a process's share that may come at once; the rest
	// comes evenly.
	burstShare = 0.25
	// leastShare is the smallest share that is of use: one request at once and one
	// more each second.
	leastShare = 2
	// chosenShare is the share of each process where there are too many for all to
	// send. They choose themselves by chance, so their number varies; at half of
	// the limit it stays within.
	chosenShare = 2 * leastShare
)

// ColdRate is what one process may send to a cold endpoint: within any second
// no more than Burst and PerSecond together.
type ColdRate struct{ Burst, PerSecond float64 }

// SplitColdRate splits the requests that a cold endpoint bears in any second between
// a number of processes. Where they are too many for a useful share each, some
// chosen by hash send and the others wait until the endpoint is warm.
func SplitColdRate(perSecond float64, processes int, process, endpoint string) ColdRate {
	share := perSecond / float64(max(1, processes))
	if share < leastShare {
		chosen := perSecond / chosenShare / float64(processes)
		if float64(rendezvous.Score(process, endpoint)) >= chosen*math.MaxUint64 {
			return ColdRate{}
		}
		share = leastShare
	}
	burst := max(1, share*burstShare)
	return ColdRate{Burst: burst, PerSecond: share - burst}
}

// WarmupLimiter is a token bucket for the requests of one entry to one cold endpoint.
// It is safe for concurrent use.
type WarmupLimiter struct {
	mu sync.Mutex
	// until is the end of the cold time; zero if the endpoint is warm.
	until  time.Time
	share  ColdRate
	tokens float64
	filled time.Time
}

// SetCold notes that the endpoint stays cold until then and what this entry may
// send to it. A later end replaces an earlier one.
func (w *WarmupLimiter) SetCold(until time.Time, s ColdRate) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if now.After(w.until) {
		w.tokens, w.filled = min(1, s.Burst), now
	}
	if until.After(w.until) {
		w.until = until
	}
	w.share = s
}

// Ready reports whether a request may be sent now.
func (w *WarmupLimiter) Ready() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.warm() || w.tokens >= 1
}

// Take uses up one request and reports whether it may be sent.
func (w *WarmupLimiter) Take() bool {
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
func (w *WarmupLimiter) warm() bool {
	now := time.Now()
	if !now.Before(w.until) {
		return true
	}
	w.tokens = min(w.share.Burst, w.tokens+now.Sub(w.filled).Seconds()*w.share.PerSecond)
	w.filled = now
	return false
}
