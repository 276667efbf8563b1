package mirror_test

import (
	"flag"
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cicadareel/cicadareel/internal/table"
	"github.com/cicadareel/cicadareel/internal/version/mirror"
)

var suite *testing.T

func TestMirror(t *testing.T) {
	suite = t
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	RegisterFailHandler(Fail)
	RunSpecs(t, "mirror")
}

// at returns a revision of a store that never came back from a copy.
func at(number uint64) table.Revision { return table.Revision{Number: number} }

// grace is the grace period of a lapsed row with a margin for one sweep.
const grace = 2300 * time.Millisecond

// event is one event of a simulation: a row is written or removed, the store becomes
// unreachable or reachable for all processes or for one, a process reads the store,
// stops reading it, or copies the mirror of another process.
type event struct {
	kind, process, other, row int
	after                     time.Duration
}

const (
	writeRow = iota
	removeRow
	storeDown
	storeUp
	disconnect
	reconnect
	readTable
	watchChanges
	pauseReading
	copyPeer
	copyChanges
)

const processes = 3

// weightedKinds repeats the kinds that must often follow each other without an
// outage between them.
var weightedKinds = []int{writeRow, removeRow, storeDown, storeUp, storeUp, disconnect, reconnect, reconnect, pauseReading,
	readTable, watchChanges, watchChanges, watchChanges, copyPeer, copyPeer, copyPeer, copyChanges, copyChanges, copyChanges}

func drawEvent(t *rapid.T) event {
	return event{
		kind:    rapid.SampledFrom(weightedKinds).Draw(t, "kind"),
		process: rapid.IntRange(0, processes-1).Draw(t, "process"),
		other:   rapid.IntRange(0, processes-1).Draw(t, "other"),
		row:     rapid.IntRange(0, 3).Draw(t, "row"),
		after:   time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond,
	}
}

// simulation has a store that keeps all its states, and mirrors of it.
type simulation struct {
	// states has the rows at each revision.
	states       []map[string]table.Row
	down         bool
	disconnected [processes]bool
	mirrors      [processes]*mirror.Mirror
	// lastFailure is the latest time at which the last call of any mirror had failed.
	lastFailure time.Time
	// revisions are the revisions of the mirrors at the last check.
	revisions [processes]table.Revision
	// violation describes the last violation found.
	violation string
}

func (s *simulation) run(events []event) {
	s.states = []map[string]table.Row{{}}
	for i := range s.mirrors {
		s.mirrors[i] = mirror.NewMirror()
	}
	for _, e := range events {
		s.apply(e)
		for i := range s.mirrors {
			s.check(i)
		}
		time.Sleep(e.after)
		for _, m := range s.mirrors {
			if m.LastCallFailed() {
				s.lastFailure = time.Now()
			}
			m.Sweep()
		}
	}
}

func (s *simulation) apply(e event) {
	m := s.mirrors[e.process]
	switch e.kind {
	case writeRow, removeRow:
		if !s.down {
			s.change(fmt.Sprint("row", e.row), e.kind == writeRow)
		}
	case storeDown, storeUp:
		s.down = e.kind == storeDown
	case disconnect, reconnect:
		s.disconnected[e.process] = e.kind == disconnect
	case readTable, watchChanges:
		s.callStore(m, e)
	case pauseReading:
		m.RecordPause()
	case copyPeer:
		if snapshot, ok := s.mirrors[e.other].Snapshot(mirror.Endpoints); ok {
			m.Replace(mirror.Endpoints, snapshot)
		}
	case copyChanges:
		since, _ := m.Revision(mirror.Endpoints)
		if snapshot, ok := s.mirrors[e.other].SnapshotSince(mirror.Endpoints, since); ok {
			m.Replace(mirror.Endpoints, snapshot)
		}
	}
}

