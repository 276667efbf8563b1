package peer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/request/quarantine"
	"github.com/cicadareel/cicadareel/internal/table"
	"github.com/cicadareel/cicadareel/internal/version/mirror"
	"github.com/cicadareel/cicadareel/internal/version/slowness"
)

const (
	// tableExchangeInterval is the time between two exchanges of table copies. A new
	// copy reaches all processes within a few exchanges.
	tableExchangeInterval = 500 * time.Millisecond
	// fastExchangeInterval is that time for a process that gets its copies from
	// peers only, because it does not follow the store or cannot reach it.
	fastExchangeInterval = 250 * time.Millisecond
	// tableExchangeTimeout bounds one exchange. It is many times the round-trip
	// time to a peer.
	tableExchangeTimeout = 400 * time.Millisecond
	// outagePeers is the number of peers that a process asks at once while it cannot
	// reach the store.
	outagePeers = 3
	// spreadPeers bounds the peers that a process exchanges with in one Spread.
	spreadPeers = 16
	// unresponsiveTTL is how long a peer does not count as a follower after a call
	// to it failed, whatever it announces: a peer that can send messages may still
	// be unable to reply.
	unresponsiveTTL = 2 * time.Second
	// peerTTL is how long a peer counts as live after it was last heard from.
	peerTTL = 10 * time.Second
	// maxPeers bounds the peers that are remembered.
	maxPeers = 4096
	// maxPeersPerMessage bounds the peers announced in one message.
	maxPeersPerMessage = 32
)

// peerState is what this process knows of a peer.
type peerState struct {
	instance string
	// lastHeard is when the peer was last heard from, by this process or by one
	// that announced it.
	lastHeard time.Time
	// follows is true if the peer follows the store and reaches it.
	follows bool
	// linkRate is the rate of the peer's link in bytes per second; 0 if not known.
	linkRate float64
	// lastFailed is when a call to the peer last failed; zero after one that
	// succeeded.
	lastFailed time.Time
}

// TableGossip exchanges copies of the store's tables with peers, so that a process
// gets them even if it cannot reach the store or started during an outage. It
// also decides whether this process is a follower, which reads the store itself.
type TableGossip struct {
	wire.UnimplementedPeerServer

	self     Self
	mirror   *mirror.Mirror
	slowness *slowness.Tracker
	loads    Loads
	suspects *quarantine.Tracker
	limits   Limits
	pool     *ConnPool
	log      *events.Log
	done     sync.WaitGroup
	// spreadDue has a value while a Spread has not begun yet.
	spreadDue chan struct{}

	mu    sync.Mutex
	peers map[netip.AddrPort]peerState
	// seeds are configured peer addresses, used while no live peer is known.
	seeds []netip.AddrPort
	// following is true while this process follows the store itself.
	following bool
	// missingSince is when this process first knew too few other followers; zero while it
	// knows enough.
	missingSince time.Time
	// steppingDown is true once the process shuts down. It then follows only while
	// no other process does.
	steppingDown bool
	// loggedPeers is the number of live peers last logged.
	loggedPeers int
}

// NewTableGossip starts goroutines that exchange table copies until ctx ends.
func NewTableGossip(ctx context.Context, self Self, seeds []netip.AddrPort, m *mirror.Mirror, s *slowness.Tracker, loads Loads, suspects *quarantine.Tracker, limits Limits, pool *ConnPool, l *events.Log) *TableGossip {
	g := &TableGossip{
		self: self, mirror: m, slowness: s, loads: loads, suspects: suspects, limits: limits, pool: pool, log: l, seeds: seeds,
		spreadDue: make(chan struct{}, 1), peers: map[netip.AddrPort]peerState{}, following: true,
	}
	g.done.Go(func() { g.exchangeLoop(ctx) })
	g.done.Go(func() { g.spreadLoop(ctx) })
	return g
}

// Wait returns after the goroutine has ended.
func (g *TableGossip) Wait() { g.done.Wait() }

// LiveProcesses returns the number of processes that were heard from within
// peerTTL, including this one.
func (g *TableGossip) LiveProcesses() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return 1 + len(g.livePeers())
}

