package balancer

import (
	"sync/atomic"
	"time"
)

// failureLifetime is how long a failed attempt counts like a request in progress.
const failureLifetime = 2 * time.Second

// failureCount counts the attempts that a member failed lately. Without it, a member that
// fails at once has the fewest requests in progress and would get most of the new ones.
// It is safe for concurrent use.
type failureCount struct {
	count  atomic.Int32
	lastAt atomic.Int64
}

func (f *failureCount) add() {
	now := time.Now().UnixNano()
	if now-f.lastAt.Swap(now) > int64(failureLifetime) {
		f.count.Store(0)
	}
	f.count.Add(1)
}

// recent returns the number of failures that no time of failureLifetime separates from
// each other and from now.
func (f *failureCount) recent() float64 {
	n := f.count.Load()
	if n == 0 {
		return 0
	}
	if time.Now().UnixNano()-f.lastAt.Load() > int64(failureLifetime) {
		f.count.Store(0)
		return 0
	}
	return float64(n)
}
