package admission

import (
	"math"
	"testing"
	"testing/synctest"
	"time"
)

// busyLoad is a load whose requests take a second each, of a group with 100 slots.
func busyLoad(accounts map[string]Demand) Load {
	l := Load{Accounts: accounts, OnTime: 50, Slots: 100}
	for _, d := range accounts {
		l.Ended += d.total()
		l.InFlight += d.InFlight
	}
	l.TimeSpent = l.Ended
	return l
}

// experiencedPlanner returns a planner that has seen the accounts' usual demands for
// longer than the learning time.
func experiencedPlanner(usual map[string]Demand) *Planner {
	p := &Planner{}
	for range 40 {
		p.Update([]Load{busyLoad(usual)})
		time.Sleep(250 * time.Millisecond)
	}
	return p
}

var usualAccounts = map[string]Demand{"large": {New: 40, InFlight: 40}, "middle": {New: 20, InFlight: 20}, "small": {New: 4, InFlight: 4}}

func TestPlan(t *testing.T) {
	tests := []struct {
		name     string
		demands  map[string]Demand
		limited  []string
		inFlight map[string]float64
	}{
		{"the usual", usualAccounts, nil, nil},
		{"one account floods", map[string]Demand{"large": {New: 40, InFlight: 40}, "middle": {New: 400, InFlight: 60}, "small": {New: 4, InFlight: 4}},
			[]string{"middle"}, map[string]float64{"middle": 46}},
		{"a flood that fits", map[string]Demand{"large": {New: 10, InFlight: 10}, "middle": {New: 60, InFlight: 60}, "small": {New: 4, InFlight: 4}}, nil, nil},
		{"all ask for three times their usual", map[string]Demand{"large": {New: 120, InFlight: 60}, "middle": {New: 60, InFlight: 30}, "small": {New: 12, InFlight: 10}},
			[]string{"large", "middle", "small"}, nil},
		{"all ask for three times their usual and have no requests in progress yet", map[string]Demand{"large": {New: 120}, "middle": {New: 60}, "small": {New: 12}}, nil, nil},
		{"an unknown account floods", map[string]Demand{"large": {New: 40, InFlight: 40}, "small": {New: 4, InFlight: 4}, "unknown": {New: 300, InFlight: 40}},
			[]string{"unknown"}, map[string]float64{"unknown": 46}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := experiencedPlanner(usualAccounts)
				plan := p.Update([]Load{busyLoad(test.demands)})
				if len(plan.Limits) != len(test.limited) {
					t.Fatalf("limits are %v, expected are those of %v", plan.Limits, test.limited)
				}
				for _, account := range test.limited {
					if _, ok := plan.Limits[account]; !ok {
						t.Errorf("%s is not limited", account)
					}
				}
				for account, expected := range test.inFlight {
					if got := plan.Limits[account].InFlight; math.Abs(got-expected) > 1 {
						t.Errorf("%s may have %.1f requests in progress, not %.1f", account, got, expected)
					}
				}
				if len(plan.Limits) > 0 && (plan.RetryAfter < minReturn || plan.RetryAfter > maxReturn) {
					t.Errorf("the Retry-After is %v", plan.RetryAfter)
				}
			})
		})
	}
}

// TestPlanWithoutEndpoints checks that nothing is limited while no endpoint is usable.
func TestPlanWithoutEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := experiencedPlanner(usualAccounts)
		l := busyLoad(usualAccounts)
		l.Slots = 0
		if plan := p.Update([]Load{l}); len(plan.Limits) > 0 {
			t.Fatalf("limits are %v", plan.Limits)
		}
	})
}

// TestPlanWithFreeSlots checks that the usual load is not limited while slots are free.
func TestPlanWithFreeSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		usual := map[string]Demand{"only": {New: 92, InFlight: 92}}
		p := experiencedPlanner(usual)
		if plan := p.Update([]Load{busyLoad(usual)}); len(plan.Limits) > 0 {
			t.Fatalf("limits are %v", plan.Limits)
		}
	})
}

// TestPlanWithLateRequests checks that all accounts are limited once requests are late, if
// most slots are in use.
func TestPlanWithLateRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		usual := map[string]Demand{"only": {New: 92, InFlight: 92}}
		p := experiencedPlanner(usual)
		l := busyLoad(usual)
		l.Late = l.OnTime
		if plan := p.Update([]Load{l}); len(plan.Limits) != 1 {
			t.Fatalf("limits are %v", plan.Limits)
		}
	})
}

// TestUsualDemandRisesSlowly checks that a flood does not become usual while it lasts.
func TestUsualDemandRisesSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := experiencedPlanner(usualAccounts)
		before := p.weight("middle")
		for range 40 {
			p.Update([]Load{busyLoad(map[string]Demand{"middle": {New: 400, InFlight: 60}})})
			time.Sleep(250 * time.Millisecond)
		}
		if after := p.weight("middle"); after > 1.3*before {
			t.Fatalf("the weight rose from %.1f to %.1f in ten seconds", before, after)
		}
	})
}

