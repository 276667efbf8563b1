package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"

	"github.com/cicadareel/cicadareel/internal/identity"
)

const (
	// streamWindow and connectionWindow are HTTP/2 flow control windows in
	// bytes, large enough that many responses share one stream.
	streamWindow     = 1 << 20
	connectionWindow = 4 << 20
	// messageLimit bounds one message in bytes. It exceeds the largest request
	// body and a bundle of 36,000 client accounts.
	messageLimit = 16 << 20
)

// DialFunc opens a TCP connection to a peer.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Dialer opens gRPC connections to peers.
type Dialer struct {
	credentials func() credentials.TransportCredentials
	connect     DialFunc
}

// NewDialer returns a dialer that authenticates with the process's TLS identity.
func NewDialer(i *identity.Identity) *Dialer {
	return NewDialerWith(i.ClientCredentials, func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", address)
	})
}

// NewDialerWith returns a dialer that uses the given credentials and opens its
// connections with connect.
func NewDialerWith(c func() credentials.TransportCredentials, connect DialFunc) *Dialer {
	return &Dialer{credentials: c, connect: connect}
}

// Dial returns a new connection, which the caller must close.
func (d *Dialer) Dial(at netip.AddrPort) (*grpc.ClientConn, error) {
	conn, err := grpc.NewClient("passthrough:///"+at.String(),
		grpc.WithTransportCredentials(d.credentials()),
		grpc.WithContextDialer(d.connect),
		grpc.WithInitialWindowSize(streamWindow),
		grpc.WithInitialConnWindowSize(connectionWindow),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(messageLimit)))
	return conn, oops.In("peer").With("address", at.String()).Wrap(err)
}

// NewGRPCServer returns a server with the same flow control windows and message
// limit as the dialers.
func NewGRPCServer(c credentials.TransportCredentials) *grpc.Server {
	return grpc.NewServer(
		grpc.Creds(c),
		grpc.InitialWindowSize(streamWindow),
		grpc.InitialConnWindowSize(connectionWindow),
		grpc.MaxRecvMsgSize(messageLimit))
}

// ConnPool keeps one connection to each peer address in use.
type ConnPool struct {
	dialer *Dialer

	mu    sync.Mutex
	conns map[netip.AddrPort]*grpc.ClientConn
}

// NewConnPool returns an empty pool.
func NewConnPool(d *Dialer) *ConnPool {
	return &ConnPool{dialer: d, conns: map[netip.AddrPort]*grpc.ClientConn{}}
}

// get returns the connection to an address and opens it if there is none.
func (c *ConnPool) get(at netip.AddrPort) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[at]; conn != nil {
		return conn, nil
	}
	conn, err := c.dialer.Dial(at)
	if err != nil {
		return nil, err
	}
	c.conns[at] = conn
	return conn, nil
}

// drop closes a connection after a failed call, since it may never carry data
// again. The next call opens a new one.
func (c *ConnPool) drop(at netip.AddrPort, failed *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[at] == failed {
		delete(c.conns, at)
	}
	_ = failed.Close()
}

// Close closes all connections.
func (c *ConnPool) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for at, conn := range c.conns {
		delete(c.conns, at)
		_ = conn.Close()
	}
}

// invalidArgument returns a gRPC error with the status InvalidArgument.
func invalidArgument(err error) error {
	return status.Error(codes.InvalidArgument, err.Error())
}
