// Package memory decides who may hold bytes for clients. The load that it answers is a
// crowd of clients that nobody controls, each inside the limits of the configuration:
// large bodies all at once, bodies that stop short of their end, responses that nobody
// reads. It performs no input and output: bytes are taken before they are held and given
// back exactly once, and whoever is cut off is told by a callback.
package memory

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"
)

const (
	// smallBytes is what a request may hold and still use the share of small requests.
	smallBytes = 64 << 10
	// largeShare is the part of the budget that larger requests may fill together; the
	// rest is for small ones.
	largeShare = 0.75
	// accountShare is the part of largeShare that the larger requests of one client
	// account may fill.
	accountShare = 0.75
	// minCapacity is the least capacity.
	minCapacity = 1 << 20
	// maxWaiters bounds the requests that wait for room.
	maxWaiters = 64
	// stallTime is how long a client may move less than leastMoved before it may be cut
	// off for others. Clients that send or read at all, also over links that lose
	// packets, are faster.
	stallTime  = 2 * time.Second
	leastMoved = 16 << 10
	// WatchInterval is the time between two calls of Saw, and maxLate how much later one
	// may be before the process counts as having been stopped.
	WatchInterval = 250 * time.Millisecond
	maxLate       = 500 * time.Millisecond
)

// Kind says what bytes are held for. Its values index Usage.Held.
type Kind int

// Kinds of held bytes.
const (
	// Requests are the fixed costs of requests: header, buffers, goroutines.
	Requests Kind = iota
	// Bodies are the bodies of requests.
	Bodies
	// Responses are responses on their way to clients.
	Responses
	kinds
)

// Cause is why there is no room.
type Cause int

// Causes.
const (
	// Full means that the budget has no room for the request.
	Full Cause = iota
	// AccountFull means that the client account holds as much as it may.
	AccountFull
)

// NoRoomError reports that bytes may not be held.
type NoRoomError struct {
	Cause Cause
	// Asked is what was asked for, and Held what the budget holds.
	Asked, Held int64
}

func (e *NoRoomError) Error() string {
	return fmt.Sprintf("no room for %d bytes, %d are held", e.Asked, e.Held)
}

// Cut describes a holder that is cut off.
type Cut struct {
	Account string
	Held    int64
	// Stalled is how long the client moved less than leastMoved.
	Stalled time.Duration
}

// Usage is what a budget holds.
type Usage struct {
	Capacity int64
	Held     [kinds]int64
	// CutOff counts the holders that were cut off.
	CutOff int64
}

// Budget is the number of bytes that one process may hold for clients.
type Budget struct {
	mu sync.Mutex
	// capacity is math.MaxInt64 without a limit.
	capacity int64
	held     [kinds]int64
	// large is the sum of what holders of more than smallBytes hold.
	large int64
	// accounts is the sum of what such holders hold, by client account.
	accounts map[string]int64
	holders  map[*Holder]struct{}
	waiters  int
	cutOff   int64
	// ending is what holders hold that were cut off and have not ended yet.
	ending int64
	// seen is when the process was last seen to run; zero before the first call of Saw.
	seen time.Time
	// changed is closed and replaced when bytes are given back.
	changed chan struct{}
}

// NewBudget returns a budget of capacity bytes; 0 for no limit.
func NewBudget(capacity int64) *Budget {
	b := &Budget{accounts: map[string]int64{}, holders: map[*Holder]struct{}{}, changed: make(chan struct{})}
	b.SetCapacity(capacity)
	return b
}

// SetCapacity changes the capacity; 0 for no limit. What is held stays.
func (b *Budget) SetCapacity(capacity int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if capacity == 0 {
		capacity = math.MaxInt64
	}
	b.capacity = max(capacity, minCapacity)
	b.broadcast()
}

// Usage returns what the budget holds.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Capacity: b.capacity, Held: b.held, CutOff: b.cutOff}
}

// Begin returns the holder of one request that holds nothing. cutOff is called at most
// once, in a goroutine that asks for room; it ends the client's connection and must not
// block.
func (b *Budget) Begin(account string, cutOff func(Cut)) *Holder {
	h := &Holder{budget: b, account: account, cutOff: cutOff}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holders[h] = struct{}{}
	return h
}

// Saw notes that the process runs. Called every WatchInterval, it keeps the time in which
// the process itself was stopped from counting as time in which clients stalled.
func (b *Budget) Saw() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saw(time.Now())
}

func (b *Budget) saw(now time.Time) {
	if gap := now.Sub(b.seen); !b.seen.IsZero() && gap > WatchInterval+maxLate {
		for h := range b.holders {
			h.postpone(gap, now)
		}
	}
	b.seen = now
}

