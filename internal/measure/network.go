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

// byteCounter counts the bytes that its connections send and receive.
type byteCounter struct{ bytes atomic.Int64 }

type countedConn struct {
	net.Conn
	counter *byteCounter
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

// dialer returns a dialer of counted connections without TLS.
func (c *byteCounter) dialer() *peer.Dialer {
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

// listen listens on a free loopback port.
func listen() (net.Listener, netip.AddrPort) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return l, netip.MustParseAddrPort(l.Addr().String())
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

type noopObserver struct{}

func (noopObserver) GateChanged(sidecar.GateState) {}
func (noopObserver) LinkDown()                     {}

// IdleLinkCosts measures the traffic, CPU time and memory of idle links to one
// sidecar, by the number of links, for both ends together.
func IdleLinkCosts() []Series {
	const observationTime = 10 * time.Second
	bytes := Series{Name: "idle links: traffic", Unit: "B/s", SizeUnit: "links", Target: 200}
	busy := Series{Name: "idle links: CPU time, both ends", Unit: "ms/s", SizeUnit: "links", Target: 200}
	memory := Series{Name: "idle links: memory, both ends", Unit: "KB", SizeUnit: "links", Target: 200}
	m, _ := metrics.NewMetrics()
	log := events.NewLog("panic", "measure")
	for _, n := range []int{10, 50, 200} {
		before := heapBytes()
		ctx, cancel := context.WithCancel(context.Background())
		c := &byteCounter{}
		links := []*sidecar.Link{}
		server, at := startSidecar(ctx, "endpoint", log, m)
		for range n {
			links = append(links, sidecar.NewLink("endpoint", "entry", at, c.dialer(), noopObserver{}, log, m))
		}
		time.Sleep(time.Second)
		memory.Points = append(memory.Points, Point{float64(n), float64(heapBytes()-before) / 1024})
		startBytes, startCPU := c.bytes.Load(), cpuTime()
		time.Sleep(observationTime)
		bytes.Points = append(bytes.Points, Point{float64(n), float64(c.bytes.Load()-startBytes) / observationTime.Seconds()})
		busy.Points = append(busy.Points, Point{float64(n), float64((cpuTime() - startCPU).Microseconds()) / 1000 / observationTime.Seconds()})
		for _, l := range links {
			l.Close()
		}
		server.Stop()
		cancel()
	}
	return []Series{bytes, busy, memory}
}

func startSidecar(ctx context.Context, name string, l *events.Log, m *metrics.Metrics) (*grpc.Server, netip.AddrPort) {
	g := gate.NewGate("i", gate.Config{ColdLimit: 1, WarmLimit: 1}, func() (outcome.Reason, bool) { return "", false })
	server := peer.NewGRPCServer(insecure.NewCredentials())
	wire.RegisterSidecarServer(server, entry.NewServer(ctx, name, "i", g, nil, l, m))
	listener, at := listen()
	go func() { _ = server.Serve(listener) }()
	return server, at
}

// PrintViewExchangeCost measures the bytes and the CPU time, of both ends together, of
// one exchange of views over an open connection if there is nothing new.
func PrintViewExchangeCost() {
	const count = 5000
	c := &byteCounter{}
	server := peer.NewGRPCServer(insecure.NewCredentials())
	wire.RegisterPeerServer(server, unchangedPeer{})
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
	startBytes, startCPU := c.bytes.Load(), cpuTime()
	for range count {
		_, _ = client.Exchange(context.Background(), summary)
	}
	fmt.Printf("\none exchange of views, nothing new: %d B, %.1f µs CPU time of both ends (%d exchanges)\n",
		(c.bytes.Load()-startBytes)/count, float64((cpuTime()-startCPU).Microseconds())/count, count)
}

// unchangedPeer is a peer whose view is the same as the caller's.
type unchangedPeer struct{ wire.UnimplementedPeerServer }

// Exchange implements wire.PeerServer.
func (unchangedPeer) Exchange(context.Context, *wire.ViewSummary) (*wire.ViewUpdate, error) {
	return &wire.ViewUpdate{Instance: "sidecar-drafter-200", FailureDomain: "khomas-b", BundleVersion: 12345,
		OrdersDigest: make([]byte, 32), Fresh: true, Age: peer.DurationToWire(1234567 * time.Microsecond)}, nil
}
