package mirror

import (
	"bytes"
	"time"

	"github.com/cicadareel/cicadareel/internal/table"
)

// restoreGrace is how long a copy from which the store came back does not count against
// what was known before: writers write again what was lost.
const restoreGrace = 10 * time.Second

// WriteOrder reports whether the writer of two contents of a row wrote one before the
// other, by what the contents say of themselves; false if they do not tell.
type WriteOrder func(t Topic, one, other table.Row) bool

// recordRestore records that a copy's topic now belongs to a later era.
func (m *Mirror) recordRestore(c *topicCopy) {
	c.restoredAt = time.Now()
	m.reachableSince, m.recoveredAt = time.Now(), time.Now()
	clear(c.withheld)
}

// reconcile decides what is stored for a row of the store, and false if the row is not
// to be used yet. A row of an earlier era that was written later replaces its value; a
// row that was removed in an earlier era is withheld.
func (m *Mirror) reconcile(t Topic, row table.Row) (table.Row, bool) {
	c := m.topics[t]
	known, ok := c.rows[row.Key]
	if l, lapsed := c.lapsed[row.Key]; !ok && lapsed {
		known, ok = l.row, true
	}
	if ok {
		if known.Era < row.Era && m.writeOrder(t, row, known) {
			row.Value = known.Value
		}
		return row, true
	}
	removed, ok := c.removedRows[row.Key]
	if ok && removed.Era < row.Era && (isSameWrite(removed, row) || m.writeOrder(t, row, removed)) {
		c.withhold(row, restoreGrace)
		return table.Row{}, false
	}
	return row, true
}

// isSameWrite reports whether rows of two eras result from one write, which the copy of
// the store has preserved.
func isSameWrite(a, b table.Row) bool {
	return a.Number == b.Number && bytes.Equal(a.Value, b.Value)
}

// withhold keeps a row out of use for a time, or for the rest of its time if it is
// withheld already.
func (c *topicCopy) withhold(row table.Row, d time.Duration) {
	until := time.Now().Add(d)
	if before, ok := c.withheld[row.Key]; ok {
		until = before.until
	}
	c.withheld[row.Key] = timed{row: row, until: until}
}

// useWithheld puts the rows into use whose time ends by then, and reports whether there
// were any.
func (c *topicCopy) useWithheld(then time.Time) bool {
	used := false
	for key, w := range c.withheld {
		if then.Before(w.until) {
			continue
		}
		c.rows[key] = w.row
		delete(c.withheld, key)
		delete(c.removedRows, key)
		used = true
	}
	return used
}

// keepLostRow turns a row that the restored store does not have into a lapsed row.
func (c *topicCopy) keepLostRow(t Topic, key string) {
	row, ok := c.rows[key]
	c.forgetRow(key)
	if !ok {
		return
	}
	grace := restoreGrace
	if t == Endpoints {
		grace = lapseGrace
	}
	c.lapsed[key] = timed{row: row, until: time.Now().Add(grace)}
}

// applyWithheld applies the withheld rows of a newer snapshot.
func (c *topicCopy) applyWithheld(s Snapshot) {
	if s.Complete() {
		kept := map[string]bool{}
		for _, row := range s.Rows {
			kept[row.Key] = true
		}
		for key := range c.withheld {
			if !kept[key] {
				delete(c.withheld, key)
			}
		}
	}
	for _, w := range s.Withheld {
		delete(c.rows, w.Row.Key)
		delete(c.lapsed, w.Row.Key)
		c.withheld[w.Row.Key] = timed{row: w.Row, until: time.Now().Add(w.Remaining)}
	}
}

// forgetRow takes a row out of use and remembers its content. If there are too many
// removed rows, it forgets them all.
func (c *topicCopy) forgetRow(key string) {
	delete(c.withheld, key)
	row, ok := c.rows[key]
	if !ok {
		return
	}
	if len(c.removedRows) >= maxRemovals {
		clear(c.removedRows)
	}
	c.removedRows[key] = row
	delete(c.rows, key)
}