// LiveInstances returns the names of these processes.
func (g *TableGossip) LiveInstances() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	names := []string{g.self.Instance}
	for _, at := range g.livePeers() {
		names = append(names, g.peers[at].instance)
	}
	return names
}

// livePeers returns the addresses of the live peers. The caller must hold mu.
func (g *TableGossip) livePeers() []netip.AddrPort {
	var live []netip.AddrPort
	for at, state := range g.peers {
		if time.Since(state.lastHeard) < peerTTL {
			live = append(live, at)
		}
	}
	return live
}

// exchangeLoop exchanges with random peers periodically, and with more of them while
// the store cannot be reached.
func (g *TableGossip) exchangeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		g.updateFollowing()
		interval, count := tableExchangeInterval, 1
		switch {
		case g.mirror.LastCallFailed():
			interval, count = fastExchangeInterval, outagePeers
		case !g.Following():
			interval = fastExchangeInterval
		}
		var calls sync.WaitGroup
		for _, at := range g.pickPeers(count) {
			calls.Go(func() { g.exchange(ctx, at) })
		}
		calls.Wait()
		g.logPeers()
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// Spread makes this process exchange with many peers at once, since it has learned
// something that they should know before their next exchange.
func (g *TableGossip) Spread() {
	select {
	case g.spreadDue <- struct{}{}:
	default:
	}
}

// spreadLoop carries out Spread.
func (g *TableGossip) spreadLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.spreadDue:
		}
		var calls sync.WaitGroup
		for _, at := range g.spreadPeers() {
			calls.Go(func() { g.exchange(ctx, at) })
		}
		calls.Wait()
	}
}

// spreadPeers returns the peers to spread to: followers first, since the others ask those.
func (g *TableGossip) spreadPeers() []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	to := g.liveFollowers()
	for _, at := range g.livePeers() {
		if !slices.Contains(to, at) {
			to = append(to, at)
		}
	}
	return to[:min(spreadPeers, len(to))]
}

// pickPeers returns up to count random peers to exchange with, or the seeds if no
// such peer is known. A process that does not follow the store, or has no plans of its
// own, asks followers.
func (g *TableGossip) pickPeers(count int) []netip.AddrPort {
	hasPlans := g.loads.Plans() != nil
	g.mu.Lock()
	defer g.mu.Unlock()
	from := g.livePeers()
	if followers := g.liveFollowers(); !g.following || (!hasPlans && len(followers) > 0) {
		from = followers
	}
	if len(from) == 0 {
		return g.otherSeeds()
	}
	rand.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	return from[:min(count, len(from))]
}

// otherSeeds returns the seeds without this process's own address.
func (g *TableGossip) otherSeeds() []netip.AddrPort {
	var others []netip.AddrPort
	for _, at := range g.seeds {
		if at != g.self.Address {
			others = append(others, at)
		}
	}
	return others
}

// exchange asks one peer for newer table copies, for reports of slow endpoints and
// for plans, and exchanges loads with it.
func (g *TableGossip) exchange(ctx context.Context, at netip.AddrPort) {
	update, err := call(ctx, g.pool, at, tableExchangeTimeout,
		func(ctx context.Context, c wire.PeerClient) (*wire.MirrorUpdate, error) {
			return c.Mirror(ctx, g.summary())
		})
	if err != nil {
		g.markUnresponsive(at)
		return
	}
	g.markResponsive(at)
	g.recordPeers(update.GetSelf(), update.GetPeers())
	g.suspects.Merge(promptPartsFromWire(update.GetPromptParts()))
	g.limits.ApplyLimits(limitsFromWire(update.GetLimits()))
	g.loads.RecordLoads(update.GetSelf().GetInstance(), loadsFromWire(update.GetLoads()))
	g.loads.ApplyPlans(plansFromWire(update.GetPlans()))
	for _, c := range update.GetCopies() {
		g.applyCopy(c)
	}
	for _, p := range update.GetPaces() {
		g.slowness.Record(slowness.Report{Endpoint: p.GetEndpoint(), Slowness: p.GetPace(), ReportedAt: time.Now().Add(-p.GetAge().AsDuration())})
	}
}

