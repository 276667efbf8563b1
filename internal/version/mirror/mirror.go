// Package mirror holds a process's copies of tables in the platform's store. The
// revision of a copy never decreases, whether updates come from the store or from
// another process.
package mirror

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/internal/table"
)

// Topic names a mirrored table.
type Topic string

// Topics.
const (
	// Intent has the operators' configuration and the failure domains that they
	// hold.
	Intent Topic = "intent"
	// Endpoints has the endpoints' announcements.
	Endpoints Topic = "endpoints"
)

// Topics returns every topic.
func Topics() []Topic { return []Topic{Intent, Endpoints} }

// Snapshot is a table at a revision: the complete one, or what changed after an
// earlier revision.
type Snapshot struct {
	// Since is that earlier revision; zero for a complete table.
	Since table.Revision
	// Rows are all rows, or those that changed after Since.
	Rows []table.Row
	// Removed are the keys of rows removed after Since; empty in a complete table.
	Removed []string
	// Lapsed are removed rows that remain in use for a grace period.
	Lapsed []TimedRow
	// Withheld are rows that are not in use for a while, since they had been removed
	// before the store came back from a copy.
	Withheld []TimedRow
	Revision table.Revision
	// Authoritative is true if the process that read the table has reached the store
	// for so long that no row is missing because of an outage.
	Authoritative bool
}

// TimedRow is a row whose state ends after some time.
type TimedRow struct {
	Row table.Row
	// Remaining is the rest of that time.
	Remaining time.Duration
}

// Complete reports whether the snapshot has the whole table.
func (s Snapshot) Complete() bool { return s.Since == table.Revision{} }

// All returns the rows including the lapsed ones.
func (s Snapshot) All() []table.Row {
	all := slices.Clone(s.Rows)
	for _, l := range s.Lapsed {
		all = append(all, l.Row)
	}
	return all
}

// Delta is the changes of a table up to a revision.
type Delta struct {
	Changed []table.Row
	// Removed are the keys of removed rows.
	Removed  []string
	Revision table.Revision
}

// maxRemovals is the number of removed keys that a copy remembers for partial
// snapshots, and of removed rows for restores.
const maxRemovals = 4096

// lapseGrace is how long an endpoint's row may be missing after the store is
// reachable again. An endpoint that is alive writes its row again within about two
// seconds.
const lapseGrace = 2200 * time.Millisecond

// topicCopy is the copy of one topic.
type topicCopy struct {
	// known is false before the first snapshot.
	known    bool
	revision table.Revision
	rows     map[string]table.Row
	// lapsed has rows that were removed while the store was unreachable or shortly
	// after.
	lapsed map[string]timed
	// removals holds the keys of removed rows with the revision of the copy at their
	// removal, if that is later than removalsSince.
	removals      map[string]table.Revision
	removalsSince table.Revision
	// restoredAt is when the copy first belonged to the present era, if it belonged to
	// an earlier one before.
	restoredAt time.Time
	// removedRows has the last content of removed rows, which a copy of the store may
	// bring back.
	removedRows map[string]table.Row
	// withheld has rows that came back with a copy of the store.
	withheld map[string]timed
}

// timed is a row with the end of its state. A later outage extends the grace period of
// a lapsed row.
type timed struct {
	row   table.Row
	until time.Time
}

// Mirror holds the copies of all topics. It is safe for concurrent use.
type Mirror struct {
	writeOrder WriteOrder

	mu     sync.Mutex
	topics map[Topic]*topicCopy
	// reachableSince is the time of the first successful call to the store since the
	// start or since the last failed call. recoveredAt is the same, but zero while no
	// call has failed. A failed call before a pause has no effect on either.
	reachableSince, recoveredAt time.Time
	// lastCallFailed is true from a failed call to the next successful one. paused
	// is true while this process leaves reading the store to others.
	lastCallFailed, paused bool
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// NewMirror returns a mirror without copies.
func NewMirror(o WriteOrder) *Mirror {
	m := &Mirror{writeOrder: o, topics: map[Topic]*topicCopy{}, changed: make(chan struct{})}
	for _, t := range Topics() {
		m.topics[t] = &topicCopy{
			rows: map[string]table.Row{}, lapsed: map[string]timed{}, removals: map[string]table.Revision{},
			removedRows: map[string]table.Row{}, withheld: map[string]timed{},
		}
	}
	return m
}

// RecordFailure records a failed call to the store.
func (m *Mirror) RecordFailure() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastCallFailed = true
}

