package standin

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Relay forwards TCP connections to a server. A test can close, delay, pause or
// blackhole them.
type Relay struct {
	listener net.Listener
	server   string

	mu    sync.Mutex
	conns []net.Conn
	// blackholed holds the connections whose bytes are dropped. Later connections
	// work.
	blackholed map[net.Conn]bool
	delay      time.Duration
	mode       RelayMode
	// replying holds the connections to the server, on which the replies arrive.
	replying map[net.Conn]bool
}

// RelayMode is what a Relay does with all connections, present and new.
type RelayMode int

// Modes of a Relay. Bytes that are held back arrive when the mode ends, as after a
// packet loss.
const (
	// Forwarding forwards all bytes.
	Forwarding RelayMode = iota
	// Paused holds back the bytes of both directions.
	Paused
	// RepliesPaused holds back the bytes from the server.
	RepliesPaused
	// Refusing closes new connections at once.
	Refusing
)

// modeCheckInterval is the time between two checks whether a pause has ended.
const modeCheckInterval = 5 * time.Millisecond

// SetMode sets the mode of all connections.
func (r *Relay) SetMode(m RelayMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
}

// waitWhilePaused waits until the mode lets the bytes from a connection through.
func (r *Relay) waitWhilePaused(c net.Conn) {
	for {
		r.mu.Lock()
		paused := r.mode == Paused || (r.mode == RepliesPaused && r.replying[c])
		r.mu.Unlock()
		if !paused {
			return
		}
		time.Sleep(modeCheckInterval)
	}
}

// NewRelay starts forwarding connections from the listen address to the server at the
// address to.
func NewRelay(listen, to string) (*Relay, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, server: to, blackholed: map[net.Conn]bool{}, replying: map[net.Conn]bool{}}
	go r.acceptLoop()
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close stops accepting and closes all connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.Disconnect()
}

// Disconnect closes all present connections.
func (r *Relay) Disconnect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.conns = nil
	clear(r.replying)
}

// Blackhole makes all present connections drop the bytes that they receive.
func (r *Relay) Blackhole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		r.blackholed[c] = true
	}
}

// SetDelay sets the delay of each chunk of bytes.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// acceptLoop accepts connections and relays each over a new connection to the server.
func (r *Relay) acceptLoop() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.server)
		if err == nil && r.refusing() {
			_ = server.Close()
			err = net.ErrClosed
		}
		if err != nil {
			_ = client.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, client, server)
		r.replying[server] = true
		r.mu.Unlock()
		go r.copy(client, server)
		go r.copy(server, client)
	}
}

// copy forwards the bytes of one direction. A blackholed connection stays open at the end
// of its stream.
func (r *Relay) copy(from, to net.Conn) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		blackholed, delay := r.faults(from)
		time.Sleep(delay)
		r.waitWhilePaused(from)
		if n > 0 && !blackholed {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if blackholed && errors.Is(err, io.EOF) {
				continue
			}
			return
		}
	}
}

// refusing reports whether new connections are closed.
func (r *Relay) refusing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode == Refusing
}

// faults returns whether a connection is blackholed, and the delay.
func (r *Relay) faults(c net.Conn) (bool, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.blackholed[c], r.delay
}
