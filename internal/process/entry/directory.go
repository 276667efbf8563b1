package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/caller"
	"github.com/cicadareel/cicadareel/internal/connection/endpoint"
	"github.com/cicadareel/cicadareel/internal/connection/sidecar"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/process/settings"
	"github.com/cicadareel/cicadareel/internal/request/choice"
	"github.com/cicadareel/cicadareel/internal/table"
	"github.com/cicadareel/cicadareel/internal/version/mirror"
	"github.com/cicadareel/cicadareel/internal/version/pace"
	"github.com/cicadareel/cicadareel/internal/version/roster"
	"github.com/cicadareel/cicadareel/pkg/bundle"
	"github.com/cicadareel/cicadareel/platform"
)

// entriesUnknown is the number of entries that share limits before any other
// is known: more than small deployments have.
const entriesUnknown = 8

// directory follows the mirror: it holds the bundle in force and the endpoints
// that serve, and chooses between them.
type directory struct {
	settings *settings.Settings
	network  network
	mirror   *mirror.Mirror
	paces    *pace.Board
	log      *events.Log
	bundle   atomic.Pointer[bundle.Bundle]
	// entries is the number of entries that share limits.
	entries atomic.Int32
	done    sync.WaitGroup
	// life ends with the process; duties are what it started.
	life   context.Context
	duties sync.WaitGroup

	mu sync.RWMutex
	// configured is the revision of the row that the bundle was read from.
	configured uint64
	nodes      map[string]*worker
	tables     map[string]*choice.Table
	held       map[string]bool
	// groups are the lock-step groups.
	groups map[string]*rankGroup
	// announced is true once the endpoints were read.
	announced bool
	// refused holds the revisions of rows that could not be read.
	refused map[string]uint64
}

func newDirectory(ctx context.Context, s *settings.Settings, n network, m *mirror.Mirror, b *pace.Board, l *events.Log) *directory {
	d := &directory{
		settings: s,
		network:  n,
		mirror:   m,
		paces:    b,
		log:      l,
		nodes:    map[string]*worker{},
		tables:   map[string]*choice.Table{},
		held:     map[string]bool{},
		groups:   map[string]*rankGroup{},
		life:     ctx,
		refused:  map[string]uint64{},
	}
	d.entries.Store(entriesUnknown)
	d.done.Go(func() { d.followLoop(ctx) })
	return d
}

func (d *directory) wait() {
	d.done.Wait()
	d.duties.Wait()
}