// markUnresponsive records a failed call to a peer. A follower stops counting as one,
// and older announcements that others relay do not make it one again.
func (g *TableGossip) markUnresponsive(at netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	state, ok := g.peers[at]
	if !ok {
		return
	}
	if state.follows {
		g.log.Info(events.PeerUnresponsive, events.Fields{"peer": state.instance})
		state.follows, state.lastHeard = false, time.Now()
	}
	state.lastFailed = time.Now()
	g.peers[at] = state
}

// markResponsive records a successful call to a peer.
func (g *TableGossip) markResponsive(at netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if state, ok := g.peers[at]; ok {
		state.lastFailed = time.Time{}
		g.peers[at] = state
	}
}

// applyCopy replaces the mirror's copy of a table if the received copy is newer.
func (g *TableGossip) applyCopy(c *wire.TableCopy) {
	snapshot := mirror.Snapshot{Removed: c.GetRemoved(), Revision: copyRevision(c), Authoritative: c.GetSettled()}
	if c.GetSince() > 0 {
		snapshot.Since = table.Revision{Era: c.GetEra(), Number: c.GetSince()}
	}
	for _, r := range c.GetRows() {
		row := table.Row{Key: r.GetKey(), Value: r.GetValue(), Revision: table.Revision{Era: r.GetEra(), Number: r.GetRevision()}}
		switch {
		case r.GetLapsedFor() != nil:
			snapshot.Lapsed = append(snapshot.Lapsed, mirror.TimedRow{Row: row, Remaining: r.GetLapsedFor().AsDuration()})
		case r.GetWithheldFor() != nil:
			snapshot.Withheld = append(snapshot.Withheld, mirror.TimedRow{Row: row, Remaining: r.GetWithheldFor().AsDuration()})
		default:
			snapshot.Rows = append(snapshot.Rows, row)
		}
	}
	g.mirror.Replace(mirror.Topic(c.GetTopic()), snapshot)
}

// copyRevision returns the revision of a copy of a table.
func copyRevision(c *wire.TableCopy) table.Revision {
	return table.Revision{Era: c.GetEra(), Number: c.GetRevision()}
}

// summary returns the revisions of this process's table copies.
func (g *TableGossip) summary() *wire.MirrorSummary {
	summary := &wire.MirrorSummary{
		Self: g.selfInfo(), Peers: g.peersToAnnounce(), AcceptsChanges: true, Loads: loadsToWire(g.loads.Loads()),
		PromptParts: promptPartsToWire(g.suspects.Records()), Limits: limitsToWire(g.limits.Limits()),
	}
	for _, t := range mirror.Topics() {
		if revision, ok := g.mirror.Revision(t); ok {
			summary.Copies = append(summary.Copies, &wire.TableCopy{Topic: string(t), Era: revision.Era, Revision: revision.Number})
		}
	}
	return summary
}

// Mirror implements wire.PeerServer. It returns the table copies that are newer than
// those of the caller, or what changed in them.
func (g *TableGossip) Mirror(_ context.Context, summary *wire.MirrorSummary) (*wire.MirrorUpdate, error) {
	g.recordPeers(summary.GetSelf(), summary.GetPeers())
	suspects := promptPartsFromWire(summary.GetPromptParts())
	g.suspects.Merge(suspects)
	g.limits.ApplyLimits(limitsFromWire(summary.GetLimits()))
	g.loads.RecordLoads(summary.GetSelf().GetInstance(), loadsFromWire(summary.GetLoads()))
	theirs := map[mirror.Topic]table.Revision{}
	for _, c := range summary.GetCopies() {
		theirs[mirror.Topic(c.GetTopic())] = copyRevision(c)
	}
	update := &wire.MirrorUpdate{
		Self:  g.selfInfo(),
		Peers: g.peersToAnnounce(),
		Loads: loadsToWire(g.loads.Loads()),
		Plans: plansToWire(g.loads.Plans()),

		PromptParts: promptPartsToWire(g.suspects.RecordsFor(suspects)),
		Limits:      limitsToWire(g.limits.Limits()),
	}
	for _, r := range g.slowness.SlowReports() {
		update.Paces = append(update.Paces, &wire.EndpointPace{Endpoint: r.Endpoint, Pace: r.Slowness, Age: DurationToWire(time.Since(r.ReportedAt))})
	}
	for _, t := range mirror.Topics() {
		revision, ok := g.mirror.Revision(t)
		known := theirs[t]
		if known.Era == 0 {
			// Processes that do not know eras name only the number.
			known.Era = revision.Era
		}
		if !ok || !revision.After(known) {
			continue
		}
		since := table.Revision{}
		if summary.GetAcceptsChanges() {
			since = known
		}
		update.Copies = append(update.Copies, g.copyMessage(t, since))
	}
	return update, nil
}

