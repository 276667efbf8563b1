package peer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/table"
	"github.com/cicadareel/cicadareel/internal/version/mirror"
	"github.com/cicadareel/cicadareel/internal/version/slowness"
)

const (
	// tableExchangeInterval is the time between two exchanges of table copies. A new
	// copy reaches all processes within a few exchanges.
	tableExchangeInterval = 500 * time.Millisecond
	// fastExchangeInterval is the same for a process that does not follow the
	// store, or cannot reach it, and gets its copies from peers only.
	fastExchangeInterval = 250 * time.Millisecond
	// tableExchangeTimeout bounds one exchange. It is many times the round-trip
	// time to a peer.
	tableExchangeTimeout = 400 * time.Millisecond
	// outagePeers is the number of peers asked at once by a process that cannot reach
	// the store.
	outagePeers = 3
	// minFollowers is the number of followers, the processes that follow the store
	// on behalf of all, in small deployments. With three, one is left if two are
	// cut off at once.
	minFollowers = 3
	// processesPerFollower is the number of processes for each follower in
	// large deployments. It bounds the calls to a follower to some 130 per second.
	processesPerFollower = 32
	// followerTTL is how long a process counts as a follower after it announced
	// that it is one.
	followerTTL = 2 * time.Second
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
	pool     *ConnPool
	log      *events.Log
	done     sync.WaitGroup

	mu    sync.Mutex
	peers map[netip.AddrPort]peerState
	// seeds are configured peer addresses, used while no live peer is known.
	seeds []netip.AddrPort
	// following is true while this process follows the store itself.
	following bool
	// steppingDown is true once the process shuts down. It then follows only while
	// no other process does.
	steppingDown bool
	// loggedPeers is the number of live peers last logged.
	loggedPeers int
}

