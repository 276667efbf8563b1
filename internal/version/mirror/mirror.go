// Package mirror holds this process's copy of the tables in the platform's
// store that it follows. Copies only go forward, whether they come from the
// store or from another process.
package mirror

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/internal/table"
)

// Topic names a followed table.
type Topic string

// Topics.
const (
	// Intent holds the operators' configuration and holds.
	Intent Topic = "intent"
	// Endpoints holds what the endpoints say of themselves.
	Endpoints Topic = "endpoints"
)

// Topics returns every topic.
func Topics() []Topic { return []Topic{Intent, Endpoints} }

// Snapshot is a whole table at a revision.
type Snapshot struct {
	Rows []table.Row
	// Lapsed are rows that are gone and count for a little longer.
	Lapsed   []LapsedRow
	Revision uint64
	// Authoritative is true if whoever read the table has reached the store for so long
	// that rows are not missing because of an outage.
	Authoritative bool
}

// LapsedRow is a row that is gone.
type LapsedRow struct {
	Row table.Row
	// Remaining is how much longer the row counts.
	Remaining time.Duration
}

// All returns the rows with those that lapsed.
func (s Snapshot) All() []table.Row {
	all := slices.Clone(s.Rows)
	for _, l := range s.Lapsed {
		all = append(all, l.Row)
	}
	return all
}

// Delta is what changed in a table up to a revision.
type Delta struct {
	Changed []table.Row
	// Removed are the keys of rows that are gone.
	Removed  []string
	Revision uint64
}

// lapseGrace is how long an endpoint's row may be missing after the store's
// return: its writer is then back within about two seconds if it lives.
const lapseGrace = 2200 * time.Millisecond

// copyOf is the state of one topic.
type copyOf struct {
	known    bool
	revision uint64
	rows     map[string]table.Row
	// lapsed holds rows that went while the store was away, with the time until
	// which they count.
	lapsed map[string]lapse
}

type lapse struct {
	row   table.Row
	until time.Time
}

// Mirror is safe for concurrent use.
type Mirror struct {
	mu     sync.Mutex
	topics map[Topic]*copyOf
	// reached is the time of the first good call to the store, of all or after a
	// failed one, returned only of one after a failed one.
	reached, returned time.Time
	// away is true from a failed call to the next good one, resting while this
	// process leaves the store to others.
	away, resting bool
	// changed is closed and replaced with each change.
	changed chan struct{}
}

// NewMirror returns a mirror that knows nothing.
func NewMirror() *Mirror {
	m := &Mirror{topics: map[Topic]*copyOf{}, changed: make(chan struct{})}
	for _, t := range Topics() {
		m.topics[t] = &copyOf{rows: map[string]table.Row{}, lapsed: map[string]lapse{}}
	}
	return m
}

// RecordFailure notes a failed call to the store.
func (m *Mirror) RecordFailure() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.away = true
}

// RecordSuccess notes a good call to the store.
func (m *Mirror) RecordSuccess() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.away {
		m.returned = time.Now()
	}
	if m.away || m.reached.IsZero() {
		m.reached = time.Now()
	}
	m.away, m.resting = false, false
}

// RecordPause notes that this process leaves the store to others.
func (m *Mirror) RecordPause() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.away, m.resting = false, true
}

// settled reports whether this process has reached the store for long enough to
// know which rows are gone for good.
func (m *Mirror) settled() bool {
	return !m.away && !m.resting && !m.reached.IsZero() && time.Since(m.reached) > lapseGrace
}

// LastCallFailed reports whether the last call to the store failed.
func (m *Mirror) LastCallFailed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.away
}

// Revision returns the revision of a topic's copy, and false before the first.
func (m *Mirror) Revision(t Topic) (uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.topics[t]
	return c.revision, c.known
}

// Snapshot returns the rows of a topic in key order.
func (m *Mirror) Snapshot(t Topic) (Snapshot, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.topics[t]
	s := Snapshot{Revision: c.revision, Authoritative: m.settled()}
	for _, row := range c.rows {
		s.Rows = append(s.Rows, row)
	}
	for _, l := range c.lapsed {
		s.Lapsed = append(s.Lapsed, LapsedRow{Row: l.row, Remaining: max(0, time.Until(m.end(l)))})
	}
	slices.SortFunc(s.Rows, func(a, b table.Row) int { return strings.Compare(a.Key, b.Key) })
	return s, c.known
}

// Replace takes a whole table, unless the copy is as new.
func (m *Mirror) Replace(t Topic, s Snapshot) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.topics[t]
	if c.known && s.Revision <= c.revision {
		return false
	}
	if s.Authoritative {
		clear(c.lapsed)
	}
	kept := map[string]bool{}
	for _, row := range s.Rows {
		kept[row.Key] = true
		c.put(row)
	}
	for key := range c.rows {
		switch {
		case kept[key]:
		case s.Authoritative:
			delete(c.rows, key)
		default:
			m.remove(t, key)
		}
	}
	for _, l := range s.Lapsed {
		c.lapsed[l.Row.Key] = lapse{row: l.Row, until: time.Now().Add(l.Remaining)}
	}
	c.known, c.revision = true, s.Revision
	m.signal()
	return true
}

// Apply takes changes that follow the copy.
func (m *Mirror) Apply(t Topic, d Delta) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.topics[t]
	if !c.known || d.Revision <= c.revision {
		return false
	}
	for _, row := range d.Changed {
		c.put(row)
	}
	for _, key := range d.Removed {
		m.remove(t, key)
	}
	c.revision = d.Revision
	if len(d.Changed)+len(d.Removed) > 0 {
		m.signal()
	}
	return true
}

func (c *copyOf) put(row table.Row) {
	if row.Revision >= c.rows[row.Key].Revision {
		c.rows[row.Key] = row
		delete(c.lapsed, row.Key)
	}
}

// end returns the time until which a lapsed row counts: while the store is away,
// nobody knows how long that will be.
func (m *Mirror) end(l lapse) time.Time {
	switch {
	case m.away:
		return time.Now().Add(lapseGrace)
	case m.returned.Add(lapseGrace).After(l.until):
		return m.returned.Add(lapseGrace)
	}
	return l.until
}

// remove drops a row. An endpoint's row that went while the store was away, or
// just after, counts on for a while.
func (m *Mirror) remove(t Topic, key string) {
	c := m.topics[t]
	row, ok := c.rows[key]
	delete(c.rows, key)
	if !ok || t != Endpoints {
		return
	}
	back := m.returned
	if m.away {
		back = time.Now()
	}
	if until := back.Add(lapseGrace); time.Now().Before(until) {
		c.lapsed[key] = lapse{row: row, until: until}
	}
}

// Sweep forgets lapsed rows whose time is over.
func (m *Mirror) Sweep() {
	m.mu.Lock()
	defer m.mu.Unlock()
	swept := false
	for _, c := range m.topics {
		for key, l := range c.lapsed {
			if !time.Now().Before(m.end(l)) {
				delete(c.lapsed, key)
				swept = true
			}
		}
	}
	if swept {
		m.signal()
	}
}

func (m *Mirror) signal() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change.
func (m *Mirror) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}
