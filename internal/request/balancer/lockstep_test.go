package balancer_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadareel/cicadareel/internal/request/balancer"
)

// passingGroups are groups in lock-step whose passes take longer the more streams they run.
type passingGroups struct {
	random  *rand.Rand
	entries []*rankEntry
	// slowdown are the times of the groups' passes as multiples of the usual.
	slowdown []float64
	// stalled is the group that makes no passes; -1 for none.
	stalled  int
	passEnd  []time.Time
	passTime []time.Duration
	streams  []*passingStream
	sent     []int
}

type passingStream struct {
	entry  *rankEntry
	member *balancer.Member
	group  int
	events int
	lastAt time.Time
}

const (
	passingGroupRanks = 24
	passingEvents     = 23
	// emptyPass is the time of a pass without streams, and streamTime what each stream of a
	// rank adds on average.
	emptyPass  = 35 * time.Millisecond
	streamTime = 7 * time.Millisecond
)

func newPassingGroups(entries, groups int) *passingGroups {
	return &passingGroups{
		random: rand.New(rand.NewPCG(1, 1)), entries: newRankEntries(entries, groups, passingGroupRanks), stalled: -1,
		slowdown: []float64{1, 1, 1}, passEnd: make([]time.Time, groups), passTime: make([]time.Duration, groups), sent: make([]int, groups),
	}
}

// run lets streams arrive and groups make passes for a time.
func (g *passingGroups) run(perSecond float64, length time.Duration) {
	const tick = 5 * time.Millisecond
	clear(g.sent)
	for range int(length / tick) {
		for n := perSecond * tick.Seconds(); g.random.Float64() < n; n-- {
			e := g.entries[g.random.IntN(len(g.entries))]
			s := &passingStream{entry: e, member: e.place()}
			for s.member.Lockstep != e.groups[s.group] {
				s.group++
			}
			g.sent[s.group]++
			g.streams = append(g.streams, s)
		}
		for i := range g.passEnd {
			if i != g.stalled && !time.Now().Before(g.passEnd[i]) {
				g.pass(i)
			}
		}
		time.Sleep(tick)
	}
}

func (g *passingGroups) pass(group int) {
	now, running := time.Now(), 0
	kept := g.streams[:0]
	for _, s := range g.streams {
		if s.group != group {
			kept = append(kept, s)
			continue
		}
		lockstep := s.entry.groups[group]
		if s.events++; s.events == 1 {
			lockstep.BeginStream()
		} else {
			lockstep.RecordEvent(now.Sub(s.lastAt))
		}
		s.lastAt = now
		if s.events == passingEvents {
			lockstep.EndStream()
			s.member.EndRequest()
			continue
		}
		running++
		kept = append(kept, s)
	}
	g.streams = kept
	g.passTime[group] = time.Duration(g.slowdown[group] * float64(emptyPass+streamTime*time.Duration(running)/passingGroupRanks))
	g.passEnd[group] = now.Add(g.passTime[group])
}

