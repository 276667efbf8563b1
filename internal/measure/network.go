package measure

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/cicadareel/cicadareel/internal/connection/entry"
	"github.com/cicadareel/cicadareel/internal/connection/peer"
	"github.com/cicadareel/cicadareel/internal/connection/sidecar"
	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/metrics"
	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/request/gate"
)

// counter counts the bytes of all connections that it opens, both ways.
type counter struct{ bytes atomic.Int64 }

type countedConn struct {
	net.Conn
	counter *counter
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

func (c *counter) dialer() *peer.Dialer {
	plain := func() credentials.TransportCredentials { return insecure.NewCredentials() }
	return peer.NewDialerWith(plain, func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return countedConn{Conn: conn, counter: c}, nil
	})
}

func listen() (net.Listener, netip.AddrPort) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return l, netip.MustParseAddrPort(l.Addr().String())
}

// cpu returns the processor time of this process so far.
func cpu() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

type silentObserver struct{}

func (silentObserver) GateChanged(sidecar.GateState) {}
func (silentObserver) LinkDown()                     {}

// Links measures what idle links to one sidecar cost: bytes a second, processor
// time and memory, both ends together.
func Links() []Series {
	const watch = 10 * time.Second
	bytes := Series{Name: "idle links: traffic", Unit: "B/s", SizeUnit: "links", Target: 200}
	work := Series{Name: "idle links: processor time, both ends", Unit: "ms/s", SizeUnit: "links", Target: 200}
	memory := Series{Name: "idle links: memory, both ends", Unit: "KB", SizeUnit: "links", Target: 200}
	m, _ := metrics.NewMetrics()
	log := events.NewLog("panic", "measure")
	for _, n := range []int{10, 50, 200} {
		before := heap()
		ctx, stop := context.WithCancel(context.Background())
		c := &counter{}
		links := []*sidecar.Link{}
		server, at := startSidecar(ctx, "endpoint", log, m)
		for range n {
			links = append(links, sidecar.NewLink("endpoint", "entry", at, c.dialer(), silentObserver{}, log, m))
		}
		time.Sleep(time.Second)
		memory.Points = append(memory.Points, Point{float64(n), float64(heap()-before) / 1024})
		startBytes, startCPU := c.bytes.Load(), cpu()
		time.Sleep(watch)
		bytes.Points = append(bytes.Points, Point{float64(n), float64(c.bytes.Load()-startBytes) / watch.Seconds()})
		work.Points = append(work.Points, Point{float64(n), float64((cpu() - startCPU).Microseconds()) / 1000 / watch.Seconds()})
		for _, l := range links {
			l.Close()
		}
		server.Stop()
		stop()
	}
	return []Series{bytes, work, memory}
}

func startSidecar(ctx context.Context, name string, l *events.Log, m *metrics.Metrics) (*grpc.Server, netip.AddrPort) {
	g := gate.NewGate("i", gate.Config{ColdLimit: 1, WarmLimit: 1}, func() (outcome.Reason, bool) { return "", false })
	server := peer.NewGRPCServer(insecure.NewCredentials())
	wire.RegisterSidecarServer(server, entry.NewServer(ctx, name, "i", g, nil, l, m))
	listener, at := listen()
	go func() { _ = server.Serve(listener) }()
	return server, at
}

// Exchanges measures one exchange of views over a kept connection: bytes and
// processor time of both ends.
func Exchanges() {
	const count = 5000
	c := &counter{}
	server := peer.NewGRPCServer(insecure.NewCredentials())
	wire.RegisterPeerServer(server, answering{})
	listener, at := listen()
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	conn, err := c.dialer().Dial(at)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = conn.Close() }()
	client := wire.NewPeerClient(conn)
	summary := &wire.ViewSummary{Instance: "sidecar-drafter-100", FailureDomain: "khomas-a", BundleVersion: 12345, OrdersDigest: make([]byte, 32)}
	if _, err := client.Exchange(context.Background(), summary); err != nil {
		fmt.Println(err)
		return
	}
	startBytes, startCPU := c.bytes.Load(), cpu()
	for range count {
		_, _ = client.Exchange(context.Background(), summary)
	}
	fmt.Printf("\none exchange of views, nothing new: %d B, %.1f µs processor time of both ends (%d exchanges)\n",
		(c.bytes.Load()-startBytes)/count, float64((cpu()-startCPU).Microseconds())/count, count)
}

type answering struct{ wire.UnimplementedPeerServer }

// Exchange answers that nothing is new.
func (answering) Exchange(context.Context, *wire.ViewSummary) (*wire.ViewUpdate, error) {
	return &wire.ViewUpdate{Instance: "sidecar-drafter-200", FailureDomain: "khomas-b", BundleVersion: 12345,
		OrdersDigest: make([]byte, 32), Fresh: true, Age: peer.DurationToWire(1234567 * time.Microsecond)}, nil
}
