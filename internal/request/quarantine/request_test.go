package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// key returns the key of the whole request with the name.
func key(name string) string { return RequestKey([][]byte{[]byte(name)}) }

func TestRequestKey(t *testing.T) {
	fields := func(texts ...string) [][]byte {
		all := make([][]byte, len(texts))
		for i, text := range texts {
			all[i] = []byte(text)
		}
		return all
	}
	test(t, "is the same for repeats alone", func(g Gomega) {
		known := RequestKey(fields("POST", "/x", "body"))
		g.Expect(RequestKey(fields("POST", "/x", "body"))).To(Equal(known))
		for _, other := range [][]string{{"POST", "/x", "bodY"}, {"POST", "/xb", "ody"}, {"POST", "/x", "", "body"}, {"POST", "/x"}, {"/x", "POST", "body"}} {
			g.Expect(RequestKey(fields(other...))).NotTo(Equal(known))
		}
		g.Expect(isRequest(known)).To(BeTrue())
		g.Expect(isRequest("393210487cac")).To(BeFalse())
	})
}

// servingEntry returns an entry that knows a response to the part "shared".
func servingEntry(name string) *testEntry {
	e := newTestEntry(name)
	e.RecordAnswer([]string{"shared"})
	return e
}

func TestWholeRequest(t *testing.T) {
	test(t, "is suspected after one crash, its harmless parts are not", func(g Gomega) {
		e := servingEntry("a")
		e.RecordAnswer([]string{"shared", key("sound")})
		time.Sleep(time.Second)
		e.crash("e1", waited, "shared", key("deadly"))
		g.Expect(e.allows("shared", key("deadly"))).To(BeFalse())
		g.Expect(e.allows("shared", key("other"))).To(BeTrue())
		g.Expect(e.Decide([]string{key("deadly")}).RetryAfter).To(BeNumerically(">=", firstBlock))
	})
	test(t, "goes on if another one waited longer at the endpoint that crashed", func(g Gomega) {
		a, b := servingEntry("a"), servingEntry("b")
		a.crash("e1", waited/2, "shared", key("beside"))
		b.crash("e1", waited, "shared", key("deadly"))
		g.Expect(a.Decide([]string{key("beside")})).To(And(HaveField("Allowed", false), HaveField("Undecided", verdictTime)))
		exchange(a, b, time.Millisecond)
		for _, e := range []*testEntry{a, b} {
			g.Expect(e.allows(key("beside"))).To(BeTrue())
			g.Expect(e.allows(key("deadly"))).To(BeFalse())
		}
	})
	test(t, "is suspected after a second crash whatever it waited", func(g Gomega) {
		e := servingEntry("a")
		e.crash("e1", waited, "shared", key("beside"))
		e.crash("e1", waited/2, "shared", key("deadly"))
		g.Expect(e.allows(key("deadly"))).To(BeTrue())
		time.Sleep(waited)
		e.crash("e2", waited/4, "shared", key("deadly"))
		e.crash("e2", waited, "shared", key("another"))
		g.Expect(e.Decide([]string{key("deadly")})).To(And(HaveField("Allowed", false), HaveField("Undecided", BeZero())))
	})
	test(t, "is refused by entries that heard of the two crashes from others", func(g Gomega) {
		a, b, c := servingEntry("a"), servingEntry("b"), servingEntry("c")
		for _, e := range []*testEntry{a, b} {
			e.crash("e-"+e.instance, waited/2, "shared", key("deadly"))
			e.crash("e-"+e.instance, waited, "shared", key("beside "+e.instance))
		}
		g.Expect(a.allows(key("deadly"))).To(BeTrue())
		exchange(a, c, time.Millisecond)
		exchange(b, c, time.Millisecond)
		g.Expect(c.allows(key("deadly"))).To(BeFalse())
	})
	test(t, "goes on if many endpoints crash together, unless it is at a second crash", func(g Gomega) {
		a, b := servingEntry("a"), servingEntry("b")
		a.crash("e0", waited, "shared", key("0"))
		for i := range manyTogether {
			g.Expect(b.allows(key("0"))).To(Equal(i == 0))
			b.crash(fmt.Sprint("e", i), waited, "shared", key(fmt.Sprint(i)))
			time.Sleep(togetherTime / manyTogether / 2)
		}
		exchange(a, b, time.Millisecond)
		for i := range manyTogether {
			g.Expect(a.allows(key(fmt.Sprint(i)))).To(BeTrue())
			g.Expect(b.allows(key(fmt.Sprint(i)))).To(BeTrue())
		}
		time.Sleep(waited)
		b.crash("another", waited, "shared", key("2"))
		exchange(a, b, time.Millisecond)
		g.Expect(a.allows(key("1"))).To(BeTrue())
		g.Expect(a.allows(key("2"))).To(BeFalse())
	})
	test(t, "is suspected if a second endpoint crashes beside, where a copy was taken back", func(g Gomega) {
		e := servingEntry("a")
		e.crash("e1", waited, "shared", key("deadly"))
		time.Sleep(togetherTime / 2)
		e.crash("e2", waited/4, "shared", key("beside"))
		g.Expect(e.allows(key("deadly"))).To(BeFalse())
	})
	test(t, "with one beside that waits longer each time ends two endpoints, however slowly it is repeated", func(g Gomega) {
		e := servingEntry("a")
		ended := 0
		for i := range 4 {
			if e.allows("shared", key("deadly")) {
				ended++
				e.crash(fmt.Sprint("e", i), waited/2, "shared", key("deadly"))
				e.crash(fmt.Sprint("e", i), waited, "shared", key(fmt.Sprint("beside", i)))
			}
			time.Sleep(31 * time.Second)
		}
		g.Expect(ended).To(Equal(2))
	})
	test(t, "without parts of a prompt goes on until it is at a second crash", func(g Gomega) {
		a, b := newTestEntry("a"), newTestEntry("b")
		a.crash("e1", waited, key("plain"))
		exchange(a, b, time.Millisecond)
		g.Expect(b.allows(key("plain"))).To(BeTrue())
		b.crash("e2", waited, key("plain"))
		exchange(a, b, time.Millisecond)
		g.Expect(a.allows(key("plain"))).To(BeFalse())
		g.Expect(b.allows(key("plain"))).To(BeFalse())
	})
	test(t, "is not suspected after one crash if an endpoint responded to it before", func(g Gomega) {
		a, b := newTestEntry("a"), newTestEntry("b")
		b.RecordAnswer([]string{key("hot")})
		time.Sleep(time.Minute)
		a.crash("e1", waited, key("hot"))
		exchange(a, b, time.Millisecond)
		g.Expect(a.allows(key("hot"))).To(BeTrue())
	})
	test(t, "does not make a part less likely that is the cause", func(g Gomega) {
		e := servingEntry("a")
		e.RecordAnswer([]string{"shared"})
		e.crash("e1", waited/2, "shared", "bad", key("deadly"))
		e.crash("e1", waited, "shared", key("beside"))
		time.Sleep(2 * shortBlock)
		g.Expect(e.allows("shared", "bad", key("another"))).To(BeFalse())
	})
	test(t, "with an answer does not displace the answers to parts", func(g Gomega) {
		e := servingEntry("a")
		e.RecordAnswer([]string{"shared"})
		for i := range 3 * maxAnswered {
			e.RecordAnswer([]string{key(fmt.Sprint(i))})
		}
		e.crash("e1", waited, "shared", key("deadly"))
		g.Expect(e.allows("shared", key("other"))).To(BeTrue())
	})
	test(t, "is taken back from an endpoint once it is at a second crash", func(g Gomega) {
		a, b := servingEntry("a"), servingEntry("b")
		a.crash("e1", waited/2, "shared", key("deadly"))
		a.crash("e1", waited, "shared", key("beside"))
		exchange(a, b, time.Millisecond)
		recalled := 0
		for _, e := range []*testEntry{a, b} {
			e.Wait([]string{"shared", key("deadly")}, func() { recalled++ })
		}
		b.crash("e2", waited/4, "shared", key("deadly"))
		g.Expect(recalled).To(Equal(1))
		exchange(a, b, time.Millisecond)
		g.Expect(recalled).To(Equal(2))
	})
	test(t, "is taken back from an endpoint once it is suspected", func(g Gomega) {
		a, b := servingEntry("a"), servingEntry("b")
		recalled := false
		b.Wait([]string{key("deadly")}, func() { recalled = true })
		a.crash("e1", waited, "shared", key("deadly"))
		exchange(a, b, time.Millisecond)
		g.Expect(recalled).To(BeTrue())
	})
}