var _ = Describe("groups in lock-step", func() {
	const perSecond = 200
	withGroups := func(body func(g *passingGroups)) {
		synctest.Test(suite, func(*testing.T) {
			g := newPassingGroups(26, 3)
			g.run(perSecond, 4*time.Second)
			body(g)
		})
	}
	part := func(g *passingGroups, group int) float64 {
		sum := 0
		for _, n := range g.sent {
			sum += n
		}
		return float64(g.sent[group]) / float64(sum)
	}

	It("that are equal get equal parts", func() {
		withGroups(func(g *passingGroups) {
			for i := range g.sent {
				Expect(part(g, i)).To(BeNumerically("~", 1.0/3, 0.04))
			}
		})
	})

	It("get such parts that their passes take equally long if no longest pause is named", func() {
		withGroups(func(g *passingGroups) {
			g.slowdown[1] = 1.3
			g.run(perSecond, 5*time.Second)
			Expect(part(g, 1)).To(BeNumerically("<", 0.25))
			for _, pass := range g.passTime {
				Expect(pass).To(BeNumerically("~", g.passTime[0], 15*time.Millisecond))
			}
		})
	})

	It("are relieved by the others within a second, and get their part again", func() {
		withGroups(func(g *passingGroups) {
			g.slowdown[1] = 12
			g.run(perSecond, time.Second)
			g.run(perSecond, time.Second)
			Expect(part(g, 1)).To(BeNumerically("<", 0.05))
			g.run(perSecond, 7*time.Second)
			Expect(part(g, 1)).To(BeNumerically("<", 0.05))
			g.slowdown[1] = 1
			g.run(perSecond, 5*time.Second)
			g.run(perSecond, 5*time.Second)
			Expect(part(g, 1)).To(BeNumerically("~", 1.0/3, 0.08))
		})
	})

	It("get their part again from an entry with few requests as well", func() {
		synctest.Test(suite, func(*testing.T) {
			g := newPassingGroups(1, 3)
			g.run(5, 4*time.Second)
			g.slowdown[1] = 12
			g.run(5, 5*time.Second)
			g.slowdown[1] = 1
			g.run(5, 10*time.Second)
			g.run(5, 20*time.Second)
			Expect(part(g, 1)).To(BeNumerically("~", 1.0/3, 0.1))
		})
	})

	const longest = 120 * time.Millisecond
	withPauses := func(body func(g *passingGroups)) {
		withGroups(func(g *passingGroups) {
			for _, e := range g.entries {
				for _, l := range e.groups {
					l.SetLongestPause(longest)
				}
			}
			body(g)
		})
	}

	It("are left alone while they keep the longest pause", func() {
		withPauses(func(g *passingGroups) {
			g.slowdown[1] = 1.3
			g.run(perSecond, 5*time.Second)
			Expect(g.passTime[1]).To(BeNumerically(">", g.passTime[0]+10*time.Millisecond))
			for _, e := range g.entries {
				Expect(e.groups[1].Share()).To(BeNumerically("~", 1, 0.1))
			}
		})
	})

	It("have their part again soon after they have recovered", func() {
		withPauses(func(g *passingGroups) {
			g.slowdown[1] = 12
			g.run(perSecond, 5*time.Second)
			g.slowdown[1] = 1
			g.run(perSecond, 4*time.Second)
			g.run(perSecond, time.Second)
			Expect(part(g, 1)).To(BeNumerically(">", 0.25))
		})
	})

	It("keep the longest pause if the others have room for their requests", func() {
		withPauses(func(g *passingGroups) {
			g.slowdown[1] = 2.2
			g.run(perSecond, 5*time.Second)
			Expect(part(g, 1)).To(BeNumerically("<", 0.2))
			for _, pass := range g.passTime {
				Expect(pass).To(BeNumerically("<=", longest))
			}
		})
	})

	It("keep the longest pause for some streams if there are too many for all", func() {
		withPauses(func(g *passingGroups) {
			g.run(330, 15*time.Second)
			inTime, all := 0, 0
			for range 50 {
				g.run(330, 100*time.Millisecond)
				for i, n := range g.sent {
					all += n
					if g.passTime[i] <= longest {
						inTime += n
					}
				}
			}
			Expect(float64(inTime) / float64(all)).To(BeNumerically(">", 0.4))
		})
	})

	It("of any number are relieved if they are slow or make no passes, with or without a longest pause", func() {
		for _, groups := range []int{2, 3} {
			for _, pause := range []time.Duration{0, longest} {
				for _, harm := range []func(g *passingGroups){
					func(g *passingGroups) { g.stalled = 1 },
					func(g *passingGroups) { g.slowdown[1] = 12 },
				} {
					synctest.Test(suite, func(*testing.T) {
						g := newPassingGroups(26, groups)
						for _, e := range g.entries {
							for _, l := range e.groups {
								l.SetLongestPause(pause)
							}
						}
						g.run(130, 4*time.Second)
						harm(g)
						g.run(130, time.Second)
						g.run(130, time.Second)
						Expect(part(g, 1)).To(BeNumerically("<", 0.05), "%d groups, pause %v", groups, pause)
					})
				}
			}
		}
	})

	It("say when they are relieved and when not any more", func() {
		withGroups(func(g *passingGroups) {
			lockstep := g.entries[0].groups[1]
			expectChange := func(to bool) {
				relieved, changed := lockstep.ReliefChanged()
				Expect(relieved).To(Equal(to))
				Expect(changed).To(BeTrue())
				_, changed = lockstep.ReliefChanged()
				Expect(changed).To(BeFalse())
			}
			g.slowdown[1] = 12
			g.run(perSecond, 2*time.Second)
			expectChange(true)
			g.slowdown[1] = 1
			g.run(perSecond, 10*time.Second)
			expectChange(false)
		})
	})
})

var _ = Describe("the time of passes", func() {
	It("is unknown before events and some time after the last stream", func() {
		synctest.Test(suite, func(*testing.T) {
			l := &balancer.Lockstep{}
			Expect(l.PassTime()).To(BeZero())
			l.BeginStream()
			time.Sleep(50 * time.Millisecond)
			l.RecordEvent(50 * time.Millisecond)
			Expect(l.PassTime()).To(Equal(50 * time.Millisecond))
			time.Sleep(200 * time.Millisecond)
			Expect(l.PassTime()).To(Equal(200*time.Millisecond), "a stream waits")
			l.EndStream()
			Expect(l.PassTime()).To(Equal(50*time.Millisecond), "none waits")
			time.Sleep(2 * time.Second)
			Expect(l.PassTime()).To(BeZero())
			l.BeginStream()
			Expect(l.PassTime()).To(BeZero(), "that was long ago")
			time.Sleep(700 * time.Millisecond)
			l.EndStream()
			Expect(l.PassTime()).To(Equal(700*time.Millisecond), "streams that were given up had waited")
		})
	})
})
