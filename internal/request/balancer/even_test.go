package balancer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cicadareel/cicadareel/internal/request/balancer"
)

const rankSlots = 10

// rankEntry is one entry in front of ranks in lock-step.
type rankEntry struct {
	picker  *balancer.Picker
	members []*balancer.Member
	groups  []*balancer.Lockstep
}

// newRankEntries returns entries that each know all ranks and each other.
func newRankEntries(entries, groups, ranksPerGroup int) []*rankEntry {
	return newRankEntriesKnowing(func(names []string, _ string) []string { return names }, entries, groups, ranksPerGroup)
}

// newRankEntriesKnowing returns entries that know those of all names that a function
// returns for their own.
func newRankEntriesKnowing(known func(names []string, own string) []string, entries, groups, ranksPerGroup int) []*rankEntry {
	var names []string
	for i := range entries {
		names = append(names, fmt.Sprint("entry", i))
	}
	all := make([]*rankEntry, entries)
	for i := range all {
		e := &rankEntry{}
		for range groups {
			e.groups = append(e.groups, &balancer.Lockstep{})
		}
		for r := range groups * ranksPerGroup {
			m := balancer.NewMember(fmt.Sprint("rank", r), "d")
			m.ApplyAnnouncement(rankSlots, true)
			m.MarkUp()
			m.Lockstep = e.groups[r/ranksPerGroup]
			e.members = append(e.members, m)
		}
		place := &balancer.Place{}
		place.Set(names[i], known(names, names[i]))
		e.picker = balancer.NewPickerAt(e.members, "d", place)
		all[i] = e
	}
	return all
}

// place picks a rank for one request and counts it.
func (e *rankEntry) place() *balancer.Member {
	m := e.picker.Pick(&balancer.Query{LeastLoaded: true})
	if m != nil {
		m.BeginRequest()
	}
	return m
}

// atRanks returns the requests of all entries at each rank.
func atRanks(entries []*rankEntry) []int {
	counts := make([]int, len(entries[0].members))
	for _, e := range entries {
		for i, m := range e.members {
			counts[i] += m.OwnRequests()
		}
	}
	return counts
}

func busiestAndMean(counts []int) (busiest, mean float64) {
	for _, n := range counts {
		busiest, mean = max(busiest, float64(n)), mean+float64(n)/float64(len(counts))
	}
	return busiest, mean
}

// requestRun is a request that ends at a time.
type requestRun struct {
	member *balancer.Member
	endsAt time.Time
}

