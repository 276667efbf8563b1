package admission

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

// decide asks levels for a decision on a request.
func decide(l *Levels, level, levels int) bool {
	return l.Decide(Request{Cost: 1, Level: level, Levels: levels}, Decision{Admitted: true}).Admitted
}

// fullLevels returns levels that know 100 slots, all taken, and requests of three levels.
func fullLevels() *Levels {
	l := &Levels{}
	for range 10 {
		time.Sleep(time.Second)
		l.Update(100, 100, true)
	}
	for level := range 3 {
		decide(l, level, 3)
	}
	// The credit begins at random.
	clear(l.credit)
	return l
}

// occupy sets the requests in progress, which have not changed since the last update.
func occupy(l *Levels, inProgress float64) {
	l.Update(inProgress, 100, true)
	l.Update(inProgress, 100, true)
}

func TestLevels(t *testing.T) {
	tests := []struct {
		name  string
		check func(*testing.T, *Levels)
	}{
		{"slots are left free for more urgent requests", func(t *testing.T, l *Levels) {
			occupy(l, 90)
			if decide(l, 2, 3) || !decide(l, 1, 3) || !decide(l, 0, 3) {
				t.Error("not the least urgent level alone is turned away")
			}
		}},
		{"requests that come back go beyond new ones", func(t *testing.T, l *Levels) {
			occupy(l, 90)
			if !l.Decide(Request{Level: 2, Levels: 3, Returned: true}, Decision{Admitted: true}).Admitted {
				t.Error("a request that came back was refused")
			}
		}},
		{"a preview tells the decision and counts nothing", func(t *testing.T, l *Levels) {
			for inProgress := 80.0; inProgress < 140; inProgress += 3 {
				occupy(l, inProgress)
				for level := range 3 {
					r := Request{Level: level, Levels: 3}
					l.Preview(r, Decision{Admitted: true})
					preview := l.Preview(r, Decision{Admitted: true})
					if got := l.Decide(r, Decision{Admitted: true}); got != preview {
						t.Errorf("level %d: decision %+v, announced as %+v", level, got, preview)
					}
				}
			}
		}},
		{"streams are resumed", func(t *testing.T, l *Levels) {
			occupy(l, 300)
			if !l.Decide(Request{Level: 2, Levels: 3, Resumes: true}, Decision{Admitted: true}).Admitted {
				t.Error("a stream was not resumed")
			}
		}},
		{"a rise of the requests in progress is expected to go on", func(t *testing.T, l *Levels) {
			occupy(l, 60)
			l.Update(80, 100, true)
			if decide(l, 2, 3) {
				t.Error("the least urgent level is admitted")
			}
		}},
		{"the loss of endpoints is no fall of what is asked for", func(t *testing.T, l *Levels) {
			l.Update(66, 67, true)
			if got := l.State().InProgress; got != 66 {
				t.Errorf("%.0f requests are expected, not 66", got)
			}
		}},
		{"counts that were not known are no rise", func(t *testing.T, l *Levels) {
			l.Update(5, 100, false)
			l.Update(60, 100, true)
			if got := l.State().InProgress; got != 60 {
				t.Errorf("%.0f requests are expected, not 60", got)
			}
		}},
		{"the most urgent level may exceed the room when nothing else is asked for", func(t *testing.T, _ *Levels) {
			l := &Levels{}
			occupy(l, 100)
			if !decide(l, 0, 3) {
				t.Error("it is turned away")
			}
		}},
		{"without slots, no level is refused", func(t *testing.T, l *Levels) {
			l.Update(5, 0, true)
			for level := range 3 {
				if !decide(l, level, 3) {
					t.Errorf("level %d is refused", level)
				}
			}
		}},
		{"what was asked for long ago does not count", func(t *testing.T, l *Levels) {
			for range 100 {
				decide(l, 0, 3)
			}
			time.Sleep(10 * rateWindow)
			decide(l, 2, 3)
			if got := sumOf(l.asked); got > 1.1 {
				t.Errorf("%.2f requests count, not 1", got)
			}
		}},
		{"no level starves", func(t *testing.T, l *Levels) {
			admitted := 0.0
			for range 200 {
				occupy(l, 100)
				decide(l, 0, 3)
				if decide(l, 2, 3) {
					admitted++
				}
				time.Sleep(10 * time.Millisecond)
			}
			if share, of := admitted/200, 0.25*(200+admitted)/400; share < of {
				t.Errorf("%.2f of the least urgent level are admitted, less than %.2f", share, of)
			}
		}},
		{"the room falls at once and rises slowly", func(t *testing.T, l *Levels) {
			for _, step := range []struct {
				after       time.Duration
				slots, room float64
			}{{0, 40, 40}, {0, 100, 100 * firstRoom}, {time.Second, 100, 100}} {
				time.Sleep(step.after)
				l.Update(0, step.slots, true)
				if got := l.State().Room; got != step.room {
					t.Errorf("the room is %.0f with %.0f slots, not %.0f", got, step.slots, step.room)
				}
			}
		}},
		{"a configuration changes the levels", func(t *testing.T, l *Levels) {
			occupy(l, 200)
			if !decide(l, 0, 1) || l.Active() {
				t.Error("urgency decides though requests do not differ")
			}
			for level := range 5 {
				decide(l, level, 5)
			}
			clear(l.credit)
			if decide(l, 4, 5) {
				t.Error("urgency does not decide with other levels")
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test.check(t, fullLevels()) })
		})
	}
}

