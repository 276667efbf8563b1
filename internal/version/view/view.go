// Package view holds what a process knows of the operators' intent: the bundle in
// force, the operators' orders, and how recently both were confirmed.
package view

import (
	"crypto/sha256"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/pkg/bundle"
	"github.com/cicadareel/cicadareel/pkg/order"
)

// FreshFor is how long a confirmed view permits accepting new work. Including the
// time to notice its end, every process reacts to an order within 4 s.
const FreshFor = 3 * time.Second

// View is one process's view. The version of its bundle never decreases and its
// set of orders never shrinks. It is safe for concurrent use.
type View struct {
	keys          bundle.KeySet
	failureDomain string

	mu sync.Mutex
	// signed and bundle are the bundle in force; nil before the first.
	signed *bundle.Signed
	bundle *bundle.Bundle
	orders map[string]order.Order
	// released has the ids of the holds that a Return order named.
	released map[string]bool
	// held is the strongest hold by target, derived from orders and released.
	held   map[string]order.Kind
	digest [sha256.Size]byte
	// confirmed is the latest time at which the view was known to be current.
	confirmed time.Time
	// reachedOutside is when the latest request was sent that a process outside this
	// failure domain replied to.
	reachedOutside time.Time
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// NewView returns an empty view that trusts the given operator keys.
func NewView(keys bundle.KeySet, failureDomain string) *View {
	return &View{
		keys:          keys,
		failureDomain: failureDomain,
		orders:        map[string]order.Order{},
		released:      map[string]bool{},
		held:          map[string]order.Kind{},
		digest:        digestOf(nil),
		changed:       make(chan struct{}),
	}
}

// AdoptBundle adopts a bundle of a higher version if its signature verifies. It
// reports whether the view changed; other versions are ignored.
func (v *View) AdoptBundle(s *bundle.Signed) (bool, error) {
	if s.Version <= v.Version() {
		return false, nil
	}
	b, err := s.Open(v.keys)
	if err != nil {
		return false, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.signed != nil && s.Version <= v.signed.Version {
		return false, nil
	}
	v.signed, v.bundle = s, b
	v.notify()
	return true, nil
}

// AdoptOrder adds a new order if its signature verifies. It reports whether the
// view changed.
func (v *View) AdoptOrder(o order.Order) (bool, error) {
	if v.hasOrder(o.ID) {
		return false, nil
	}
	if err := o.Verify(v.keys); err != nil {
		return false, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.orders[o.ID] = o
	for _, id := range o.Releases {
		v.released[id] = true
	}
	v.held = strongestHolds(v.orders, v.released)
	v.digest = digestOf(v.orders)
	v.notify()
	return true, nil
}

func (v *View) hasOrder(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, ok := v.orders[id]
	return ok
}

// notify wakes the waiters of Changed.
func (v *View) notify() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// digestOf returns a digest of the order ids, independent of the order of arrival.
func digestOf(orders map[string]order.Order) [sha256.Size]byte {
	ids := make([]string, 0, len(orders))
	for id := range orders {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	h := sha256.New()
	for _, id := range ids {
		h.Write([]byte(strconv.Quote(id)))
	}
	return [sha256.Size]byte(h.Sum(nil))
}

// Keys returns the trusted operator keys.
func (v *View) Keys() bundle.KeySet { return v.keys }

// Version returns the version of the bundle in force, 0 if none.
func (v *View) Version() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.signed == nil {
		return 0
	}
	return v.signed.Version
}

// Bundle returns the bundle in force, or nil.
func (v *View) Bundle() *bundle.Bundle {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.bundle
}

// Signed returns the signed bundle in force, or nil.
func (v *View) Signed() *bundle.Signed {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.signed
}

// OrdersDigest identifies the set of known orders.
func (v *View) OrdersDigest() [sha256.Size]byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.digest
}

// Orders returns all known orders, sorted by id.
func (v *View) Orders() []order.Order {
	v.mu.Lock()
	defer v.mu.Unlock()
	all := make([]order.Order, 0, len(v.orders))
	for _, o := range v.orders {
		all = append(all, o)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

// Holds returns the holds in force, sorted by id.
func (v *View) Holds() []order.Order {
	holds := []order.Order{}
	for _, o := range v.Orders() {
		if o.Kind != order.Return && !v.isReleased(o.ID) {
			holds = append(holds, o)
		}
	}
	return holds
}

func (v *View) isReleased(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.released[id]
}

// StrongestHold returns the strongest hold on an endpoint or on its failure domain:
// TakeOut before Drain, "" if none.
func (v *View) StrongestHold(endpoint, failureDomain string) order.Kind {
	v.mu.Lock()
	defer v.mu.Unlock()
	return stronger(v.held[endpoint], v.held[failureDomain])
}

// strongestHolds returns the strongest hold in force by target.
func strongestHolds(orders map[string]order.Order, released map[string]bool) map[string]order.Kind {
	held := map[string]order.Kind{}
	for id, o := range orders {
		if o.Kind != order.Return && !released[id] {
			held[o.Target] = stronger(held[o.Target], o.Kind)
		}
	}
	return held
}

// stronger returns the stronger of two holds; "" is no hold.
func stronger(a, b order.Kind) order.Kind {
	if a == order.TakeOut || b == "" {
		return a
	}
	return b
}

// Confirm records that the view contains everything that was in force at asOf.
func (v *View) Confirm(asOf time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if asOf.After(v.confirmed) {
		v.confirmed = asOf
	}
}

// RecordReply records that a process of the given failure domain replied to a
// request sent at sentAt. With a single failure domain, every process counts as
// outside.
func (v *View) RecordReply(failureDomain string, sentAt time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	onlyDomain := v.bundle != nil && len(v.bundle.FailureDomains) == 1
	if (onlyDomain || failureDomain != v.failureDomain) && sentAt.After(v.reachedOutside) {
		v.reachedOutside = sentAt
	}
}

// Freshness describes how up to date a view is.
type Freshness struct {
	// Fresh is true if the view was confirmed within FreshFor.
	Fresh bool
	// Usable is true if new work may be accepted: there is a bundle, and the view is
	// fresh or a process outside the failure domain replied within FreshFor. In the
	// latter case the view is stale only because no process in reach can reach the
	// platform.
	Usable bool
	// Age is the time since the view was last confirmed.
	Age time.Duration
}

// Freshness returns the current freshness, measured on the monotonic clock.
func (v *View) Freshness() Freshness {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	age := now.Sub(v.confirmed)
	fresh := age < FreshFor
	return Freshness{
		Fresh:  fresh,
		Usable: v.bundle != nil && (fresh || now.Sub(v.reachedOutside) < FreshFor),
		Age:    age,
	}
}

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}
