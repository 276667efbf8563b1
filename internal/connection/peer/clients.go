package peer

import (
	"net/netip"
	"sync"

	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/cicadareel/cicadareel/internal/process/identity"
)

// Clients keeps one connection for each peer address in use.
type Clients struct {
	identity *identity.Identity

	mu    sync.Mutex
	conns map[netip.AddrPort]*grpc.ClientConn
}

// NewClients returns an empty set of connections.
func NewClients(i *identity.Identity) *Clients {
	return &Clients{identity: i, conns: map[netip.AddrPort]*grpc.ClientConn{}}
}

// Dial opens a connection of its own that the caller closes.
func Dial(at netip.AddrPort, i *identity.Identity) (*grpc.ClientConn, error) {
	conn, err := grpc.NewClient("passthrough:///"+at.String(), grpc.WithTransportCredentials(i.Client()))
	return conn, oops.In("peer").With("address", at.String()).Wrap(err)
}

func (c *Clients) get(at netip.AddrPort) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[at]; conn != nil {
		return conn, nil
	}
	conn, err := Dial(at, c.identity)
	if err != nil {
		return nil, err
	}
	c.conns[at] = conn
	return conn, nil
}

// drop closes a connection that failed, since it may have gone silent for
// good; the next call opens a new one.
func (c *Clients) drop(at netip.AddrPort, failed *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[at] == failed {
		delete(c.conns, at)
	}
	_ = failed.Close()
}

func grpcError(err error) error {
	return status.Error(codes.InvalidArgument, err.Error())
}
