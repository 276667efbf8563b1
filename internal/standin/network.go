package standin

import (
	"context"
	"net"
	"sync"
	"time"
)

// Network is an in-memory network between addresses, whose connections can be
// cut, silenced, frozen and delayed. All its goroutines end once its
// connections are closed, so that it can be used with testing/synctest.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	// delays are one-way times by address.
	delays map[string]time.Duration
	frozen map[string]chan struct{}
	cables []*cable
}

// NewNetwork returns a network without addresses.
func NewNetwork() *Network {
	return &Network{
		listeners: map[string]*listener{},
		delays:    map[string]time.Duration{},
		frozen:    map[string]chan struct{}{},
	}
}

// Listen claims an address.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{network: n, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Dial connects to an address. It fails if nobody listens there.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: &net.AddrError{Err: "connection refused", Addr: address}}
	}
	c := newCable(n, address)
	n.mu.Lock()
	n.cables = append(n.cables, c)
	n.mu.Unlock()
	select {
	case l.accepted <- c.server:
		return c.client, nil
	case <-l.closed:
	case <-ctx.Done():
	}
	c.cut()
	return nil, &net.OpError{Op: "dial", Net: "tcp", Err: &net.AddrError{Err: "connection reset", Addr: address}}
}

// DialNetwork is Dial in the form of net.Dialer.DialContext.
func (n *Network) DialNetwork(ctx context.Context, _, address string) (net.Conn, error) {
	return n.Dial(ctx, address)
}

// Disconnect breaks the present connections to an address.
func (n *Network) Disconnect(address string) { n.each(address, (*cable).cut) }

// Blackhole makes the present connections to an address lose all bytes without
// closing; later ones work.
func (n *Network) Blackhole(address string) { n.each(address, (*cable).silence) }

// Pause holds back all bytes from and to an address, on present and new
// connections, until Thaw delivers them.
func (n *Network) Pause(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen[address] == nil {
		n.frozen[address] = make(chan struct{})
	}
}

// Resume ends a Freeze.
func (n *Network) Resume(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if gate := n.frozen[address]; gate != nil {
		close(gate)
		delete(n.frozen, address)
	}
}

// SetDelay sets the one-way time to and from an address.
func (n *Network) SetDelay(address string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[address] = d
}

// Close cuts every connection.
func (n *Network) Close() {
	n.mu.Lock()
	cables := n.cables
	for address, gate := range n.frozen {
		close(gate)
		delete(n.frozen, address)
	}
	n.mu.Unlock()
	for _, c := range cables {
		c.cut()
	}
}

func (n *Network) each(address string, f func(*cable)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.cables {
		if c.address == address {
			f(c)
		}
	}
}

func (n *Network) conditions(address string) (time.Duration, chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delays[address], n.frozen[address]
}

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

// cable is one connection: two pipes with pumps between them.
type cable struct {
	network *Network
	address string
	client  net.Conn
	server  net.Conn
	ends    []net.Conn

	once sync.Once
	done chan struct{}
	mu   sync.Mutex
	lost bool
}

// parcel is a chunk of bytes on its way.
type parcel struct {
	payload []byte
	arrives time.Time
}

const (
	parcelsInFlight = 4096
	parcelBytes     = 32 << 10
)

func newCable(n *Network, address string) *cable {
	c := &cable{network: n, address: address, done: make(chan struct{})}
	var near, far net.Conn
	c.client, near = net.Pipe()
	far, c.server = net.Pipe()
	c.ends = []net.Conn{near, far, c.client, c.server}
	go c.pump(near, far)
	go c.pump(far, near)
	return c
}

func (c *cable) cut() {
	c.once.Do(func() {
		close(c.done)
		for _, end := range c.ends {
			_ = end.Close()
		}
	})
}

func (c *cable) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = true
}

func (c *cable) silent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost
}

// pump reads from one end and starts the delivery to the other.
func (c *cable) pump(from, to net.Conn) {
	parcels := make(chan parcel, parcelsInFlight)
	defer close(parcels)
	go c.deliver(parcels, to)
	buffer := make([]byte, parcelBytes)
	for {
		size, err := from.Read(buffer)
		if err != nil {
			return
		}
		if c.silent() {
			continue
		}
		delay, _ := c.network.conditions(c.address)
		p := parcel{payload: append([]byte(nil), buffer[:size]...), arrives: time.Now().Add(delay)}
		select {
		case parcels <- p:
		case <-c.done:
			return
		}
	}
}

// deliver hands parcels over in order. When the sender closed, the whole
// connection ends, unless it is silent.
func (c *cable) deliver(parcels <-chan parcel, to net.Conn) {
	for p := range parcels {
		c.pauseUntil(p.arrives)
		if c.silent() {
			continue
		}
		if _, err := to.Write(p.payload); err != nil {
			return
		}
	}
	if !c.silent() {
		_ = to.Close()
		c.cut()
	}
}

func (c *cable) pauseUntil(t time.Time) {
	if d := time.Until(t); d > 0 {
		select {
		case <-time.After(d):
		case <-c.done:
		}
	}
	_, frozen := c.network.conditions(c.address)
	if frozen != nil {
		select {
		case <-frozen:
		case <-c.done:
		}
	}
}
