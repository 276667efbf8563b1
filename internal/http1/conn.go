package http1

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// ResetError reports a connection that broke while a response was read from it.
type ResetError struct{ Cause error }

func (e *ResetError) Error() string { return "connection broke within a response: " + e.Cause.Error() }

// Unwrap returns the error of the write that met the break.
func (e *ResetError) Unwrap() error { return e.Cause }

// conn is a client's connection. The kernel reports a reset once, to a read or to a write;
// after a write got it, reads see an orderly end. On a conn, they see the reset as well.
//
// A conn can keep what it reads, since net/http drops fields of a head that contradict others.
type conn struct {
	net.Conn

	// writing holds a token while a write or a check of writeErr goes on.
	writing chan struct{}
	// writeErr is the error of the first write that failed. It is guarded by writing.
	writeErr error

	mu sync.Mutex
	// recording is true while what is read may belong to the head of a response.
	recording bool
	// received is what was read since the last call of record; nil after takeReceived.
	received []byte
}

func newConn(c net.Conn) *conn { return &conn{Conn: c, writing: make(chan struct{}, 1)} }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.keep(p[:n])
	if err == io.EOF { //nolint:errorlint // net.Conn returns io.EOF itself
		err = c.endOfInput()
	}
	return n, err
}

// endOfInput returns io.EOF if the peer ended the connection in order, else a *ResetError.
// It ends a write in progress, which may have met a reset but not returned yet: net/http
// sends no more of a request after the end of its response.
func (c *conn) endOfInput() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	switch {
	case c.writeErr == nil, errors.Is(c.writeErr, os.ErrDeadlineExceeded):
		return io.EOF
	case errors.Is(c.writeErr, syscall.EPIPE):
		// The peer ended its side first. A reset that follows concerns the request only.
		return io.EOF
	}
	return &ResetError{Cause: c.writeErr}
}

// record begins to keep what is read.
func (c *conn) record() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recording, c.received = true, nil
}

// keep adds what was read, if it is being kept.
func (c *conn) keep(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.recording {
		c.received = append(c.received, p...)
	}
}

// takeReceived ends keeping and returns what was read since record.
func (c *conn) takeReceived() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	received := c.received
	c.recording, c.received = false, nil
	return received
}
