package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Ending is how a RawServer goes on after a response: Reset, Close, HalfClose or KeepOpen.
type Ending interface{ isEnding() }

// Reset resets the connection while the body of the request is still being sent.
type Reset struct{}

// Close reads the body of the request and closes the connection.
type Close struct{}

// HalfClose ends the response at once, and resets the connection later without having read
// the body of the request.
type HalfClose struct{}

// KeepOpen reads the body of the request and serves further requests on the connection.
type KeepOpen struct{}

func (Reset) isEnding()     {}
func (Close) isEnding()     {}
func (HalfClose) isEnding() {}
func (KeepOpen) isEnding()  {}

// resetDelay is the time between the last byte that a RawServer sends and a reset. Requests
// with long bodies fill the buffers of the connection in that time.
const resetDelay = 5 * time.Millisecond

// RawServer responds to the head of each request with the same bytes, valid or not.
type RawServer struct {
	Response string
	Ending   Ending
	// Healthy makes GET requests, such as probes, get an empty response with status 200.
	Healthy  bool
	requests atomic.Int64
}

// Requests returns the number of requests that got Response.
func (s *RawServer) Requests() int { return int(s.requests.Load()) }

// Serve accepts connections until the listener is closed, and then closes them.
func (s *RawServer) Serve(l net.Listener) {
	var serving sync.WaitGroup
	connections := []net.Conn{}
	for {
		c, err := l.Accept()
		if err != nil {
			break
		}
		connections = append(connections, c)
		serving.Go(func() { s.serveConnection(c) })
	}
	for _, c := range connections {
		_ = c.Close()
	}
	serving.Wait()
}

func (s *RawServer) serveConnection(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if s.Healthy && r.Method == http.MethodGet {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		s.requests.Add(1)
		if _, err := io.WriteString(c, s.Response); err != nil {
			return
		}
		switch s.Ending.(type) {
		case Reset:
			time.Sleep(resetDelay)
			reset(c)
			return
		case HalfClose:
			if half, ok := c.(interface{ CloseWrite() error }); ok {
				_ = half.CloseWrite()
			}
			time.Sleep(resetDelay)
			reset(c)
			return
		case Close:
			_, _ = io.Copy(io.Discard, r.Body)
			return
		case KeepOpen:
			_, _ = io.Copy(io.Discard, r.Body)
		}
	}
}

// reset closes a connection so that the peer gets a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// TestingT is the part of testing.TB that StartRawServer needs.
type TestingT interface {
	Helper()
	Cleanup(f func())
	Fatal(args ...any)
}

// StartRawServer serves on loopback until the test ends, and returns the address.
func StartRawServer(t TestingT, s *RawServer) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		s.Serve(l)
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-served
	})
	return netip.MustParseAddrPort(l.Addr().String())
}
