package entry

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/cicadareel/cicadareel/internal/connection/caller"
	"github.com/cicadareel/cicadareel/internal/connection/sidecar"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/process/settings"
	"github.com/cicadareel/cicadareel/internal/request/balancer"
	"github.com/cicadareel/cicadareel/internal/table"
	"github.com/cicadareel/cicadareel/internal/version/mirror"
	"github.com/cicadareel/cicadareel/internal/version/roster"
	"github.com/cicadareel/cicadareel/internal/version/slowness"
	"github.com/cicadareel/cicadareel/pkg/bundle"
	"github.com/cicadareel/cicadareel/platform"
)

// defaultEntryCount is the assumed number of entries that share limits while no
// other entry is known: more than small deployments have.
const defaultEntryCount = 8

// directFleet follows the mirror of the store. It holds the current bundle and
// the announced endpoints, and chooses between them.
type directFleet struct {
	settings *settings.Settings
	network  network
	mirror   *mirror.Mirror
	slowness *slowness.Tracker
	log      *events.Log
	bundle   atomic.Pointer[bundle.Bundle]
	// place is that of this entry among the live ones.
	place balancer.Place
	// entryCount is the number of entries that share limits.
	entryCount atomic.Int32
	// liveEntries returns the names of the live entries, this one included. onLimitChange
	// is called when this entry sees that a limit of an endpoint begins or ends. Both are
	// set before the first request.
	liveEntries   func() []string
	onLimitChange func()
	// loops waits for the background tasks of the fleet.
	loops sync.WaitGroup
	// crashChecks joins the checks of one endpoint.
	crashChecks singleflight.Group
	// ctx ends with the process; groupChecks waits for the goroutines of rank groups.
	ctx         context.Context
	groupChecks sync.WaitGroup

	mu sync.RWMutex
	// configRevision is the revision of the row that the bundle was read from.
	configRevision table.Revision
	endpoints      map[string]*directEndpoint
	pickers        map[string]*balancer.Picker
	heldDomains    map[string]bool
	// groups are the lock-step groups by name.
	groups map[string]*rankGroup
	// endpointsRead is true once the endpoints were read from the mirror.
	endpointsRead bool
	// invalidRevisions holds the latest revision of each row that could not be
	// parsed.
	invalidRevisions map[string]table.Revision
}

func newDirectFleet(ctx context.Context, s *settings.Settings, n network, m *mirror.Mirror, t *slowness.Tracker, l *events.Log) *directFleet {
	f := &directFleet{
		settings:         s,
		network:          n,
		mirror:           m,
		slowness:         t,
		log:              l,
		endpoints:        map[string]*directEndpoint{},
		pickers:          map[string]*balancer.Picker{},
		heldDomains:      map[string]bool{},
		groups:           map[string]*rankGroup{},
		liveEntries:      func() []string { return []string{s.Instance} },
		onLimitChange:    func() {},
		ctx:              ctx,
		invalidRevisions: map[string]table.Revision{},
	}
	f.entryCount.Store(defaultEntryCount)
	f.loops.Go(func() { f.followLoop(ctx) })
	return f
}

func (f *directFleet) wait() {
	f.loops.Wait()
	f.groupChecks.Wait()
}

