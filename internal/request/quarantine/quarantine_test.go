package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// testEntry is a tracker that records its changes.
type testEntry struct {
	*Tracker
	suspected, trials, cleared int
}

func newTestEntry(name string) *testEntry {
	e := &testEntry{}
	e.Tracker = NewTracker(name, func(change Change) {
		switch change.(type) {
		case Suspected:
			e.suspected++
		case TrialBegun:
			e.trials++
		case Cleared:
			e.cleared++
		}
	})
	return e
}

func (e *testEntry) crash(endpoint string, waited time.Duration, parts ...string) {
	e.RecordCrash(Crash{Endpoint: endpoint, Parts: parts, Waited: waited})
}

func (e *testEntry) allows(parts ...string) bool { return e.Decide(parts).Allowed }

// exchange makes two entries tell each other what they know, over links with a delay.
func exchange(a, b *testEntry, delay time.Duration) {
	for _, pair := range [][2]*testEntry{{a, b}, {b, a}} {
		records := pair[0].Records()
		// Ages are relative to the time of sending, so that times get later by the delay.
		for i := range records {
			for _, at := range []*time.Time{&records[i].LastCrash, &records[i].PreviousCrash, &records[i].LastAnswer, &records[i].LastTrial} {
				if !at.IsZero() {
					*at = at.Add(delay)
				}
			}
		}
		time.Sleep(delay)
		pair[1].Merge(records)
	}
}

// test runs a body with the fake clock.
func test(t *testing.T, name string, body func(g Gomega)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { body(NewWithT(t)) })
	})
}

const waited = 200 * time.Millisecond

func TestSuspicion(t *testing.T) {
	test(t, "of a part without an answer, but not of one with an answer", func(g Gomega) {
		e := newTestEntry("a")
		e.RecordAnswer([]string{"shared"})
		time.Sleep(time.Second)
		e.crash("e1", waited, "shared", "bad")
		g.Expect(e.allows("shared", "bad")).To(BeFalse())
		g.Expect(e.allows("shared", "other")).To(BeTrue())
		g.Expect(e.Decide([]string{"bad"})).To(And(HaveField("Part", "bad"), HaveField("RetryAfter", BeNumerically(">=", firstBlock))))
	})
	test(t, "of a part with answers before, after two crashes without one between", func(g Gomega) {
		e := newTestEntry("a")
		e.RecordAnswer([]string{"turned"})
		time.Sleep(time.Minute)
		e.crash("e1", waited, "turned")
		g.Expect(e.allows("turned")).To(BeTrue())
		time.Sleep(5 * time.Second)
		e.crash("e2", waited, "turned")
		g.Expect(e.allows("turned")).To(BeFalse())
	})
	test(t, "not of a part with an answer between two crashes", func(g Gomega) {
		e := newTestEntry("a")
		for range 4 {
			e.RecordAnswer([]string{"shared"})
			time.Sleep(5 * time.Second)
			e.crash("e1", waited, "shared")
			time.Sleep(5 * time.Second)
		}
		g.Expect(e.allows("shared")).To(BeTrue())
	})
	test(t, "of the known part alone, if a request has one", func(g Gomega) {
		e := newTestEntry("a")
		e.crash("e1", waited, "bad")
		e.crash("e2", waited, "new", "bad")
		g.Expect(e.allows("new")).To(BeTrue())
	})
	test(t, "of several requests of one crash, most of the one that waited longest", func(g Gomega) {
		e := newTestEntry("a")
		e.crash("e1", waited/4, "young")
		e.crash("e1", waited, "old")
		time.Sleep(2 * shortBlock)
		g.Expect(e.allows("young")).To(BeTrue())
		g.Expect(e.allows("old")).To(BeFalse())
	})
	test(t, "of a new part at two endpoints that crash at once is no stronger than at one", func(g Gomega) {
		e := newTestEntry("a")
		for _, endpoint := range []string{"e1", "e2"} {
			e.crash(endpoint, waited/4, "young")
			e.crash(endpoint, waited, "old "+endpoint)
			time.Sleep(waited)
		}
		time.Sleep(2 * shortBlock)
		g.Expect(e.allows("young")).To(BeTrue())
	})
	test(t, "of several new parts of one request, most of the last", func(g Gomega) {
		e := newTestEntry("a")
		e.crash("e1", waited, "first", "last")
		g.Expect(e.allows("first")).To(BeFalse())
		time.Sleep(2 * shortBlock)
		g.Expect(e.allows("first")).To(BeTrue())
		g.Expect(e.allows("last")).To(BeFalse())
	})
}

