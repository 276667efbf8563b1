package gate_test

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/request/gate"
)

var suite *testing.T

func TestGate(t *testing.T) {
	suite = t
	fixSeed()
	RegisterFailHandler(Fail)
	RunSpecs(t, "gate")
}

// fixSeed makes the random schedules the same in every run, unless a seed is given.
func fixSeed() {
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
}

// withFakeClock runs f in a synctest bubble.
func withFakeClock(f func()) {
	synctest.Test(suite, func(*testing.T) {
		defer GinkgoRecover()
		f()
	})
}

var config = gate.Config{ColdLimit: 2, WarmLimit: 8, WarmAfter: 2, QueueLimit: 4}

// newOpenGate returns a gate that has its first load report, of no running requests.
func newOpenGate(c gate.Config) *gate.Gate {
	g := gate.NewGate("i", c, func() (outcome.Reason, bool) { return "", false })
	g.ApplyLoadReport(true, 0)
	return g
}

func newAttempt(id int, number uint32) gate.Attempt {
	return gate.Attempt{
		RequestID: fmt.Sprint("r", id), Number: number, Account: "a", Weight: 1,
		Deadline: time.Now().Add(time.Minute), Incarnation: "i", Epoch: 1,
	}
}

func ignore(gate.Decision) {}

func finish(g *gate.Gate, a gate.Attempt) {
	g.Finish(a, gate.Completion{Healthy: true, FirstByte: time.Millisecond, Total: time.Millisecond})
}

func expectRefused(d gate.Decision, r outcome.Reason) {
	GinkgoHelper()
	Expect(d).To(Equal(gate.Refused{Reason: r}))
}

var _ = Describe("a cold gate", func() {
	It("admits nothing before the first load report", func() {
		g := gate.NewGate("i", config, func() (outcome.Reason, bool) { return "", false })
		expectRefused(g.Submit(newAttempt(1, 1), ignore), outcome.NotReady)
	})

	It("counts the requests that an earlier sidecar admitted", func() {
		g := gate.NewGate("i", config, func() (outcome.Reason, bool) { return "", false })
		g.ApplyLoadReport(true, 2)
		Expect(g.Submit(newAttempt(1, 1), ignore)).To(Equal(gate.Queued{}))
		g.ApplyLoadReport(false, 1)
		Expect(g.State().InFlight).To(Equal(2))
	})

	It("does not count its own ended requests as inherited when a load report lags", func() {
		withFakeClock(func() {
			g := newOpenGate(config)
			first, second := newAttempt(1, 1), newAttempt(2, 1)
			g.Submit(first, ignore)
			g.Submit(second, ignore)
			finish(g, first)
			finish(g, second)
			g.ApplyLoadReport(false, 2)
			Expect(g.State().InFlight).To(BeZero())
		})
	})

	It("does not count an earlier sidecar's requests as its own when load reports lag", func() {
		withFakeClock(func() {
			g := gate.NewGate("i", gate.Config{ColdLimit: 4, WarmLimit: 4, QueueLimit: 4}, func() (outcome.Reason, bool) { return "", false })
			g.ApplyLoadReport(true, 2)
			g.Submit(newAttempt(1, 1), ignore)
			g.Submit(newAttempt(2, 1), ignore)
			g.ApplyLoadReport(false, 2)
			Expect(g.State().InFlight).To(Equal(4), "the report may be older than both")
			time.Sleep(10 * time.Second)
			g.ApplyLoadReport(false, 2)
			time.Sleep(10 * time.Second)
			g.ApplyLoadReport(false, 2)
			Expect(g.State().InFlight).To(Equal(2))
		})
	})

	It("raises its limit only with healthy responses and resets it at once after a restart", func() {
		g := newOpenGate(config)
		for i := range 40 {
			a := newAttempt(i, 1)
			Expect(g.Submit(a, ignore)).To(Equal(gate.Admitted{}))
			finish(g, a)
			if i < 3 {
				Expect(g.State().Limit).To(Equal(2), "after %d responses", i+1)
			}
		}
		Expect(g.State().Warm).To(BeTrue())
		g.ApplyLoadReport(true, 0)
		Expect(g.State().Limit).To(Equal(2))
	})

	It("resets its limit after slow first bytes", func() {
		g := newOpenGate(config)
		for i := range 40 {
			a := newAttempt(i, 1)
			g.Submit(a, ignore)
			finish(g, a)
		}
		for i := range 2 {
			a := newAttempt(100+i, 1)
			g.Submit(a, ignore)
			g.Finish(a, gate.Completion{Healthy: true, FirstByte: time.Second, Total: time.Second})
		}
		Expect(g.State().Limit).To(Equal(2))
	})
})

