package peer

import (
	"bytes"
	"context"

	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/metrics"
	"github.com/cicadareel/cicadareel/internal/version/view"
	"github.com/cicadareel/cicadareel/pkg/order"
)

// StatusSource returns the status of this process.
type StatusSource func() *wire.ProcessStatus

// Server implements wire.PeerServer for other processes and the operators' command
// line client. Copies of tables are exchanged by TableGossip instead.
type Server struct {
	wire.UnimplementedPeerServer

	self    Self
	view    *view.View
	gossip  *ViewGossip
	status  StatusSource
	log     *events.Log
	metrics *metrics.Metrics
}

// NewServer returns a server for one process.
func NewServer(self Self, v *view.View, g *ViewGossip, status StatusSource, l *events.Log, m *metrics.Metrics) *Server {
	return &Server{self: self, view: v, gossip: g, status: status, log: l, metrics: m}
}

// Exchange returns the bundle and the orders that the calling process lacks. If
// the caller may have newer ones, it is queued for an exchange in return.
func (s *Server) Exchange(_ context.Context, summary *wire.ViewSummary) (*wire.ViewUpdate, error) {
	digest := s.view.OrdersDigest()
	freshness := s.view.Freshness()
	update := &wire.ViewUpdate{
		Instance:      s.self.Instance,
		FailureDomain: s.self.FailureDomain,
		BundleVersion: s.view.Version(),
		OrdersDigest:  digest[:],
		Age:           DurationToWire(freshness.Age),
		Fresh:         freshness.Fresh,
	}
	if signed := s.view.Signed(); signed != nil && signed.Version > summary.GetBundleVersion() {
		update.Bundle = BundleToWire(signed)
	}
	if !bytes.Equal(digest[:], summary.GetOrdersDigest()) {
		update.Orders = ordersToWire(s.view.Orders())
	}
	if summary.GetBundleVersion() > update.GetBundleVersion() || !bytes.Equal(digest[:], summary.GetOrdersDigest()) {
		s.gossip.RequestExchangeWith(summary.GetInstance())
	}
	return update, nil
}

// Order adopts orders and, if asked, sends them to every other process.
func (s *Server) Order(ctx context.Context, request *wire.OrderRequest) (*wire.OrderReply, error) {
	if err := s.checkTargets(request); err != nil {
		return nil, invalidArgument(err)
	}
	if err := s.gossip.adoptOrders(request.GetOrders()); err != nil {
		return nil, invalidArgument(err)
	}
	if !request.GetSpread() {
		return &wire.OrderReply{InForce: []string{s.self.Instance}}, nil
	}
	return s.gossip.Broadcast(ctx, request), nil
}

// checkTargets refuses an operator's order for a target that is not in the current
// bundle. Orders that another process forwards are not checked.
func (s *Server) checkTargets(request *wire.OrderRequest) error {
	b := s.view.Bundle()
	if b == nil || !request.GetSpread() {
		return nil
	}
	for _, o := range request.GetOrders() {
		if b.Endpoint(o.GetTarget()) == nil && !b.HasFailureDomain(o.GetTarget()) {
			return &order.InvalidError{Problem: "no endpoint or failure domain is named " + o.GetTarget()}
		}
	}
	return nil
}

// Parts returns the requested parts of the current bundle.
func (s *Server) Parts(_ context.Context, request *wire.PartsRequest) (*wire.PartsReply, error) {
	held := s.view.Signed().Parts()
	reply := &wire.PartsReply{}
	for _, digest := range request.GetDigests() {
		reply.Parts = append(reply.Parts, held[digest])
	}
	return reply, nil
}

// Status returns the status of this process or, if asked, of all known processes.
func (s *Server) Status(ctx context.Context, request *wire.StatusRequest) (*wire.StatusReply, error) {
	own := s.status()
	reply := &wire.StatusReply{Processes: []*wire.ProcessStatus{own}, Orders: ordersToWire(s.view.Orders())}
	if request.GetEverywhere() {
		reply.Processes = append(reply.Processes, s.gossip.CollectStatus(ctx)...)
	}
	return reply, nil
}
