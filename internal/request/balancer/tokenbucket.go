package balancer

import "time"

// tokenBucket holds one token for each request that may be sent. It is not safe for
// concurrent use.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// reset leaves a number of tokens in the bucket.
func (b *tokenBucket) reset(tokens float64) { b.tokens, b.refilledAt = tokens, time.Now() }

// refill adds the tokens for the time since the last refill, up to burst in total.
func (b *tokenBucket) refill(perSecond, burst float64) {
	now := time.Now()
	b.tokens = min(burst, b.tokens+now.Sub(b.refilledAt).Seconds()*perSecond)
	b.refilledAt = now
}

// has reports whether there is a token.
func (b *tokenBucket) has() bool { return b.tokens >= 1 }

// take removes a token and reports whether there was one.
func (b *tokenBucket) take() bool {
	if !b.has() {
		return false
	}
	b.tokens--
	return true
}
