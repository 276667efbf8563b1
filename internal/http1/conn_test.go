package http1

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// endedConn is a connection whose reads find its end. A write returns writeErr after
// writeTime, or a deadline error once a write deadline is set if writeErr is nil.
type endedConn struct {
	net.Conn
	writeTime time.Duration
	writeErr  error
	deadline  chan struct{}
}

func (*endedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *endedConn) Write([]byte) (int, error) {
	time.Sleep(c.writeTime)
	if c.writeErr == nil {
		<-c.deadline
		return 0, os.ErrDeadlineExceeded
	}
	return 0, &net.OpError{Op: "write", Err: os.NewSyscallError("write", c.writeErr)}
}

func (c *endedConn) SetWriteDeadline(time.Time) error {
	close(c.deadline)
	return nil
}

// readAfter returns the error of a read that begins some time after a write.
func readAfter(c *endedConn, delay time.Duration) error {
	c.deadline = make(chan struct{})
	checked := newConn(c)
	go func() { _, _ = checked.Write([]byte("request")) }()
	time.Sleep(delay)
	_, err := checked.Read(make([]byte, 1))
	return err
}

func TestReadAtTheEndOfAConnection(t *testing.T) {
	tests := []struct {
		name     string
		writeErr error
		reset    bool
	}{
		{"reset", syscall.ECONNRESET, true},
		{"timeout", syscall.ETIMEDOUT, true},
		{"host unreachable", syscall.EHOSTUNREACH, true},
		{"reset after an orderly end", syscall.EPIPE, false},
		{"write goes on", nil, false},
	}
	for _, test := range tests {
		for name, delay := range map[string]time.Duration{"write returned": 2 * time.Second, "write about to return": time.Millisecond} {
			t.Run(test.name+", "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					err := readAfter(&endedConn{writeTime: time.Second, writeErr: test.writeErr}, delay)
					expectEnd(t, err, test.reset, test.writeErr)
				})
			})
		}
	}
	t.Run("no write", func(t *testing.T) {
		_, err := newConn(&endedConn{deadline: make(chan struct{})}).Read(make([]byte, 1))
		expectEnd(t, err, false, nil)
	})
}

// expectEnd checks the error of a read at the end of a connection.
func expectEnd(t *testing.T, err error, reset bool, cause error) {
	t.Helper()
	var r *ResetError
	switch {
	case !reset && err != io.EOF: //nolint:errorlint // readers compare with io.EOF itself
		t.Errorf("Read() error = %v, want EOF", err)
	case reset && (!errors.As(err, &r) || !errors.Is(err, cause)):
		t.Errorf("Read() error = %v, want a ResetError of %v", err, cause)
	}
}
