package expertswitch

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// defaultRate is the assumed rate of this process's link in bytes per second if
	// it is not known.
	defaultRate = 5e6
	// mapShare is the part of the link that maps may fill. Requests of callers use
	// the same link.
	mapShare = 0.75
	// burstTime is the time for which maps may fill the link at once.
	burstTime = 20 * time.Millisecond
	// maxMapTimeout limits the time allowed for one attempt to send a map.
	maxMapTimeout = time.Second
	// timeoutSpread is the time allowed as a multiple of the time that recent maps
	// took.
	timeoutSpread = 3
	// timeoutDecay is the part of the difference by which one map that arrived moves
	// the time allowed.
	timeoutDecay = 8
)

// Pacer limits the rate at which this process sends maps, so that they do not fill
// its link, and how long each may take. A map of a large group has many kilobytes
// and goes to every rank. Sent all at once over a slow link, all are late, are cut
// off and are sent again. It is safe for concurrent use and shared by the switchers
// of all groups.
type Pacer struct {
	limiter *rate.Limiter

	mu sync.Mutex
	// allowed is the time for one attempt, at least commandTimeout and at most
	// maxMapTimeout. raisedAt is when it was last raised.
	allowed  time.Duration
	raisedAt time.Time
}

// NewPacer returns a pacer for a link with the rate in bytes per second; 0 if the
// rate is not known.
func NewPacer(linkRate float64) *Pacer {
	if linkRate <= 0 {
		linkRate = defaultRate
	}
	burst := max(1, int(linkRate*burstTime.Seconds()))
	return &Pacer{limiter: rate.NewLimiter(rate.Limit(linkRate*mapShare), burst), allowed: commandTimeout}
}

// wait waits until the bytes may be sent or ctx ends.
func (p *Pacer) wait(ctx context.Context, bytes int64) error {
	for burst := int64(p.limiter.Burst()); bytes > 0; bytes -= burst {
		if err := p.limiter.WaitN(ctx, int(min(bytes, burst))); err != nil {
			return err
		}
	}
	return nil
}

// timeout returns the time allowed for one attempt.
func (p *Pacer) timeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.allowed
}

// recordArrival records how long a map took that arrived. The time allowed moves
// towards a multiple of it.
func (p *Pacer) recordArrival(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	target := min(max(commandTimeout, timeoutSpread*took), maxMapTimeout)
	p.allowed += (target - p.allowed) / timeoutDecay
}

// recordTimeout records a map that did not arrive within the time allowed. That
// time doubles, though only once while it passes: maps sent together time out
// together.
func (p *Pacer) recordTimeout() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); now.Sub(p.raisedAt) >= p.allowed {
		p.allowed, p.raisedAt = min(2*p.allowed, maxMapTimeout), now
	}
}