// NewTableGossip starts a goroutine that exchanges table copies until ctx ends.
func NewTableGossip(ctx context.Context, self Self, seeds []netip.AddrPort, m *mirror.Mirror, b *slowness.Tracker, c *ConnPool, l *events.Log) *TableGossip {
	g := &TableGossip{self: self, mirror: m, slowness: b, pool: c, log: l, seeds: seeds, peers: map[netip.AddrPort]peerState{}, following: true}
	g.done.Go(func() { g.exchangeLoop(ctx) })
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

// livePeers returns the addresses of the live peers. The caller must hold mu.
func (g *TableGossip) livePeers() []netip.AddrPort {
	var live []netip.AddrPort
	for at, k := range g.peers {
		if time.Since(k.lastHeard) < peerTTL {
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
		wait, count := tableExchangeInterval, 1
		switch {
		case g.mirror.LastCallFailed():
			wait, count = fastExchangeInterval, outagePeers
		case !g.Following():
			wait = fastExchangeInterval
		}
		var calls sync.WaitGroup
		for _, at := range g.pickPeers(count) {
			calls.Go(func() { g.exchange(ctx, at) })
		}
		calls.Wait()
		g.logPeers()
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// Following reports whether this process has to follow the store itself.
func (g *TableGossip) Following() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.following
}

// StepDown makes this process stop following the store as soon as another process
// follows it. It is called when the process shuts down.
func (g *TableGossip) StepDown() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.steppingDown = true
}

// updateFollowing decides whether this process follows the store. It starts while
// too few other followers are known, and stops once enough followers precede it by
// name. While stepping down, it follows only if no other follower is known.
func (g *TableGossip) updateFollowing() {
	g.mu.Lock()
	defer g.mu.Unlock()
	others, preceding := 0, 0
	for _, k := range g.peers {
		if !k.follows || time.Since(k.lastHeard) > followerTTL {
			continue
		}
		others++
		if k.instance < g.self.Instance {
			preceding++
		}
	}
	wanted := max(minFollowers, (1+len(g.livePeers()))/processesPerFollower)
	was := g.following
	if g.steppingDown {
		wanted = 1
	}
	g.following = others < wanted || (was && preceding < wanted && !g.steppingDown)
	switch {
	case g.following && !was:
		g.log.Info(events.FollowingStarted, events.Fields{"followers": others})
	case was && !g.following:
		g.log.Info(events.FollowingStopped, events.Fields{"followers": others})
	}
}

// liveFollowers returns the peers that lately announced that they follow the store.
// The caller must hold mu.
func (g *TableGossip) liveFollowers() []netip.AddrPort {
	var out []netip.AddrPort
	for at, k := range g.peers {
		if k.follows && time.Since(k.lastHeard) <= followerTTL {
			out = append(out, at)
		}
	}
	return out
}

// pickPeers returns up to count random peers to exchange with, or the seeds if no
// such peer is known. A process that does not follow the store asks followers only.
func (g *TableGossip) pickPeers(count int) []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	from := g.livePeers()
	if !g.following {
		from = g.liveFollowers()
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

// exchange asks one peer for newer table copies and for reports of slow endpoints.
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
	for _, c := range update.GetCopies() {
		g.applyCopy(c)
	}
	for _, n := range update.GetPaces() {
		g.slowness.Record(slowness.Report{Endpoint: n.GetEndpoint(), Slowness: n.GetPace(), ReportedAt: time.Now().Add(-n.GetAge().AsDuration())})
	}
}

// markUnresponsive records a failed call to a peer. A follower stops counting as one,
// and older announcements that others relay do not make it one again.
func (g *TableGossip) markUnresponsive(at netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	k, ok := g.peers[at]
	if !ok {
		return
	}
	if k.follows {
		g.log.Info(events.PeerUnresponsive, events.Fields{"peer": k.instance})
		k.follows, k.lastHeard = false, time.Now()
	}
	k.lastFailed = time.Now()
	g.peers[at] = k
}

// markResponsive records a successful call to a peer.
func (g *TableGossip) markResponsive(at netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if k, ok := g.peers[at]; ok {
		k.lastFailed = time.Time{}
		g.peers[at] = k
	}
}

// applyCopy replaces the mirror's copy of a table if the received copy is newer.
func (g *TableGossip) applyCopy(c *wire.TableCopy) {
	snapshot := mirror.Snapshot{Revision: c.GetRevision(), Authoritative: c.GetSettled()}
	for _, r := range c.GetRows() {
		row := table.Row{Key: r.GetKey(), Value: r.GetValue(), Revision: r.GetRevision()}
		if r.GetLapsedFor() != nil {
			snapshot.Lapsed = append(snapshot.Lapsed, mirror.LapsedRow{Row: row, Remaining: r.GetLapsedFor().AsDuration()})
			continue
		}
		snapshot.Rows = append(snapshot.Rows, row)
	}
	g.mirror.Replace(mirror.Topic(c.GetTopic()), snapshot)
}

// summary returns the revisions of this process's table copies.
func (g *TableGossip) summary() *wire.MirrorSummary {
	out := &wire.MirrorSummary{Self: g.selfInfo(), Peers: g.peersToAnnounce()}
	for _, t := range mirror.Topics() {
		if revision, ok := g.mirror.Revision(t); ok {
			out.Copies = append(out.Copies, &wire.TableCopy{Topic: string(t), Revision: revision})
		}
	}
	return out
}

// Mirror implements wire.PeerServer. It returns the table copies that are newer than
// those of the caller.
func (g *TableGossip) Mirror(_ context.Context, in *wire.MirrorSummary) (*wire.MirrorUpdate, error) {
	g.recordPeers(in.GetSelf(), in.GetPeers())
	theirs := map[mirror.Topic]uint64{}
	for _, c := range in.GetCopies() {
		theirs[mirror.Topic(c.GetTopic())] = c.GetRevision()
	}
	out := &wire.MirrorUpdate{Self: g.selfInfo(), Peers: g.peersToAnnounce()}
	for _, n := range g.slowness.SlowReports() {
		out.Paces = append(out.Paces, &wire.EndpointPace{Endpoint: n.Endpoint, Pace: n.Slowness, Age: DurationToWire(time.Since(n.ReportedAt))})
	}
	for _, t := range mirror.Topics() {
		if revision, ok := g.mirror.Revision(t); ok && revision > theirs[t] {
			out.Copies = append(out.Copies, g.copyMessage(t))
		}
	}
	return out, nil
}

// copyMessage converts this process's copy of a table to its message.
func (g *TableGossip) copyMessage(t mirror.Topic) *wire.TableCopy {
	snapshot, _ := g.mirror.Snapshot(t)
	out := &wire.TableCopy{Topic: string(t), Revision: snapshot.Revision, Settled: snapshot.Authoritative}
	for _, r := range snapshot.Rows {
		out.Rows = append(out.Rows, &wire.TableRow{Key: r.Key, Value: r.Value, Revision: r.Revision})
	}
	for _, l := range snapshot.Lapsed {
		out.Rows = append(out.Rows, &wire.TableRow{Key: l.Row.Key, Value: l.Row.Value, Revision: l.Row.Revision, LapsedFor: DurationToWire(l.Remaining)})
	}
	return out
}

// selfInfo returns what this process announces of itself.
func (g *TableGossip) selfInfo() *wire.PeerInfo {
	return &wire.PeerInfo{
		Instance: g.self.Instance,
		Address:  g.self.Address.String(),
		Follows:  g.Following() && !g.mirror.LastCallFailed(),
	}
}

// peersToAnnounce returns some live peers with the time since each was heard from.
func (g *TableGossip) peersToAnnounce() []*wire.PeerInfo {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []*wire.PeerInfo
	for _, at := range g.livePeers() {
		if len(out) == maxPeersPerMessage {
			break
		}
		k := g.peers[at]
		out = append(out, &wire.PeerInfo{Instance: k.instance, Address: at.String(), Age: DurationToWire(time.Since(k.lastHeard)), Follows: k.follows})
	}
	return out
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
	for at, k := range g.peers {
		if time.Since(k.lastHeard) >= peerTTL {
			delete(g.peers, at)
		}
	}
}

// recordPeer records that a peer was heard from some time ago. The caller must hold
// mu.
func (g *TableGossip) recordPeer(p *wire.PeerInfo, age time.Duration) {
	at, err := netip.ParseAddrPort(p.GetAddress())
	heard := time.Now().Add(-max(0, age))
	if err != nil || at == g.self.Address || age >= peerTTL || len(g.peers) >= maxPeers {
		return
	}
	k := g.peers[at]
	if heard.After(k.lastHeard) {
		k.instance, k.lastHeard = p.GetInstance(), heard
		k.follows = p.GetFollows() && time.Since(k.lastFailed) >= unresponsiveTTL
		g.peers[at] = k
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
