// Package proof holds the tests of the promises under faults.
package proof

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/cicadareel/cicadareel/internal/connection/caller"
	"github.com/cicadareel/cicadareel/internal/connection/endpoint"
	"github.com/cicadareel/cicadareel/internal/connection/entry"
	"github.com/cicadareel/cicadareel/internal/connection/peer"
	"github.com/cicadareel/cicadareel/internal/connection/sidecar"
	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/metrics"
	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/request/balancer"
	"github.com/cicadareel/cicadareel/internal/request/claim"
	"github.com/cicadareel/cicadareel/internal/request/gate"
	"github.com/cicadareel/cicadareel/internal/request/retry"
	"github.com/cicadareel/cicadareel/internal/standin"
	"github.com/cicadareel/cicadareel/pkg/bundle"
)

// suite is the test that the specs belong to; bubbles need it.
var suite *testing.T

func TestProof(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "proof")
}

// bubble runs f with a clock that tests advance.
func bubble(f func()) {
	GinkgoHelper()
	synctest.Test(suite, func(*testing.T) {
		defer GinkgoRecover()
		f()
	})
}

const (
	tokens      = 5
	step        = 100 * time.Millisecond
	callerToken = "token"
)

var quiet = events.NewLog("panic", "proof")

func testBundle(endpoints ...string) *bundle.Bundle {
	GinkgoHelper()
	text := fmt.Sprintf(`version = 1
failureDomains = [{name="a"}, {name="b"}]
groups = [{name="model", kind="model", coldLimit=2, warmLimit=8, warmAfter=2, queueLimit=16},
          {name="desk", kind="application", coldLimit=2, warmLimit=8, warmAfter=2, queueLimit=16}]
routes = [{path="/draft", group="model", idempotent=true, priority=5, timeout="30s", maxBodyBytes=65536},
          {path="/splice", group="model", idempotent=true, splice=true, priority=5, timeout="30s", maxBodyBytes=65536},
          {path="/book", group="desk", idempotent=false, priority=5, timeout="20s", maxBodyBytes=65536}]
clientAccounts = [{name="homeowners", tokenHashes=[%q], weight=1}]
`, bundle.HashToken(callerToken))
	for i, name := range endpoints {
		group := "model"
		if strings.HasPrefix(name, "desk") {
			group = "desk"
		}
		text += fmt.Sprintf("[[endpoints]]\nname=%q\ngroup=%q\nfailureDomain=%q\n", name, group, string("ab"[i%2]))
	}
	b, err := bundle.Parse([]byte(text))
	Expect(err).NotTo(HaveOccurred())
	return b
}

// site is one endpoint with its sidecar.
type site struct {
	rig         *rig
	name        string
	domain      string
	engine      *standin.Engine
	service     *standin.Service
	http        *http.Server
	gate        *gate.Gate
	server      *entry.Server
	grpc        *grpc.Server
	stop        context.CancelFunc
	monitor     *endpoint.Monitor
	incarnation int
	mu          sync.Mutex
	// past holds the records of endpoint processes that were killed.
	past       []standin.Record
	sidecarUp  bool
	endpointUp bool
	barrier    outcome.Reason
	evict      bool
}

func (s *site) sidecarAddress() netip.AddrPort  { return addressOf("sidecar-" + s.name) }
func (s *site) endpointAddress() netip.AddrPort { return addressOf("endpoint-" + s.name) }

// addressOf gives each name an address of its own.
func addressOf(name string) netip.AddrPort {
	sum := bundle.HashToken(name)
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, sum[0], sum[1], sum[2]}), uint16(1024+int(sum[3])*100+int(sum[4])))
}

// rig is one system in memory: sites, a table and any number of entries.
type rig struct {
	network *standin.Network
	table   *standin.Platform
	bundle  *bundle.Bundle
	sites   map[string]*site
	doors   []*door
	metrics *metrics.Metrics
}

// door is one entry.
type door struct {
	service *caller.Service
	links   map[string]*sidecar.Link
	members map[string]*balancer.Member
	tables  map[string]*balancer.Picker
	claims  *claim.Store
	stop    context.CancelFunc
}

