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

// grace is how long after an outage a missing row counts, with a margin for one
// sweep.
const grace = 2300 * time.Millisecond

// step is one thing that happens: a row is written or withdrawn, the store goes
// or returns for all or for one process, one reads, or one asks another.
type step struct {
	kind, process, other, row int
	after                     time.Duration
}

const (
	write = iota
	withdraw
	storeGoes
	storeReturns
	cut
	heal
	read
	watch
	rest
	ask
)

const processes = 3

// frequent repeats the kinds that must often follow each other undisturbed.
var frequent = []int{write, withdraw, storeGoes, storeReturns, storeReturns, cut, heal, heal, rest,
	read, watch, watch, watch, ask, ask, ask, ask, ask}

func drawStep(t *rapid.T) step {
	return step{
		kind:    rapid.SampledFrom(frequent).Draw(t, "kind"),
		process: rapid.IntRange(0, processes-1).Draw(t, "process"),
		other:   rapid.IntRange(0, processes-1).Draw(t, "other"),
		row:     rapid.IntRange(0, 3).Draw(t, "row"),
		after:   time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond,
	}
}

// world is a store that keeps all its states, and mirrors of it.
type world struct {
	// states holds the rows at each revision.
	states  []map[string]table.Row
	down    bool
	cut     [processes]bool
	mirrors [processes]*mirror.Mirror
	// lastAway is when any mirror was last away.
	lastAway time.Time
	seen     [processes]uint64
	broken   string
}

func (w *world) live(steps []step) {
	w.states = []map[string]table.Row{{}}
	for i := range w.mirrors {
		w.mirrors[i] = mirror.NewMirror()
	}
	for _, s := range steps {
		w.take(s)
		for i := range w.mirrors {
			w.check(i)
		}
		time.Sleep(s.after)
		for _, m := range w.mirrors {
			if m.LastCallFailed() {
				w.lastAway = time.Now()
			}
			m.Sweep()
		}
	}
}

func (w *world) take(s step) {
	m := w.mirrors[s.process]
	switch s.kind {
	case write, withdraw:
		if !w.down {
			w.change(fmt.Sprint("row", s.row), s.kind == write)
		}
	case storeGoes, storeReturns:
		w.down = s.kind == storeGoes
	case cut, heal:
		w.cut[s.process] = s.kind == cut
	case read, watch:
		w.follow(m, s)
	case rest:
		m.RecordPause()
	case ask:
		if theirs, ok := w.mirrors[s.other].Snapshot(mirror.Endpoints); ok {
			m.Replace(mirror.Endpoints, theirs)
		}
	}
}

func (w *world) change(key string, present bool) {
	next := maps.Clone(w.states[len(w.states)-1])
	revision := uint64(len(w.states))
	if present {
		next[key] = table.Row{Key: key, Value: fmt.Append(nil, revision), Revision: revision}
	} else {
		delete(next, key)
	}
	w.states = append(w.states, next)
}

// follow makes a call of a process to the store.
func (w *world) follow(m *mirror.Mirror, s step) {
	if w.down || w.cut[s.process] {
		m.RecordFailure()
		w.lastAway = time.Now()
		return
	}
	latest := uint64(len(w.states) - 1)
	now := w.states[latest]
	since, known := m.Revision(mirror.Endpoints)
	m.RecordSuccess()
	if s.kind == read || !known {
		m.Replace(mirror.Endpoints, mirror.Snapshot{Rows: rowsOf(now), Revision: latest})
		return
	}
	d := mirror.Delta{Revision: latest}
	for _, row := range now {
		if row.Revision > since {
			d.Changed = append(d.Changed, row)
		}
	}
	for revision := since; revision < latest; revision++ {
		for key := range w.states[revision] {
			if _, ok := now[key]; !ok {
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

// check compares a mirror with the state that the store had at its revision.
func (w *world) check(i int) {
	s, known := w.mirrors[i].Snapshot(mirror.Endpoints)
	if !known {
		return
	}
	if s.Revision < w.seen[i] {
		w.broken = fmt.Sprintf("process %d went back from revision %d to %d", i, w.seen[i], s.Revision)
	}
	w.seen[i] = s.Revision
	state := w.states[s.Revision]
	if len(s.Rows) != len(state) {
		w.broken = fmt.Sprintf("process %d has %d rows at revision %d, the store had %d", i, len(s.Rows), s.Revision, len(state))
	}
	for _, row := range s.Rows {
		if string(state[row.Key].Value) != string(row.Value) {
			w.broken = fmt.Sprintf("process %d has an other %s at revision %d", i, row.Key, s.Revision)
		}
	}
	if len(s.Lapsed) > 0 && time.Since(w.lastAway) > grace {
		w.broken = fmt.Sprintf("process %d still counts %d rows that are gone, %v after any outage", i, len(s.Lapsed), time.Since(w.lastAway))
	}
}

var _ = Describe("mirrors of a store", func() {
	It("go forward, hold what it held, and keep what is gone no longer than after an outage", func() {
		rapid.Check(suite, func(t *rapid.T) {
			w := &world{}
			steps := rapid.SliceOfN(rapid.Custom(drawStep), 80, 160).Draw(t, "steps")
			synctest.Test(suite, func(*testing.T) { w.live(steps) })
			if w.broken != "" {
				t.Fatal(w.broken)
			}
		})
	})

	It("do not lengthen each other's time for a lapsed row", func() {
		synctest.Test(suite, func(*testing.T) {
			one, two := mirror.NewMirror(), mirror.NewMirror()
			row := table.Row{Key: "e", Revision: 1}
			one.Replace(mirror.Endpoints, mirror.Snapshot{Rows: []table.Row{row}, Revision: 1})
			one.RecordFailure()
			one.RecordSuccess()
			one.Apply(mirror.Endpoints, mirror.Delta{Removed: []string{"e"}, Revision: 2})
			time.Sleep(2 * time.Second)
			told, _ := one.Snapshot(mirror.Endpoints)
			two.Replace(mirror.Endpoints, told)
			Expect(told.Lapsed).To(HaveLen(1))
			time.Sleep(grace - 2*time.Second)
			two.Sweep()
			left, _ := two.Snapshot(mirror.Endpoints)
			Expect(left.Lapsed).To(BeEmpty())
		})
	})

	It("take the word of one that has reached the store all the while", func() {
		synctest.Test(suite, func(*testing.T) {
			steady, cut := mirror.NewMirror(), mirror.NewMirror()
			row := table.Row{Key: "e", Revision: 1}
			for _, m := range []*mirror.Mirror{steady, cut} {
				m.RecordSuccess()
				m.Replace(mirror.Endpoints, mirror.Snapshot{Rows: []table.Row{row}, Revision: 1})
			}
			time.Sleep(grace)
			cut.RecordFailure()
			steady.Apply(mirror.Endpoints, mirror.Delta{Removed: []string{"e"}, Revision: 2})
			told, _ := steady.Snapshot(mirror.Endpoints)
			cut.Replace(mirror.Endpoints, told)
			left, _ := cut.Snapshot(mirror.Endpoints)
			Expect(left.All()).To(BeEmpty())
		})
	})
})
