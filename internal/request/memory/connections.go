package memory

import (
	"container/list"
	"sync"
)

// overdraft is the part of its limit by which Connections may exceed it while stalled
// clients are being cut off.
const overdraft = 1.0 / 8

// Connections decides which connections of clients stay open. The load that it answers is
// a crowd that opens more connections than the process has descriptors or memory for.
// Beyond the limit, the connection without a request for longest is closed for a new one;
// then a stalled client is cut off; then the new connection is closed.
type Connections[K comparable] struct {
	limit int
	// cutOffStalled cuts off a stalled client and reports whether there was one.
	cutOffStalled func() bool

	mu sync.Mutex
	// open has the element in waiting of each connection, nil while it has a request.
	open map[K]*list.Element
	// waiting lists the connections without a request, the longest first.
	waiting *list.List
	closed  int64
}

// NewConnections returns Connections without any; limit is 0 for no limit.
func NewConnections[K comparable](limit int, cutOffStalled func() bool) *Connections[K] {
	return &Connections[K]{limit: limit, cutOffStalled: cutOffStalled, open: map[K]*list.Element{}, waiting: list.New()}
}

// Opened notes a new connection and returns the one to be closed, if any; that may be the
// new one.
func (c *Connections[K]) Opened(k K) (K, bool) {
	c.mu.Lock()
	c.open[k] = c.waiting.PushBack(k)
	over, room := c.limit > 0 && len(c.open) > c.limit, float64(len(c.open)) <= float64(c.limit)*(1+overdraft)
	if !over {
		c.mu.Unlock()
		return k, false
	}
	if longest := c.waiting.Front().Value.(K); longest != k {
		defer c.mu.Unlock()
		c.remove(longest)
		c.closed++
		return longest, true
	}
	c.mu.Unlock()
	if room && c.cutOffStalled() {
		return k, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remove(k)
	c.closed++
	return k, true
}

// Active notes that a request has begun on the connection.
func (c *Connections[K]) Active(k K) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.open[k]; e != nil {
		c.waiting.Remove(e)
		c.open[k] = nil
	}
}

// Idle notes that the connection has no request any more.
func (c *Connections[K]) Idle(k K) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.open[k]; ok && e == nil {
		c.open[k] = c.waiting.PushBack(k)
	}
}

// Ended notes that the connection is closed.
func (c *Connections[K]) Ended(k K) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remove(k)
}

// Open returns the number of open connections.
func (c *Connections[K]) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// Closed returns the number of connections that were closed for others.
func (c *Connections[K]) Closed() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

func (c *Connections[K]) remove(k K) {
	if e := c.open[k]; e != nil {
		c.waiting.Remove(e)
	}
	delete(c.open, k)
}