func newRig(endpoints ...string) *rig {
	GinkgoHelper()
	m, err := metrics.NewMetrics()
	Expect(err).NotTo(HaveOccurred())
	r := &rig{network: standin.NewNetwork(), table: standin.NewPlatform(), bundle: testBundle(endpoints...), sites: map[string]*site{}, metrics: m}
	for _, name := range endpoints {
		s := &site{rig: r, name: name, domain: r.bundle.Endpoint(name).FailureDomain}
		r.sites[name] = s
		s.startEndpoint()
		s.startSidecar()
	}
	r.openDoor()
	time.Sleep(time.Second)
	return r
}

func (s *site) startEndpoint() {
	if s.endpointUp {
		return
	}
	s.endpointUp = true
	c := standin.EndpointConfig{Name: s.name, FailureDomain: s.domain, Tokens: tokens, StepTime: step, ColdRequests: 2, ColdFactor: 2}
	var handler http.Handler
	if strings.HasPrefix(s.name, "desk") {
		s.service = standin.NewService(c)
		handler = s.service.Handler()
	} else {
		s.engine = standin.NewEngine(c)
		handler = s.engine.Handler()
	}
	s.http = &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	l := s.rig.network.Listen(s.endpointAddress().String())
	server := s.http
	go func() { _ = server.Serve(l) }()
}

func (s *site) killEndpoint() {
	if !s.endpointUp {
		return
	}
	s.endpointUp = false
	s.past = append(s.past, s.endpointRecord())
	_ = s.http.Close()
	s.rig.network.Disconnect(s.endpointAddress().String())
}

func (s *site) startSidecar() {
	if s.sidecarUp {
		return
	}
	s.sidecarUp = true
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	s.incarnation++
	name := fmt.Sprintf("%s-%d", s.name, s.incarnation)
	group := s.rig.bundle.Group(s.rig.bundle.Endpoint(s.name).Group)
	config := gate.Config{ColdLimit: group.ColdLimit, WarmLimit: group.WarmLimit, WarmAfter: group.WarmAfter, QueueLimit: group.QueueLimit}
	s.gate = gate.NewGate(name, config, s.currentBarrier)
	client := endpoint.NewClientWithDialer(s.endpointAddress(), s.rig.network.DialNetwork)
	kind := func() (bundle.Kind, bool) { return group.Kind, true }
	leaving := func(l bool) {
		if l {
			s.setBarrier(outcome.Leaving, true)
		}
	}
	s.monitor = endpoint.NewMonitor(ctx, client, s.gate, kind, leaving, quiet)
	s.server = entry.NewServer(ctx, s.name, name, s.gate, client, quiet, s.rig.metrics)
	s.grpc = peer.NewGRPCServer(insecure.NewCredentials())
	wire.RegisterSidecarServer(s.grpc, s.server)
	l := s.rig.network.Listen(s.sidecarAddress().String())
	server := s.grpc
	go func() { _ = server.Serve(l) }()
}

// killSidecar ends the process without any goodbye.
func (s *site) killSidecar() {
	if !s.sidecarUp {
		return
	}
	s.sidecarUp = false
	s.rig.network.Disconnect(s.sidecarAddress().String())
	s.grpc.Stop()
	s.stop()
	s.rig.network.Disconnect(s.endpointAddress().String())
	s.server.Wait()
	s.monitor.Wait()
}

func (s *site) currentBarrier() (outcome.Reason, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.barrier, s.evict
}

func (s *site) setBarrier(reason outcome.Reason, evict bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.barrier, s.evict = reason, evict
}

// record adds up the records of all processes of this endpoint.
func (s *site) record() standin.Record {
	total := s.endpointRecord()
	if !s.endpointUp {
		total = standin.Record{Runs: map[string]int{}, Bodies: map[string]int{}}
	}
	for _, p := range s.past {
		for id, n := range p.Runs {
			total.Runs[id] += n
		}
		for body, n := range p.Bodies {
			total.Bodies[body] += n
		}
		total.PeakCold = max(total.PeakCold, p.PeakCold)
	}
	return total
}

func (s *site) endpointRecord() standin.Record {
	if s.service != nil {
		return s.service.Record()
	}
	return s.engine.Record()
}

