package store

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/version/view"
	"github.com/cicadareel/cicadareel/pkg/order"
)

const (
	// minPollInterval is the shortest time between two polls of one process.
	minPollInterval = 500 * time.Millisecond
	// maxTableReadsPerSecond bounds the table reads per second by all processes together.
	maxTableReadsPerSecond = 400
	// scanInterval is the longest time between two scans of all orders.
	scanInterval = 5 * time.Minute
	// readsPerPoll is the usual number of table reads in one poll.
	readsPerPoll = 2
)

// Poller keeps a view up to date with the platform's table, and records orders
// that the table lacks.
type Poller struct {
	intent  *IntentStore
	view    *view.View
	members *Members
	log     *events.Log
	// reachable tells whether the last poll succeeded.
	reachable atomic.Bool
	// ordersRevision, lastScan and recorded are the orders revision, the time and
	// the ids of the last scan of all orders. Only the polling goroutine uses
	// them.
	ordersRevision OrdersRevision
	lastScan       time.Time
	recorded       map[string]bool
	done           sync.WaitGroup
}

// NewPoller starts a goroutine that polls until ctx ends.
func NewPoller(ctx context.Context, i *IntentStore, v *view.View, m *Members, l *events.Log) *Poller {
	p := &Poller{intent: i, view: v, members: m, log: l}
	p.done.Go(func() { p.pollLoop(ctx) })
	return p
}

// Wait returns after the goroutine has ended.
func (p *Poller) Wait() { p.done.Wait() }

// Reachable reports whether the last poll succeeded.
func (p *Poller) Reachable() bool { return p.reachable.Load() }

func (p *Poller) pollLoop(ctx context.Context) {
	for {
		p.Poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(PollInterval(len(p.members.List()))):
		}
	}
}

// PollInterval returns the time between two polls of one process. It grows with
// the number of processes so that all of them together stay within
// maxTableReadsPerSecond.
func PollInterval(processes int) time.Duration {
	return max(minPollInterval, time.Duration(processes)*readsPerPoll*time.Second/maxTableReadsPerSecond)
}

// Poll reads the platform once, and logs if it became reachable or unreachable.
func (p *Poller) Poll(ctx context.Context) {
	asked := time.Now()
	err := p.poll(ctx)
	if err == nil {
		p.view.Confirm(asked)
	}
	if was := p.reachable.Swap(err == nil); was == (err == nil) {
		return
	}
	if err != nil {
		p.log.Warn(events.PlatformUnreachable, events.Fields{"error": err.Error()})
		return
	}
	p.log.Info(events.PlatformReachable, nil)
}

// poll reads the orders and the bundle, then records missing orders.
func (p *Poller) poll(ctx context.Context) error {
	if err := p.pollOrders(ctx); err != nil {
		return err
	}
	if err := p.pollBundle(ctx); err != nil {
		return err
	}
	return p.recordMissing(ctx)
}

// pollOrders scans all orders if their revision changed or the last scan is
// older than scanInterval: a writer may have failed between writing an order
// and raising the revision.
func (p *Poller) pollOrders(ctx context.Context) error {
	revision, err := p.intent.OrdersRevision(ctx)
	if err != nil {
		return err
	}
	if revision == p.ordersRevision && p.recorded != nil && time.Since(p.lastScan) < scanInterval {
		return nil
	}
	started := time.Now()
	orders, err := p.intent.Orders(ctx)
	if err != nil {
		return err
	}
	p.adoptOrders(orders)
	p.recorded = make(map[string]bool, len(orders))
	for _, o := range orders {
		p.recorded[o.ID] = true
	}
	p.ordersRevision, p.lastScan = revision, started
	return nil
}

// pollBundle fetches and adopts the current bundle if it is newer than the view's. A
// table with an older one came back from a copy: it gets the view's bundle, since the
// next bundle that operators apply must have a higher version.
func (p *Poller) pollBundle(ctx context.Context) error {
	// Read before the table, which has each bundle before any view has it.
	held := p.view.Signed()
	pointer, _, err := p.intent.Pointer(ctx)
	if err != nil {
		return err
	}
	stored := uint64(0)
	if pointer != nil {
		stored = pointer.Version
	}
	switch {
	case held != nil && stored < held.Version:
		p.log.Warn(events.BundleRestored, events.Fields{"version": held.Version, "stored": stored})
		return p.intent.RestoreBundle(ctx, held)
	case pointer == nil || stored <= p.view.Version():
		return nil
	}
	if err := p.intent.FetchContent(ctx, pointer, p.view.Signed().Parts()); err != nil {
		return err
	}
	adopted, err := p.view.AdoptBundle(pointer)
	if err != nil {
		p.log.Warn(events.BundleRefused, events.Fields{"version": pointer.Version, "error": err.Error()})
		return err
	}
	if adopted {
		p.log.Info(events.BundleAdopted, events.Fields{"version": pointer.Version, "from": "platform"})
	}
	return nil
}

// adoptOrders adds the orders that verify to the view, and logs which were adopted
// or refused.
func (p *Poller) adoptOrders(orders []order.Order) {
	for _, o := range orders {
		adopted, err := p.view.AdoptOrder(o)
		if err != nil {
			p.log.Warn(events.OrderRefused, events.Fields{"order": o.ID, "error": err.Error()})
			continue
		}
		if adopted {
			p.log.Info(events.OrderAdopted, events.Fields{"order": o.ID, "kind": o.Kind, "target": o.Target})
		}
	}
}

// recordMissing records the orders of the view that are not in the table, such as
// those given while the table was unreachable.
func (p *Poller) recordMissing(ctx context.Context) error {
	missing := []order.Order{}
	for _, o := range p.view.Orders() {
		if !p.recorded[o.ID] {
			missing = append(missing, o)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	return p.intent.RecordOrders(ctx, missing)
}
