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
	// pollInterval is the shortest time between two polls of one process.
	pollInterval = 500 * time.Millisecond
	// readBudget bounds the table reads per second of all processes together.
	readBudget = 400
	// scanInterval is the longest time between two readings of all orders.
	scanInterval = 5 * time.Minute
	// readsPerPoll is the number of table reads of one poll.
	readsPerPoll = 2
)

// Poller keeps a view current from the platform and records orders that the
// platform lacks.
type Poller struct {
	intent  *IntentStore
	view    *view.View
	members *Members
	log     *events.Log
	// reachable tells whether the last poll succeeded.
	reachable atomic.Bool
	// head and scanned are of the last reading of all orders, recorded holds
	// their ids; used by the polling goroutine only.
	head     uint64
	scanned  time.Time
	recorded map[string]bool
	done     sync.WaitGroup
}

// NewPoller starts polling until ctx ends.
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

// PollInterval returns the time between two polls of one process, such that
// all processes together stay within the read budget.
func PollInterval(processes int) time.Duration {
	return max(pollInterval, time.Duration(processes)*readsPerPoll*time.Second/readBudget)
}

// Poll reads the platform once.
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

func (p *Poller) poll(ctx context.Context) error {
	if err := p.pollOrders(ctx); err != nil {
		return err
	}
	if err := p.pollBundle(ctx); err != nil {
		return err
	}
	return p.recordMissing(ctx)
}

// pollOrders reads the orders if the head moved, and now and then without: a
// writer may have died between an order and the head.
func (p *Poller) pollOrders(ctx context.Context) error {
	head, err := p.intent.OrdersRevision(ctx)
	if err != nil {
		return err
	}
	if head == p.head && p.recorded != nil && time.Since(p.scanned) < scanInterval {
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
	p.head, p.scanned = head, started
	return nil
}

func (p *Poller) pollBundle(ctx context.Context) error {
	pointer, _, err := p.intent.Pointer(ctx)
	if err != nil || pointer == nil || pointer.Version <= p.view.Version() {
		return err
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

// recordMissing writes down orders that were given while the table was down.
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
