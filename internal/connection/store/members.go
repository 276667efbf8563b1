package store

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"
)

const (
	// minListInterval is the shortest time between two reads of the instance
	// list by one process.
	minListInterval = time.Second
	// maxListReadsPerSecond bounds the reads of the list per second by all processes
	// together.
	maxListReadsPerSecond = 400
)

// Members keeps the last instance list read. Until the first read succeeds, the
// list consists of the configured seed addresses.
type Members struct {
	mu   sync.Mutex
	list []Instance
	// leaving holds the names of leaving instances.
	leaving map[string]bool
	// changed is closed and replaced with each change of the list.
	changed chan struct{}
	done    sync.WaitGroup
}

// NewMembers starts a goroutine that reads the instance list from source
// periodically until ctx ends.
func NewMembers(ctx context.Context, source InstanceLister, seeds []netip.AddrPort) *Members {
	m := &Members{changed: make(chan struct{})}
	for i, at := range seeds {
		m.list = append(m.list, Instance{Name: fmt.Sprintf("seed-%d", i), PeerAddress: at, State: StateLive})
	}
	m.done.Go(func() { m.readLoop(ctx, source) })
	return m
}

// Wait returns after the goroutine has ended.
func (m *Members) Wait() { m.done.Wait() }

// readLoop reads the instance list periodically. The interval grows with the list, so
// that all processes together stay within maxListReadsPerSecond.
func (m *Members) readLoop(ctx context.Context, source InstanceLister) {
	for {
		if list, err := source.List(ctx); err == nil {
			m.Replace(list)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(minListInterval, time.Duration(len(m.List()))*time.Second/maxListReadsPerSecond)):
		}
	}
}

// Replace sets the instance list and, if it differs from the last one, closes
// the channel of Changed.
func (m *Members) Replace(list []Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if equalLists(m.list, list) {
		return
	}
	m.list = list
	m.leaving = map[string]bool{}
	for _, i := range list {
		if i.State == StateLeaving {
			m.leaving[i.Name] = true
		}
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

func equalLists(a, b []Instance) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// List returns the known instances. The caller must not modify the slice.
func (m *Members) List() []Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list
}

// Leaving reports whether the instance's state in the list is leaving.
func (m *Members) Leaving(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving[name]
}

// Changed returns a channel that is closed at the next change of the list.
func (m *Members) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}
