package entry

import (
	"context"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/cicadareel/cicadareel/internal/connection/peer"
	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/identity"
	"github.com/cicadareel/cicadareel/internal/process/settings"
	"github.com/cicadareel/cicadareel/internal/request/quarantine"
	"github.com/cicadareel/cicadareel/internal/version/mirror"
	"github.com/cicadareel/cicadareel/internal/version/slowness"
)

// peerGossip exchanges copies of the store's tables with other entries.
type peerGossip struct {
	gossip *peer.TableGossip
	conns  *peer.ConnPool
	server *grpc.Server
}

func newPeerGossip(ctx context.Context, s *settings.Settings, n network, m *mirror.Mirror, t *slowness.Tracker, loads peer.Loads, q *quarantine.Tracker, limits peer.Limits, l *events.Log) (*peerGossip, error) {
	id, err := identity.NewIdentity(s.TLS)
	if err != nil {
		return nil, err
	}
	listener, err := n.listen(s.PeerAddress)
	if err != nil {
		return nil, err
	}
	self := peer.Self{Instance: s.Instance, FailureDomain: s.FailureDomain, Address: s.PeerAddress, LinkRate: s.Deployment.LinkRate()}
	dialer := peer.NewDialerWith(func() credentials.TransportCredentials { return id.ClientCredentials() },
		func(ctx context.Context, address string) (net.Conn, error) { return n.dial(ctx, "tcp", address) })
	p := &peerGossip{conns: peer.NewConnPool(dialer), server: peer.NewGRPCServer(id.ServerCredentials())}
	p.gossip = peer.NewTableGossip(ctx, self, s.Seeds, m, t, loads, q, limits, p.conns, l)
	wire.RegisterPeerServer(p.server, p.gossip)
	go func() {
		if err := p.server.Serve(listener); err != nil {
			l.Warn(events.ServeFailed, events.Fields{"error": err.Error()})
		}
	}()
	return p, nil
}

// callGrace is how long calls of peers may take to end at shutdown.
const callGrace = 100 * time.Millisecond

// close waits for the gossip to end and stops the server. Calls in progress may
// take callGrace to end.
func (p *peerGossip) close() {
	p.gossip.Wait()
	stopped := make(chan struct{})
	go func() {
		p.server.GracefulStop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(callGrace):
		p.server.Stop()
	}
	p.conns.Close()
}
