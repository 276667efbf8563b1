// Package tcp opens and accepts connections that show within seconds when
// their other end has fallen silent.
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
	// connectTimeout bounds opening a connection: one lost opening packet is
	// sent again after a second.
	connectTimeout = 1500 * time.Millisecond
	// probeInterval and probeCount find a peer that is gone without a word
	// within three seconds.
	probeInterval = time.Second
	probeCount    = 2
	// userTimeout bounds the time that sent bytes stay unacknowledged.
	userTimeout = 2 * time.Second
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount}

// NewDialer opens connections.
func NewDialer() *net.Dialer {
	return &net.Dialer{Timeout: connectTimeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

// Listen accepts connections at an address.
func Listen(at netip.AddrPort) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	l, err := c.Listen(context.Background(), "tcp", at.String())
	return l, oops.In("tcp").With("address", at.String()).Wrap(err)
}

// setUserTimeout sets what the kernel offers beyond keep-alive probes. A kernel that
// refuses leaves the probes, which find a silent peer too.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}
