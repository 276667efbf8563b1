package balancer

import (
	"math"
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/internal/rendezvous"
)

const (
	// burstShare is the part of a process's share that it may send at once; the rest
	// is spread evenly over a second.
	burstShare = 0.25
	// minShare is the smallest useful share in requests per second: one at once and
	// one more each second.
	minShare = 2
	// plannedShare is the part of the limit, in requests per second, that is reserved
	// for each selected process. It is twice what the process may send: the number of
	// processes that a hash selects varies, and the rest keeps them within the limit.
	plannedShare = 2 * minShare
)

// ColdRate is what one process may send to a cold endpoint: within any second,
// no more than Burst and PerSecond together.
type ColdRate struct{ Burst, PerSecond float64 }

// SplitColdRate returns the process's share of the requests per second that a cold
// endpoint takes. If there are too many processes for minShare each, a hash
// selects those that send; the others wait until the endpoint is warm.
func SplitColdRate(perSecond float64, processes int, process, endpoint string) ColdRate {
	share := perSecond / float64(max(1, processes))
	if share < minShare {
		selected := perSecond / plannedShare / float64(processes)
		if float64(rendezvous.Score(process, endpoint)) >= selected*math.MaxUint64 {
			return ColdRate{}
		}
		share = minShare
	}
	burst := max(1, share*burstShare)
	return ColdRate{Burst: burst, PerSecond: share - burst}
}

// WarmupLimiter is a token bucket for the requests of one entry to one cold
// endpoint. It is safe for concurrent use.
type WarmupLimiter struct {
	mu sync.Mutex
	// until is when the endpoint counts as warm; zero if it does already.
	until  time.Time
	rate   ColdRate
	bucket tokenBucket
}

// SetCold sets until when the endpoint is cold and what this entry may send to it
// before. The time never moves back.
func (w *WarmupLimiter) SetCold(until time.Time, r ColdRate) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if now.After(w.until) {
		w.bucket.reset(min(1, r.Burst))
	}
	if until.After(w.until) {
		w.until = until
	}
	w.rate = r
}

// Ready reports whether a request may be sent now.
func (w *WarmupLimiter) Ready() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refill() || w.bucket.has()
}

// ColdFor returns how much longer the endpoint is cold; 0 if it is warm.
func (w *WarmupLimiter) ColdFor() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(0, time.Until(w.until))
}

// Take uses up one request and reports whether it may be sent.
func (w *WarmupLimiter) Take() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refill() || w.bucket.take()
}

// refill adds the tokens for the time since the last refill. It returns true, without
// adding any, if the endpoint is warm and requests need no token.
func (w *WarmupLimiter) refill() bool {
	if !time.Now().Before(w.until) {
		return true
	}
	w.bucket.refill(w.rate.PerSecond, w.rate.Burst)
	return false
}