// change writes or removes a row of the store.
func (s *simulation) change(key string, present bool) {
	next := maps.Clone(s.states[len(s.states)-1])
	revision := uint64(len(s.states))
	if present {
		next[key] = table.Row{Key: key, Value: fmt.Append(nil, revision), Revision: at(revision)}
	} else {
		delete(next, key)
	}
	s.states = append(s.states, next)
}

// callStore makes one call of a process to the store.
func (s *simulation) callStore(m *mirror.Mirror, e event) {
	if s.down || s.disconnected[e.process] {
		m.RecordFailure()
		s.lastFailure = time.Now()
		return
	}
	latest := uint64(len(s.states) - 1)
	current := s.states[latest]
	since, known := m.Revision(mirror.Endpoints)
	m.RecordSuccess()
	if e.kind == readTable || !known {
		m.Replace(mirror.Endpoints, mirror.Snapshot{Rows: rowsOf(current), Revision: at(latest)})
		return
	}
	d := mirror.Delta{Revision: at(latest)}
	for _, row := range current {
		if row.After(since) {
			d.Changed = append(d.Changed, row)
		}
	}
	for revision := since.Number; revision < latest; revision++ {
		for key := range s.states[revision] {
			if _, ok := current[key]; !ok {
				d.Removed = append(d.Removed, key)
			}
		}
	}
	m.Apply(mirror.Endpoints, d)
}

func rowsOf(state map[string]table.Row) []table.Row {
	var rows []table.Row
	for _, row := range state {
		rows = append(rows, row)
	}
	return rows
}

// check compares a mirror with the store's state at the mirror's revision.
func (s *simulation) check(i int) {
	snapshot, known := s.mirrors[i].Snapshot(mirror.Endpoints)
	if !known {
		return
	}
	if s.revisions[i].After(snapshot.Revision) {
		s.violation = fmt.Sprintf("process %d went back from revision %v to %v", i, s.revisions[i], snapshot.Revision)
	}
	s.revisions[i] = snapshot.Revision
	state := s.states[snapshot.Revision.Number]
	if len(snapshot.Rows) != len(state) {
		s.violation = fmt.Sprintf("process %d has %d rows at revision %d, the store had %d", i, len(snapshot.Rows), snapshot.Revision.Number, len(state))
	}
	for _, row := range snapshot.Rows {
		if string(state[row.Key].Value) != string(row.Value) {
			s.violation = fmt.Sprintf("process %d has another value of %s at revision %d than the store", i, row.Key, snapshot.Revision.Number)
		}
	}
	if len(snapshot.Lapsed) > 0 && time.Since(s.lastFailure) > grace {
		s.violation = fmt.Sprintf("process %d still has %d lapsed rows %v after the last failed call", i, len(snapshot.Lapsed), time.Since(s.lastFailure))
	}
}