var _ = Describe("the queue", func() {
	It("serves higher priorities first and client accounts by weight", func() {
		withFakeClock(func() {
			g := newOpenGate(gate.Config{ColdLimit: 1, WarmLimit: 1, QueueLimit: 100})
			first := newAttempt(0, 1)
			g.Submit(first, ignore)
			order := []string{}
			enqueue := func(id int, account string, weight uint32, priority int) {
				a := newAttempt(id, 1)
				a.Account, a.Weight, a.Priority = account, weight, priority
				g.Submit(a, func(d gate.Decision) {
					order = append(order, account)
					finish(g, a)
				})
			}
			for i := range 8 {
				enqueue(10+i, "large", 3, 0)
			}
			for i := range 4 {
				enqueue(30+i, "small", 1, 0)
			}
			enqueue(50, "urgent", 1, 9)
			finish(g, first)
			for len(order) < 13 {
				g.Tick()
			}
			Expect(order[0]).To(Equal("urgent"))
			small := 0
			for _, name := range order[1:9] {
				if name == "small" {
					small++
				}
			}
			Expect(small).To(Equal(2), "%v", order)
		})
	})

	It("evicts from the client account with most waiting when it is full", func() {
		g := newOpenGate(gate.Config{ColdLimit: 1, WarmLimit: 1, QueueLimit: 4})
		g.Submit(newAttempt(0, 1), ignore)
		evicted := 0
		for i := range 4 {
			g.Submit(newAttempt(1+i, 1), func(gate.Decision) { evicted++ })
		}
		a := newAttempt(9, 1)
		a.Account = "other"
		Expect(g.Submit(a, ignore)).To(Equal(gate.Queued{}))
		Expect(evicted).To(Equal(1))
		expectRefused(g.Submit(newAttempt(10, 1), ignore), outcome.QueueFull)
	})

	It("refuses an attempt that cannot start before its deadline", func() {
		withFakeClock(func() {
			g := newOpenGate(gate.Config{ColdLimit: 1, WarmLimit: 1, QueueLimit: 4})
			warm := newAttempt(0, 1)
			g.Submit(warm, ignore)
			g.Finish(warm, gate.Completion{Healthy: true, Total: 10 * time.Second})
			g.Submit(newAttempt(1, 1), ignore)
			urgent := newAttempt(2, 1)
			urgent.Deadline = time.Now().Add(time.Second)
			expectRefused(g.Submit(urgent, ignore), outcome.DeadlineTooShort)
		})
	})
})

var _ = Describe("a paused entry", func() {
	It("gets no late attempt admitted after the record of its seal was dropped", func() {
		g := newOpenGate(config)
		late := newAttempt(1, 1)
		Expect(g.Seal("r1", 1, 1)).To(Equal(gate.NeverAdmitted))
		for range 10 {
			g.AdvanceEpoch()
		}
		expectRefused(g.Submit(late, ignore), outcome.OldEpoch)
	})
})

// model drives a gate and remembers everything that happened, without a bound on
// time. A request gets a further attempt only after the one before was sealed;
// copies of every attempt may arrive late.
type model struct {
	gate     *gate.Gate
	copies   []gate.Attempt
	latest   map[string]gate.Attempt
	admitted map[string]int
	// sealed holds the highest attempt number that the gate promised never to admit.
	sealed   map[string]uint32
	inFlight map[string]gate.Attempt
}