// TestLimiter checks that all entries together keep a limit.
func TestLimiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries = 50
		plan := Plan{Limits: map[string]Limit{"a": {InFlight: 20, Demand: 500, NewFraction: 1}}, RetryAfter: time.Second}
		own := Load{Accounts: map[string]Demand{"a": {New: 10}}}
		admitted := 0
		for range entries {
			m := NewMeter()
			l := NewLimiter(m)
			l.Apply(plan, own)
			for range 10 {
				r := Request{Account: "a", Cost: 1}
				if l.Decide(r).Admitted {
					m.Begin(r)
					admitted++
				}
			}
			if !l.Decide(Request{Account: "b", Cost: 1}).Admitted || !l.Decide(Request{Account: "a", Cost: 1, Resumes: true}).Admitted {
				t.Fatal("another account or a resumed stream was refused")
			}
			time.Sleep(planLifetime + time.Millisecond)
			if !l.Decide(Request{Account: "a", Cost: 1}).Admitted {
				t.Fatal("an old plan is applied")
			}
		}
		if admitted < 10 || admitted > 35 {
			t.Fatalf("%d requests were admitted with a limit of 20", admitted)
		}
	})
}

// noEndpoints stands for a group whose endpoints have 100 slots.
type noEndpoints struct {
	levels int
	others map[EndpointKey]int
}

func (noEndpoints) Slots(string) int                              { return 100 }
func (e noEndpoints) Levels(string) int                           { return e.levels }
func (noEndpoints) InProgress(string) int                         { return 0 }
func (noEndpoints) Requests(string) map[EndpointKey]int           { return map[EndpointKey]int{1: 2} }
func (e noEndpoints) ApplyOthers(_ string, n map[EndpointKey]int) { e.others[1] = n[1] }
func newTestController(entries int) (*Controller, noEndpoints) {
	return newLeveledController(entries, 1)
}
func newLeveledController(entries, levels int) (*Controller, noEndpoints) {
	e := noEndpoints{levels: levels, others: map[EndpointKey]int{}}
	return NewController(e, func() int { return entries }), e
}

// TestController checks that an entry with the loads of most entries makes plans, that
// others apply them, and that an entry without either limits nothing.
func TestController(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		planning, _ := newTestController(3)
		other, otherEndpoints := newTestController(3)
		alone, _ := newTestController(3)
		controllers := []*Controller{planning, other, alone}
		send := func(c *Controller, account string, n int) (refused int) {
			for range n {
				if d, ticket := c.Admit("g", Request{Account: account, Cost: 1}); !d.Admitted {
					refused++
				} else {
					time.AfterFunc(time.Second, ticket.End)
				}
			}
			return refused
		}
		round := func(flood int) int {
			for _, c := range controllers {
				send(c, "usual", 2)
			}
			refused := send(other, "flood", flood)
			for _, c := range controllers {
				c.Update()
			}
			planning.RecordLoads("other", other.Loads())
			other.ApplyPlans(planning.Plans())
			time.Sleep(250 * time.Millisecond)
			return refused
		}
		for range 40 {
			if round(2) > 0 {
				t.Fatal("the usual load was limited")
			}
		}
		refused := 0
		for range 8 {
			refused += round(100)
		}
		if planning.Plans() == nil || other.Plans() != nil || alone.Plans() != nil {
			t.Fatal("plans are made with the loads of two of three entries only")
		}
		if refused < 300 || other.LimitedAccounts() != 1 || alone.LimitedAccounts() != 0 {
			t.Fatalf("%d of 800 requests of a flood were refused", refused)
		}
		if send(other, "usual", 10) > 0 {
			t.Fatal("another account was refused")
		}
		if otherEndpoints.others[1] != 2 {
			t.Fatalf("the other entry's requests at an endpoint are %d, not 2", otherEndpoints.others[1])
		}
		time.Sleep(2 * time.Second)
	})
}

// TestPlannerThatTakesOver checks that a planner goes on from what another has learned,
// so that a flood does not look usual to it.
func TestPlannerThatTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		flood := map[string]Demand{"large": {New: 40, InFlight: 40}, "middle": {New: 400, InFlight: 60}, "small": {New: 4, InFlight: 4}}
		state := experiencedPlanner(usualAccounts).Update([]Load{busyLoad(flood)}).State
		young := &Planner{}
		for range 4 {
			if plan := young.Update([]Load{busyLoad(flood)}); len(plan.Limits) > 0 || young.knowsUsual() {
				t.Fatal("a planner that has learned nothing limits accounts")
			}
			time.Sleep(250 * time.Millisecond)
		}
		young.adopt(state)
		plan := young.Update([]Load{busyLoad(flood)})
		if _, limited := plan.Limits["middle"]; !limited || len(plan.Limits) != 1 {
			t.Fatalf("limits are %v", plan.Limits)
		}
	})
}

func BenchmarkAdmit(b *testing.B) {
	c, _ := newTestController(1)
	c.group("g").limiter.Apply(Plan{Limits: map[string]Limit{"a": {InFlight: 1e9, Demand: 1, NewFraction: 1}}}, Load{Accounts: map[string]Demand{"a": {New: 1}}})
	r := Request{Account: "a", Cost: 1}
	b.ReportAllocs()
	for b.Loop() {
		_, ticket := c.Admit("g", r)
		ticket.End()
	}
}
