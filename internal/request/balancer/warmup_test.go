package balancer_test

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cicadareel/cicadareel/internal/request/balancer"
)

var _ = BeforeSuite(func() {
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
})

// newLimiters returns the limiters of n entries for one cold endpoint that takes
// limit requests per second.
func newLimiters(n int, endpoint string, limit float64) []*balancer.WarmupLimiter {
	all := make([]*balancer.WarmupLimiter, n)
	for i := range all {
		all[i] = &balancer.WarmupLimiter{}
		all[i].SetCold(time.Now().Add(time.Minute), balancer.SplitColdRate(limit, n, fmt.Sprint("entry", i), endpoint))
	}
	return all
}

// sendAll sends all that the limiters allow after each pause and returns the times.
// The pauses are in milliseconds.
func sendAll(limiters []*balancer.WarmupLimiter, pauses []int) []time.Time {
	var sent []time.Time
	for _, ms := range pauses {
		time.Sleep(time.Duration(ms) * time.Millisecond)
		for _, w := range limiters {
			for w.Ready() && w.Take() {
				sent = append(sent, time.Now())
			}
		}
	}
	return sent
}

// maxPerSecond returns the highest number of requests within any second.
func maxPerSecond(sent []time.Time) int {
	busiest, from := 0, 0
	for i, at := range sent {
		for at.Sub(sent[from]) >= time.Second {
			from++
		}
		busiest = max(busiest, i-from+1)
	}
	return busiest
}

var _ = Describe("a cold endpoint", func() {
	It("gets no more requests in any second than its limit, from however many entries", func() {
		rapid.Check(suite, func(t *rapid.T) {
			entries := rapid.IntRange(1, 430).Draw(t, "entries")
			limit := rapid.Float64Range(6, 80).Draw(t, "limit")
			endpoint := rapid.StringMatching("[a-z]{6}").Draw(t, "endpoint")
			pauses := rapid.SliceOfN(rapid.IntRange(0, 900), 1, 30).Draw(t, "pauses")
			var sent []time.Time
			synctest.Test(suite, func(*testing.T) { sent = sendAll(newLimiters(entries, endpoint, limit), pauses) })
			if n := maxPerSecond(sent); float64(n) > limit {
				t.Fatalf("%d requests within a second, limit %.1f", n, limit)
			}
		})
	})

	It("gets some of the requests of 410 entries", func() {
		synctest.Test(suite, func(*testing.T) {
			sent := 0
			for _, w := range newLimiters(410, "e", 44) {
				for w.Take() {
					sent++
				}
			}
			Expect(sent).To(BeNumerically(">", 3))
		})
	})

	It("takes any request once it is warm", func() {
		synctest.Test(suite, func(*testing.T) {
			w := &balancer.WarmupLimiter{}
			w.SetCold(time.Now().Add(time.Second), balancer.ColdRate{})
			Expect(w.Take()).To(BeFalse())
			time.Sleep(time.Second)
			Expect(w.Take()).To(BeTrue())
		})
	})
})