// numbered returns the names of many parts.
func numbered(prefix string, n int) []string {
	parts := make([]string, n)
	for i := range parts {
		parts[i] = fmt.Sprint(prefix, i)
	}
	return parts
}

func TestManyParts(t *testing.T) {
	const many = 4000
	test(t, "are suspected whatever their number and place", func(g Gomega) {
		for _, place := range []int{0, 64, many / 2, many - 1} {
			e := newTestEntry("a")
			sound := numbered("sound", many)
			e.RecordAnswer(sound)
			time.Sleep(time.Second)
			e.crash("e1", waited, slices.Insert(slices.Clone(sound), place, "bad")...)
			g.Expect(e.allows("bad")).To(BeFalse())
			g.Expect(e.allows(sound...)).To(BeTrue())
		}
	})
	test(t, "without an answer are all suspected, most the last one, and reported shortly", func(g Gomega) {
		e := newTestEntry("a")
		parts := numbered("new", many)
		e.crash("e1", waited, parts...)
		for _, part := range parts {
			g.Expect(e.allows(part)).To(BeFalse())
		}
		g.Expect(e.suspected).To(Equal(maxChanges))
		time.Sleep(2 * shortBlock)
		g.Expect(e.allows(parts[0])).To(BeTrue())
		g.Expect(e.allows(parts[many-1])).To(BeFalse())
	})
	test(t, "are told to others, the likeliest first", func(g Gomega) {
		a, b := newTestEntry("a"), newTestEntry("b")
		a.crash("e1", waited, numbered("new", many)...)
		g.Expect(a.Records()[0].Part).To(Equal(fmt.Sprint("new", many-1)))
		exchange(a, b, time.Millisecond)
		g.Expect(b.allows("new0")).To(BeFalse())
	})
	test(t, "that one entry alone suspects are corrected first by another one", func(g Gomega) {
		a, b := newTestEntry("a"), newTestEntry("b")
		parts := numbered("shared", many)
		b.RecordAnswer(parts)
		time.Sleep(time.Second)
		b.crash("e1", waited, append(numbered("bad", 10), parts...)...)
		a.crash("e1", waited, "shared7", "shared9")
		g.Expect(b.Records()[0].Part).To(HavePrefix("bad"))
		first := b.RecordsFor(a.Records())[:2]
		g.Expect(first).To(ConsistOf(HaveField("Part", "shared7"), HaveField("Part", "shared9")))
		a.Merge(first)
		g.Expect(a.allows("shared7", "shared9")).To(BeTrue())
	})
	test(t, "of several crashes leave the last ones if there are too many", func(g Gomega) {
		e := newTestEntry("a")
		for i := range 4 {
			e.crash(fmt.Sprint("e", i), waited, numbered(fmt.Sprint("crash", i, "-"), many)...)
			time.Sleep(time.Second)
		}
		g.Expect(len(e.Records())).To(BeNumerically("<=", maxRecords))
		g.Expect(e.allows("crash3-0")).To(BeFalse())
	})
}

func TestTrial(t *testing.T) {
	// due returns an entry whose block of the part "bad" is over.
	due := func() *testEntry {
		e := newTestEntry("a")
		e.crash("e1", waited, "bad")
		time.Sleep(2 * firstBlock)
		return e
	}
	test(t, "is one request at a time", func(g Gomega) {
		e := due()
		g.Expect(e.BeginTrial([]string{"bad"}).Trial).To(BeTrue())
		g.Expect(e.BeginTrial([]string{"bad"}).Allowed).To(BeFalse())
		g.Expect(e.allows("bad")).To(BeFalse())
		time.Sleep(trialTime)
		g.Expect(e.BeginTrial([]string{"bad"}).Trial).To(BeTrue())
		g.Expect(e.trials).To(Equal(2))
	})
	test(t, "clears the part with an answer", func(g Gomega) {
		e := due()
		e.BeginTrial([]string{"bad"})
		time.Sleep(waited)
		e.RecordAnswer([]string{"bad"})
		g.Expect(e.Decide([]string{"bad"})).To(Equal(Decision{Allowed: true}))
		g.Expect(e.cleared).To(Equal(1))
	})
	test(t, "makes the block longer with a crash", func(g Gomega) {
		e := due()
		e.BeginTrial([]string{"bad"})
		time.Sleep(waited)
		e.crash("e2", waited, "bad")
		time.Sleep(3 * firstBlock)
		g.Expect(e.allows("bad")).To(BeFalse())
		time.Sleep(2 * firstBlock)
		g.Expect(e.allows("bad")).To(BeTrue())
	})
	test(t, "of one entry keeps others from a trial", func(g Gomega) {
		a, b := due(), newTestEntry("b")
		a.BeginTrial([]string{"bad"})
		exchange(a, b, time.Millisecond)
		g.Expect(b.allows("bad")).To(BeFalse())
	})
}

