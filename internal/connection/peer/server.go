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
func NewServer(self Self, v *view.View, s *ViewGossip, status StatusSource, l *events.Log, m *metrics.Metrics) *Server {
	return &Server{self: self, view: v, gossip: s, status: status, log: l, metrics: m}
}

// Exchange returns the bundle and the orders that the calling process lacks. If
// the caller may have newer ones, it is queued for an exchange in return.
func (s *Server) Exchange(_ context.Context, in *wire.ViewSummary) (*wire.ViewUpdate, error) {
	digest := s.view.OrdersDigest()
	freshness := s.view.Freshness()
	out := &wire.ViewUpdate{
		Instance:      s.self.Instance,
		FailureDomain: s.self.FailureDomain,
		BundleVersion: s.view.Version(),
		OrdersDigest:  digest[:],
		Age:           DurationToWire(freshness.Age),
		Fresh:         freshness.Fresh,
	}
	if signed := s.view.Signed(); signed != nil && signed.Version > in.GetBundleVersion() {
		out.Bundle = BundleToWire(signed)
	}
	if !bytes.Equal(digest[:], in.GetOrdersDigest()) {
		out.Orders = ordersToWire(s.view.Orders())
	}
	if in.GetBundleVersion() > out.GetBundleVersion() || !bytes.Equal(digest[:], in.GetOrdersDigest()) {
		s.gossip.RequestExchangeWith(in.GetInstance())
	}
	return out, nil
}

// Order adopts orders and, if asked, sends them to every other process.
func (s *Server) Order(ctx context.Context, in *wire.OrderRequest) (*wire.OrderReply, error) {
	if err := s.checkTargets(in); err != nil {
		return nil, invalidArgument(err)
	}
	if err := s.gossip.adoptOrders(in.GetOrders()); err != nil {
		return nil, invalidArgument(err)
	}
	if !in.GetSpread() {
		return &wire.OrderReply{InForce: []string{s.self.Instance}}, nil
	}
	return s.gossip.Broadcast(ctx, in), nil
}

// checkTargets refuses an operator's order for a target that is not in the current
// bundle. Orders that another process forwards are not checked.
func (s *Server) checkTargets(in *wire.OrderRequest) error {
	b := s.view.Bundle()
	if b == nil || !in.GetSpread() {
		return nil
	}
	for _, o := range in.GetOrders() {
		if b.Endpoint(o.GetTarget()) == nil && !b.HasFailureDomain(o.GetTarget()) {
			return &order.InvalidError{Problem: "no endpoint or failure domain is named " + o.GetTarget()}
		}
	}
	return nil
}

// Parts returns the requested parts of the current bundle.
func (s *Server) Parts(_ context.Context, in *wire.PartsRequest) (*wire.PartsReply, error) {
	held := s.view.Signed().Parts()
	out := &wire.PartsReply{}
	for _, digest := range in.GetDigests() {
		out.Parts = append(out.Parts, held[digest])
	}
	return out, nil
}

// Status returns the status of this process or, if asked, of all known processes.
func (s *Server) Status(ctx context.Context, in *wire.StatusRequest) (*wire.StatusReply, error) {
	own := s.status()
	out := &wire.StatusReply{Processes: []*wire.ProcessStatus{own}, Orders: ordersToWire(s.view.Orders())}
	if in.GetEverywhere() {
		out.Processes = append(out.Processes, s.gossip.CollectStatus(ctx)...)
	}
	return out, nil
}