// RecordSuccess records a successful call to the store.
func (m *Mirror) RecordSuccess() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastCallFailed {
		m.recoveredAt = time.Now()
	}
	if m.lastCallFailed || m.reachableSince.IsZero() {
		m.reachableSince = time.Now()
	}
	m.lastCallFailed, m.paused = false, false
}

// RecordPause records that this process leaves reading the store to others. An outage
// that it saw ends for it then.
func (m *Mirror) RecordPause() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastCallFailed {
		m.recoveredAt = time.Now()
	}
	m.lastCallFailed, m.paused = false, true
}

// authoritative reports whether this process has reached the store for so long that
// no row of a topic is missing because of an outage or a restore.
func (m *Mirror) authoritative(t Topic) bool {
	return !m.lastCallFailed && !m.paused && !m.reachableSince.IsZero() &&
		time.Since(m.reachableSince) > lapseGrace && time.Since(m.topics[t].restoredAt) > restoreGrace
}

// LastCallFailed reports whether the last call to the store failed.
func (m *Mirror) LastCallFailed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastCallFailed
}

// Revision returns the revision of a topic's copy, and false if there is no copy.
func (m *Mirror) Revision(t Topic) (table.Revision, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.topics[t]
	return c.revision, c.known
}

// Snapshot returns the copy of a topic with its rows in key order, and false if
// there is no copy.
func (m *Mirror) Snapshot(t Topic) (Snapshot, bool) { return m.SnapshotSince(t, table.Revision{}) }

// SnapshotSince is like Snapshot, but has only what changed after a revision, if the
// mirror knows that.
func (m *Mirror) SnapshotSince(t Topic, since table.Revision) (Snapshot, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.topics[t]
	s := Snapshot{Revision: c.revision, Authoritative: m.authoritative(t)}
	if since.Era == c.revision.Era && !c.removalsSince.After(since) {
		s.Since = since
	}
	for _, row := range c.rows {
		if row.After(s.Since) {
			s.Rows = append(s.Rows, row)
		}
	}
	if !s.Complete() {
		s.Removed = c.removedSince(s.Since)
	}
	for _, l := range c.lapsed {
		s.Lapsed = append(s.Lapsed, TimedRow{Row: l.row, Remaining: max(0, time.Until(m.graceEnd(l)))})
	}
	for _, w := range c.withheld {
		s.Withheld = append(s.Withheld, TimedRow{Row: w.row, Remaining: max(0, time.Until(w.until))})
	}
	slices.SortFunc(s.Rows, func(a, b table.Row) int { return strings.Compare(a.Key, b.Key) })
	return s, c.known
}

