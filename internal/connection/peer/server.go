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

// StatusSource describes this process for status replies.
type StatusSource func() *wire.ProcessStatus

// Server answers other processes and the operators' client.
type Server struct {
	wire.UnimplementedPeerServer

	self    Self
	view    *view.View
	spread  *ViewGossip
	status  StatusSource
	log     *events.Log
	metrics *metrics.Metrics
}

// NewServer returns a server for one process.
func NewServer(self Self, v *view.View, s *ViewGossip, status StatusSource, l *events.Log, m *metrics.Metrics) *Server {
	return &Server{self: self, view: v, spread: s, status: status, log: l, metrics: m}
}

// Exchange returns what the caller lacks.
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
		s.spread.RequestExchangeWith(in.GetInstance())
	}
	return out, nil
}

// Order adopts orders and, if asked, tells every other process.
func (s *Server) Order(ctx context.Context, in *wire.OrderRequest) (*wire.OrderReply, error) {
	if err := s.checkTargets(in); err != nil {
		return nil, grpcError(err)
	}
	if err := s.spread.adoptOrders(in.GetOrders()); err != nil {
		return nil, grpcError(err)
	}
	if !in.GetSpread() {
		return &wire.OrderReply{InForce: []string{s.self.Instance}}, nil
	}
	return s.spread.Broadcast(ctx, in), nil
}

// checkTargets refuses an operator's order on a target that the bundle in force
// does not name. Orders passed on by other processes are taken as they are.
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

// Parts returns parts of the bundle in force.
func (s *Server) Parts(_ context.Context, in *wire.PartsRequest) (*wire.PartsReply, error) {
	held := s.view.Signed().Parts()
	out := &wire.PartsReply{}
	for _, digest := range in.GetDigests() {
		out.Parts = append(out.Parts, held[digest])
	}
	return out, nil
}

// Status describes this process or, if asked, all known ones.
func (s *Server) Status(ctx context.Context, in *wire.StatusRequest) (*wire.StatusReply, error) {
	own := s.status()
	out := &wire.StatusReply{Processes: []*wire.ProcessStatus{own}, Orders: ordersToWire(s.view.Orders())}
	if in.GetEverywhere() {
		out.Processes = append(out.Processes, s.spread.CollectStatus(ctx)...)
	}
	return out, nil
}
