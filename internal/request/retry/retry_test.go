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

// step is one event: requests at an entry, retries that it asks for, or its
// restart. The next step follows after the pause.
type step struct {
	entry, requests, retries int
	restart                  bool
	pause                    time.Duration
}

func drawStep(t *rapid.T) step {
	s := step{
		entry: rapid.IntRange(0, 5).Draw(t, "entry"),
		pause: time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond,
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

// cluster records the time of every request and every retry of all its entries.
type cluster struct {
	entries  []*retry.Budgets
	requests []time.Time
	retries  []time.Time
	// violation describes a window with too many retries.
	violation string
}

// newBudgets returns the budgets of an entry that starts and knows the number of
// entries.
func (c *cluster) newBudgets() *retry.Budgets {
	return retry.NewBudgets(retry.SharedConfig(ratio, slack, window, len(c.entries)))
}

// run performs the steps with entries that already have their burst.
func (c *cluster) run(steps []step) {
	for i := range c.entries {
		c.entries[i] = c.newBudgets()
	}
	time.Sleep(window)
	for _, s := range steps {
		c.perform(s)
		c.checkWindow()
		time.Sleep(s.pause)
	}
}

// perform performs one step and records its requests and the retries granted.
func (c *cluster) perform(s step) {
	i := s.entry % len(c.entries)
	if s.restart {
		c.entries[i] = c.newBudgets()
	}
	for range s.requests {
		c.entries[i].ForGroup(group).Earn()
		c.requests = append(c.requests, time.Now())
	}
	for range s.retries {
		if c.entries[i].ForGroup(group).Spend() {
			c.retries = append(c.retries, time.Now())
		}
	}
}

// checkWindow checks the window that ends now. Earlier windows were checked when
// they ended.
func (c *cluster) checkWindow() {
	from := time.Now().Add(-window)
	allowed := ratio*float64(countAfter(c.requests, from)) + slack
	if spent := countAfter(c.retries, from); float64(spent) > allowed+1e-6 {
		c.violation = fmt.Sprintf("%d retries within a window that allows %.1f", spent, allowed)
	}
}

func countAfter(times []time.Time, from time.Time) int {
	count := 0
	for _, at := range times {
		if at.After(from) {
			count++
		}
	}
	return count
}

var _ = Describe("retry budgets of all entries", func() {
	It("stay within ratio and slack in every window, whichever entries restart", func() {
		rapid.Check(suite, func(t *rapid.T) {
			c := &cluster{entries: make([]*retry.Budgets, rapid.IntRange(1, 6).Draw(t, "entries"))}
			steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 60).Draw(t, "steps")
			synctest.Test(suite, func(*testing.T) { c.run(steps) })
			if c.violation != "" {
				t.Fatal(c.violation)
			}
		})
	})

	It("give a process its burst once its predecessor's retries no longer count", func() {
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

	It("have their burst at once without a window", func() {
		Expect(retry.NewBudgets(retry.DefaultConfig()).ForGroup(group).Spend()).To(BeTrue())
	})
})
