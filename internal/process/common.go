// Package process assembles what entries with sidecars and the sidecars have in
// common: their identity, their view of the operators' intent (bundles and
// orders), and the background tasks that keep the view current.
package process

import (
	"context"
	"crypto/rand"
	"net"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"

	"github.com/cicadareel/cicadareel/internal/connection/peer"
	"github.com/cicadareel/cicadareel/internal/connection/store"
	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/identity"
	"github.com/cicadareel/cicadareel/internal/metrics"
	"github.com/cicadareel/cicadareel/internal/process/settings"
	"github.com/cicadareel/cicadareel/internal/version/view"
)

// Common holds the components that entries and sidecars share.
type Common struct {
	Settings    *settings.Settings
	Incarnation string
	Dialer      *peer.Dialer
	Log         *events.Log
	Metrics     *metrics.Metrics
	Platform    *store.Client
	View        *view.View
	Members     *store.Members
	Poller      *store.Poller
	Gossip      *peer.ViewGossip
	Server      *grpc.Server
	conns       *peer.ConnPool
	cancel      context.CancelFunc
}

// NewCommon builds the components and starts the background tasks that keep the
// view current.
func NewCommon(ctx context.Context, s *settings.Settings) (*Common, error) {
	id, err := identity.NewIdentity(s.TLS)
	if err != nil {
		return nil, err
	}
	m, err := metrics.NewMetrics()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	c := &Common{
		Settings:    s,
		Incarnation: rand.Text(),
		Dialer:      peer.NewDialer(id),
		Log:         events.NewLog(s.LogLevel, s.Instance),
		Metrics:     m,
		Platform:    store.NewClient(s.Platform.TableAddress, s.Platform.ObjectAddress, s.Platform.InstanceListAddress),
		View:        view.NewView(s.TrustedKeys(), s.FailureDomain),
		cancel:      cancel,
	}
	c.conns = peer.NewConnPool(c.Dialer)
	c.Server = peer.NewGRPCServer(id.ServerCredentials())
	c.Members = store.NewMembers(ctx, c.Platform, s.Seeds)
	c.Poller = store.NewPoller(ctx, store.NewIntentStore(c.Platform, c.Platform), c.View, c.Members, c.Log)
	c.Gossip = peer.NewViewGossip(ctx, c.self(), c.View, c.Members, c.conns, c.Log, m)
	m.RegisterGauge("cicadareel_log_lines_dropped", "Log lines not written.", c.Log.Dropped)
	m.RegisterGauge("cicadareel_bundle_version", "Version of the bundle in force.", func() int64 { return int64(c.View.Version()) })
	return c, nil
}

func (c *Common) self() peer.Self {
	return peer.Self{
		Instance:      c.Settings.Instance,
		FailureDomain: c.Settings.FailureDomain,
		Address:       c.Settings.PeerAddress,
	}
}

// Serve starts the server for other processes. status adds to a status report
// what Common does not know.
func (c *Common) Serve(status func(*wire.ProcessStatus)) error {
	listener, err := net.Listen("tcp", c.Settings.PeerAddress.String())
	if err != nil {
		return oops.In("process").Wrap(err)
	}
	source := func() *wire.ProcessStatus {
		s := c.status()
		status(s)
		return s
	}
	wire.RegisterPeerServer(c.Server, peer.NewServer(c.self(), c.View, c.Gossip, source, c.Log, c.Metrics))
	go func() {
		if err := c.Server.Serve(listener); err != nil {
			c.Log.Warn(events.ServeFailed, events.Fields{"error": err.Error()})
		}
	}()
	return nil
}

func (c *Common) status() *wire.ProcessStatus {
	freshness := c.View.Freshness()
	digest := c.View.OrdersDigest()
	return &wire.ProcessStatus{
		Instance:          c.Settings.Instance,
		Role:              string(c.Settings.Role),
		FailureDomain:     c.Settings.FailureDomain,
		Endpoint:          c.Settings.Endpoint,
		BundleVersion:     c.View.Version(),
		OrdersDigest:      digest[:],
		Fresh:             freshness.Fresh,
		Age:               peer.DurationToWire(freshness.Age),
		PlatformReachable: c.Poller.Reachable(),
		Reachable:         true,
		PeerAddress:       c.Settings.PeerAddress.String(),
	}
}

// Close stops the server and the background tasks. Streams that are still open
// after the grace period are cut.
func (c *Common) Close(grace time.Duration) {
	stopped := make(chan struct{})
	go func() {
		c.Server.GracefulStop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(grace):
		c.Server.Stop()
	}
	c.cancel()
	c.Gossip.Wait()
	c.conns.Close()
	c.Poller.Wait()
	c.Members.Wait()
}
