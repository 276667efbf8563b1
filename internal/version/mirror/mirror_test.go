package mirror_test

import (
	"flag"
	"fmt"
	"maps"
	"slices"
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

// noOrder is the order of writes whose contents do not tell it.
func noOrder(mirror.Topic, table.Row, table.Row) bool { return false }

// grace is the grace period of a lapsed row with a margin for one sweep.
const grace = 2300 * time.Millisecond

// restoreGrace is the time for which mirrors may differ from a store that came back from
// a copy, with a margin for one sweep.
const restoreGrace = 10*time.Second + time.Second

// event is one event of a simulation: a row is written or removed, the store becomes
// unreachable or reachable for all processes or for one, or comes back from a copy, a
// process reads the store,
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
	restoreStore
	copyPeer
	copyChanges
)

const processes = 3

// weightedKinds repeats the kinds that must often follow each other without an
// outage between them.
var weightedKinds = append(repeat(3,
	writeRow, removeRow, storeDown, storeUp, storeUp, disconnect, reconnect, reconnect, pauseReading,
	readTable, watchChanges, watchChanges, watchChanges, copyPeer, copyPeer, copyPeer, copyChanges, copyChanges, copyChanges), restoreStore)

func repeat(times int, kinds ...int) []int {
	var all []int
	for range times {
		all = append(all, kinds...)
	}
	return all
}

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
	// states has the rows at each revision of an era, the present one last.
	states       [][]map[string]table.Row
	down         bool
	disconnected [processes]bool
	mirrors      [processes]*mirror.Mirror
	// lastFailure is the latest time at which the last call of any mirror had failed, or
	// its era changed; lastRestore is the latest time of the latter.
	lastFailure, lastRestore time.Time
	// revisions are the revisions of the mirrors at the last check.
	revisions [processes]table.Revision
	// used has the rows in use at the last check, and dropped the rows that were in use
	// before, with their revisions, since the era droppedEra began for the mirror.
	used, dropped [processes]map[string]table.Revision
	droppedEra    [processes]uint64
	// violation describes the last violation found.
	violation string
}