// CutOffStalled cuts off the client that holds most and moves least, if one has stalled,
// and reports whether there was one.
func (b *Budget) CutOffStalled() bool {
	b.mu.Lock()
	victim, cut := b.pickStalled(time.Now(), func(*Holder) bool { return true })
	b.mu.Unlock()
	if victim == nil {
		return false
	}
	victim.cutOff(cut)
	return true
}

// take takes bytes, waits for room for up to patience, or returns a *NoRoomError or the
// error of ctx.
func (b *Budget) take(ctx context.Context, h *Holder, k Kind, n int64, patience time.Duration) error {
	deadline := time.Now().Add(patience)
	waiting := false
	defer func() {
		if waiting {
			b.mu.Lock()
			b.waiters--
			b.mu.Unlock()
		}
	}()
	for {
		b.mu.Lock()
		cause, ok := b.roomFor(h, n)
		if ok {
			b.charge(h, k, n)
			b.mu.Unlock()
			return nil
		}
		now := time.Now()
		refused := &NoRoomError{Cause: cause, Asked: n, Held: b.total()}
		var victim *Holder
		var cut Cut
		if b.ending < n {
			victim, cut = b.pickStalled(now, func(other *Holder) bool { return h.gainsRoom(other, n, cause) })
		}
		if !waiting {
			if b.waiters >= maxWaiters && victim == nil {
				b.mu.Unlock()
				return refused
			}
			waiting = true
			b.waiters++
		}
		changed := b.changed
		b.mu.Unlock()
		if victim != nil {
			victim.cutOff(cut)
		}
		if !now.Before(deadline) {
			return refused
		}
		if err := wait(ctx, changed, deadline.Sub(now)); err != nil {
			return err
		}
	}
}

// wait waits for a change, for up to d.
func wait(ctx context.Context, changed <-chan struct{}, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
	case <-timer.C:
	}
	return nil
}

// roomFor reports whether the holder may hold n more bytes, or why not. A request that
// stays small may fill the budget. A larger one leaves the rest to small ones, unless it
// is the only larger one.
func (b *Budget) roomFor(h *Holder, n int64) (Cause, bool) {
	after := h.total() + n
	if after <= smallBytes {
		return Full, b.total()+n <= b.capacity
	}
	others, ownAccount := b.large, b.accounts[h.account]
	if h.isLarge() {
		others -= h.total()
		ownAccount -= h.total()
	}
	if others == 0 {
		return Full, true
	}
	limit := int64(float64(b.capacity) * largeShare)
	switch {
	case others+after > limit, b.total()+n > b.capacity:
		return Full, false
	case ownAccount > 0 && ownAccount+after > int64(float64(limit)*accountShare):
		return AccountFull, false
	}
	return Full, true
}

// charge adds n bytes, which may be negative, to what the holder holds.
func (b *Budget) charge(h *Holder, k Kind, n int64) {
	if h.isLarge() {
		b.chargeLarge(h, -h.total())
	}
	h.held[k] += n
	b.held[k] += n
	if h.isLarge() {
		b.chargeLarge(h, h.total())
	}
	if h.cut {
		b.ending += n
	}
}

func (b *Budget) chargeLarge(h *Holder, n int64) {
	b.large += n
	if b.accounts[h.account] += n; b.accounts[h.account] == 0 {
		delete(b.accounts, h.account)
	}
}

// gainsRoom reports whether room that the other gives back helps the holder to take n
// bytes, for which there is no room by the cause: a larger request needs that of a larger
// one, and one of an account at its limit that of the same account.
func (h *Holder) gainsRoom(other *Holder, n int64, cause Cause) bool {
	if h == other {
		return false
	}
	if h.total()+n <= smallBytes {
		return true
	}
	return other.isLarge() && (cause != AccountFull || other.account == h.account)
}

// pickStalled returns the holder to be cut off: of the eligible ones whose clients have
// stalled, the one with the largest product of held bytes and time; nil if there is none.
func (b *Budget) pickStalled(now time.Time, eligible func(*Holder) bool) (*Holder, Cut) {
	if !b.seen.IsZero() {
		b.saw(now)
	}
	var victim *Holder
	var most float64
	for h := range b.holders {
		stalled := h.stalledFor(now)
		if h.cut || stalled < stallTime || !eligible(h) {
			continue
		}
		if weight := float64(h.total()) * stalled.Seconds(); victim == nil || weight > most {
			victim, most = h, weight
		}
	}
	if victim == nil {
		return nil, Cut{}
	}
	victim.cut = true
	b.ending += victim.total()
	b.cutOff++
	return victim, Cut{Account: victim.account, Held: victim.total(), Stalled: victim.stalledFor(now)}
}

func (b *Budget) total() int64 { return sum(b.held) }

// broadcast wakes all that wait for room.
func (b *Budget) broadcast() {
	if b.waiters == 0 {
		return
	}
	close(b.changed)
	b.changed = make(chan struct{})
}

func sum(held [kinds]int64) int64 {
	var n int64
	for _, bytes := range held {
		n += bytes
	}
	return n
}
