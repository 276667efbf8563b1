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

// fixSeed makes random schedules the same in every run, unless a seed is given.
func fixSeed() {
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
}

func bubble(f func()) {
	synctest.Test(suite, func(*testing.T) {
		defer GinkgoRecover()
		f()
	})
}

var config = gate.Config{ColdLimit: 2, WarmLimit: 8, WarmAfter: 2, QueueLimit: 4}

func openGate(c gate.Config) *gate.Gate {
	g := gate.NewGate("i", c, func() (outcome.Reason, bool) { return "", false })
	g.ApplyLoadReport(true, 0)
	return g
}

func attempt(id int, number uint32) gate.Attempt {
	return gate.Attempt{
		RequestID: fmt.Sprint("r", id), Number: number, Account: "a", Weight: 1,
		Deadline: time.Now().Add(time.Minute), Incarnation: "i", Epoch: 1,
	}
}

func ignore(gate.Decision) {}

func finish(g *gate.Gate, a gate.Attempt) {
	g.Finish(a, gate.Completion{Healthy: true, FirstByte: time.Millisecond, Total: time.Millisecond})
}

func expectRefused(v gate.Decision, r outcome.Reason) {
	GinkgoHelper()
	Expect(v).To(Equal(gate.Refused{Reason: r}))
}

var _ = Describe("a cold gate", func() {
	It("admits nothing before the endpoint reports", func() {
		g := gate.NewGate("i", config, func() (outcome.Reason, bool) { return "", false })
		expectRefused(g.Submit(attempt(1, 1), ignore), outcome.NotReady)
	})

	It("counts the work that an earlier sidecar admitted", func() {
		g := gate.NewGate("i", config, func() (outcome.Reason, bool) { return "", false })
		g.ApplyLoadReport(true, 2)
		Expect(g.Submit(attempt(1, 1), ignore)).To(Equal(gate.Queued{}))
		g.ApplyLoadReport(false, 1)
		Expect(g.State().InFlight).To(Equal(2))
	})

	It("takes no room away for what a lagging report still counts of its own work", func() {
		bubble(func() {
			g := openGate(config)
			first, second := attempt(1, 1), attempt(2, 1)
			g.Submit(first, ignore)
			g.Submit(second, ignore)
			finish(g, first)
			finish(g, second)
			g.ApplyLoadReport(false, 2)
			Expect(g.State().InFlight).To(BeZero())
		})
	})

	It("does not take an earlier sidecar's work for its own when reports lag", func() {
		bubble(func() {
			g := gate.NewGate("i", gate.Config{ColdLimit: 4, WarmLimit: 4, QueueLimit: 4}, func() (outcome.Reason, bool) { return "", false })
			g.ApplyLoadReport(true, 2)
			g.Submit(attempt(1, 1), ignore)
			g.Submit(attempt(2, 1), ignore)
			g.ApplyLoadReport(false, 2)
			Expect(g.State().InFlight).To(Equal(4), "the report may be older than both")
			time.Sleep(10 * time.Second)
			g.ApplyLoadReport(false, 2)
			time.Sleep(10 * time.Second)
			g.ApplyLoadReport(false, 2)
			Expect(g.State().InFlight).To(Equal(2))
		})
	})

	It("grows only with healthy answers and falls back at once", func() {
		g := openGate(config)
		for i := range 40 {
			a := attempt(i, 1)
			Expect(g.Submit(a, ignore)).To(Equal(gate.Admitted{}))
			finish(g, a)
			if i < 3 {
				Expect(g.State().Limit).To(Equal(2), "after %d answers", i+1)
			}
		}
		Expect(g.State().Warm).To(BeTrue())
		g.ApplyLoadReport(true, 0)
		Expect(g.State().Limit).To(Equal(2))
	})

	It("takes slow first bytes as a sign of cold", func() {
		g := openGate(config)
		for i := range 40 {
			a := attempt(i, 1)
			g.Submit(a, ignore)
			finish(g, a)
		}
		for i := range 2 {
			a := attempt(100+i, 1)
			g.Submit(a, ignore)
			g.Finish(a, gate.Completion{Healthy: true, FirstByte: time.Second, Total: time.Second})
		}
		Expect(g.State().Limit).To(Equal(2))
	})
})

