package store

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"
)

const (
	// membersInterval is the shortest time between two reads of the instance
	// list by one process.
	membersInterval = time.Second
	// listBudget bounds the reads of the list per second of all processes.
	listBudget = 400
)

// Members keeps the last instance list that was read, merged with seeds while
// none was read yet.
type Members struct {
	mu   sync.Mutex
	list []Instance
	// leaving holds the names of leaving instances.
	leaving map[string]bool
	// changed is closed and replaced with each change of the list.
	changed chan struct{}
	done    sync.WaitGroup
}

// NewMembers starts reading the instance list until ctx ends. Seeds stand in
// until the first read succeeds.
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

func (m *Members) readLoop(ctx context.Context, source InstanceLister) {
	for {
		if list, err := source.List(ctx); err == nil {
			m.Replace(list)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(membersInterval, time.Duration(len(m.List()))*time.Second/listBudget)):
		}
	}
}

// Replace takes a newer instance list.
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

// List returns the known instances. The caller must not change the slice.
func (m *Members) List() []Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list
}

// Leaving reports whether the list says that the instance is leaving.
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
