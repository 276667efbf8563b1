package peer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/store"
	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/metrics"
	"github.com/cicadareel/cicadareel/internal/version/view"
	"github.com/cicadareel/cicadareel/pkg/bundle"
)

const (
	// exchangeInterval is the time between two periodic exchanges, each of which is
	// usually with one neighbour.
	exchangeInterval = 500 * time.Millisecond
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = time.Second
	// partsTimeout bounds the fetch of the missing parts of a bundle from a peer.
	partsTimeout = 3 * time.Second
	// broadcastCallTimeout bounds the call to one process in a broadcast of
	// orders or a collection of statuses.
	broadcastCallTimeout = 2 * time.Second
	// maxBroadcastCalls bounds the concurrent calls of one broadcast or
	// collection.
	maxBroadcastCalls = 64
	// maxQueuedPeers bounds the peers queued for an exchange because they may have
	// newer data.
	maxQueuedPeers = 16
)

// Self identifies this process to its peers.
type Self struct {
	Instance      string
	FailureDomain string
	Address       netip.AddrPort
	// LinkRate is the rate of the process's network link in bytes per second; 0 if
	// not known.
	LinkRate float64
}

// ViewGossip exchanges the view of the operators' intent with neighbours and sends
// orders to all processes.
type ViewGossip struct {
	self    Self
	view    *view.View
	members *store.Members
	pool    *ConnPool
	log     *events.Log
	metrics *metrics.Metrics
	// exchangeNow requests an exchange with every neighbour at once.
	exchangeNow chan struct{}
	// adoptLock holds a token while a bundle is fetched. Only one fetch runs at a
	// time, so that several neighbours do not send the same parts.
	adoptLock chan struct{}
	// queuedPeers holds the names of processes that may have newer data than
	// this one.
	queuedPeers chan string
	// instances and cachedNeighbours are the last instance list and the
	// neighbours chosen from it. Only exchangeLoop uses them.
	instances        []store.Instance
	cachedNeighbours []store.Instance
	done             sync.WaitGroup
}

// NewViewGossip starts goroutines that exchange views until ctx ends.
func NewViewGossip(ctx context.Context, self Self, v *view.View, members *store.Members, pool *ConnPool, l *events.Log, m *metrics.Metrics) *ViewGossip {
	g := &ViewGossip{self: self, view: v, members: members, pool: pool, log: l, metrics: m, exchangeNow: make(chan struct{}, 1), queuedPeers: make(chan string, maxQueuedPeers)}
	g.adoptLock = make(chan struct{}, 1)
	g.done.Go(func() { g.exchangeLoop(ctx) })
	g.done.Go(func() { g.watchLoop(ctx) })
	return g
}

// Wait returns after the goroutines have ended.
func (g *ViewGossip) Wait() { g.done.Wait() }

// RequestExchange requests an exchange with every neighbour soon. It does not
// block.
func (g *ViewGossip) RequestExchange() {
	select {
	case g.exchangeNow <- struct{}{}:
	default:
	}
}

// RequestExchangeWith requests an exchange with a process that may have newer data.
// The request is dropped if too many are waiting: the periodic exchanges make up
// for it.
func (g *ViewGossip) RequestExchangeWith(instance string) {
	select {
	case g.queuedPeers <- instance:
	default:
	}
}

// watchLoop requests an exchange whenever the view changes.
func (g *ViewGossip) watchLoop(ctx context.Context) {
	for {
		changed := g.view.Changed()
		g.RequestExchange()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// exchangeLoop runs the periodic and the requested exchanges, one after the other.
func (g *ViewGossip) exchangeLoop(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.exchangeNext(ctx, round)
		case <-g.exchangeNow:
			g.exchangeAll(ctx)
		case name := <-g.queuedPeers:
			g.exchangeWith(ctx, name)
		}
	}
}

