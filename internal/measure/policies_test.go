//go:build measure

package measure

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/request/balancer"
	"github.com/cicadareel/cicadareel/internal/request/gate"
	"github.com/cicadareel/cicadareel/internal/request/retry"
)

const (
	// capacity and coldCapacity are the concurrent requests that a warm and a cold
	// endpoint run without slowing down.
	capacity     = 16
	coldCapacity = 2
	// warmAfter is the number of requests after which a cold endpoint is warm.
	warmAfter = 8
	// serviceTime is the duration of a request on an endpoint that is not overloaded.
	serviceTime = 200 * time.Millisecond
	// deadline is the time that a request may take.
	deadline = 5 * time.Second
	// cacheHitSaving is the share of the service time that a cached prefix saves.
	cacheHitSaving = 0.3
	prefixes       = 400
	// cacheSize is the number of prefixes that an endpoint caches.
	cacheSize = 24
	seed      = 1
	// settleTime is left out of the results, since all gates start cold.
	settleTime = 6 * time.Second
)

// reportInterval is the maximum age of an entry's state of an endpoint that it sends
// no requests to.
var reportInterval = flag.Duration("lag", 2*time.Second, "time between two reports to an idle entry")

// simEndpoint simulates an endpoint with a gate. It slows down when it runs more
// requests than its capacity.
type simEndpoint struct {
	name, domain string
	gate         *gate.Gate
	mu           sync.Mutex
	running      int
	// cold is the number of requests until the endpoint is warm.
	cold       int
	dead, held bool
	// cache has the cached prefixes, the least recently used first.
	cache []uint64
}

func newSimEndpoint(i, domains int, cold int) *simEndpoint {
	s := &simEndpoint{name: fmt.Sprint("s", i), domain: fmt.Sprint("d", i%domains), cold: cold}
	c := gate.Config{ColdLimit: coldCapacity, WarmLimit: capacity, WarmAfter: warmAfter, QueueLimit: 64}
	if cold == 0 {
		c.ColdLimit = capacity
	}
	s.gate = gate.NewGate("i", c, s.checkAdmission)
	s.gate.ApplyLoadReport(true, 0)
	s.gate.Configure(gate.Config{ColdLimit: coldCapacity, WarmLimit: capacity, WarmAfter: warmAfter, QueueLimit: 64})
	return s
}

func (s *simEndpoint) checkAdmission() (outcome.Reason, bool) {
	if s.held {
		return outcome.Held, true
	}
	return "", false
}

// serve runs one request. It reports whether the request's prefix was cached, and
// whether the endpoint is still up at the end.
func (s *simEndpoint) serve(prefix uint64) (hit, ok bool) {
	s.mu.Lock()
	if s.dead {
		s.mu.Unlock()
		return false, false
	}
	s.running++
	limit := capacity
	if s.cold > 0 {
		limit = coldCapacity
	}
	overload := max(1, float64(s.running)/float64(limit))
	hit = s.useCache(prefix)
	s.mu.Unlock()
	took := float64(serviceTime) * overload * overload
	if hit {
		took *= 1 - cacheHitSaving
	}
	time.Sleep(time.Duration(took))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.cold = max(0, s.cold-1)
	return hit, !s.dead
}

// useCache reports whether the prefix is cached, and caches it.
func (s *simEndpoint) useCache(prefix uint64) bool {
	for i, p := range s.cache {
		if p == prefix {
			s.cache = append(append(s.cache[:i:i], s.cache[i+1:]...), p)
			return true
		}
	}
	s.cache = append(s.cache, prefix)
	if len(s.cache) > cacheSize {
		s.cache = s.cache[1:]
	}
	return false
}

// simEntry simulates an entry with its own, delayed state of the endpoints.
type simEntry struct {
	domain         string
	endpoints      []*simEndpoint
	members        []*balancer.Member
	endpointByName map[string]*simEndpoint
	picker         *balancer.Picker
	budget         *retry.Budget
	next           int
}

