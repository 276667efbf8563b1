// Package tcp opens and accepts TCP connections that fail within seconds after
// the peer has become unreachable.
package tcp

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/samber/oops"
	"golang.org/x/sys/unix"
)

const (
	// connectTimeout leaves time for one retransmission of a lost SYN, which
	// follows after a second.
	connectTimeout = 1500 * time.Millisecond
	// With probeInterval and probeCount, keep-alive detects within three seconds
	// that an idle peer has become unreachable without closing the connection.
	probeInterval = time.Second
	probeCount    = 2
	// userTimeout is the longest time that sent data may stay unacknowledged.
	userTimeout = 2 * time.Second
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount}

// NewDialer returns a dialer with connectTimeout, keep-alive probes and
// userTimeout.
func NewDialer() *net.Dialer {
	return &net.Dialer{Timeout: connectTimeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

// NewBoundedDialer returns a dialer like NewDialer whose connections have receive and send
// buffers of the number of bytes; 0 for the system's.
func NewBoundedDialer(buffer int) *net.Dialer {
	d := NewDialer()
	d.Control = setBuffers(buffer)
	return d
}

// ListenBounded listens like Listen. Accepted connections have receive and send buffers of
// the number of bytes; 0 for the system's.
func ListenBounded(at netip.AddrPort, buffer int) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setBuffers(buffer)}
	l, err := c.Listen(context.Background(), "tcp", at.String())
	return l, oops.In("tcp").With("address", at.String()).Wrap(err)
}

// setBuffers sets what setUserTimeout sets, and the sizes of the buffers. If the kernel
// refuses, its own sizes apply.
func setBuffers(buffer int) func(network, address string, c syscall.RawConn) error {
	return func(network, address string, c syscall.RawConn) error {
		if err := setUserTimeout(network, address, c); err != nil || buffer == 0 {
			return err
		}
		return c.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, buffer)
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, buffer)
		})
	}
}

// Listen listens at an address. Accepted connections have keep-alive probes and
// userTimeout.
func Listen(at netip.AddrPort) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	l, err := c.Listen(context.Background(), "tcp", at.String())
	return l, oops.In("tcp").With("address", at.String()).Wrap(err)
}

// setUserTimeout sets TCP_USER_TIMEOUT, which also covers unacknowledged data. If
// the kernel refuses, the keep-alive probes still detect an unreachable peer.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}
