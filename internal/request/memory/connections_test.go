package memory_test

import (
	"testing"

	"github.com/cicadareel/cicadareel/internal/request/memory"
)

const connectionLimit = 16

// open opens connections with the numbers, which must all stay open.
func open(t *testing.T, c *memory.Connections[int], from, to int) {
	t.Helper()
	for k := from; k < to; k++ {
		if closed, ok := c.Opened(k); ok {
			t.Fatalf("connection %d closed when %d is opened", closed, k)
		}
	}
}

// expectClosed opens a connection and checks which one is closed for it.
func expectClosed(t *testing.T, c *memory.Connections[int], opened, want int) {
	t.Helper()
	closed, ok := c.Opened(opened)
	if !ok || closed != want {
		t.Errorf("closed connection %d (%v), want %d", closed, ok, want)
	}
}

func neverStalled() bool { return false }

func TestTheConnectionIdleForLongestIsClosed(t *testing.T) {
	c := memory.NewConnections[int](connectionLimit, neverStalled)
	open(t, c, 0, connectionLimit)
	c.Active(0)
	c.Active(1)
	c.Idle(0)
	expectClosed(t, c, 100, 2)
	c.Ended(2)
	expectClosed(t, c, 101, 3)
	if c.Open() != connectionLimit || c.Closed() != 2 {
		t.Errorf("%d open, %d closed, want %d and 2", c.Open(), c.Closed(), connectionLimit)
	}
}

func TestANewConnectionIsClosedIfAllOthersHaveRequests(t *testing.T) {
	c := memory.NewConnections[int](connectionLimit, neverStalled)
	open(t, c, 0, connectionLimit)
	for k := range connectionLimit {
		c.Active(k)
	}
	expectClosed(t, c, 100, 100)
	c.Idle(5)
	expectClosed(t, c, 101, 5)
}

func TestStalledClientsAreCutOffForNewConnections(t *testing.T) {
	cut := 0
	c := memory.NewConnections[int](connectionLimit, func() bool { cut++; return true })
	open(t, c, 0, connectionLimit)
	for k := range connectionLimit {
		c.Active(k)
	}
	for k := range 2 {
		open(t, c, 100+k, 101+k)
		c.Active(100 + k)
	}
	expectClosed(t, c, 200, 200)
	if cut != 2 {
		t.Errorf("%d clients cut off, want 2", cut)
	}
}

func TestConnectionsWithoutALimit(t *testing.T) {
	open(t, memory.NewConnections[int](0, neverStalled), 0, 1000)
}