// copyMessage converts this process's copy of a table to its message. The message
// has only what changed after the revision since, if that is known.
func (g *TableGossip) copyMessage(t mirror.Topic, since table.Revision) *wire.TableCopy {
	snapshot, _ := g.mirror.SnapshotSince(t, since)
	message := &wire.TableCopy{Topic: string(t), Era: snapshot.Revision.Era, Revision: snapshot.Revision.Number, Settled: snapshot.Authoritative, Since: snapshot.Since.Number, Removed: snapshot.Removed}
	for _, r := range snapshot.Rows {
		message.Rows = append(message.Rows, rowMessage(r))
	}
	for _, l := range snapshot.Lapsed {
		row := rowMessage(l.Row)
		row.LapsedFor = DurationToWire(l.Remaining)
		message.Rows = append(message.Rows, row)
	}
	for _, w := range snapshot.Withheld {
		row := rowMessage(w.Row)
		row.WithheldFor = DurationToWire(w.Remaining)
		message.Rows = append(message.Rows, row)
	}
	return message
}

func rowMessage(r table.Row) *wire.TableRow {
	return &wire.TableRow{Key: r.Key, Value: r.Value, Era: r.Era, Revision: r.Number}
}

// selfInfo returns what this process announces of itself.
func (g *TableGossip) selfInfo() *wire.PeerInfo {
	return &wire.PeerInfo{
		Instance: g.self.Instance,
		Address:  g.self.Address.String(),
		Follows:  g.Following() && !g.mirror.LastCallFailed(),
		LinkRate: g.self.LinkRate,
	}
}

// peersToAnnounce returns some live peers with the time since each was heard from.
func (g *TableGossip) peersToAnnounce() []*wire.PeerInfo {
	g.mu.Lock()
	defer g.mu.Unlock()
	var announced []*wire.PeerInfo
	for _, at := range g.livePeers() {
		if len(announced) == maxPeersPerMessage {
			break
		}
		state := g.peers[at]
		announced = append(announced, &wire.PeerInfo{Instance: state.instance, Address: at.String(), Age: DurationToWire(time.Since(state.lastHeard)), Follows: state.follows, LinkRate: state.linkRate})
	}
	return announced
}

// recordPeers records the sender of a message and the peers that it announced, and
// forgets those that are no longer live.
func (g *TableGossip) recordPeers(from *wire.PeerInfo, announced []*wire.PeerInfo) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordPeer(from, 0)
	for _, p := range announced {
		g.recordPeer(p, p.GetAge().AsDuration())
	}
	for at, state := range g.peers {
		if time.Since(state.lastHeard) >= peerTTL {
			delete(g.peers, at)
		}
	}
}

// recordPeer records that a peer was heard from some time ago. The caller must hold
// mu.
func (g *TableGossip) recordPeer(p *wire.PeerInfo, age time.Duration) {
	at, err := netip.ParseAddrPort(p.GetAddress())
	heard := time.Now().Add(-max(0, age))
	state, known := g.peers[at]
	if err != nil || at == g.self.Address || age >= peerTTL || (!known && len(g.peers) >= maxPeers) {
		return
	}
	if heard.After(state.lastHeard) {
		state.instance, state.lastHeard, state.linkRate = p.GetInstance(), heard, p.GetLinkRate()
		state.follows = p.GetFollows() && time.Since(state.lastFailed) >= unresponsiveTTL
		g.peers[at] = state
	}
}

// logPeers logs the number of live peers if it changed.
func (g *TableGossip) logPeers() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n := len(g.livePeers()); n != g.loggedPeers {
		g.loggedPeers = n
		g.log.Info(events.PeersChanged, events.Fields{"peers": n})
	}
}