func newSimEntry(i, domains int, endpoints []*simEndpoint) *simEntry {
	e := &simEntry{domain: fmt.Sprint("d", i%domains), endpointByName: map[string]*simEndpoint{}, budget: retry.NewBudgets(retry.DefaultConfig()).ForGroup("group"), next: i}
	candidates := []balancer.Candidate{}
	all := map[string]*simEndpoint{}
	for _, s := range endpoints {
		candidates = append(candidates, balancer.Candidate{Name: s.name, FailureDomain: s.domain})
		all[s.name] = s
	}
	for _, candidate := range balancer.Subset(fmt.Sprint("entry", i), candidates, 20) {
		m := balancer.NewMember(candidate.Name, candidate.FailureDomain)
		e.members = append(e.members, m)
		e.endpoints = append(e.endpoints, all[candidate.Name])
		e.endpointByName[candidate.Name] = all[candidate.Name]
		e.observe(m, all[candidate.Name])
	}
	e.picker = balancer.NewPicker(e.members, e.domain)
	return e
}

// observe copies the endpoint's state to the member.
func (e *simEntry) observe(m *balancer.Member, s *simEndpoint) {
	state := s.gate.State()
	m.ApplyGateState(state.Limit, state.InFlight+state.Queued, state.Open)
	if s.dead {
		m.MarkDown()
	}
}

// pollGates copies the state of all endpoints at each reportInterval.
func (e *simEntry) pollGates(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(*reportInterval):
			for i, m := range e.members {
				e.endpoints[i].gate.Tick()
				e.observe(m, e.endpoints[i])
			}
		}
	}
}

// results counts the outcomes of requests. perSecond has the delivered requests by
// the second after settleTime in which they ended.
type results struct {
	mu                            sync.Mutex
	sent, delivered, refused, hit int
	attempts                      int
	latencies                     []time.Duration
	perSecond                     map[int]int
}

func (r *results) record(started time.Time, begin time.Time, ok, hit bool, attempts int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	r.attempts += attempts
	if !ok {
		r.refused++
		return
	}
	r.delivered++
	if hit {
		r.hit++
	}
	r.latencies = append(r.latencies, time.Since(started))
	r.perSecond[int(time.Since(begin)/time.Second)]++
}

func (r *results) quantile(q float64) time.Duration {
	sort.Slice(r.latencies, func(i, j int) bool { return r.latencies[i] < r.latencies[j] })
	if len(r.latencies) == 0 {
		return 0
	}
	return r.latencies[int(q*float64(len(r.latencies)-1))].Round(time.Millisecond)
}

// policy sends one request. It reports whether the request succeeded, whether its prefix
// was cached, and the number of attempts.
type policy func(e *simEntry, prefix uint64) (ok, hit bool, attempts int)

// balancerPolicy picks endpoints as the balancer does.
func balancerPolicy(e *simEntry, prefix uint64) (ok, hit bool, attempts int) {
	return sendThroughGates(e, prefix, func(q *balancer.Query) *balancer.Member { return e.picker.Pick(q) })
}

func roundRobinPolicy(e *simEntry, prefix uint64) (ok, hit bool, attempts int) {
	return sendThroughGates(e, prefix, func(*balancer.Query) *balancer.Member {
		e.next++
		return e.members[e.next%len(e.members)]
	})
}

// sendThroughGates sends a request as an entry does, with gates, retry budget and
// retries that cost nothing. Endpoints are picked by choose.
func sendThroughGates(e *simEntry, prefix uint64, choose func(*balancer.Query) *balancer.Member) (ok, hit bool, attempts int) {
	q := &balancer.Query{PrefixHash: prefix, HasPrefix: true}
	e.budget.Earn()
	expires := time.Now().Add(deadline)
	for tries := 0; tries < 2*retry.MaxAttempts && time.Now().Before(expires); tries++ {
		m := choose(q)
		if m == nil {
			time.Sleep(20 * time.Millisecond)
			q = &balancer.Query{PrefixHash: prefix, HasPrefix: true}
			continue
		}
		s := e.endpointByName[m.Name]
		reason, served, cached := sendAttempt(e, m, s, prefix, expires)
		if reason == "" {
			attempts++
			if served {
				return true, cached, attempts
			}
			reason = outcome.EndpointBroke
		}
		q.Exclude(m)
		if retry.CostOf(reason) != retry.CostNone && !e.budget.Spend() {
			return false, false, attempts
		}
	}
	return false, false, attempts
}

