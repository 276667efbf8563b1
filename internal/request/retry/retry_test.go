package retry_test

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cicadareel/cicadareel/internal/request/retry"
)

var suite *testing.T

func TestRetry(t *testing.T) {
	suite = t
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry")
}

const (
	ratio  = 0.2
	slack  = 88.0
	window = 10 * time.Second
	group  = "models"
)

// step is one thing that happens: requests at an entry, retries that it wants,
// or its restart.
type step struct {
	entry, requests, retries int
	restart                  bool
	after                    time.Duration
}

func drawStep(t *rapid.T) step {
	s := step{
		entry: rapid.IntRange(0, 5).Draw(t, "entry"),
		after: time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond,
	}
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0, 1:
		s.requests = rapid.IntRange(1, 40).Draw(t, "requests")
	case 2, 3:
		s.retries = rapid.IntRange(1, 120).Draw(t, "retries")
	case 4:
		s.restart = true
	}
	return s
}

// account remembers the time of every request and every retry of all entries.
type account struct {
	entries  []*retry.Budgets
	requests []time.Time
	retries  []time.Time
	// broken describes a window with too many retries.
	broken string
}

// newBudgets is a process that knows how many entries share.
func (a *account) newBudgets() *retry.Budgets {
	return retry.NewBudgets(retry.SharedConfig(ratio, slack, window, len(a.entries)))
}

// live takes the steps, with entries that have run for a while.
func (a *account) live(steps []step) {
	for i := range a.entries {
		a.entries[i] = a.newBudgets()
	}
	time.Sleep(window)
	for _, s := range steps {
		a.take(s)
		a.check()
		time.Sleep(s.after)
	}
}

func (a *account) take(s step) {
	i := s.entry % len(a.entries)
	if s.restart {
		a.entries[i] = a.newBudgets()
	}
	for range s.requests {
		a.entries[i].ForGroup(group).Earn()
		a.requests = append(a.requests, time.Now())
	}
	for range s.retries {
		if a.entries[i].ForGroup(group).Spend() {
			a.retries = append(a.retries, time.Now())
		}
	}
}

// check looks at the window that ends now: older ones were looked at then.
func (a *account) check() {
	from := time.Now().Add(-window)
	allowed := ratio*float64(since(a.requests, from)) + slack
	if spent := since(a.retries, from); float64(spent) > allowed+1e-6 {
		a.broken = fmt.Sprintf("%d retries within a window that allows %.1f", spent, allowed)
	}
}

func since(times []time.Time, from time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) {
			n++
		}
	}
	return n
}

var _ = Describe("retry budgets of all entries", func() {
	It("stay within ratio and slack in every window, whatever restarts", func() {
		rapid.Check(suite, func(t *rapid.T) {
			a := &account{entries: make([]*retry.Budgets, rapid.IntRange(1, 6).Draw(t, "entries"))}
			steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 60).Draw(t, "steps")
			synctest.Test(suite, func(*testing.T) { a.live(steps) })
			if a.broken != "" {
				t.Fatal(a.broken)
			}
		})
	})

	It("give a process its reserve once its predecessor's retries are forgotten", func() {
		synctest.Test(suite, func(*testing.T) {
			b := retry.NewBudgets(retry.SharedConfig(ratio, slack, window, 1))
			Expect(b.ForGroup(group).Spend()).To(BeFalse())
			time.Sleep(window)
			for range 79 {
				Expect(b.ForGroup(group).Spend()).To(BeTrue())
			}
			Expect(b.ForGroup(group).Spend()).To(BeFalse())
		})
	})

	It("are there at once without a window", func() {
		Expect(retry.NewBudgets(retry.DefaultConfig()).ForGroup(group).Spend()).To(BeTrue())
	})
})