// TestFewRequestsAtFullSlots checks that an entry with few requests admits as few of the
// least urgent ones as others do, and not none.
func TestFewRequestsAtFullSlots(t *testing.T) {
	for _, interval := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 4 * time.Second} {
		t.Run(interval.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &Levels{}
				admitted := [2]float64{}
				for range 100 {
					occupy(l, 100)
					for level := range admitted {
						if decide(l, level, len(admitted)) {
							admitted[level]++
						}
					}
					time.Sleep(interval)
				}
				if share, of := admitted[1]/100, 0.25*(admitted[0]+admitted[1])/200; share > 0.4 || share < of {
					t.Errorf("%.2f of the least urgent level are admitted, not %.2f to 0.40", share, of)
				}
			})
		})
	}
}

// TestFirstRequestsAtFullSlots checks that of entries which get one request each, as many
// admit it as if one entry got them all.
func TestFirstRequestsAtFullSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries = 400
		admitted := 0.0
		for range entries {
			l := &Levels{}
			occupy(l, 200)
			if decide(l, 1, 2) {
				admitted++
			}
		}
		if share := admitted / entries; share < 0.25 || share > 0.45 {
			t.Errorf("%.2f are admitted", share)
		}
	})
}

func BenchmarkLevels(b *testing.B) {
	l := &Levels{}
	l.Update(97, 100, true)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		decide(l, i%6, 6)
	}
}

// TestFreshEntryAdoptsUsualDemands checks that an entry which starts takes over the usual
// demands that another knows, also where urgency decides and it makes plans at once.
func TestFreshEntryAdoptsUsualDemands(t *testing.T) {
	for _, levels := range []int{1, 3} {
		t.Run(strconv.Itoa(levels)+" levels", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				old, _ := newLeveledController(2, levels)
				fresh, _ := newLeveledController(2, levels)
				admit := func(c *Controller) {
					_, ticket := c.Admit("g", Request{Account: "a", Cost: 1, Levels: levels})
					ticket.End()
				}
				for range 30 {
					admit(old)
					time.Sleep(250 * time.Millisecond)
					old.RecordLoads("b", nil)
					old.Update()
				}
				for range 4 {
					admit(old)
					admit(fresh)
					time.Sleep(250 * time.Millisecond)
					old.RecordLoads("fresh", fresh.Loads())
					fresh.RecordLoads("old", old.Loads())
					old.Update()
					fresh.Update()
					fresh.ApplyPlans(old.Plans())
				}
				if !fresh.groups["g"].planner.knowsUsual() {
					t.Error("the usual demands are not known")
				}
			})
		})
	}
}

// TestLevelsFollowBundle checks that plans go by the levels that the bundle in force has,
// whatever requests an entry got before.
func TestLevelsFollowBundle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, levels := range []int{1, 3} {
			c, _ := newLeveledController(1, levels)
			_, ticket := c.Admit("g", Request{Account: "a", Cost: 1, Levels: 4 - levels})
			ticket.End()
			c.Update()
			if made, leveled := len(c.Plans()) > 0, levels > 1; made != leveled {
				t.Errorf("with %d levels, a plan is made: %t", levels, made)
			}
		}
	})
}

// TestPlanAgeOfRefusal checks that a refusal by urgency tells the age of the plan.
func TestPlanAgeOfRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := newLeveledController(1, 2)
		admit := func(level int) Decision {
			d, _ := c.Admit("g", Request{Account: "a", Cost: 1, Level: level, Levels: 2})
			return d
		}
		admit(1)
		c.Update()
		c.Update()
		for range 200 {
			admit(0)
		}
		time.Sleep(100 * time.Millisecond)
		refused := 0
		for range 10 {
			if d := admit(1); !d.Admitted {
				refused++
				if d.PlanAge != 100*time.Millisecond {
					t.Fatalf("the plan is %v old", d.PlanAge)
				}
			}
		}
		if refused == 0 {
			t.Error("nothing is refused")
		}
	})
}

// BenchmarkPlan makes the plan of 410 entries, each of which knows a hundred of a thousand
// accounts.
func BenchmarkPlan(b *testing.B) {
	var loads []Load
	for entry := range 410 {
		accounts := map[string]Demand{}
		for i := range 100 {
			accounts[strconv.Itoa((entry*37+i*10)%1000)] = Demand{New: 1, InFlight: 1}
		}
		loads = append(loads, busyLoad(accounts))
	}
	p := &Planner{leveled: true}
	for b.Loop() {
		p.Update(loads)
	}
}