// sendAttempt sends an attempt through the endpoint's gate. It returns the reason of a
// refusal, or whether the attempt succeeded and whether its prefix was cached.
func sendAttempt(e *simEntry, m *balancer.Member, s *simEndpoint, prefix uint64, expires time.Time) (outcome.Reason, bool, bool) {
	m.BeginRequest()
	defer m.EndRequest()
	time.Sleep(time.Millisecond / 2)
	if s.dead {
		m.MarkDown()
		return outcome.EndpointUnreachable, false, false
	}
	a := gate.Attempt{RequestID: fmt.Sprint(rand.Uint64()), Number: 1, Account: "a", Weight: 1, Idempotent: true, Deadline: expires, Incarnation: "i", Epoch: 1}
	decided := make(chan gate.Decision, 1)
	decision := s.gate.Submit(a, func(v gate.Decision) { decided <- v })
	if _, waits := decision.(gate.Queued); waits {
		decision = <-decided
	}
	if r, refused := decision.(gate.Refused); refused {
		e.observe(m, s)
		return r.Reason, false, false
	}
	started := time.Now()
	hit, ok := s.serve(prefix)
	s.gate.Finish(a, gate.Completion{Healthy: ok, FirstByte: time.Since(started), Total: time.Since(started)})
	e.observe(m, s)
	return "", ok, hit
}

// naivePolicy sends to the endpoints in turn, without gates, and retries immediately
// on failure.
func naivePolicy(e *simEntry, _ uint64) (ok, hit bool, attempts int) {
	for range retry.MaxAttempts {
		e.next++
		s := e.endpoints[e.next%len(e.endpoints)]
		if s.held {
			continue
		}
		attempts++
		time.Sleep(time.Millisecond / 2)
		started := time.Now()
		hit, ok = s.serve(uint64(e.next))
		if ok && time.Since(started) < deadline {
			return true, hit, attempts
		}
	}
	return false, false, attempts
}

// experiment sends requests to entries at a share (load) of the endpoints' capacity.
// The rate alternates every two seconds between 1.4 and 0.6 times this load.
type experiment struct {
	entries, endpoints, domains int
	load                        float64
	length                      time.Duration
	policy                      policy
	// events makes endpoints fail and recover during the run; may be nil.
	events func([]*simEndpoint)
}

func (x experiment) run(t *testing.T) *results {
	result := &results{perSecond: map[int]int{}}
	synctest.Test(t, func(*testing.T) {
		random := rand.New(rand.NewPCG(seed, seed))
		endpoints := []*simEndpoint{}
		for i := range x.endpoints {
			endpoints = append(endpoints, newSimEndpoint(i, x.domains, 0))
		}
		entries := []*simEntry{}
		stop := make(chan struct{})
		var tasks sync.WaitGroup
		for i := range x.entries {
			entry := newSimEntry(i, x.domains, endpoints)
			entries = append(entries, entry)
			tasks.Go(func() { entry.pollGates(stop) })
		}
		if x.events != nil {
			tasks.Go(func() { x.events(endpoints) })
		}
		rate := x.load * float64(x.endpoints) * capacity / serviceTime.Seconds()
		start := time.Now()
		begin := start.Add(settleTime)
		for time.Since(begin) < x.length {
			currentRate := rate * 1.4
			if time.Now().Before(begin) || int(time.Since(begin)/(2*time.Second))%2 == 1 {
				currentRate = rate * 0.6
			}
			time.Sleep(time.Duration(random.ExpFloat64() / currentRate * float64(time.Second)))
			entry := entries[random.IntN(len(entries))]
			prefix := balancer.HashPrefix([]byte{byte(random.IntN(prefixes)), byte(random.IntN(2))})
			tasks.Go(func() {
				started := time.Now()
				ok, hit, attempts := x.policy(entry, prefix)
				if !started.Before(begin) {
					result.record(started, begin, ok, hit, attempts)
				}
			})
		}
		time.Sleep(3 * deadline)
		close(stop)
		tasks.Wait()
	})
	return result
}