// exchangeNext exchanges with the next neighbour in rotation, or with all of them
// if the view's age exceeds half of view.FreshFor.
func (g *ViewGossip) exchangeNext(ctx context.Context, round int) {
	if g.view.Freshness().Age > view.FreshFor/2 {
		g.exchangeAll(ctx)
		return
	}
	if neighbours := g.neighbours(); len(neighbours) > 0 {
		g.exchange(ctx, neighbours[round%len(neighbours)])
	}
}

// neighbours returns the neighbours of this process. They are chosen again only
// when the instance list changes.
func (g *ViewGossip) neighbours() []store.Instance {
	list := g.members.List()
	if len(list) != len(g.instances) || (len(list) > 0 && &list[0] != &g.instances[0]) {
		g.instances = list
		g.cachedNeighbours = Neighbours(g.self, list)
	}
	return g.cachedNeighbours
}

// exchangeWith exchanges with the named process if the instance list contains it.
func (g *ViewGossip) exchangeWith(ctx context.Context, name string) {
	for _, p := range g.members.List() {
		if p.Name == name {
			g.exchange(ctx, p)
			return
		}
	}
}

// exchangeAll exchanges with all neighbours concurrently.
func (g *ViewGossip) exchangeAll(ctx context.Context) {
	var calls sync.WaitGroup
	for _, n := range g.neighbours() {
		calls.Go(func() { g.exchange(ctx, n) })
	}
	calls.Wait()
}

// exchange asks one peer for what this process lacks. The age of the peer's view is
// counted from before the call, so that a late reply does not look fresh.
func (g *ViewGossip) exchange(ctx context.Context, n store.Instance) {
	asked := time.Now()
	digest := g.view.OrdersDigest()
	update, err := call(ctx, g.pool, n.PeerAddress, exchangeTimeout,
		func(ctx context.Context, c wire.PeerClient) (*wire.ViewUpdate, error) {
			return c.Exchange(ctx, &wire.ViewSummary{
				Instance:      g.self.Instance,
				FailureDomain: g.self.FailureDomain,
				BundleVersion: g.view.Version(),
				OrdersDigest:  digest[:],
			})
		})
	if err != nil {
		return
	}
	if g.adoptBundle(ctx, n, update.GetBundle()) != nil || g.adoptOrders(update.GetOrders()) != nil {
		return
	}
	g.view.RecordReply(update.GetFailureDomain(), asked)
	if update.GetFresh() && g.view.Version() >= update.GetBundleVersion() {
		g.view.Confirm(asked.Add(-update.GetAge().AsDuration()))
	}
}

