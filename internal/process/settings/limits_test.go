package settings

import "testing"

// TestLimitsOnCallers checks the limits of the smallest machine of the users' deployments
// and of a process without a memory limit.
func TestLimitsOnCallers(t *testing.T) {
	cases := []struct {
		name        string
		deployment  Deployment
		descriptors int64
		held        int64
		connections int
		socket      int
	}{
		{"smallest machine", Deployment{MemoryBytes: 136_000_000}, 2870, 34_000_000, 691, 32 << 10},
		{"few descriptors", Deployment{MemoryBytes: 136_000_000}, 320, 34_000_000, 120, 32 << 10},
		{"no memory limit", Deployment{}, 20000, 0, 7500, 0},
		{"set", Deployment{MemoryBytes: 136_000_000, HeldBytes: 5 << 20, MaxConnections: 7, SocketBytes: 9000}, 2870, 5 << 20, 7, 9000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := c.deployment.HeldCapacity(); got != c.held {
				t.Errorf("HeldCapacity() = %d, want %d", got, c.held)
			}
			if got := c.deployment.ConnectionLimit(c.descriptors); got != c.connections {
				t.Errorf("ConnectionLimit(%d) = %d, want %d", c.descriptors, got, c.connections)
			}
			if got := c.deployment.SocketBuffer(); got != c.socket {
				t.Errorf("SocketBuffer() = %d, want %d", got, c.socket)
			}
		})
	}
}