var _ = Describe("the queue", func() {
	It("serves higher priorities first and accounts by weight", func() {
		bubble(func() {
			g := openGate(gate.Config{ColdLimit: 1, WarmLimit: 1, QueueLimit: 100})
			first := attempt(0, 1)
			g.Submit(first, ignore)
			order := []string{}
			wait := func(id int, account string, weight uint32, priority int) {
				a := attempt(id, 1)
				a.Account, a.Weight, a.Priority = account, weight, priority
				g.Submit(a, func(v gate.Decision) {
					order = append(order, account)
					finish(g, a)
				})
			}
			for i := range 8 {
				wait(10+i, "large", 3, 0)
			}
			for i := range 4 {
				wait(30+i, "small", 1, 0)
			}
			wait(50, "urgent", 1, 9)
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

	It("evicts from the account that holds most when it is full", func() {
		g := openGate(gate.Config{ColdLimit: 1, WarmLimit: 1, QueueLimit: 4})
		g.Submit(attempt(0, 1), ignore)
		evicted := 0
		for i := range 4 {
			g.Submit(attempt(1+i, 1), func(gate.Decision) { evicted++ })
		}
		a := attempt(9, 1)
		a.Account = "other"
		Expect(g.Submit(a, ignore)).To(Equal(gate.Queued{}))
		Expect(evicted).To(Equal(1))
		expectRefused(g.Submit(attempt(10, 1), ignore), outcome.QueueFull)
	})

	It("refuses what cannot start before its deadline", func() {
		bubble(func() {
			g := openGate(gate.Config{ColdLimit: 1, WarmLimit: 1, QueueLimit: 4})
			warm := attempt(0, 1)
			g.Submit(warm, ignore)
			g.Finish(warm, gate.Completion{Healthy: true, Total: 10 * time.Second})
			g.Submit(attempt(1, 1), ignore)
			hasty := attempt(2, 1)
			hasty.Deadline = time.Now().Add(time.Second)
			expectRefused(g.Submit(hasty, ignore), outcome.DeadlineTooShort)
		})
	})
})

var _ = Describe("a paused entry", func() {
	It("cannot slip past a forgotten seal after it wakes", func() {
		g := openGate(config)
		late := attempt(1, 1)
		Expect(g.Seal("r1", 1, 1)).To(Equal(gate.NeverAdmitted))
		for range 10 {
			g.AdvanceEpoch()
		}
		expectRefused(g.Submit(late, ignore), outcome.OldEpoch)
	})
})

// history is the naive model: it remembers everything for ever. An entry
// makes a further attempt at a request only after the one before was refused
// or sealed; copies of every attempt may arrive late.
type history struct {
	gate     *gate.Gate
	copies   []gate.Attempt
	current  map[string]gate.Attempt
	admitted map[string]int
	promised map[string]uint32
	inFlight map[string]gate.Attempt
}

func (h *history) admit(t *rapid.T, a gate.Attempt) {
	if a.Number <= h.promised[a.RequestID] {
		t.Fatalf("admitted %s/%d after the promise never to", a.RequestID, a.Number)
	}
	h.admitted[a.RequestID]++
	if h.admitted[a.RequestID] > 1 {
		t.Fatalf("%s admitted twice", a.RequestID)
	}
	h.inFlight[a.RequestID] = a
}

func (h *history) offer(t *rapid.T, a gate.Attempt) {
	verdict := h.gate.Submit(a, func(v gate.Decision) {
		if _, ok := v.(gate.Admitted); ok {
			h.admit(t, a)
		}
	})
	if _, ok := verdict.(gate.Admitted); ok {
		h.admit(t, a)
	}
}

func (h *history) seal(t *rapid.T, a gate.Attempt) {
	if h.gate.Seal(a.RequestID, a.Number, a.Epoch) != gate.NeverAdmitted {
		return
	}
	if h.admitted[a.RequestID] > 0 {
		t.Fatalf("%s was admitted but sealed as never admitted", a.RequestID)
	}
	h.promised[a.RequestID] = max(h.promised[a.RequestID], a.Number)
}

func (h *history) send(t *rapid.T) {
	id := rapid.IntRange(0, 5).Draw(t, "id")
	last, exists := h.current[fmt.Sprint("r", id)]
	if exists && last.Number > h.promised[last.RequestID] {
		return
	}
	a := attempt(id, last.Number+1)
	a.Epoch = h.gate.State().Epoch
	h.current[a.RequestID] = a
	h.copies = append(h.copies, a)
	if rapid.Bool().Draw(t, "arrives") {
		h.offer(t, a)
	}
}

func (h *history) draw(t *rapid.T) (gate.Attempt, bool) {
	if len(h.copies) == 0 {
		return gate.Attempt{}, false
	}
	return rapid.SampledFrom(h.copies).Draw(t, "copy"), true
}

func (h *history) finishOne(t *rapid.T) {
	for id, a := range h.inFlight {
		delete(h.inFlight, id)
		h.gate.Finish(a, gate.Completion{Healthy: rapid.Bool().Draw(t, "healthy"), FirstByte: time.Millisecond})
		return
	}
}

var _ = Describe("any schedule", func() {
	It("keeps every seal, runs each request once, and stays within the limits", func() {
		rapid.Check(suite, func(t *rapid.T) {
			h := &history{gate: openGate(config), current: map[string]gate.Attempt{}, admitted: map[string]int{}, promised: map[string]uint32{}, inFlight: map[string]gate.Attempt{}}
			t.Repeat(map[string]func(*rapid.T){
				"send": h.send,
				"late copy": func(t *rapid.T) {
					if a, ok := h.draw(t); ok {
						h.offer(t, a)
					}
				},
				"seal": func(t *rapid.T) {
					if a, ok := h.draw(t); ok {
						h.seal(t, a)
					}
				},
				"finish":  h.finishOne,
				"restart": func(*rapid.T) { h.gate.ApplyLoadReport(true, len(h.inFlight)) },
				"epoch": func(*rapid.T) {
					h.gate.AdvanceEpoch()
					h.gate.Tick()
				},
				"": func(t *rapid.T) {
					s := h.gate.State()
					if s.Limit < config.ColdLimit || s.Limit > config.WarmLimit || len(h.inFlight) > config.WarmLimit {
						t.Fatalf("limit %d, in flight %d", s.Limit, len(h.inFlight))
					}
				},
			})
		})
	})
})
