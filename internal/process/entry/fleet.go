package entry

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/caller"
	"github.com/cicadareel/cicadareel/internal/connection/peer"
	"github.com/cicadareel/cicadareel/internal/connection/sidecar"
	"github.com/cicadareel/cicadareel/internal/connection/store"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/metrics"
	"github.com/cicadareel/cicadareel/internal/process/settings"
	"github.com/cicadareel/cicadareel/internal/request/balancer"
	"github.com/cicadareel/cicadareel/internal/version/view"
	"github.com/cicadareel/cicadareel/pkg/bundle"
)

// subsetSize bounds the endpoints of one group that an entry connects to.
const subsetSize = 20

// node is one endpoint with its link.
type node struct {
	member *balancer.Member
	link   *sidecar.Link
}

// GateChanged implements sidecar.Observer.
func (n *node) GateChanged(g sidecar.GateState) {
	n.member.ApplyGateState(g.Limit, g.InFlight+g.Queued, g.Open)
}

// LinkDown implements sidecar.Observer.
func (n *node) LinkDown() { n.member.MarkDown() }

// fleet keeps links to the endpoints of the bundle in force.
type fleet struct {
	settings *settings.Settings
	dialer   *peer.Dialer
	view     *view.View
	members  *store.Members
	log      *events.Log
	metrics  *metrics.Metrics

	mu    sync.RWMutex
	nodes map[string]*node
	// visited holds nodes outside this entry's subset that keyed repeats had to
	// reach; they take no new work and go at the next rebuild.
	visited map[string]*node
	// tables holds the nodes of each group.
	tables map[string]*balancer.Picker
}

func newFleet(s *settings.Settings, d *peer.Dialer, v *view.View, m *store.Members, l *events.Log, x *metrics.Metrics) *fleet {
	return &fleet{
		settings: s,
		dialer:   d,
		view:     v,
		members:  m,
		log:      l,
		metrics:  x,
		nodes:    map[string]*node{},
		visited:  map[string]*node{},
		tables:   map[string]*balancer.Picker{},
	}
}

// Choose implements caller.Fleet.
func (f *fleet) Choose(group string, q *balancer.Query) (caller.Target, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	table := f.tables[group]
	if table == nil {
		return caller.Target{}, false
	}
	m := table.Pick(q)
	if m == nil {
		return caller.Target{}, false
	}
	n := f.nodes[m.Name]
	return caller.Target{Member: m, Transport: caller.SidecarTransport{Link: n.link}}, true
}

// FindLink implements caller.Fleet. An endpoint outside the subset gets a link of
// its own.
func (f *fleet) FindLink(endpoint string) (*sidecar.Link, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[endpoint]
	if n == nil {
		n = f.visit(endpoint)
	}
	if n == nil {
		return nil, false
	}
	return n.link, true
}

// RetryAfter implements caller.Fleet. Gates do not say when they open.
func (f *fleet) RetryAfter(string) time.Duration { return 0 }

func (f *fleet) visit(endpoint string) *node {
	if n := f.visited[endpoint]; n != nil {
		return n
	}
	e := f.view.Bundle().Endpoint(endpoint)
	at, ok := f.sidecarAddresses()[endpoint]
	if e == nil || !ok {
		return nil
	}
	n := f.newNode(e, at)
	f.visited[endpoint] = n
	return n
}

// refresh follows the bundle, the holds and the instance list.
func (f *fleet) refresh() {
	b := f.view.Bundle()
	if b == nil {
		return
	}
	addresses := f.sidecarAddresses()
	for _, old := range f.rebuild(b, addresses) {
		go old.link.Close()
	}
	f.applyHolds()
}

func (f *fleet) sidecarAddresses() map[string]netip.AddrPort {
	addresses := map[string]netip.AddrPort{}
	for _, i := range f.members.List() {
		if i.Endpoint != "" {
			addresses[i.Endpoint] = i.PeerAddress
		}
	}
	return addresses
}

// rebuild replaces the tables and returns the nodes that are not used any more.
func (f *fleet) rebuild(b *bundle.Bundle, addresses map[string]netip.AddrPort) []*node {
	wanted := f.wanted(b, addresses)
	f.mu.Lock()
	defer f.mu.Unlock()
	dropped := slices.Collect(maps.Values(f.visited))
	f.visited = map[string]*node{}
	for name, n := range f.nodes {
		if at, ok := wanted[name]; !ok || at != n.link.Address() {
			dropped = append(dropped, n)
			delete(f.nodes, name)
		}
	}
	for name, at := range wanted {
		if f.nodes[name] == nil {
			f.nodes[name] = f.newNode(b.Endpoint(name), at)
		}
	}
	f.tables = f.newTables(b)
	return dropped
}

// wanted returns the addresses of the endpoints that this entry connects to.
func (f *fleet) wanted(b *bundle.Bundle, addresses map[string]netip.AddrPort) map[string]netip.AddrPort {
	sites := map[string][]balancer.Candidate{}
	for i := range b.Endpoints {
		e := &b.Endpoints[i]
		if _, ok := addresses[e.Name]; ok {
			sites[e.Group] = append(sites[e.Group], balancer.Candidate{Name: e.Name, FailureDomain: e.FailureDomain})
		}
	}
	wanted := map[string]netip.AddrPort{}
	for _, group := range sites {
		for _, site := range balancer.Subset(f.settings.Instance, group, subsetSize) {
			wanted[site.Name] = addresses[site.Name]
		}
	}
	return wanted
}

func (f *fleet) newNode(e *bundle.Endpoint, at netip.AddrPort) *node {
	n := &node{member: balancer.NewMember(e.Name, e.FailureDomain)}
	n.link = sidecar.NewLink(e.Name, f.settings.Instance, at, f.dialer, n, f.log, f.metrics)
	return n
}

func (f *fleet) newTables(b *bundle.Bundle) map[string]*balancer.Picker {
	members := map[string][]*balancer.Member{}
	for i := range b.Endpoints {
		e := &b.Endpoints[i]
		if n := f.nodes[e.Name]; n != nil {
			members[e.Group] = append(members[e.Group], n.member)
		}
	}
	tables := map[string]*balancer.Picker{}
	for group, all := range members {
		tables[group] = balancer.NewPicker(all, f.settings.FailureDomain)
	}
	return tables
}

func (f *fleet) applyHolds() {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, n := range f.nodes {
		n.member.SetHeld(f.view.Held(n.member.Name, n.member.FailureDomain) != "")
	}
}

// close ends all links.
func (f *fleet) close() {
	f.mu.Lock()
	nodes := append(slices.Collect(maps.Values(f.nodes)), slices.Collect(maps.Values(f.visited))...)
	f.nodes, f.visited = map[string]*node{}, map[string]*node{}
	f.tables = map[string]*balancer.Picker{}
	f.mu.Unlock()
	for _, n := range nodes {
		n.link.Close()
	}
}
