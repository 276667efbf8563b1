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
	capacity    = 16
	coldBears   = 2
	warmAfter   = 8
	serviceTime = 200 * time.Millisecond
	deadline    = 5 * time.Second
	hitSaving   = 0.3
	prefixes    = 400
	cacheSize   = 24
	seed        = 1
	// settling is left out of the figures: all gates start cold.
	settling = 6 * time.Second
)

// lag is the age of what an entry knows of a server that it sends nothing.
var lag = flag.Duration("lag", 2*time.Second, "time between two reports to an entry at rest")

// server is an endpoint that slows down when it is given more than it bears.
type server struct {
	name, domain string
	gate         *gate.Gate
	mu           sync.Mutex
	running      int
	cold         int
	dead, held   bool
	cache        []uint64
}

func newServer(i, domains int, cold int) *server {
	s := &server{name: fmt.Sprint("s", i), domain: fmt.Sprint("d", i%domains), cold: cold}
	c := gate.Config{ColdLimit: coldBears, WarmLimit: capacity, WarmAfter: warmAfter, QueueLimit: 64}
	if cold == 0 {
		c.ColdLimit = capacity
	}
	s.gate = gate.NewGate("i", c, s.barrier)
	s.gate.ApplyLoadReport(true, 0)
	s.gate.Configure(gate.Config{ColdLimit: coldBears, WarmLimit: capacity, WarmAfter: warmAfter, QueueLimit: 64})
	return s
}

func (s *server) barrier() (outcome.Reason, bool) {
	if s.held {
		return outcome.Held, true
	}
	return "", false
}

// serve runs one request; hit tells whether its prefix was cached. It reports
// false if the server died.
func (s *server) serve(prefix uint64) (hit, ok bool) {
	s.mu.Lock()
	if s.dead {
		s.mu.Unlock()
		return false, false
	}
	s.running++
	bears := capacity
	if s.cold > 0 {
		bears = coldBears
	}
	over := max(1, float64(s.running)/float64(bears))
	hit = s.lookUp(prefix)
	s.mu.Unlock()
	took := float64(serviceTime) * over * over
	if hit {
		took *= 1 - hitSaving
	}
	time.Sleep(time.Duration(took))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.cold = max(0, s.cold-1)
	return hit, !s.dead
}

func (s *server) lookUp(prefix uint64) bool {
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

// door is one entry with its own, lagging view of the servers.
type door struct {
	domain  string
	servers []*server
	members []*balancer.Member
	byName  map[string]*server
	table   *balancer.Picker
	budget  *retry.Budget
	next    int
}

func newDoor(i, domains int, servers []*server) *door {
	d := &door{domain: fmt.Sprint("d", i%domains), byName: map[string]*server{}, budget: retry.NewBudgets(retry.DefaultConfig()).ForGroup("group"), next: i}
	sites := []balancer.Candidate{}
	all := map[string]*server{}
	for _, s := range servers {
		sites = append(sites, balancer.Candidate{Name: s.name, FailureDomain: s.domain})
		all[s.name] = s
	}
	for _, site := range balancer.Subset(fmt.Sprint("entry", i), sites, 20) {
		m := balancer.NewMember(site.Name, site.FailureDomain)
		d.members = append(d.members, m)
		d.servers = append(d.servers, all[site.Name])
		d.byName[site.Name] = all[site.Name]
		d.observe(m, all[site.Name])
	}
	d.table = balancer.NewPicker(d.members, d.domain)
	return d
}

func (d *door) observe(m *balancer.Member, s *server) {
	state := s.gate.State()
	m.ApplyGateState(state.Limit, state.InFlight+state.Queued, state.Open)
	if s.dead {
		m.MarkDown()
	}
}

// watch refreshes the view of every server now and then.
func (d *door) watch(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(*lag):
			for i, m := range d.members {
				d.servers[i].gate.Tick()
				d.observe(m, d.servers[i])
			}
		}
	}
}

// tally is what became of the requests.
type tally struct {
	mu                            sync.Mutex
	sent, delivered, refused, hit int
	attempts                      int
	latencies                     []time.Duration
	perSecond                     map[int]int
}

func (t *tally) note(started time.Time, begin time.Time, ok, hit bool, attempts int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	t.attempts += attempts
	if !ok {
		t.refused++
		return
	}
	t.delivered++
	if hit {
		t.hit++
	}
	t.latencies = append(t.latencies, time.Since(started))
	t.perSecond[int(time.Since(begin)/time.Second)]++
}