// adoptOrders adopts the orders that verify and returns the first error.
func (g *ViewGossip) adoptOrders(orders []*wire.Hold) error {
	var first error
	for _, h := range orders {
		if err := g.adoptOrder(h); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// adoptBundle adopts a newer bundle after it has fetched the parts that this
// process does not hold from the peer.
func (g *ViewGossip) adoptBundle(ctx context.Context, from store.Instance, m *wire.SignedBundle) error {
	g.adoptLock <- struct{}{}
	defer func() { <-g.adoptLock }()
	if m == nil || m.GetVersion() <= g.view.Version() {
		return nil
	}
	signed := BundleFromWire(m)
	err := signed.VerifySignature(g.view.Keys())
	if err == nil {
		if err := g.fetchParts(ctx, from, signed); err != nil {
			return err
		}
	}
	adopted := false
	if err == nil {
		adopted, err = g.view.AdoptBundle(signed)
	}
	if err != nil {
		g.metrics.CountForged()
		g.log.Warn(events.BundleRefused, events.Fields{"version": m.GetVersion(), "error": err.Error()})
		return err
	}
	if adopted {
		g.log.Info(events.BundleAdopted, events.Fields{"version": m.GetVersion(), "from": from.Name})
	}
	return nil
}

// fetchParts fetches the parts of a bundle that this process does not hold and
// assembles the content.
func (g *ViewGossip) fetchParts(ctx context.Context, from store.Instance, signed *bundle.Signed) error {
	held := g.view.Signed().Parts()
	digests, _ := bundle.ParseManifest(signed.Manifest)
	missing := &wire.PartsRequest{}
	for _, d := range digests {
		if _, ok := held[d]; !ok {
			missing.Digests = append(missing.Digests, d)
		}
	}
	reply, err := call(ctx, g.pool, from.PeerAddress, partsTimeout,
		func(ctx context.Context, c wire.PeerClient) (*wire.PartsReply, error) { return c.Parts(ctx, missing) })
	if err != nil {
		return err
	}
	for i, part := range reply.GetParts() {
		if i < len(missing.GetDigests()) {
			held[missing.GetDigests()[i]] = part
		}
	}
	return signed.Assemble(func(digest string) ([]byte, error) { return held[digest], nil })
}

// adoptOrder adds an order to the view if its signature verifies, and logs the result.
func (g *ViewGossip) adoptOrder(h *wire.Hold) error {
	adopted, err := g.view.AdoptOrder(OrderFromWire(h))
	if err != nil {
		g.metrics.CountForged()
		g.log.Warn(events.OrderRefused, events.Fields{"order": h.GetId(), "error": err.Error()})
		return err
	}
	if adopted {
		g.log.Info(events.OrderAdopted, events.Fields{"order": h.GetId(), "kind": h.GetKind(), "target": h.GetTarget()})
	}
	return nil
}

// Broadcast sends the orders to every other known process and reports which
// processes adopted them and which could not be reached.
func (g *ViewGossip) Broadcast(ctx context.Context, request *wire.OrderRequest) *wire.OrderReply {
	reply := &wire.OrderReply{InForce: []string{g.self.Instance}}
	forward := &wire.OrderRequest{Orders: request.GetOrders()}
	var mu sync.Mutex
	g.forEachOther(func(p store.Instance) {
		_, err := call(ctx, g.pool, p.PeerAddress, broadcastCallTimeout,
			func(ctx context.Context, c wire.PeerClient) (*wire.OrderReply, error) {
				return c.Order(ctx, forward)
			})
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			reply.Unreachable = append(reply.Unreachable, p.Name)
			return
		}
		reply.InForce = append(reply.InForce, p.Name)
	})
	return reply
}

// CollectStatus asks every other known process for its status. For a process that
// does not reply, it returns what the instance list says.
func (g *ViewGossip) CollectStatus(ctx context.Context) []*wire.ProcessStatus {
	var all []*wire.ProcessStatus
	var mu sync.Mutex
	g.forEachOther(func(p store.Instance) {
		reply, err := call(ctx, g.pool, p.PeerAddress, broadcastCallTimeout,
			func(ctx context.Context, c wire.PeerClient) (*wire.StatusReply, error) {
				return c.Status(ctx, &wire.StatusRequest{})
			})
		mu.Lock()
		defer mu.Unlock()
		if err != nil || len(reply.GetProcesses()) == 0 {
			all = append(all, &wire.ProcessStatus{
				Instance:      p.Name,
				Role:          p.Role,
				FailureDomain: p.FailureDomain,
				Endpoint:      p.Endpoint,
				PeerAddress:   p.PeerAddress.String(),
			})
			return
		}
		all = append(all, reply.GetProcesses()[0])
	})
	return all
}

// forEachOther calls visit for every other known process, concurrently up to
// maxBroadcastCalls, and returns when all calls have ended.
func (g *ViewGossip) forEachOther(visit func(store.Instance)) {
	slots := make(chan struct{}, maxBroadcastCalls)
	var calls sync.WaitGroup
	for _, p := range g.members.List() {
		if p.Name == g.self.Instance || p.PeerAddress == g.self.Address {
			continue
		}
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			visit(p)
		})
	}
	calls.Wait()
}

// call makes one call with a timeout over the pool's connection, and drops the
// connection if the call fails.
func call[T any](ctx context.Context, pool *ConnPool, at netip.AddrPort, timeout time.Duration, invoke func(context.Context, wire.PeerClient) (T, error)) (T, error) {
	var none T
	conn, err := pool.get(at)
	if err != nil {
		return none, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result, err := invoke(ctx, wire.NewPeerClient(conn))
	if err != nil {
		pool.drop(at, conn)
		return none, err
	}
	return result, nil
}