type observer struct{ member *balancer.Member }

func (o observer) GateChanged(g sidecar.GateState) {
	o.member.ApplyGateState(g.Limit, g.InFlight+g.Queued, g.Open)
}
func (o observer) LinkDown() { o.member.MarkDown() }

func (r *rig) openDoor() *door {
	ctx, stop := context.WithCancel(context.Background())
	d := &door{links: map[string]*sidecar.Link{}, members: map[string]*balancer.Member{}, tables: map[string]*balancer.Picker{}, stop: stop}
	groups := map[string][]*balancer.Member{}
	dialer := peer.NewDialerWith(insecure.NewCredentials, r.network.Dial)
	for name, s := range r.sites {
		m := balancer.NewMember(name, s.domain)
		d.members[name] = m
		group := r.bundle.Endpoint(name).Group
		groups[group] = append(groups[group], m)
		d.links[name] = sidecar.NewLink(name, fmt.Sprintf("entry-%d", len(r.doors)), s.sidecarAddress(), dialer, observer{m}, quiet, r.metrics)
	}
	for group, members := range groups {
		d.tables[group] = balancer.NewPicker(members, "a")
	}
	d.claims = claim.NewStore(ctx, r.table)
	d.service = caller.NewService(caller.Dependencies{
		CurrentBundle: func() *bundle.Bundle { return r.bundle },
		Fleet:         d,
		Claims:        d.claims,
		Dialect:       caller.DefaultDialect{},
		Budgets:       retry.NewBudgets(retry.DefaultConfig()),
		Log:           quiet,
		Metrics:       r.metrics,
	})
	r.doors = append(r.doors, d)
	return d
}

func (d *door) Choose(group string, q *balancer.Query) (caller.Target, bool) {
	m := d.tables[group].Pick(q)
	if m == nil {
		return caller.Target{}, false
	}
	return caller.Target{Member: m, Transport: caller.SidecarTransport{Link: d.links[m.Name]}}, true
}

func (d *door) RetryAfter(string) time.Duration { return 0 }

func (d *door) FindLink(name string) (*sidecar.Link, bool) {
	return d.links[name], true
}

func (r *rig) close() {
	for _, d := range r.doors {
		d.stop()
		for _, l := range d.links {
			l.Close()
		}
		d.claims.Wait()
	}
	for _, s := range r.sites {
		s.killSidecar()
		s.killEndpoint()
	}
	r.network.Close()
	synctest.Wait()
}

// answer is what a caller got.
type answer struct {
	status  int
	body    string
	outcome string
	reason  string
	aborted bool
	took    time.Duration
	// requestID is what the answer's header says.
	requestID string
}

// exchange sends one request through a door and waits for its end.
func (d *door) exchange(path, body, key string) answer {
	w := httptest.NewRecorder()
	req := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+callerToken)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	started := time.Now()
	aborted := serve(d.service, w, req)
	return readAnswer(w, aborted, time.Since(started))
}

func serve(h http.Handler, w http.ResponseWriter, req *http.Request) (aborted bool) {
	defer func() {
		if p := recover(); p != nil {
			aborted = true
		}
	}()
	h.ServeHTTP(w, req)
	return false
}

func readAnswer(w *httptest.ResponseRecorder, aborted bool, took time.Duration) answer {
	a := answer{status: w.Code, body: w.Body.String(), aborted: aborted, took: took, requestID: w.Header().Get(caller.RequestIDHeader)}
	if !aborted && w.Header().Get("Content-Type") == "application/problem+json" {
		p := caller.Problem{}
		Expect(decodeJSON(w.Body.Bytes(), &p)).To(Succeed())
		a.outcome, a.reason = p.Outcome, string(p.Reason)
	}
	return a
}

// start sends a request in the background.
func (d *door) start(path, body, key string) <-chan answer {
	c := make(chan answer, 1)
	go func() { c <- d.exchange(path, body, key) }()
	return c
}

// totalRuns counts the runs of all requests at all endpoints.
func (r *rig) totalRuns() int {
	n := 0
	for _, s := range r.sites {
		for _, runs := range s.record().Runs {
			n += runs
		}
	}
	return n
}