// TestChoicePolicies prints latencies, refusals and cache hits of the balancer's policy
// and of round robin.
func TestChoicePolicies(t *testing.T) {
	fmt.Printf("%-8s %-9s %-6s %-12s %8s %8s %9s %7s\n", "entries", "endpoints", "load", "policy", "p50", "p99", "refused", "hits")
	for _, size := range [][2]int{{2, 12}, {3, 12}, {20, 100}, {410, 910}} {
		for _, load := range []float64{0.6, 0.9, 1.2} {
			for name, p := range map[string]policy{"balancer": balancerPolicy, "round robin": roundRobinPolicy} {
				length := 12 * time.Second
				if size[0] == 410 {
					length = 4 * time.Second
				}
				r := experiment{entries: size[0], endpoints: size[1], domains: 3, load: load, length: length, policy: p}.run(t)
				fmt.Printf("%-8d %-9d %-6.1f %-12s %8v %8v %8.2f%% %6.1f%%\n", size[0], size[1], load, name,
					r.quantile(0.5), r.quantile(0.99), 100*float64(r.refused)/float64(r.sent), 100*float64(r.hit)/float64(max(1, r.delivered)))
			}
		}
	}
}

// TestFailureDomainLeaves prints what the balancer's policy and the naive one deliver
// while a failure domain is held or down and after it returns with cold endpoints.
func TestFailureDomainLeaves(t *testing.T) {
	fmt.Printf("%-10s %-6s %-8s %7s %10s %10s %12s %s\n", "failure", "load", "policy", "sent", "delivered", "attempts", "recovered", "delivered by second")
	failures := map[string]func(*simEndpoint, bool){
		"held":   func(s *simEndpoint, out bool) { s.held = out },
		"killed": func(s *simEndpoint, out bool) { s.dead = out },
	}
	for failure, change := range failures {
		for _, load := range []float64{0.6, 0.9} {
			for name, p := range map[string]policy{"balancer": balancerPolicy, "naive": naivePolicy} {
				events := func(endpoints []*simEndpoint) {
					time.Sleep(settleTime + 5*time.Second)
					eachInFirstDomain(endpoints, func(s *simEndpoint) { change(s, true) })
					time.Sleep(7 * time.Second)
					eachInFirstDomain(endpoints, func(s *simEndpoint) {
						s.cold = warmAfter
						change(s, false)
						s.gate.ApplyLoadReport(true, 0)
					})
				}
				r := experiment{entries: 3, endpoints: 12, domains: 3, load: load, length: 24 * time.Second, policy: p, events: events}.run(t)
				fmt.Printf("%-10s %-6.1f %-8s %7d %9.2f%% %10.3f %12s %v\n", failure, load, name, r.sent,
					100*float64(r.delivered)/float64(r.sent), float64(r.attempts)/float64(r.sent), r.recoveryTime(12), r.deliveredPerSecond(24))
			}
		}
	}
}

// eachInFirstDomain calls f with each endpoint of failure domain d0.
func eachInFirstDomain(endpoints []*simEndpoint, f func(*simEndpoint)) {
	for _, s := range endpoints {
		if s.domain == "d0" {
			f(s)
		}
	}
}

func (r *results) deliveredPerSecond(n int) []int {
	out := []int{}
	for i := range n {
		out = append(out, r.perSecond[i])
	}
	return out
}

// recoveryTime returns the seconds from the domain's return, in the given second, until
// the mean of delivered requests over four seconds reaches 95 % of that of the first
// four seconds.
func (r *results) recoveryTime(returned int) string {
	before := r.perSecond[0] + r.perSecond[1] + r.perSecond[2] + r.perSecond[3]
	for at := returned; at < 21; at++ {
		now := r.perSecond[at] + r.perSecond[at+1] + r.perSecond[at+2] + r.perSecond[at+3]
		if float64(now) >= 0.95*float64(before) {
			return fmt.Sprint(at-returned, " s")
		}
	}
	return "not within 9 s"
}
