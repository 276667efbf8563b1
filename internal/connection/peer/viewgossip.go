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
	// exchangeInterval is the time between two exchanges with neighbours, one
	// neighbour at a time.
	exchangeInterval = 500 * time.Millisecond
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = time.Second
	// partsTimeout bounds fetching the missing parts of a bundle.
	partsTimeout = 3 * time.Second
	// tellTimeout bounds telling one process of an order.
	tellTimeout = 2 * time.Second
	// tellParallel bounds concurrent calls when telling every process.
	tellParallel = 64
	// askBackLimit bounds the exchanges waiting to be made with processes that
	// know more.
	askBackLimit = 16
)

// Self identifies this process to its peers.
type Self struct {
	Instance      string
	FailureDomain string
	Address       netip.AddrPort
}

// ViewGossip exchanges views with neighbours and tells all processes of orders.
type ViewGossip struct {
	self    Self
	view    *view.View
	members *store.Members
	clients *ConnPool
	log     *events.Log
	metrics *metrics.Metrics
	// nudges asks for an exchange with every neighbour at once.
	nudges chan struct{}
	// adopting holds a token while a bundle is fetched, so that several
	// neighbours do not send the same parts.
	adopting chan struct{}
	// askBacks names processes that know more than this one.
	askBacks chan string
	// list and closest are the last instance list and the neighbours in it;
	// used by the exchanging goroutine only.
	list    []store.Instance
	closest []store.Instance
	done    sync.WaitGroup
}

// NewViewGossip starts exchanging views until ctx ends.
func NewViewGossip(ctx context.Context, self Self, v *view.View, members *store.Members, c *ConnPool, l *events.Log, m *metrics.Metrics) *ViewGossip {
	s := &ViewGossip{self: self, view: v, members: members, clients: c, log: l, metrics: m, nudges: make(chan struct{}, 1), askBacks: make(chan string, askBackLimit)}
	s.adopting = make(chan struct{}, 1)
	s.done.Go(func() { s.exchangeLoop(ctx) })
	s.done.Go(func() { s.watchLoop(ctx) })
	return s
}

// Wait returns after the goroutines have ended.
func (s *ViewGossip) Wait() { s.done.Wait() }

// RequestExchange asks for an exchange with every neighbour soon.
func (s *ViewGossip) RequestExchange() {
	select {
	case s.nudges <- struct{}{}:
	default:
	}
}

// RequestExchangeWith asks for an exchange with a process that knows more. It is dropped
// if too many are waiting: the periodic exchanges make up for it.
func (s *ViewGossip) RequestExchangeWith(instance string) {
	select {
	case s.askBacks <- instance:
	default:
	}
}

func (s *ViewGossip) watchLoop(ctx context.Context) {
	for {
		changed := s.view.Changed()
		s.RequestExchange()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (s *ViewGossip) exchangeLoop(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.exchangeTurn(ctx, turn)
		case <-s.nudges:
			s.exchangeAll(ctx)
		case name := <-s.askBacks:
			s.exchangeWith(ctx, name)
		}
	}
}

// exchangeTurn asks one neighbour, or all of them once the view is no longer
// recent.
func (s *ViewGossip) exchangeTurn(ctx context.Context, turn int) {
	if s.view.Freshness().Age > view.FreshFor/2 {
		s.exchangeAll(ctx)
		return
	}
	if neighbours := s.neighbours(); len(neighbours) > 0 {
		s.exchange(ctx, neighbours[turn%len(neighbours)])
	}
}

// neighbours is worked out anew only when the instance list changes.
func (s *ViewGossip) neighbours() []store.Instance {
	list := s.members.List()
	if len(list) != len(s.list) || (len(list) > 0 && &list[0] != &s.list[0]) {
		s.list = list
		s.closest = Neighbours(s.self, list)
	}
	return s.closest
}

func (s *ViewGossip) exchangeWith(ctx context.Context, name string) {
	for _, p := range s.members.List() {
		if p.Name == name {
			s.exchange(ctx, p)
			return
		}
	}
}

func (s *ViewGossip) exchangeAll(ctx context.Context) {
	var calls sync.WaitGroup
	for _, n := range s.neighbours() {
		calls.Go(func() { s.exchange(ctx, n) })
	}
	calls.Wait()
}