func TestExchange(t *testing.T) {
	test(t, "tells others of a suspicion", func(g Gomega) {
		a, b := newTestEntry("a"), newTestEntry("b")
		a.crash("e1", waited, "bad")
		exchange(a, b, time.Millisecond)
		g.Expect(b.allows("bad")).To(BeFalse())
		g.Expect(b.suspected).To(Equal(1))
	})
	test(t, "clears a part to which endpoints responded for another entry", func(g Gomega) {
		a, b := newTestEntry("a"), newTestEntry("b")
		b.RecordAnswer([]string{"shared"})
		time.Sleep(time.Minute)
		a.crash("e1", waited, "shared")
		exchange(a, b, time.Millisecond)
		g.Expect(a.allows("shared")).To(BeTrue())
		g.Expect(b.allows("shared")).To(BeTrue())
		g.Expect(a.cleared).To(Equal(1))
	})
	test(t, "of one crash by several entries counts it once", func(g Gomega) {
		a, b := newTestEntry("a"), newTestEntry("b")
		for _, e := range []*testEntry{a, b} {
			e.RecordAnswer([]string{"shared"})
		}
		time.Sleep(time.Minute)
		a.crash("e1", waited, "shared")
		time.Sleep(100 * time.Millisecond)
		b.crash("e1", waited, "shared")
		exchange(a, b, time.Millisecond)
		g.Expect(a.allows("shared")).To(BeTrue())
		g.Expect(b.allows("shared")).To(BeTrue())
	})
	test(t, "many times over slow links does not make the block longer", func(g Gomega) {
		a, b := newTestEntry("a"), newTestEntry("b")
		a.crash("e1", waited, "bad")
		for range 100 {
			exchange(a, b, 300*time.Millisecond)
			time.Sleep(time.Second)
		}
		g.Expect(a.allows("bad")).To(BeTrue())
		g.Expect(b.allows("bad")).To(BeTrue())
	})
	test(t, "ends with the lifetime of a record", func(g Gomega) {
		a, b := newTestEntry("a"), newTestEntry("b")
		a.crash("e1", waited, "bad")
		exchange(a, b, time.Millisecond)
		time.Sleep(firstBlock + recordLifetime + time.Second)
		exchange(a, b, time.Millisecond)
		g.Expect(a.Records()).To(BeEmpty())
		g.Expect(b.Records()).To(BeEmpty())
	})
}

func TestMemoryIsBounded(t *testing.T) {
	test(t, "for records and answers", func(g Gomega) {
		e := newTestEntry("a")
		for i := range 3 * maxAnswered {
			e.RecordAnswer([]string{fmt.Sprint("answered", i), key(fmt.Sprint(i))})
		}
		for i := range 2 * maxRecords {
			time.Sleep(time.Millisecond)
			e.crash("e1", waited, fmt.Sprint("crashed", i))
		}
		g.Expect(len(e.answered.current) + len(e.answered.previous)).To(BeNumerically("<=", 2*maxAnswered))
		g.Expect(len(e.answeredRequests.current) + len(e.answeredRequests.previous)).To(BeNumerically("<=", 2*maxAnsweredRequests))
		g.Expect(len(e.Records())).To(BeNumerically("<=", maxRecords))
		g.Expect(e.allows(fmt.Sprint("crashed", 2*maxRecords-1))).To(BeFalse())
	})
}

// BenchmarkRequest measures all decisions about one request with three parts while 20
// parts are suspected.
func BenchmarkRequest(b *testing.B) {
	t := NewTracker("a", func(Change) {})
	for i := range 20 {
		t.RecordCrash(Crash{Endpoint: "e", Parts: []string{fmt.Sprint("bad", i)}, Waited: waited})
	}
	benchmarkRequests(b, t, []string{"one", "two", "three"})
}

// BenchmarkSuspectedRequest measures the same about a request with thousands of suspected
// parts.
func BenchmarkSuspectedRequest(b *testing.B) {
	t := NewTracker("a", func(Change) {})
	parts := numbered("bad", 4000)
	t.RecordCrash(Crash{Endpoint: "e", Parts: parts, Waited: waited})
	b.ResetTimer()
	for b.Loop() {
		t.Decide(parts)
		t.Wait(parts, func() {}).End()
	}
}

func benchmarkRequests(b *testing.B, t *Tracker, parts []string) {
	for b.Loop() {
		t.Decide(parts)
		t.BeginTrial(parts)
		t.Wait(parts, func() {}).End()
		t.RecordAnswer(parts)
	}
}