var _ = Describe("requests to ranks in lock-step", func() {
	It("go to ranks with the fewest own requests, whatever is known of others", func() {
		rapid.Check(suite, func(t *rapid.T) {
			entries := newRankEntries(rapid.IntRange(1, 9).Draw(t, "entries"), 1, rapid.IntRange(1, 12).Draw(t, "ranks"))
			var running []*balancer.Member
			for range rapid.IntRange(0, 200).Draw(t, "events") {
				e := entries[rapid.IntRange(0, len(entries)-1).Draw(t, "entry")]
				switch rapid.IntRange(0, 5).Draw(t, "kind") {
				case 0:
					m := e.members[rapid.IntRange(0, len(e.members)-1).Draw(t, "reported")]
					m.ApplyOthers(rapid.IntRange(0, 100).Draw(t, "others"))
				case 1:
					if len(running) > 0 {
						i := rapid.IntRange(0, len(running)-1).Draw(t, "ended")
						running[i].EndRequest()
						running = append(running[:i], running[i+1:]...)
					}
				default:
					least := math.MaxInt
					for _, m := range e.members {
						least = min(least, m.OwnRequests())
					}
					m := e.place()
					if m.OwnRequests() != least+1 {
						t.Fatalf("a request went to a rank with %d own requests, and another one has %d", m.OwnRequests()-1, least)
					}
					running = append(running, m)
				}
			}
		})
	})

	It("put no rank more than half of the entries and one above the mean, in any order of arrivals", func() {
		rapid.Check(suite, func(t *rapid.T) {
			groups := rapid.IntRange(1, 3).Draw(t, "groups")
			entries := newRankEntries(rapid.IntRange(1, 30).Draw(t, "entries"), groups, rapid.IntRange(2, 24).Draw(t, "ranks"))
			for _, i := range rapid.SliceOfN(rapid.IntRange(0, len(entries)-1), 0, 400).Draw(t, "arrivals") {
				entries[i].place()
			}
			busiest, mean := busiestAndMean(atRanks(entries))
			if busiest > mean+float64(len(entries))/2+1 {
				t.Fatalf("the busiest rank has %v requests, the mean is %v with %d entries", busiest, mean, len(entries))
			}
		})
	})

	// The load: many entries send to the same ranks at once, and know nothing of each
	// other's requests. Requests take 0.5 to 3 s.
	It("find a free slot at six tenths of the slots, without exchanges", func() {
		for _, size := range []struct{ entries, ranks int }{{13, 72}, {53, 192}} {
			synctest.Test(suite, func(*testing.T) {
				random := rand.New(rand.NewPCG(1, 1))
				entries := newRankEntries(size.entries, 1, size.ranks)
				perTick := 0.6 * rankSlots * float64(size.ranks) / 1.75 * 0.01
				var running []requestRun
				waiting, all := 0, 0
				for tick := range 1000 {
					kept := running[:0]
					for _, r := range running {
						if time.Now().Before(r.endsAt) {
							kept = append(kept, r)
							continue
						}
						r.member.EndRequest()
					}
					running = kept
					for n := perTick; random.Float64() < n; n-- {
						m := entries[random.IntN(len(entries))].place()
						running = append(running, requestRun{m, time.Now().Add(500*time.Millisecond + time.Duration(random.Int64N(int64(2500*time.Millisecond))))})
					}
					if tick > 300 && tick%10 == 0 {
						for _, n := range atRanks(entries) {
							waiting += max(0, n-rankSlots)
							all += n
						}
					}
					time.Sleep(10 * time.Millisecond)
				}
				Expect(float64(waiting)/float64(all)).To(BeNumerically("<", 0.005), "with %d entries", size.entries)
			})
		}
	})

	It("do not crowd at the same ranks while the entries are cut off from each other", func() {
		alone := func(_ []string, own string) []string { return []string{own} }
		for _, entries := range []int{13, 53} {
			all := newRankEntriesKnowing(alone, entries, 1, 72)
			for range 10 {
				for _, e := range all {
					e.place()
				}
			}
			busiest, mean := busiestAndMean(atRanks(all))
			Expect(busiest).To(BeNumerically("<", mean+rankSlots), "with %d entries", entries)
		}
	})

	It("do not crowd at a rank that fails them at once", func() {
		synctest.Test(suite, func(*testing.T) {
			e := newRankEntries(1, 1, 24)[0]
			failing := e.place()
			failing.EndRequest()
			counts := map[*balancer.Member]int{}
			for range 500 {
				m := e.place()
				counts[m]++
				if m == failing {
					m.EndRequest()
					m.RecordFailure()
				} else {
					time.AfterFunc(2*time.Second, m.EndRequest)
				}
				time.Sleep(20 * time.Millisecond)
			}
			Expect(counts[failing]).To(BeNumerically("<=", 500/24), "no more than its part")
		})
	})

	It("do not crowd at a group whose ranks fail them at once", func() {
		synctest.Test(suite, func(*testing.T) {
			e := newRankEntries(1, 3, 8)[0]
			failed := 0
			for range 600 {
				m := e.place()
				if m.Lockstep == e.groups[1] {
					failed++
					m.EndRequest()
					m.RecordFailure()
				} else {
					time.AfterFunc(2*time.Second, m.EndRequest)
				}
				time.Sleep(20 * time.Millisecond)
			}
			Expect(failed).To(BeNumerically("<=", 220))
		})
	})

	It("go to a rank again that failed now and then", func() {
		synctest.Test(suite, func(*testing.T) {
			e := newRankEntries(1, 1, 4)[0]
			for range 100 {
				e.members[0].RecordFailure()
				time.Sleep(1900 * time.Millisecond)
			}
			for range 40 {
				e.place()
			}
			Expect(e.members[0].OwnRequests()).To(BeNumerically(">=", 8))
		})
	})

	It("fill ranks by their slots", func() {
		e := newRankEntries(1, 1, 4)[0]
		e.members[0].ApplyAnnouncement(2, true)
		for range 32 {
			e.place()
		}
		Expect(e.members[0].OwnRequests()).To(BeNumerically("~", 2, 1))
	})

	It("go to no rank that takes none, also if that has just changed", func() {
		rapid.Check(suite, func(t *rapid.T) {
			synctest.Test(suite, func(*testing.T) {
				e := newRankEntries(1, 2, 4)[0]
				broken := map[*balancer.Lockstep]bool{}
				for _, m := range e.members {
					m.Usable = func() bool { return !broken[m.Lockstep] }
					m.Warmup = &balancer.WarmupLimiter{}
				}
				for range rapid.IntRange(1, 60).Draw(t, "events") {
					m := e.members[rapid.IntRange(0, len(e.members)-1).Draw(t, "rank")]
					on := rapid.Bool().Draw(t, "on")
					switch rapid.IntRange(0, 6).Draw(t, "kind") {
					case 0:
						m.PauseUntil(time.Now().Add(50 * time.Millisecond))
					case 1:
						m.SetHeld(on)
					case 2:
						m.MarkDown()
						if on {
							m.MarkUp()
						}
					case 3:
						broken[m.Lockstep] = on
					case 4:
						m.Warmup.SetCold(time.Now().Add(time.Second), balancer.ColdRate{})
					case 5:
						m.ApplyAnnouncement(rankSlots, on)
					case 6:
						time.Sleep(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
					}
					q := &balancer.Query{LeastLoaded: true}
					q.Exclude(e.members[0])
					picked := e.picker.Pick(q)
					if picked == nil {
						continue
					}
					if picked == e.members[0] || !picked.IsUsable() || picked.PausedFor() > 0 || !picked.Warmup.Ready() {
						t.Fatalf("%s was picked", picked.Name)
					}
				}
			})
		})
	})

	It("are picked without allocating", func() {
		e := newRankEntries(410, 13, 70)[7]
		Expect(testing.AllocsPerRun(1000, func() {
			q := balancer.Query{LeastLoaded: true}
			e.picker.Pick(&q)
		})).To(BeZero())
	})
})

func BenchmarkPickRank(b *testing.B) {
	for _, size := range []struct{ groups, ranks int }{{3, 64}, {13, 70}} {
		b.Run(fmt.Sprint(size.groups*size.ranks), func(b *testing.B) {
			e := newRankEntries(53, size.groups, size.ranks)[7]
			for _, m := range e.members {
				m.Slowness = func() float64 { return 1 }
				m.Usable = func() bool { return true }
				m.Warmup = &balancer.WarmupLimiter{}
			}
			b.ReportAllocs()
			for b.Loop() {
				q := balancer.Query{LeastLoaded: true}
				e.picker.Pick(&q)
			}
		})
	}
}

func BenchmarkRefresh(b *testing.B) {
	for _, size := range []struct{ groups, ranks int }{{3, 64}, {13, 70}} {
		b.Run(fmt.Sprint(size.groups*size.ranks), func(b *testing.B) {
			e := newRankEntries(53, size.groups, size.ranks)[7]
			b.ReportAllocs()
			for b.Loop() {
				e.picker.Refresh()
			}
		})
	}
}