func (d *directory) followLoop(ctx context.Context) {
	for {
		changed := d.mirror.Changed()
		d.refresh()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// refresh takes what the mirror holds now.
func (d *directory) refresh() {
	if intent, ok := d.mirror.Snapshot(mirror.Intent); ok {
		d.takeIntent(intent)
	}
	if endpoints, ok := d.mirror.Snapshot(mirror.Endpoints); ok {
		d.takeEndpoints(endpoints)
	}
}

func (d *directory) takeIntent(s mirror.Snapshot) {
	held := map[string]bool{}
	for _, row := range s.Rows {
		if domain, ok := platform.HeldDomain(row); ok {
			held[domain] = true
		}
		if platform.IsConfig(row) {
			d.takeConfig(row)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.logHolds(held, s.Revision)
	d.held = held
	for _, n := range d.nodes {
		n.member.SetHeld(held[n.info.FailureDomain])
	}
}

func (d *directory) logHolds(held map[string]bool, revision uint64) {
	for domain := range held {
		if !d.held[domain] {
			d.log.Info(events.DomainHeld, events.Fields{"failureDomain": domain, "revision": revision})
		}
	}
	for domain := range d.held {
		if !held[domain] {
			d.log.Info(events.DomainReleased, events.Fields{"failureDomain": domain, "revision": revision})
		}
	}
}

// takeConfig adopts a newer configuration. Versions never go down.
func (d *directory) takeConfig(row table.Row) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if row.Revision <= d.configured {
		return
	}
	b, err := platform.DecodeBundle(row)
	if err != nil {
		d.ignore("intent", row, err)
		return
	}
	if now := d.bundle.Load(); now != nil && b.Version < now.Version {
		return
	}
	d.configured = row.Revision
	d.bundle.Store(b)
	d.log.Info(events.BundleAdopted, events.Fields{"version": b.Version, "revision": row.Revision, "routes": len(b.Routes)})
}

// ignore logs a row that cannot be read, once for each of its revisions.
func (d *directory) ignore(topic string, row table.Row, err error) {
	if d.refused[row.Key] == row.Revision {
		return
	}
	d.refused[row.Key] = row.Revision
	d.log.Warn(events.RowIgnored, events.Fields{"topic": topic, "key": row.Key, "revision": row.Revision, "error": err.Error()})
}

func (d *directory) takeEndpoints(s mirror.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	present := map[string]bool{}
	for _, row := range s.All() {
		info, err := platform.DecodeEndpoint(row)
		if err != nil {
			d.ignore("endpoints", row, err)
			continue
		}
		if d.bundle.Load() != nil && d.bundle.Load().Group(info.Group) == nil {
			continue
		}
		present[info.Name] = true
		d.take(info)
	}
	for name, n := range d.nodes {
		if !present[name] {
			n.retire("no longer announced", s.Revision)
			delete(d.nodes, name)
		}
	}
	d.announced = true
	d.rebuild()
}

// take adds or updates one endpoint. One that started again is a new one.
func (d *directory) take(info roster.Endpoint) {
	n := d.nodes[info.Name]
	if n != nil && (!n.info.Born.Equal(info.Born) || n.info.Address != info.Address) {
		n.retire("started again", info.Revision)
		n = nil
	}
	if n == nil {
		n = newWorker(d, info)
		d.nodes[info.Name] = n
		d.log.Info(events.EndpointAdded, events.Fields{
			"endpoint": info.Name, "group": info.Group, "failureDomain": info.FailureDomain,
			"address": info.Address.String(), "revision": info.Revision, "coldMs": info.ColdFor.Milliseconds(), "leaving": info.Leaving,
		})
	}
	n.update(info)
	if info.Place != nil {
		n.join(d.group(info.Place.Group))
		n.group.announce(*info.Place)
	}
}

// group returns the lock-step group with the name.
func (d *directory) group(name string) *rankGroup {
	g := d.groups[name]
	if g == nil {
		g = &rankGroup{name: name, directory: d}
		d.groups[name] = g
	}
	return g
}

// rebuild makes the tables to choose from.
func (d *directory) rebuild() {
	members := map[string][]*choice.Member{}
	for _, n := range d.nodes {
		if !n.info.Leaving {
			members[n.info.Group] = append(members[n.info.Group], n.member)
		}
	}
	d.tables = map[string]*choice.Table{}
	for group, all := range members {
		d.tables[group] = choice.NewTable(all, d.settings.FailureDomain)
	}
}

// Choose implements caller.Fleet.
func (d *directory) Choose(group string, q *choice.Query) (caller.Target, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	t := d.tables[group]
	if t == nil {
		return caller.Target{}, false
	}
	m := t.Choose(q)
	if m == nil || !m.Warmup.Take() {
		return caller.Target{}, false
	}
	return caller.Target{Member: m, Way: caller.Direct{Endpoint: d.nodes[m.Name].way}}, true
}

// Find implements caller.Fleet. No endpoint has a sidecar here.
func (d *directory) Find(string) (*sidecar.Link, bool) { return nil, false }

// Backlog implements caller.Fleet. A group that broke is back when its ranks
// have noticed the loss and formed again, at the earliest.
func (d *directory) Backlog(group string) time.Duration {
	b := d.bundle.Load()
	if b == nil || b.Group(group) == nil || b.Group(group).Experts == nil {
		return 0
	}
	d.mu.RLock()
	defer d.mu.RUnlock()
	longest := time.Duration(0)
	for _, n := range d.nodes {
		if n.info.Group != group || n.group == nil {
			continue
		}
		if n.group.usable() {
			return 0
		}
		longest = max(longest, d.settings.Deployment.Stall()+b.Group(group).Experts.FormTime+returnMargin)
	}
	return longest
}

// ready reports whether callers can be served.
func (d *directory) ready() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.bundle.Load() != nil && d.announced
}

func (d *directory) version() int64 {
	if b := d.bundle.Load(); b != nil {
		return int64(b.Version)
	}
	return 0
}

// coldShare is what this entry may send to a cold endpoint.
func (d *directory) coldShare(e roster.Endpoint) (choice.ColdShare, bool) {
	b := d.bundle.Load()
	if b == nil || b.Group(e.Group) == nil || b.Group(e.Group).ColdPerSecond == 0 {
		return choice.ColdShare{}, false
	}
	all := b.Group(e.Group).ColdPerSecond*d.settings.Deployment.ColdFactor + d.settings.Deployment.ColdTolerance
	return choice.ShareCold(all, int(d.entries.Load()), d.settings.Instance, e.Name), true
}

func (d *directory) newClient(info roster.Endpoint) *endpoint.Client {
	return endpoint.NewClientOn(info.Address, d.network.dial)
}