func (t *tally) quantile(q float64) time.Duration {
	sort.Slice(t.latencies, func(i, j int) bool { return t.latencies[i] < t.latencies[j] })
	if len(t.latencies) == 0 {
		return 0
	}
	return t.latencies[int(q*float64(len(t.latencies)-1))].Round(time.Millisecond)
}

// policy sends one request and reports success, a cache hit and the attempts.
type policy func(d *door, prefix uint64) (ok, hit bool, attempts int)

func ours(d *door, prefix uint64) (ok, hit bool, attempts int) {
	return throughGates(d, prefix, func(q *balancer.Query) *balancer.Member { return d.table.Pick(q) })
}

func roundRobin(d *door, prefix uint64) (ok, hit bool, attempts int) {
	return throughGates(d, prefix, func(*balancer.Query) *balancer.Member {
		d.next++
		return d.members[d.next%len(d.members)]
	})
}

// throughGates is the whole way with gates, budget and free retries; only the
// choice varies.
func throughGates(d *door, prefix uint64, choose func(*balancer.Query) *balancer.Member) (ok, hit bool, attempts int) {
	q := &balancer.Query{PrefixHash: prefix, HasPrefix: true}
	d.budget.Earn()
	limit := time.Now().Add(deadline)
	for tries := 0; tries < 2*retry.MaxAttempts && time.Now().Before(limit); tries++ {
		m := choose(q)
		if m == nil {
			time.Sleep(20 * time.Millisecond)
			q = &balancer.Query{PrefixHash: prefix, HasPrefix: true}
			continue
		}
		s := d.byName[m.Name]
		reason, answered, cached := once(d, m, s, prefix, limit)
		if reason == "" {
			attempts++
			if answered {
				return true, cached, attempts
			}
			reason = outcome.EndpointBroke
		}
		q.Exclude(m)
		if retry.CostOf(reason) != retry.CostNone && !d.budget.Spend() {
			return false, false, attempts
		}
	}
	return false, false, attempts
}

func once(d *door, m *balancer.Member, s *server, prefix uint64, limit time.Time) (outcome.Reason, bool, bool) {
	m.Begin()
	defer m.End()
	time.Sleep(time.Millisecond / 2)
	if s.dead {
		m.MarkDown()
		return outcome.EndpointUnreachable, false, false
	}
	a := gate.Attempt{RequestID: fmt.Sprint(rand.Uint64()), Number: 1, Account: "a", Weight: 1, Idempotent: true, Deadline: limit, Incarnation: "i", Epoch: 1}
	later := make(chan gate.Decision, 1)
	verdict := s.gate.Submit(a, func(v gate.Decision) { later <- v })
	if _, waits := verdict.(gate.Queued); waits {
		verdict = <-later
	}
	if r, refused := verdict.(gate.Refused); refused {
		d.observe(m, s)
		return r.Reason, false, false
	}
	started := time.Now()
	hit, ok := s.serve(prefix)
	s.gate.Finish(a, gate.Completion{Healthy: ok, FirstByte: time.Since(started), Total: time.Since(started)})
	d.observe(m, s)
	return "", ok, hit
}

// naive sends straight to the servers in turn and repeats at once on failure.
func naive(d *door, _ uint64) (ok, hit bool, attempts int) {
	for range retry.MaxAttempts {
		d.next++
		s := d.servers[d.next%len(d.servers)]
		if s.held {
			continue
		}
		attempts++
		time.Sleep(time.Millisecond / 2)
		started := time.Now()
		hit, ok = s.serve(uint64(d.next))
		if ok && time.Since(started) < deadline {
			return true, hit, attempts
		}
	}
	return false, false, attempts
}

// experiment drives doors at a share of capacity in bursts of seconds.
type experiment struct {
	doors, servers, domains int
	load                    float64
	length                  time.Duration
	policy                  policy
	events                  func([]*server)
}