// TestRepeatedRequest replays a load of five requests a second to four entries, each of them
// one of a few sound ones with the same shared part or the deadly one, which crashes each
// endpoint after 200 ms. Callers repeat it at another entry, and two sound requests that may
// have waited longer are at each endpoint that crashes.
func TestRepeatedRequest(t *testing.T) {
	for seed := range uint64(20) {
		test(t, fmt.Sprint("ends at most two endpoints, seed ", seed), func(g Gomega) {
			random := rand.New(rand.NewPCG(seed, 0))
			entries := []*testEntry{newTestEntry("a"), newTestEntry("b"), newTestEntry("c"), newTestEntry("d")}
			anyEntry := func() *testEntry { return entries[random.IntN(len(entries))] }
			for _, e := range entries {
				e.RecordAnswer([]string{"shared"})
			}
			ended, soundRefused := 0, 0
			for i := range 100 {
				time.Sleep(time.Second / 5)
				if e := anyEntry(); e.allows("shared", key("deadly")) {
					endpoint := fmt.Sprint("e", i)
					e.crash(endpoint, waited, "shared", key("deadly"))
					for range 2 {
						beside := time.Duration(random.Float64() * 2 * float64(waited))
						anyEntry().crash(endpoint, beside, "shared", key(fmt.Sprint("sound", random.IntN(1000))))
					}
					ended++
				}
				for _, e := range entries {
					for _, other := range entries {
						exchange(e, other, time.Millisecond)
					}
				}
				if e, sound := anyEntry(), []string{"shared", key(fmt.Sprint("sound", i))}; e.allows(sound...) {
					e.RecordAnswer(sound)
				} else {
					soundRefused++
				}
			}
			g.Expect(ended).To(BeNumerically("<=", 2))
			g.Expect(soundRefused).To(BeNumerically("<=", 5))
		})
	}
}

func TestImportance(t *testing.T) {
	test(t, "of a request at two crashes is above that of many others at later ones", func(g Gomega) {
		e := newTestEntry("a")
		e.crash("e1", waited, key("deadly"))
		time.Sleep(2 * eventTolerance)
		e.crash("e2", waited, key("deadly"))
		time.Sleep(time.Second)
		for i := range 300 {
			e.crash("e3", waited, key(fmt.Sprint("beside", i)))
		}
		g.Expect(e.Records()[0].Part).To(Equal(key("deadly")))
	})
}