var _ = Describe("mirrors of a store", func() {
	It("never go back, equal the store at their revision and drop lapsed rows after the grace period", func() {
		rapid.Check(suite, func(t *rapid.T) {
			s := &simulation{}
			events := rapid.SliceOfN(rapid.Custom(drawEvent), 80, 160).Draw(t, "steps")
			synctest.Test(suite, func(*testing.T) { s.run(events) })
			if s.violation != "" {
				t.Fatal(s.violation)
			}
		})
	})

	It("copy only what changed", func() {
		source, target := mirror.NewMirror(), mirror.NewMirror()
		rows := []table.Row{{Key: "a", Revision: at(1)}, {Key: "b", Revision: at(2)}, {Key: "c", Revision: at(3)}}
		source.Replace(mirror.Endpoints, mirror.Snapshot{Rows: rows, Revision: at(3)})
		complete, _ := source.SnapshotSince(mirror.Endpoints, at(0))
		target.Replace(mirror.Endpoints, complete)
		source.Apply(mirror.Endpoints, mirror.Delta{Changed: []table.Row{{Key: "b", Revision: at(4)}}, Removed: []string{"c"}, Revision: at(5)})
		changes, _ := source.SnapshotSince(mirror.Endpoints, at(3))
		Expect(changes.Rows).To(Equal([]table.Row{{Key: "b", Revision: at(4)}}))
		Expect(changes.Removed).To(Equal([]string{"c"}))
		Expect(target.Replace(mirror.Endpoints, changes)).To(BeTrue())
		copied, _ := target.Snapshot(mirror.Endpoints)
		expected, _ := source.Snapshot(mirror.Endpoints)
		Expect(copied.Rows).To(Equal(expected.Rows))
	})

	It("send a complete table where removals are not known", func() {
		source := mirror.NewMirror()
		source.Replace(mirror.Endpoints, mirror.Snapshot{Rows: []table.Row{{Key: "a", Revision: at(1)}}, Revision: at(9)})
		snapshot, _ := source.SnapshotSince(mirror.Endpoints, at(8))
		Expect(snapshot.Since).To(BeZero())
		Expect(snapshot.Rows).To(HaveLen(1))
	})

	It("keep rows for the grace period that are missing in a copy after an outage in which they paused", func() {
		synctest.Test(suite, func(*testing.T) {
			m := mirror.NewMirror()
			m.RecordSuccess()
			m.Replace(mirror.Endpoints, mirror.Snapshot{Rows: []table.Row{{Key: "e", Revision: at(1)}}, Revision: at(1)})
			time.Sleep(grace)
			m.RecordFailure()
			m.RecordPause()
			m.Replace(mirror.Endpoints, mirror.Snapshot{Revision: at(2)})
			snapshot, _ := m.Snapshot(mirror.Endpoints)
			Expect(snapshot.Lapsed).To(HaveLen(1))
			time.Sleep(grace)
			m.Sweep()
			snapshot, _ = m.Snapshot(mirror.Endpoints)
			Expect(snapshot.All()).To(BeEmpty())
		})
	})

	It("do not lengthen each other's grace period of a lapsed row", func() {
		synctest.Test(suite, func(*testing.T) {
			one, two := mirror.NewMirror(), mirror.NewMirror()
			row := table.Row{Key: "e", Revision: at(1)}
			one.Replace(mirror.Endpoints, mirror.Snapshot{Rows: []table.Row{row}, Revision: at(1)})
			one.RecordFailure()
			one.RecordSuccess()
			one.Apply(mirror.Endpoints, mirror.Delta{Removed: []string{"e"}, Revision: at(2)})
			time.Sleep(2 * time.Second)
			snapshot, _ := one.Snapshot(mirror.Endpoints)
			two.Replace(mirror.Endpoints, snapshot)
			Expect(snapshot.Lapsed).To(HaveLen(1))
			time.Sleep(grace - 2*time.Second)
			two.Sweep()
			remaining, _ := two.Snapshot(mirror.Endpoints)
			Expect(remaining.Lapsed).To(BeEmpty())
		})
	})

	It("remove a row at once if a mirror that never lost the store has removed it", func() {
		synctest.Test(suite, func(*testing.T) {
			connected, disconnected := mirror.NewMirror(), mirror.NewMirror()
			row := table.Row{Key: "e", Revision: at(1)}
			for _, m := range []*mirror.Mirror{connected, disconnected} {
				m.RecordSuccess()
				m.Replace(mirror.Endpoints, mirror.Snapshot{Rows: []table.Row{row}, Revision: at(1)})
			}
			time.Sleep(grace)
			disconnected.RecordFailure()
			connected.Apply(mirror.Endpoints, mirror.Delta{Removed: []string{"e"}, Revision: at(2)})
			snapshot, _ := connected.Snapshot(mirror.Endpoints)
			disconnected.Replace(mirror.Endpoints, snapshot)
			remaining, _ := disconnected.Snapshot(mirror.Endpoints)
			Expect(remaining.All()).To(BeEmpty())
		})
	})
})
