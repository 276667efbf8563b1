package entry

import (
	"context"
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

// subsetSize limits the endpoints of one group that an entry connects to.
const subsetSize = 20

// linkedEndpoint is one endpoint with the link to its sidecar.
type linkedEndpoint struct {
	member *balancer.Member
	link   *sidecar.Link
}

// GateChanged implements sidecar.Observer.
func (l *linkedEndpoint) GateChanged(g sidecar.GateState) {
	l.member.ApplyGateState(g.Limit, g.InFlight+g.Queued, g.Open)
}

// LinkDown implements sidecar.Observer.
func (l *linkedEndpoint) LinkDown() { l.member.MarkDown() }

// sidecarFleet holds links to the sidecars of the endpoints in the current bundle
// and chooses between the endpoints.
type sidecarFleet struct {
	settings *settings.Settings
	dialer   *peer.Dialer
	view     *view.View
	members  *store.Members
	log      *events.Log
	metrics  *metrics.Metrics

	mu        sync.RWMutex
	endpoints map[string]*linkedEndpoint
	// outsideSubset holds endpoints outside this entry's subset that repeats of
	// requests with an idempotency key had to reach. They get no new requests and
	// are dropped at the next rebuild.
	outsideSubset map[string]*linkedEndpoint
	// pickers holds the picker of each endpoint group.
	pickers map[string]*balancer.Picker
}

func newSidecarFleet(s *settings.Settings, d *peer.Dialer, v *view.View, m *store.Members, l *events.Log, registry *metrics.Metrics) *sidecarFleet {
	return &sidecarFleet{
		settings:      s,
		dialer:        d,
		view:          v,
		members:       m,
		log:           l,
		metrics:       registry,
		endpoints:     map[string]*linkedEndpoint{},
		outsideSubset: map[string]*linkedEndpoint{},
		pickers:       map[string]*balancer.Picker{},
	}
}

// Choose implements caller.Fleet.
func (f *sidecarFleet) Choose(group string, q *balancer.Query) (caller.Target, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	picker := f.pickers[group]
	if picker == nil {
		return caller.Target{}, false
	}
	m := picker.Pick(q)
	if m == nil {
		return caller.Target{}, false
	}
	l := f.endpoints[m.Name]
	return caller.Target{Member: m, Transport: caller.SidecarTransport{Link: l.link}}, true
}

// FindLink implements caller.Fleet. It opens a link to an endpoint outside the subset.
func (f *sidecarFleet) FindLink(endpoint string) (*sidecar.Link, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.endpoints[endpoint]
	if l == nil {
		l = f.linkOutsideSubset(endpoint)
	}
	if l == nil {
		return nil, false
	}
	return l.link, true
}

// HasCrashed implements caller.Fleet. Sidecars notice crashes of their endpoints.
func (f *sidecarFleet) HasCrashed(context.Context, string) bool { return false }

// RetryAfter implements caller.Fleet. Sidecars do not report when their gates open.
func (f *sidecarFleet) RetryAfter(string) time.Duration { return 0 }

// linkOutsideSubset returns an endpoint outside the subset, or nil if its sidecar
// is not known.
func (f *sidecarFleet) linkOutsideSubset(endpoint string) *linkedEndpoint {
	if l := f.outsideSubset[endpoint]; l != nil {
		return l
	}
	e := f.view.Bundle().Endpoint(endpoint)
	at, ok := f.sidecarAddresses()[endpoint]
	if e == nil || !ok {
		return nil
	}
	l := f.newLinkedEndpoint(e, at)
	f.outsideSubset[endpoint] = l
	return l
}

// refresh applies the bundle, the holds and the instance list.
func (f *sidecarFleet) refresh() {
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

func (f *sidecarFleet) sidecarAddresses() map[string]netip.AddrPort {
	addresses := map[string]netip.AddrPort{}
	for _, i := range f.members.List() {
		if i.Endpoint != "" {
			addresses[i.Endpoint] = i.PeerAddress
		}
	}
	return addresses
}

// rebuild replaces the pickers and returns the endpoints that are no longer used.
func (f *sidecarFleet) rebuild(b *bundle.Bundle, addresses map[string]netip.AddrPort) []*linkedEndpoint {
	wanted := f.wantedAddresses(b, addresses)
	f.mu.Lock()
	defer f.mu.Unlock()
	dropped := slices.Collect(maps.Values(f.outsideSubset))
	f.outsideSubset = map[string]*linkedEndpoint{}
	for name, l := range f.endpoints {
		if at, ok := wanted[name]; !ok || at != l.link.Address() {
			dropped = append(dropped, l)
			delete(f.endpoints, name)
		}
	}
	for name, at := range wanted {
		if f.endpoints[name] == nil {
			f.endpoints[name] = f.newLinkedEndpoint(b.Endpoint(name), at)
		}
	}
	f.pickers = f.newPickers(b)
	return dropped
}

// wantedAddresses returns the sidecar addresses of the endpoints to connect to.
func (f *sidecarFleet) wantedAddresses(b *bundle.Bundle, addresses map[string]netip.AddrPort) map[string]netip.AddrPort {
	candidates := map[string][]balancer.Candidate{}
	for i := range b.Endpoints {
		e := &b.Endpoints[i]
		if _, ok := addresses[e.Name]; ok {
			candidates[e.Group] = append(candidates[e.Group], balancer.Candidate{Name: e.Name, FailureDomain: e.FailureDomain})
		}
	}
	wanted := map[string]netip.AddrPort{}
	for _, group := range candidates {
		for _, candidate := range balancer.Subset(f.settings.Instance, group, subsetSize) {
			wanted[candidate.Name] = addresses[candidate.Name]
		}
	}
	return wanted
}

func (f *sidecarFleet) newLinkedEndpoint(e *bundle.Endpoint, at netip.AddrPort) *linkedEndpoint {
	l := &linkedEndpoint{member: balancer.NewMember(e.Name, e.FailureDomain)}
	l.link = sidecar.NewLink(e.Name, f.settings.Instance, at, f.dialer, l, f.log, f.metrics)
	return l
}

func (f *sidecarFleet) newPickers(b *bundle.Bundle) map[string]*balancer.Picker {
	members := map[string][]*balancer.Member{}
	for i := range b.Endpoints {
		e := &b.Endpoints[i]
		if l := f.endpoints[e.Name]; l != nil {
			members[e.Group] = append(members[e.Group], l.member)
		}
	}
	pickers := map[string]*balancer.Picker{}
	for group, all := range members {
		pickers[group] = balancer.NewPicker(all, f.settings.FailureDomain)
	}
	return pickers
}

func (f *sidecarFleet) applyHolds() {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, l := range f.endpoints {
		l.member.SetHeld(f.view.StrongestHold(l.member.Name, l.member.FailureDomain) != "")
	}
}

// close closes all links.
func (f *sidecarFleet) close() {
	f.mu.Lock()
	endpoints := append(slices.Collect(maps.Values(f.endpoints)), slices.Collect(maps.Values(f.outsideSubset))...)
	f.endpoints, f.outsideSubset = map[string]*linkedEndpoint{}, map[string]*linkedEndpoint{}
	f.pickers = map[string]*balancer.Picker{}
	f.mu.Unlock()
	for _, l := range endpoints {
		l.link.Close()
	}
}