// exchange asks one peer for what this process lacks. Age is counted from
// before the question, so that a late answer cannot look fresh.
func (s *ViewGossip) exchange(ctx context.Context, n store.Instance) {
	asked := time.Now()
	digest := s.view.OrdersDigest()
	update, err := call(ctx, s.clients, n.PeerAddress, exchangeTimeout,
		func(ctx context.Context, c wire.PeerClient) (*wire.ViewUpdate, error) {
			return c.Exchange(ctx, &wire.ViewSummary{
				Instance:      s.self.Instance,
				FailureDomain: s.self.FailureDomain,
				BundleVersion: s.view.Version(),
				OrdersDigest:  digest[:],
			})
		})
	if err != nil {
		return
	}
	if s.adoptBundle(ctx, n, update.GetBundle()) != nil || s.adoptOrders(update.GetOrders()) != nil {
		return
	}
	s.view.RecordReply(update.GetFailureDomain(), asked)
	if update.GetFresh() && s.view.Version() >= update.GetBundleVersion() {
		s.view.Confirm(asked.Add(-update.GetAge().AsDuration()))
	}
}

// adoptOrders takes the orders that verify and returns the first failure.
func (s *ViewGossip) adoptOrders(orders []*wire.Hold) error {
	var first error
	for _, h := range orders {
		if err := s.adoptOrder(h); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// adoptBundle takes a newer bundle, after asking the peer for the parts that
// this process does not hold.
func (s *ViewGossip) adoptBundle(ctx context.Context, from store.Instance, m *wire.SignedBundle) error {
	s.adopting <- struct{}{}
	defer func() { <-s.adopting }()
	if m == nil || m.GetVersion() <= s.view.Version() {
		return nil
	}
	signed := BundleFromWire(m)
	err := signed.VerifyPointer(s.view.Keys())
	if err == nil {
		if err := s.assemble(ctx, from, signed); err != nil {
			return err
		}
	}
	adopted := false
	if err == nil {
		adopted, err = s.view.AdoptBundle(signed)
	}
	if err != nil {
		s.metrics.Forged()
		s.log.Warn(events.BundleRefused, events.Fields{"version": m.GetVersion(), "error": err.Error()})
		return err
	}
	if adopted {
		s.log.Info(events.BundleAdopted, events.Fields{"version": m.GetVersion(), "from": from.Name})
	}
	return nil
}

func (s *ViewGossip) assemble(ctx context.Context, from store.Instance, signed *bundle.Signed) error {
	held := s.view.Signed().Parts()
	digests, _ := bundle.PartDigests(signed.Manifest)
	missing := &wire.PartsRequest{}
	for _, d := range digests {
		if _, ok := held[d]; !ok {
			missing.Digests = append(missing.Digests, d)
		}
	}
	reply, err := call(ctx, s.clients, from.PeerAddress, partsTimeout,
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

func (s *ViewGossip) adoptOrder(h *wire.Hold) error {
	adopted, err := s.view.AdoptOrder(OrderFromWire(h))
	if err != nil {
		s.metrics.Forged()
		s.log.Warn(events.OrderRefused, events.Fields{"order": h.GetId(), "error": err.Error()})
		return err
	}
	if adopted {
		s.log.Info(events.OrderAdopted, events.Fields{"order": h.GetId(), "kind": h.GetKind(), "target": h.GetTarget()})
	}
	return nil
}

// Broadcast sends the request to every known process and reports who confirmed.
func (s *ViewGossip) Broadcast(ctx context.Context, in *wire.OrderRequest) *wire.OrderReply {
	out := &wire.OrderReply{InForce: []string{s.self.Instance}}
	forward := &wire.OrderRequest{Orders: in.GetOrders()}
	var mu sync.Mutex
	s.forEachOther(func(p store.Instance) {
		_, err := call(ctx, s.clients, p.PeerAddress, tellTimeout,
			func(ctx context.Context, c wire.PeerClient) (*wire.OrderReply, error) {
				return c.Order(ctx, forward)
			})
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			out.Unreachable = append(out.Unreachable, p.Name)
			return
		}
		out.InForce = append(out.InForce, p.Name)
	})
	return out
}

// CollectStatus asks every other known process for its status.
func (s *ViewGossip) CollectStatus(ctx context.Context) []*wire.ProcessStatus {
	var all []*wire.ProcessStatus
	var mu sync.Mutex
	s.forEachOther(func(p store.Instance) {
		reply, err := call(ctx, s.clients, p.PeerAddress, tellTimeout,
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

func (s *ViewGossip) forEachOther(visit func(store.Instance)) {
	slots := make(chan struct{}, tellParallel)
	var calls sync.WaitGroup
	for _, p := range s.members.List() {
		if p.Name == s.self.Instance || p.PeerAddress == s.self.Address {
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

// call makes one bounded call over the shared connection and drops the
// connection if the call fails.
func call[T any](ctx context.Context, c *ConnPool, at netip.AddrPort, timeout time.Duration, f func(context.Context, wire.PeerClient) (T, error)) (T, error) {
	var none T
	conn, err := c.get(at)
	if err != nil {
		return none, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result, err := f(ctx, wire.NewPeerClient(conn))
	if err != nil {
		c.drop(at, conn)
		return none, err
	}
	return result, nil
}