func (e experiment) run(t *testing.T) *tally {
	result := &tally{perSecond: map[int]int{}}
	synctest.Test(t, func(*testing.T) {
		random := rand.New(rand.NewPCG(seed, seed))
		servers := []*server{}
		for i := range e.servers {
			servers = append(servers, newServer(i, e.domains, 0))
		}
		doors := []*door{}
		stop := make(chan struct{})
		var duties sync.WaitGroup
		for i := range e.doors {
			d := newDoor(i, e.domains, servers)
			doors = append(doors, d)
			duties.Go(func() { d.watch(stop) })
		}
		if e.events != nil {
			duties.Go(func() { e.events(servers) })
		}
		rate := e.load * float64(e.servers) * capacity / serviceTime.Seconds()
		start := time.Now()
		begin := start.Add(settling)
		for time.Since(begin) < e.length {
			now := rate * 1.4
			if time.Now().Before(begin) || int(time.Since(begin)/(2*time.Second))%2 == 1 {
				now = rate * 0.6
			}
			time.Sleep(time.Duration(random.ExpFloat64() / now * float64(time.Second)))
			d := doors[random.IntN(len(doors))]
			prefix := balancer.HashPrefix([]byte{byte(random.IntN(prefixes)), byte(random.IntN(2))})
			duties.Go(func() {
				started := time.Now()
				ok, hit, attempts := e.policy(d, prefix)
				if !started.Before(begin) {
					result.note(started, begin, ok, hit, attempts)
				}
			})
		}
		time.Sleep(3 * deadline)
		close(stop)
		duties.Wait()
	})
	return result
}

func TestChoicePolicies(t *testing.T) {
	fmt.Printf("%-8s %-8s %-6s %-12s %8s %8s %9s %7s\n", "entries", "servers", "load", "choice", "p50", "p99", "refused", "hits")
	for _, size := range [][2]int{{2, 12}, {3, 12}, {20, 100}, {410, 910}} {
		for _, load := range []float64{0.6, 0.9, 1.2} {
			for name, p := range map[string]policy{"ours": ours, "round robin": roundRobin} {
				length := 12 * time.Second
				if size[0] == 410 {
					length = 4 * time.Second
				}
				r := experiment{doors: size[0], servers: size[1], domains: 3, load: load, length: length, policy: p}.run(t)
				fmt.Printf("%-8d %-8d %-6.1f %-12s %8v %8v %8.2f%% %6.1f%%\n", size[0], size[1], load, name,
					r.quantile(0.5), r.quantile(0.99), 100*float64(r.refused)/float64(r.sent), 100*float64(r.hit)/float64(max(1, r.delivered)))
			}
		}
	}
}

func TestFailureDomainLeaves(t *testing.T) {
	fmt.Printf("%-10s %-6s %-8s %7s %10s %10s %12s %s\n", "event", "load", "version", "sent", "delivered", "attempts", "full again", "delivered each second")
	kinds := map[string]func(*server, bool){
		"taken out": func(s *server, out bool) { s.held = out },
		"killed":    func(s *server, out bool) { s.dead = out },
	}
	for kind, change := range kinds {
		for _, load := range []float64{0.6, 0.9} {
			for name, p := range map[string]policy{"ours": ours, "naive": naive} {
				events := func(servers []*server) {
					time.Sleep(settling + 5*time.Second)
					each(servers, func(s *server) { change(s, true) })
					time.Sleep(7 * time.Second)
					each(servers, func(s *server) {
						s.cold = warmAfter
						change(s, false)
						s.gate.ApplyLoadReport(true, 0)
					})
				}
				r := experiment{doors: 3, servers: 12, domains: 3, load: load, length: 24 * time.Second, policy: p, events: events}.run(t)
				fmt.Printf("%-10s %-6.1f %-8s %7d %9.2f%% %10.3f %12s %v\n", kind, load, name, r.sent,
					100*float64(r.delivered)/float64(r.sent), float64(r.attempts)/float64(r.sent), r.fullAgain(12), r.seconds(24))
			}
		}
	}
}

func each(servers []*server, f func(*server)) {
	for _, s := range servers {
		if s.domain == "d0" {
			f(s)
		}
	}
}

func (t *tally) seconds(n int) []int {
	out := []int{}
	for i := range n {
		out = append(out, t.perSecond[i])
	}
	return out
}

// fullAgain returns the seconds from the return until a four-second mean
// reaches 95 % of that before the event.
func (t *tally) fullAgain(returned int) string {
	before := t.perSecond[0] + t.perSecond[1] + t.perSecond[2] + t.perSecond[3]
	for at := returned; at < 21; at++ {
		now := t.perSecond[at] + t.perSecond[at+1] + t.perSecond[at+2] + t.perSecond[at+3]
		if float64(now) >= 0.95*float64(before) {
			return fmt.Sprint(at-returned, " s")
		}
	}
	return "not within 9 s"
}
