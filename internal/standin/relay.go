package standin

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Relay passes TCP connections on and can cut, delay or silence them.
type Relay struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	conns []net.Conn
	// silent connections accept bytes and pass none; connections opened
	// later work.
	silent map[net.Conn]bool
	delay  time.Duration
	mode   RelayMode
	// back are the connections to the far side, whose bytes flow back.
	back map[net.Conn]bool
}

// RelayMode says what a Relay does with all connections, present and new.
type RelayMode int

// Modes. What is held back arrives once the mode ends, as after a lost packet.
const (
	// Forwarding passes everything on.
	Forwarding RelayMode = iota
	// Paused holds back the bytes of both directions.
	Paused
	// RepliesPaused holds back the bytes that flow back.
	RepliesPaused
	// Refusing closes new connections at once.
	Refusing
)

// modePause is the time between two looks whether a mode has ended.
const modePause = 5 * time.Millisecond

// SetMode sets the mode of all connections.
func (r *Relay) SetMode(m RelayMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
}

// await returns once the bytes of a connection may pass.
func (r *Relay) await(c net.Conn) {
	for {
		r.mu.Lock()
		held := r.mode == Paused || (r.mode == RepliesPaused && r.back[c])
		r.mu.Unlock()
		if !held {
			return
		}
		time.Sleep(modePause)
	}
}

// NewRelay starts relaying from a free loopback port to the address.
func NewRelay(listen, to string) (*Relay, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, to: to, silent: map[net.Conn]bool{}, back: map[net.Conn]bool{}}
	go r.acceptLoop()
	return r, nil
}

// Address returns the relay's own address.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close stops accepting and cuts all connections.
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
	clear(r.back)
}

// Blackhole makes all present connections swallow what they receive.
func (r *Relay) Blackhole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		r.silent[c] = true
	}
}

// SetDelay delays each chunk.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

func (r *Relay) acceptLoop() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.to)
		if err == nil && r.refuses() {
			_ = out.Close()
			err = net.ErrClosed
		}
		if err != nil {
			_ = in.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, in, out)
		r.back[out] = true
		r.mu.Unlock()
		go r.copy(in, out)
		go r.copy(out, in)
	}
}

func (r *Relay) copy(from, to net.Conn) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		silent, delay := r.state(from)
		time.Sleep(delay)
		r.await(from)
		if n > 0 && !silent {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if silent && errors.Is(err, io.EOF) {
				continue
			}
			return
		}
	}
}

func (r *Relay) refuses() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode == Refusing
}

func (r *Relay) state(c net.Conn) (bool, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.silent[c], r.delay
}