func (m *model) admit(t *rapid.T, a gate.Attempt) {
	if a.Number <= m.sealed[a.RequestID] {
		t.Fatalf("admitted attempt %s/%d after it was sealed", a.RequestID, a.Number)
	}
	m.admitted[a.RequestID]++
	if m.admitted[a.RequestID] > 1 {
		t.Fatalf("request %s admitted twice", a.RequestID)
	}
	m.inFlight[a.RequestID] = a
}

func (m *model) submit(t *rapid.T, a gate.Attempt) {
	decision := m.gate.Submit(a, func(d gate.Decision) {
		if _, ok := d.(gate.Admitted); ok {
			m.admit(t, a)
		}
	})
	if _, ok := decision.(gate.Admitted); ok {
		m.admit(t, a)
	}
}

func (m *model) seal(t *rapid.T, a gate.Attempt) {
	if m.gate.Seal(a.RequestID, a.Number, a.Epoch) != gate.NeverAdmitted {
		return
	}
	if m.admitted[a.RequestID] > 0 {
		t.Fatalf("request %s was admitted but sealed as never admitted", a.RequestID)
	}
	m.sealed[a.RequestID] = max(m.sealed[a.RequestID], a.Number)
}

// send makes a new attempt at a random request, unless the last one is not sealed,
// and may deliver it at once.
func (m *model) send(t *rapid.T) {
	id := rapid.IntRange(0, 5).Draw(t, "id")
	last, exists := m.latest[fmt.Sprint("r", id)]
	if exists && last.Number > m.sealed[last.RequestID] {
		return
	}
	a := newAttempt(id, last.Number+1)
	a.Epoch = m.gate.State().Epoch
	m.latest[a.RequestID] = a
	m.copies = append(m.copies, a)
	if rapid.Bool().Draw(t, "arrives") {
		m.submit(t, a)
	}
}

// drawCopy returns a copy of a random earlier attempt, and false if there is none.
func (m *model) drawCopy(t *rapid.T) (gate.Attempt, bool) {
	if len(m.copies) == 0 {
		return gate.Attempt{}, false
	}
	return rapid.SampledFrom(m.copies).Draw(t, "copy"), true
}

func (m *model) finishOne(t *rapid.T) {
	for id, a := range m.inFlight {
		delete(m.inFlight, id)
		m.gate.Finish(a, gate.Completion{Healthy: rapid.Bool().Draw(t, "healthy"), FirstByte: time.Millisecond})
		return
	}
}

var _ = Describe("any schedule", func() {
	It("keeps to every seal, admits each request once, and stays within the limits", func() {
		rapid.Check(suite, func(t *rapid.T) {
			m := &model{gate: newOpenGate(config), latest: map[string]gate.Attempt{}, admitted: map[string]int{}, sealed: map[string]uint32{}, inFlight: map[string]gate.Attempt{}}
			t.Repeat(map[string]func(*rapid.T){
				"send": m.send,
				"late copy": func(t *rapid.T) {
					if a, ok := m.drawCopy(t); ok {
						m.submit(t, a)
					}
				},
				"seal": func(t *rapid.T) {
					if a, ok := m.drawCopy(t); ok {
						m.seal(t, a)
					}
				},
				"finish":  m.finishOne,
				"restart": func(*rapid.T) { m.gate.ApplyLoadReport(true, len(m.inFlight)) },
				"epoch": func(*rapid.T) {
					m.gate.AdvanceEpoch()
					m.gate.Tick()
				},
				"": func(t *rapid.T) {
					s := m.gate.State()
					if s.Limit < config.ColdLimit || s.Limit > config.WarmLimit || len(m.inFlight) > config.WarmLimit {
						t.Fatalf("limit %d, in flight %d", s.Limit, len(m.inFlight))
					}
				},
			})
		})
	})
})
