// Package pace keeps how slow endpoints say that they are.
package pace

import (
	"sync"
	"time"
)

// life is how long a report counts. Endpoints are asked each second.
const life = 5 * time.Second

// Note is a report of one endpoint.
type Note struct {
	Endpoint string
	// Pace is the endpoint's time for its work as a multiple of the usual.
	Pace float64
	// At is when the report was made.
	At time.Time
}

// Board is safe for concurrent use.
type Board struct {
	mu    sync.RWMutex
	notes map[string]Note
}

// NewBoard returns an empty board.
func NewBoard() *Board { return &Board{notes: map[string]Note{}} }

// Put takes a report, unless a later one is known.
func (b *Board) Put(n Note) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n.Pace > 0 && n.At.After(b.notes[n.Endpoint].At) {
		b.notes[n.Endpoint] = n
	}
}

// Of returns the pace of an endpoint, 1 if nothing is known.
func (b *Board) Of(endpoint string) float64 {
	b.mu.RLock()
	defer b.mu.RUnlock()
	n, ok := b.notes[endpoint]
	if !ok || time.Since(n.At) > life {
		return 1
	}
	return n.Pace
}

// usual is the pace up to which an endpoint is not worth a word.
const usual = 1.05

// Slow returns the reports of endpoints that are slow or were lately, and drops
// those that no longer count.
func (b *Board) Slow() []Note {
	b.mu.Lock()
	defer b.mu.Unlock()
	var slow []Note
	for name, n := range b.notes {
		switch {
		case time.Since(n.At) > life:
			delete(b.notes, name)
		case n.Pace > usual:
			slow = append(slow, n)
		}
	}
	return slow
}