// removedSince returns the keys of the rows that were removed after a revision.
func (c *topicCopy) removedSince(revision table.Revision) []string {
	var keys []string
	for key, removedAt := range c.removals {
		if removedAt.After(revision) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Replace brings a copy to the revision of a snapshot. It reports false if the copy
// is at least as new, or older than the beginning of a partial snapshot.
func (m *Mirror) Replace(t Topic, s Snapshot) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.topics[t]
	if c.known && !s.Revision.After(c.revision) || !s.Complete() && (!c.known || s.Since.After(c.revision)) {
		return false
	}
	lapsed := c.acceptLapsed(s.Lapsed)
	restored := c.known && s.Revision.Era > c.revision.Era
	if restored {
		m.recordRestore(c)
	}
	if s.Complete() {
		// Rows may have come and gone since the copy's revision.
		c.forgetRemovals(s.Revision)
	}
	if s.Authoritative {
		clear(c.lapsed)
		c.useWithheld(time.Now().Add(restoreGrace))
	}
	for _, row := range s.Rows {
		if s.Authoritative {
			delete(c.removedRows, row.Key)
		}
		m.putRow(t, row)
	}
	for _, key := range c.missingFrom(s) {
		c.recordRemoval(key, s.Revision)
		switch {
		case s.Authoritative:
			delete(c.rows, key)
		case restored:
			c.keepLostRow(t, key)
		default:
			m.removeRow(t, key)
		}
	}
	for _, l := range lapsed {
		c.lapsed[l.Row.Key] = timed{row: l.Row, until: time.Now().Add(l.Remaining)}
	}
	c.applyWithheld(s)
	c.known, c.revision = true, s.Revision
	m.notify()
	return true
}

// acceptLapsed returns the lapsed rows of a newer snapshot that the copy is to use, before
// it takes over the snapshot. Another process may learn of removals later than this one:
// a row that the copy has dropped does not come back, nor does an older content of a row.
func (c *topicCopy) acceptLapsed(lapsed []TimedRow) []TimedRow {
	var accepted []TimedRow
	for _, l := range lapsed {
		known, inUse := c.rows[l.Row.Key]
		if before, ok := c.lapsed[l.Row.Key]; !inUse && ok {
			known, inUse = before.row, true
		}
		switch dropped := c.known && !inUse && !l.Row.After(c.revision); {
		case dropped:
			continue
		case inUse && known.After(l.Row.Revision):
			l.Row = known
		}
		accepted = append(accepted, l)
	}
	return accepted
}

// missingFrom returns the keys of the copy's rows that a newer snapshot does not have
// any more.
func (c *topicCopy) missingFrom(s Snapshot) []string {
	if !s.Complete() {
		return s.Removed
	}
	kept := map[string]bool{}
	for _, row := range s.Rows {
		kept[row.Key] = true
	}
	var missing []string
	for key := range c.rows {
		if !kept[key] {
			missing = append(missing, key)
		}
	}
	return missing
}

// recordRemoval remembers a removed key. If there are too many, it forgets them all.
func (c *topicCopy) recordRemoval(key string, revision table.Revision) {
	if len(c.removals) >= maxRemovals {
		c.forgetRemovals(revision)
	}
	c.removals[key] = revision
}

// forgetRemovals forgets the removed keys. Snapshots that begin before the revision
// are complete from then on.
func (c *topicCopy) forgetRemovals(revision table.Revision) {
	clear(c.removals)
	c.removalsSince = revision
}

// Apply applies changes to a copy. It reports false if there is no copy or if the
// copy is at least as new.
func (m *Mirror) Apply(t Topic, d Delta) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.topics[t]
	if !c.known || !d.Revision.After(c.revision) {
		return false
	}
	for _, row := range d.Changed {
		m.putRow(t, row)
	}
	for _, key := range d.Removed {
		c.recordRemoval(key, d.Revision)
		m.removeRow(t, key)
	}
	c.revision = d.Revision
	if len(d.Changed)+len(d.Removed) > 0 {
		m.notify()
	}
	return true
}

// putRow stores a row unless the copy has it at this revision or a later one. The row
// is no longer lapsed.
func (m *Mirror) putRow(t Topic, row table.Row) {
	c := m.topics[t]
	if known, ok := c.rows[row.Key]; ok && !row.After(known.Revision) {
		return
	}
	row, inUse := m.reconcile(t, row)
	if !inUse {
		return
	}
	c.rows[row.Key] = row
	delete(c.lapsed, row.Key)
	delete(c.withheld, row.Key)
	delete(c.removals, row.Key)
	delete(c.removedRows, row.Key)
}

// graceEnd returns the end of a lapsed row's grace period. While the store is
// unreachable, the period always begins now.
func (m *Mirror) graceEnd(l timed) time.Time {
	switch {
	case m.lastCallFailed:
		return time.Now().Add(lapseGrace)
	case m.recoveredAt.Add(lapseGrace).After(l.until):
		return m.recoveredAt.Add(lapseGrace)
	}
	return l.until
}

// removeRow removes a row. An endpoint's row that is removed while the store is
// unreachable or shortly after becomes a lapsed row.
func (m *Mirror) removeRow(t Topic, key string) {
	c := m.topics[t]
	row, ok := c.rows[key]
	c.forgetRow(key)
	if t == Intent {
		delete(c.lapsed, key)
	}
	if !ok || t != Endpoints {
		return
	}
	recoveredAt := m.recoveredAt
	if m.lastCallFailed {
		recoveredAt = time.Now()
	}
	if until := recoveredAt.Add(lapseGrace); time.Now().Before(until) {
		c.lapsed[key] = timed{row: row, until: until}
	}
}

// Sweep drops lapsed rows whose grace period has ended.
func (m *Mirror) Sweep() {
	m.mu.Lock()
	defer m.mu.Unlock()
	swept := false
	for _, c := range m.topics {
		for key, l := range c.lapsed {
			if !time.Now().Before(m.graceEnd(l)) {
				delete(c.lapsed, key)
				swept = true
			}
		}
		swept = c.useWithheld(time.Now()) || swept
	}
	if swept {
		m.notify()
	}
}

// notify wakes the waiters of Changed.
func (m *Mirror) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change.
func (m *Mirror) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}