func (s *simulation) run(events []event) {
	s.states = [][]map[string]table.Row{{{}}}
	for i := range s.mirrors {
		s.mirrors[i] = mirror.NewMirror(noOrder)
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
	case restoreStore:
		present := s.states[s.era()]
		lost := min(e.row, len(present)-1)
		s.states = append(s.states, slices.Clone(present[:len(present)-lost]))
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
	era := s.era()
	states := s.states[era]
	next := maps.Clone(states[len(states)-1])
	revision := uint64(len(states))
	if present {
		next[key] = table.Row{Key: key, Value: fmt.Append(nil, era, revision), Revision: at(revision)}
	} else {
		delete(next, key)
	}
	s.states[era] = append(states, next)
}

// era returns the present era of the store.
func (s *simulation) era() uint64 { return uint64(len(s.states) - 1) }

// callStore makes one call of a process to the store.
func (s *simulation) callStore(m *mirror.Mirror, e event) {
	if s.down || s.disconnected[e.process] {
		m.RecordFailure()
		s.lastFailure = time.Now()
		return
	}
	states := s.states[s.era()]
	latest := uint64(len(states) - 1)
	current := rowsOf(states[latest], s.era())
	revision := table.Revision{Era: s.era(), Number: latest}
	since, known := m.Revision(mirror.Endpoints)
	m.RecordSuccess()
	if e.kind == readTable || !known || since.Era != s.era() {
		m.Replace(mirror.Endpoints, mirror.Snapshot{Rows: current, Revision: revision})
		return
	}
	d := mirror.Delta{Revision: revision}
	for _, row := range current {
		if row.After(since) {
			d.Changed = append(d.Changed, row)
		}
	}
	for revision := since.Number; revision < latest; revision++ {
		for key := range states[revision] {
			if _, ok := states[latest][key]; !ok {
				d.Removed = append(d.Removed, key)
			}
		}
	}
	m.Apply(mirror.Endpoints, d)
}

// rowsOf returns the rows of a state as the store responds with them in an era.
func rowsOf(state map[string]table.Row, era uint64) []table.Row {
	var rows []table.Row
	for _, row := range state {
		row.Era = era
		rows = append(rows, row)
	}
	return rows
}

// check checks that a mirror did not go back and equals the store.
func (s *simulation) check(i int) {
	snapshot, known := s.mirrors[i].Snapshot(mirror.Endpoints)
	if !known {
		return
	}
	if s.revisions[i].After(snapshot.Revision) {
		s.violation = fmt.Sprintf("process %d went back from revision %v to %v", i, s.revisions[i], snapshot.Revision)
	}
	if snapshot.Revision.Era > s.revisions[i].Era {
		s.lastRestore, s.lastFailure = time.Now(), time.Now()
	}
	s.revisions[i] = snapshot.Revision
	s.checkLapsed(i, snapshot)
	s.checkDropped(i, snapshot)
	if s.lastRestore.IsZero() || time.Since(s.lastRestore) > restoreGrace {
		s.checkRows(i, snapshot)
	}
}

// checkRows compares the rows of a mirror with the store's state at the mirror's revision.
func (s *simulation) checkRows(i int, snapshot mirror.Snapshot) {
	state := s.states[snapshot.Revision.Era][snapshot.Revision.Number]
	if len(snapshot.Rows) != len(state) {
		s.violation = fmt.Sprintf("process %d has %d rows at revision %d, the store had %d", i, len(snapshot.Rows), snapshot.Revision.Number, len(state))
	}
	for _, row := range snapshot.Rows {
		if string(state[row.Key].Value) != string(row.Value) {
			s.violation = fmt.Sprintf("process %d has another value of %s at revision %d than the store", i, row.Key, snapshot.Revision.Number)
		}
	}
}

// checkLapsed checks that lapsed rows last no longer than the grace period.
func (s *simulation) checkLapsed(i int, snapshot mirror.Snapshot) {
	if len(snapshot.Lapsed) > 0 && time.Since(s.lastFailure) > grace {
		s.violation = fmt.Sprintf("process %d still has %d lapsed rows %v after the last failed call", i, len(snapshot.Lapsed), time.Since(s.lastFailure))
	}
}

// checkDropped checks that a row that a mirror has dropped does not come back unless it
// was written again or the store came back from a copy.
func (s *simulation) checkDropped(i int, snapshot mirror.Snapshot) {
	if s.dropped[i] == nil || snapshot.Revision.Era != s.droppedEra[i] {
		s.dropped[i], s.droppedEra[i], s.used[i] = map[string]table.Revision{}, snapshot.Revision.Era, nil
	}
	used := map[string]table.Revision{}
	for _, row := range snapshot.All() {
		used[row.Key] = row.Revision
		if at, ok := s.dropped[i][row.Key]; ok && !row.After(at) {
			s.violation = fmt.Sprintf("process %d uses %s of revision %v again, which it had dropped", i, row.Key, row.Revision)
		}
	}
	for key, revision := range s.used[i] {
		if _, ok := used[key]; !ok {
			s.dropped[i][key] = revision
		}
	}
	// A withheld row is to be used later.
	for _, w := range snapshot.Withheld {
		delete(s.dropped[i], w.Row.Key)
	}
	s.used[i] = used
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
		source, target := mirror.NewMirror(noOrder), mirror.NewMirror(noOrder)
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
		source := mirror.NewMirror(noOrder)
		source.Replace(mirror.Endpoints, mirror.Snapshot{Rows: []table.Row{{Key: "a", Revision: at(1)}}, Revision: at(9)})
		snapshot, _ := source.SnapshotSince(mirror.Endpoints, at(8))
		Expect(snapshot.Since).To(BeZero())
		Expect(snapshot.Rows).To(HaveLen(1))
	})

	It("keep rows for the grace period that are missing in a copy after an outage in which they paused", func() {
		synctest.Test(suite, func(*testing.T) {
			m := mirror.NewMirror(noOrder)
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
			one, two := mirror.NewMirror(noOrder), mirror.NewMirror(noOrder)
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
			connected, disconnected := mirror.NewMirror(noOrder), mirror.NewMirror(noOrder)
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

	It("do not use a dropped row again that lapsed at a mirror that learned of the removal late", func() {
		synctest.Test(suite, func(*testing.T) {
			calm, waking := mirror.NewMirror(noOrder), mirror.NewMirror(noOrder)
			row := table.Row{Key: "e", Revision: at(1)}
			for _, m := range []*mirror.Mirror{calm, waking} {
				m.RecordSuccess()
				m.Replace(mirror.Endpoints, mirror.Snapshot{Rows: []table.Row{row}, Revision: at(1)})
			}
			time.Sleep(grace)
			calm.Apply(mirror.Endpoints, mirror.Delta{Removed: []string{"e"}, Revision: at(2)})
			waking.RecordFailure()
			waking.Replace(mirror.Endpoints, mirror.Snapshot{Revision: at(3)})
			snapshot, _ := waking.Snapshot(mirror.Endpoints)
			Expect(snapshot.Lapsed).To(HaveLen(1))
			Expect(calm.Replace(mirror.Endpoints, snapshot)).To(BeTrue())
			remaining, _ := calm.Snapshot(mirror.Endpoints)
			Expect(remaining.All()).To(BeEmpty())
		})
	})

	DescribeTable("use a row that lapsed at another mirror if they have not dropped it", func(revision table.Revision, rows ...table.Row) {
		m := mirror.NewMirror(noOrder)
		if revision.Number > 0 {
			m.Replace(mirror.Endpoints, mirror.Snapshot{Rows: rows, Revision: revision})
		}
		lapsed := mirror.TimedRow{Row: table.Row{Key: "e", Revision: at(5)}, Remaining: time.Second}
		Expect(m.Replace(mirror.Endpoints, mirror.Snapshot{Lapsed: []mirror.TimedRow{lapsed}, Revision: at(9)})).To(BeTrue())
		got, _ := m.Snapshot(mirror.Endpoints)
		Expect(got.All()).To(HaveLen(1))
		for _, row := range rows {
			Expect(row.After(got.Lapsed[0].Row.Revision)).To(BeFalse(), "an older content comes back")
		}
	},
		Entry("without a copy", at(0)), Entry("they still have it", at(6), table.Row{Key: "e", Revision: at(5)}),
		Entry("they have a later content", at(7), table.Row{Key: "e", Revision: at(6)}),
		Entry("it was written and removed later", at(4)), Entry("it was written again later", at(4), table.Row{Key: "e", Revision: at(3)}))
})
