package standin

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// Network is an in-memory network between addresses. A test can close, blackhole, pause
// and delay the connections to an address. All goroutines end when the connections are
// closed, as testing/synctest requires.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	// delays holds the one-way delay of each address.
	delays map[string]time.Duration
	// paused holds the paused addresses. Resume closes their channels.
	paused      map[string]chan struct{}
	connections []*connection
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network {
	return &Network{
		listeners: map[string]*listener{},
		delays:    map[string]time.Duration{},
		paused:    map[string]chan struct{}{},
	}
}

// Listen returns a listener for an address. It replaces an earlier listener.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{network: n, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Dial connects to an address. It fails if the address has no listener.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	c := newConnection(n, address)
	n.mu.Lock()
	n.connections = append(n.connections, c)
	n.mu.Unlock()
	select {
	case l.accepted <- c.server:
		return c.client, nil
	case <-l.closed:
	case <-ctx.Done():
	}
	c.close()
	return nil, &net.OpError{Op: "dial", Net: "tcp", Err: &net.AddrError{Err: "connection reset", Addr: address}}
}

// DialNetwork is Dial with the signature of net.Dialer.DialContext.
func (n *Network) DialNetwork(ctx context.Context, _, address string) (net.Conn, error) {
	return n.Dial(ctx, address)
}

// Disconnect closes the present connections to an address.
func (n *Network) Disconnect(address string) { n.forEachConnection(address, (*connection).close) }

// Blackhole makes the present connections to an address drop all bytes without
// closing. Later connections work.
func (n *Network) Blackhole(address string) { n.forEachConnection(address, (*connection).blackhole) }

// Pause holds back all bytes from and to an address, on present and new connections,
// until Resume delivers them.
func (n *Network) Pause(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused[address] == nil {
		n.paused[address] = make(chan struct{})
	}
}

// Resume ends the pause of an address and delivers the bytes.
func (n *Network) Resume(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if resumed := n.paused[address]; resumed != nil {
		close(resumed)
		delete(n.paused, address)
	}
}

// SetDelay sets the one-way delay of the bytes to and from an address.
func (n *Network) SetDelay(address string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[address] = d
}

// Close closes every connection.
func (n *Network) Close() {
	n.mu.Lock()
	connections := n.connections
	for address, resumed := range n.paused {
		close(resumed)
		delete(n.paused, address)
	}
	n.mu.Unlock()
	for _, c := range connections {
		c.close()
	}
}

// forEachConnection calls apply for each connection to an address.
func (n *Network) forEachConnection(address string, apply func(*connection)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.connections {
		if c.address == address {
			apply(c)
		}
	}
}

// faults returns the delay of an address and a channel that closes when its pause ends;
// nil if it is not paused.
func (n *Network) faults(address string) (time.Duration, chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delays[address], n.paused[address]
}

// listener implements net.Listener for one address.
type listener struct {
	network  *Network
	address  string
	accepted chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
		l.network.mu.Unlock()
		close(l.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// connection consists of two pipes, one for each side, and goroutines that forward
// bytes between them.
type connection struct {
	network *Network
	address string
	client  net.Conn
	server  net.Conn
	ends    []net.Conn

	once sync.Once
	done chan struct{}
	mu   sync.Mutex
	// dropping is true after blackhole.
	dropping bool
}

// chunk holds bytes and the time of their arrival.
type chunk struct {
	payload []byte
	arrives time.Time
}

const (
	// chunksInFlight is the number of chunks that wait for delivery, per direction.
	chunksInFlight = 4096
	// chunkBytes is the maximum size of a chunk.
	chunkBytes = 32 << 10
)

// newConnection starts a connection.
func newConnection(n *Network, address string) *connection {
	c := &connection{network: n, address: address, done: make(chan struct{})}
	var clientPeer, serverPeer net.Conn
	c.client, clientPeer = net.Pipe()
	serverPeer, c.server = net.Pipe()
	c.ends = []net.Conn{clientPeer, serverPeer, c.client, c.server}
	go c.forward(clientPeer, serverPeer)
	go c.forward(serverPeer, clientPeer)
	return c
}

// close closes both sides.
func (c *connection) close() {
	c.once.Do(func() {
		close(c.done)
		for _, end := range c.ends {
			_ = end.Close()
		}
	})
}

// blackhole drops all bytes from now on.
func (c *connection) blackhole() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropping = true
}

// blackholed reports whether the connection drops all bytes.
func (c *connection) blackholed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropping
}

// forward reads from one end and queues the bytes for delivery to the other.
func (c *connection) forward(from, to net.Conn) {
	chunks := make(chan chunk, chunksInFlight)
	defer close(chunks)
	go c.deliver(chunks, to)
	buffer := make([]byte, chunkBytes)
	for {
		size, err := from.Read(buffer)
		if err != nil {
			return
		}
		if c.blackholed() {
			continue
		}
		delay, _ := c.network.faults(c.address)
		p := chunk{payload: append([]byte(nil), buffer[:size]...), arrives: time.Now().Add(delay)}
		select {
		case chunks <- p:
		case <-c.done:
			return
		}
	}
}

// deliver writes the chunks in order, each at its time of arrival. At the end of the
// stream it closes the sender's end, unless the connection drops all bytes.
func (c *connection) deliver(chunks <-chan chunk, to net.Conn) {
	for p := range chunks {
		c.waitUntil(p.arrives)
		if c.blackholed() {
			continue
		}
		if _, err := to.Write(p.payload); err != nil {
			return
		}
	}
	// The receiver closes its own side, so that it reads the end of the stream.
	if !c.blackholed() {
		_ = to.Close()
	}
}

// waitUntil waits until t and then, if the address is paused, for the end of the pause.
func (c *connection) waitUntil(t time.Time) {
	if d := time.Until(t); d > 0 {
		select {
		case <-time.After(d):
		case <-c.done:
		}
	}
	_, paused := c.network.faults(c.address)
	if paused != nil {
		select {
		case <-paused:
		case <-c.done:
		}
	}
}
