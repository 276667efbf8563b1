package memory

import (
	"context"
	"time"
)

// Holder is what one request holds of a Budget. A client has one request at a time on a
// connection, so that a holder also bounds what a connection holds.
type Holder struct {
	budget  *Budget
	account string
	cutOff  func(Cut)

	// The mutex of the budget guards the fields below.
	held [kinds]int64
	// cut is true once the holder was chosen to be cut off.
	cut bool
	// ended is true once everything was given back.
	ended bool
	// since is when the client last had moved leastMoved, or when the entry began to
	// wait for it; zero while the entry does not wait for the client.
	since time.Time
	// moved counts the bytes that the client has moved since then.
	moved int64
}

// Take takes bytes before they are held. It waits for room for up to patience. The error
// is a *NoRoomError, or that of ctx.
func (h *Holder) Take(ctx context.Context, k Kind, n int64, patience time.Duration) error {
	return h.budget.take(ctx, h, k, n, patience)
}

// TryTake takes bytes if there is room for them now.
func (h *Holder) TryTake(k Kind, n int64) bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	_, ok := h.budget.roomFor(h, n)
	if ok = ok && !h.ended; ok {
		h.budget.charge(h, k, n)
	}
	return ok
}

// Give gives back bytes that are not held any more.
func (h *Holder) Give(k Kind, n int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.ended || n == 0 {
		return
	}
	h.budget.charge(h, k, -n)
	h.budget.broadcast()
}

// End gives back all that is still held. Calls after the first have no effect.
func (h *Holder) End() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.ended {
		return
	}
	for k, n := range h.held {
		h.budget.charge(h, Kind(k), -n)
	}
	h.ended = true
	h.since = time.Time{}
	delete(h.budget.holders, h)
	h.budget.broadcast()
}

// BeginWait notes that from now on the entry waits for the client to send or to read.
func (h *Holder) BeginWait() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.since, h.moved = time.Now(), 0
}

// Moved notes that the client has sent or read n bytes.
func (h *Holder) Moved(n int) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.moved += int64(n); h.moved >= leastMoved && !h.since.IsZero() {
		h.since, h.moved = time.Now(), 0
	}
}

// EndWait notes that the entry does not wait for the client any more.
func (h *Holder) EndWait() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.since = time.Time{}
}

// WasCutOff reports whether the holder was chosen to be cut off.
func (h *Holder) WasCutOff() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.cut
}

// stalledFor returns for how long the client has moved less than leastMoved.
func (h *Holder) stalledFor(now time.Time) time.Duration {
	if h.since.IsZero() {
		return 0
	}
	return now.Sub(h.since)
}

// postpone leaves a time that ended now out of the time in which the client stalled.
func (h *Holder) postpone(gap time.Duration, now time.Time) {
	if h.since.IsZero() {
		return
	}
	if h.since = h.since.Add(gap); h.since.After(now) {
		h.since = now
	}
}

func (h *Holder) total() int64 { return sum(h.held) }

func (h *Holder) isLarge() bool { return h.total() > smallBytes }
