package balancer

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// failureWindow is the time constant with which failed attempts are forgotten. They
	// count about as long as requests in progress, and failureWeight times as much, since
	// each has to be repeated.
	failureWindow = 2 * time.Second
	failureWeight = 1.5
	// negligibleFailures is the count below which there are none.
	negligibleFailures = 0.05
)

// failureCount counts the attempts that a member failed lately. Without it, a member that
// fails at once has the fewest requests in progress and would get most of the new ones.
// It is safe for concurrent use.
type failureCount struct {
	mu sync.Mutex
	// bits has the count at countedAt, in nanoseconds since the Unix epoch. Both are
	// changed under mu.
	bits      atomic.Uint64
	countedAt atomic.Int64
}

func (f *failureCount) add() {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := f.recent() + failureWeight
	f.countedAt.Store(time.Now().UnixNano())
	f.bits.Store(math.Float64bits(count))
}

// recent returns the weighted number of failures, of which the older ones count less.
func (f *failureCount) recent() float64 {
	bits := f.bits.Load()
	if bits == 0 {
		return 0
	}
	elapsed := float64(time.Now().UnixNano() - f.countedAt.Load())
	count := math.Float64frombits(bits) * math.Exp(-elapsed/float64(failureWindow))
	if count < negligibleFailures {
		return 0
	}
	return count
}
