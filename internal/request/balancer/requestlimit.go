package balancer

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/internal/rendezvous"
)

const (
	// minLimitShare is the smallest share of a limit that a process gets, in requests per
	// second. Processes have up to one request in hand each, which a small share would
	// make more than the limit in a few seconds.
	minLimitShare = 0.5
	// limitLifetime is how long a limit counts if no process gets a response from the
	// endpoint, and limitSpread by what part it may be longer at one process than at
	// another, so that one of them tries the endpoint first.
	limitLifetime = 30 * time.Second
	limitSpread   = 0.25
	// limitTolerance is by how much a limit must have been named later to count as seen
	// again. Times that processes tell each other become later with each exchange.
	limitTolerance = 500 * time.Millisecond
)

// NamedLimit is the limit on the requests of all processes that an endpoint named.
type NamedLimit struct {
	Endpoint string
	// PerSecond is 0 if the endpoint named no limit.
	PerSecond float64
	// NamedAt is when a response with it last came; zero if none did.
	NamedAt time.Time
}

// isNewerThan reports whether l replaces another limit of the endpoint.
func (l NamedLimit) isNewerThan(other NamedLimit) bool {
	later := l.NamedAt.Sub(other.NamedAt)
	return later > limitTolerance || (later > 0 && l.PerSecond != other.PerSecond)
}

// SplitRequestLimit returns a process's share of the requests per second that an endpoint
// takes from all processes, whose names include that of the process itself. If there are too
// many for minLimitShare each, a hash selects those that send.
func SplitRequestLimit(perSecond float64, process string, processes []string, endpoint string) float64 {
	senders := max(1, int(perSecond/minLimitShare))
	if len(processes) <= senders {
		return perSecond / float64(max(1, len(processes)))
	}
	own, before := rendezvous.Score(process, endpoint), 0
	for _, other := range processes {
		if rendezvous.Score(other, endpoint) > own {
			before++
		}
	}
	if before >= senders {
		return 0
	}
	return perSecond / float64(senders)
}

// RequestLimiter keeps the requests of one process to an endpoint to its share of the
// limit that the endpoint named. It is safe for concurrent use. The zero value limits
// nothing.
type RequestLimiter struct {
	mu sync.Mutex
	// named is what the endpoint named last.
	named NamedLimit
	// limitedAt is when the endpoint last named a limit.
	limitedAt time.Time
	// lifetime is how long named counts.
	lifetime time.Duration
	// share is this process's part of the limit, in requests per second.
	share  float64
	bucket tokenBucket
}

// Apply applies a limit if it is newer than the present one, with this process's share of
// it, and reports whether that changes what may be sent.
func (l *RequestLimiter) Apply(named NamedLimit, share float64) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !named.isNewerThan(l.named) {
		return false
	}
	limited := l.limits()
	if limited {
		l.bucket.refill(l.share, 1)
	} else {
		l.bucket.reset(0)
	}
	changed = limited != (named.PerSecond > 0) || named.PerSecond != l.named.PerSecond
	l.named, l.share = named, share
	if named.PerSecond > 0 {
		l.limitedAt = named.NamedAt
	}
	l.lifetime = time.Duration(float64(limitLifetime) * (1 + limitSpread*rand.Float64()))
	return changed
}

// SetShare changes this process's share of the limit.
func (l *RequestLimiter) SetShare(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bucket.refill(l.share, 1)
	l.share = share
}

// Named returns what the endpoint named last, and whether other processes should know: it
// is a limit, or one ended lately.
func (l *RequestLimiter) Named() (named NamedLimit, worthTelling bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.named, !l.limitedAt.IsZero() && time.Since(l.limitedAt) < 2*limitLifetime
}

// Limits reports whether a limit counts.
func (l *RequestLimiter) Limits() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limits()
}

// limits reports whether a limit counts. The caller must hold mu.
func (l *RequestLimiter) limits() bool {
	return l.named.PerSecond > 0 && time.Since(l.named.NamedAt) < l.lifetime
}

// Ready reports whether a request may be sent now.
func (l *RequestLimiter) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limits() {
		return true
	}
	l.bucket.refill(l.share, 1)
	return l.bucket.has()
}

// Take uses up one request and reports whether it may be sent.
func (l *RequestLimiter) Take() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limits() {
		return true
	}
	l.bucket.refill(l.share, 1)
	return l.bucket.take()
}

// maxToldLimits bounds the limits that one exchange tells.
const maxToldLimits = 64

// LimitsToTell returns those of the limits that one exchange tells another process: all,
// or a random part of many.
func LimitsToTell(all []NamedLimit) []NamedLimit {
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(maxToldLimits, len(all))]
}