func (f *directFleet) followLoop(ctx context.Context) {
	for {
		changed := f.mirror.Changed()
		f.refresh()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// refresh applies the present content of the mirror.
func (f *directFleet) refresh() {
	if intent, ok := f.mirror.Snapshot(mirror.Intent); ok {
		f.applyIntent(intent)
	}
	if endpoints, ok := f.mirror.Snapshot(mirror.Endpoints); ok {
		f.applyEndpoints(endpoints)
	}
}

func (f *directFleet) applyIntent(s mirror.Snapshot) {
	held := map[string]bool{}
	for _, row := range s.All() {
		if domain, ok := platform.HeldDomain(row); ok {
			held[domain] = true
		}
		if platform.IsConfig(row) {
			f.applyConfig(row)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logHolds(held, s.Revision)
	f.heldDomains = held
	for _, e := range f.endpoints {
		e.member.SetHeld(held[e.info.FailureDomain])
	}
}

func (f *directFleet) logHolds(held map[string]bool, revision table.Revision) {
	for domain := range held {
		if !f.heldDomains[domain] {
			f.log.Info(events.FailureDomainHeld, events.Fields{"failureDomain": domain, "revision": revision.Number, "era": revision.Era})
		}
	}
	for domain := range f.heldDomains {
		if !held[domain] {
			f.log.Info(events.FailureDomainReleased, events.Fields{"failureDomain": domain, "revision": revision.Number, "era": revision.Era})
		}
	}
}

// applyConfig adopts a newer configuration. Versions never decrease.
func (f *directFleet) applyConfig(row table.Row) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !row.After(f.configRevision) {
		return
	}
	b, err := platform.DecodeBundle(row)
	if err != nil {
		f.logIgnoredRow("intent", row, err)
		return
	}
	if now := f.bundle.Load(); now != nil && b.Version < now.Version {
		return
	}
	f.configRevision = row.Revision
	f.bundle.Store(b)
	f.log.Info(events.BundleAdopted, events.Fields{"version": b.Version, "revision": row.Number, "era": row.Era, "routes": len(b.Routes)})
}

// logIgnoredRow logs a row that cannot be parsed, once per revision.
func (f *directFleet) logIgnoredRow(topic string, row table.Row, err error) {
	if f.invalidRevisions[row.Key] == row.Revision {
		return
	}
	f.invalidRevisions[row.Key] = row.Revision
	f.log.Warn(events.RowIgnored, events.Fields{"topic": topic, "key": row.Key, "revision": row.Number, "era": row.Era, "error": err.Error()})
}

func (f *directFleet) applyEndpoints(s mirror.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	present := map[string]bool{}
	membersChanged := false
	for _, row := range s.All() {
		info, err := f.decodeEndpoint(row)
		if err != nil {
			f.logIgnoredRow("endpoints", row, err)
			continue
		}
		if f.bundle.Load() != nil && f.bundle.Load().Group(info.Group) == nil {
			continue
		}
		present[info.Name] = true
		membersChanged = f.applyEndpoint(info) || membersChanged
	}
	for name, e := range f.endpoints {
		if !present[name] {
			e.retire("no longer announced", s.Revision)
			delete(f.endpoints, name)
			membersChanged = true
		}
	}
	f.endpointsRead = true
	if membersChanged {
		f.rebuildPickers()
	}
}

// decodeEndpoint decodes the row of an endpoint, unless that revision of it is known.
func (f *directFleet) decodeEndpoint(row table.Row) (roster.Endpoint, error) {
	if e := f.endpoints[row.Key]; e != nil && e.info.Revision == row.Revision {
		return e.info, nil
	}
	return platform.DecodeEndpoint(row)
}

// applyEndpoint adds or updates one endpoint. One that restarted or moved to
// another address is replaced. It reports whether the members of a group changed.
func (f *directFleet) applyEndpoint(info roster.Endpoint) bool {
	e := f.endpoints[info.Name]
	changed := e == nil || e.info.Leaving != info.Leaving || !e.info.StartedAt.Equal(info.StartedAt) || e.info.Address != info.Address
	if e != nil && (!e.info.StartedAt.Equal(info.StartedAt) || e.info.Address != info.Address) {
		e.retire("restarted or moved", info.Revision)
		e = nil
	}
	if e == nil {
		e = newDirectEndpoint(f, info)
		f.endpoints[info.Name] = e
		f.log.Info(events.EndpointAdded, events.Fields{
			"endpoint": info.Name, "group": info.Group, "failureDomain": info.FailureDomain,
			"address": info.Address.String(), "revision": info.Revision.Number, "era": info.Revision.Era, "coldMs": info.ColdFor.Milliseconds(), "leaving": info.Leaving,
		})
	}
	e.update(info)
	if info.Membership != nil {
		e.joinGroup(f.group(info.Membership.Group))
		e.group.Load().applyAnnouncement(*info.Membership)
	}
	return changed
}

// group returns the lock-step group with the name and creates it if needed.
func (f *directFleet) group(name string) *rankGroup {
	g := f.groups[name]
	if g == nil {
		g = &rankGroup{name: name, fleet: f}
		f.groups[name] = g
	}
	return g
}

// rebuildPickers replaces the picker of each endpoint group.
func (f *directFleet) rebuildPickers() {
	members := map[string][]*balancer.Member{}
	for _, e := range f.endpoints {
		if !e.info.Leaving {
			members[e.info.Group] = append(members[e.info.Group], e.member)
		}
	}
	f.pickers = map[string]*balancer.Picker{}
	for group, all := range members {
		f.pickers[group] = balancer.NewPickerAt(all, f.settings.FailureDomain, &f.place)
	}
}

// Choose implements caller.Fleet.
func (f *directFleet) Choose(group string, q *balancer.Query) (caller.Target, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	m := f.pick(group, q)
	if m == nil || !m.Take() {
		return caller.Target{}, false
	}
	return caller.Target{Member: m, Transport: caller.DirectTransport{Endpoint: f.endpoints[m.Name].direct}}, true
}

// pick returns the endpoint of the group to which the request goes, or nil if there is
// none. The caller must hold mu.
func (f *directFleet) pick(group string, q *balancer.Query) *balancer.Member {
	if picker := f.pickers[group]; picker != nil {
		return picker.Pick(q)
	}
	return nil
}

// Preview implements caller.PreviewFleet.
func (f *directFleet) Preview(group string, q *balancer.Query) (choice string, candidates []balancer.State) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, e := range f.endpoints {
		if e.info.Group == group {
			candidates = append(candidates, e.member.State())
		}
	}
	slices.SortFunc(candidates, func(a, b balancer.State) int { return strings.Compare(a.Name, b.Name) })
	if m := f.pick(group, q); m != nil {
		choice = m.Name
	}
	return choice, candidates
}

// FindLink implements caller.Fleet. The endpoints have no sidecars.
func (f *directFleet) FindLink(string) (*sidecar.Link, bool) { return nil, false }

// limitedRetryAfter is the Retry-After while most usable endpoints of a group name limits.
const limitedRetryAfter = 2 * time.Second

// RetryAfter implements caller.Fleet. A broken group can serve again at the earliest
// when its ranks have noticed the loss and formed a new epoch. If all its endpoints
// pause, none of its callers, who return up to a quarter earlier or later than told,
// should return before the first pause ends.
func (f *directFleet) RetryAfter(group string) time.Duration {
	b := f.bundle.Load()
	if b == nil || b.Group(group) == nil {
		return 0
	}
	f.mu.RLock()
	defer f.mu.RUnlock()
	usable, limited, broken := 0, 0, 0
	shortestPause := time.Duration(0)
	for _, e := range f.endpoints {
		switch {
		case e.info.Group != group:
		case e.groupBrokenFor() > 0:
			broken++
		case e.member.IsUsable():
			if pause := e.member.PausedFor(); pause > 0 {
				shortestPause = minPositive(shortestPause, pause)
				continue
			}
			usable++
			if e.member.RequestLimit.Limits() {
				limited++
			}
		}
	}
	switch {
	case usable == 0 && shortestPause > 0:
		return shortestPause * 4 / 3
	case usable == 0 && broken > 0:
		return f.settings.Deployment.Stall() + b.Group(group).Experts.FormTime + recoveryMargin
	case 2*limited > usable:
		return limitedRetryAfter
	}
	return 0
}

// minPositive returns the smaller one of two durations that is not 0.
func minPositive(a, b time.Duration) time.Duration {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// ready reports whether callers can be served.
func (f *directFleet) ready() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.bundle.Load() != nil && f.endpointsRead
}

func (f *directFleet) bundleVersion() int64 {
	if b := f.bundle.Load(); b != nil {
		return int64(b.Version)
	}
	return 0
}

// coldShare returns this entry's share of the requests to a cold endpoint, and
// whether they are limited.
func (f *directFleet) coldShare(e roster.Endpoint) (balancer.ColdRate, bool) {
	b := f.bundle.Load()
	if b == nil || b.Group(e.Group) == nil || b.Group(e.Group).ColdPerSecond == 0 {
		return balancer.ColdRate{}, false
	}
	all := b.Group(e.Group).ColdPerSecond*f.settings.Deployment.ColdFactor + f.settings.Deployment.ColdTolerance
	return balancer.SplitColdRate(all, int(f.entryCount.Load()), f.settings.Instance, e.Name), true
}
