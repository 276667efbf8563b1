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
	// mirrorInterval is the time between two exchanges of copies. A copy that one
	// process got reaches the others within a few of them.
	mirrorInterval = 500 * time.Millisecond
	// followInterval is the same for a process that leaves the store to others,
	// and asks one of those that follow it.
	followInterval = 250 * time.Millisecond
	// mirrorTimeout bounds one exchange: many times the way to a peer and back.
	mirrorTimeout = 400 * time.Millisecond
	// awayPeers is the number of peers asked by a process that cannot reach the
	// store.
	awayPeers = 3
	// leastFollowers is the number of processes that follow the store for all in
	// small deployments. Three leave one if two are cut off at once.
	leastFollowers = 3
	// perFollower is the number of processes that one follower serves in large
	// ones, which bounds its calls to some 130 a second.
	perFollower = 32
	// followerLife is how long a process counts as a follower after it said so.
	followerLife = 2 * time.Second
	// doubtLife is how long a peer that left a question unanswered does not count as
	// a follower, whatever it says: that it is heard does not mean that it answers.
	doubtLife = 2 * time.Second
	// peerLife is how long a peer counts after it was last heard.
	peerLife = 10 * time.Second
	// peerLimit bounds the peers remembered.
	peerLimit = 4096
	// peersTold bounds the peers named in one message.
	peersTold = 32
)

// known is a peer and when it was last heard; zero for a seed that never was.
type known struct {
	instance string
	heard    time.Time
	// follows is true if the peer follows the store and reaches it.
	follows bool
	// doubted is when it last left a question unanswered; zero once it answered.
	doubted time.Time
}

// TableGossip exchanges copies of followed tables with peers, so that a process
// that the store refuses, or that started while the store was away, learns what
// the others know.
type TableGossip struct {
	wire.UnimplementedPeerServer

	self    Self
	mirror  *mirror.Mirror
	paces   *slowness.Tracker
	clients *ConnPool
	log     *events.Log
	done    sync.WaitGroup

	mu    sync.Mutex
	peers map[netip.AddrPort]known
	// seeds are asked as well, whenever no peer was heard lately.
	seeds []netip.AddrPort
	// following is true while this process follows the store itself.
	following bool
	// leaving is true once the process shuts down: it follows only while nobody
	// else does.
	leaving bool
	// told is the number of live peers last logged.
	told int
}

// NewTableGossip starts exchanging until ctx ends.
func NewTableGossip(ctx context.Context, self Self, seeds []netip.AddrPort, m *mirror.Mirror, b *slowness.Tracker, c *ConnPool, l *events.Log) *TableGossip {
	s := &TableGossip{self: self, mirror: m, paces: b, clients: c, log: l, seeds: seeds, peers: map[netip.AddrPort]known{}, following: true}
	s.done.Go(func() { s.exchangeLoop(ctx) })
	return s
}

// Wait returns after the goroutine has ended.
func (s *TableGossip) Wait() { s.done.Wait() }

// LiveProcesses returns the number of processes heard lately, this one included.
func (s *TableGossip) LiveProcesses() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return 1 + len(s.live())
}

func (s *TableGossip) live() []netip.AddrPort {
	var live []netip.AddrPort
	for at, k := range s.peers {
		if time.Since(k.heard) < peerLife {
			live = append(live, at)
		}
	}
	return live
}

func (s *TableGossip) exchangeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		s.settle()
		wait, count := mirrorInterval, 1
		switch {
		case s.mirror.LastCallFailed():
			wait, count = followInterval, awayPeers
		case !s.Following():
			wait = followInterval
		}
		var calls sync.WaitGroup
		for _, at := range s.pick(count) {
			calls.Go(func() { s.exchange(ctx, at) })
		}
		calls.Wait()
		s.logPeers()
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// Following reports whether this process is to follow the store itself.
func (s *TableGossip) Following() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.following
}

// StepDown leaves the store to others as soon as there are any, for this process is
// shutting down.
func (s *TableGossip) StepDown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// settle decides whether to follow the store: the first few by name do, of those
// that reach it. One that cannot tell follows.
func (s *TableGossip) settle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	others, before := 0, 0
	for _, k := range s.peers {
		if !k.follows || time.Since(k.heard) > followerLife {
			continue
		}
		others++
		if k.instance < s.self.Instance {
			before++
		}
	}
	wanted := max(leastFollowers, (1+len(s.live()))/perFollower)
	was := s.following
	if s.leaving {
		wanted = 1
	}
	s.following = others < wanted || (was && before < wanted && !s.leaving)
	switch {
	case s.following && !was:
		s.log.Info(events.FollowingBegun, events.Fields{"followers": others})
	case was && !s.following:
		s.log.Info(events.FollowingLeft, events.Fields{"followers": others})
	}
}

// liveFollowers returns the peers that follow the store.
func (s *TableGossip) liveFollowers() []netip.AddrPort {
	var out []netip.AddrPort
	for at, k := range s.peers {
		if k.follows && time.Since(k.heard) <= followerLife {
			out = append(out, at)
		}
	}
	return out
}

// pick returns random peers to ask: followers for a process that leaves the
// store to them, the seeds while no peer is known.
func (s *TableGossip) pick(count int) []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := s.live()
	if !s.following {
		from = s.liveFollowers()
	}
	if len(from) == 0 {
		return s.otherSeeds()
	}
	rand.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	return from[:min(count, len(from))]
}

func (s *TableGossip) otherSeeds() []netip.AddrPort {
	var others []netip.AddrPort
	for _, at := range s.seeds {
		if at != s.self.Address {
			others = append(others, at)
		}
	}
	return others
}

func (s *TableGossip) exchange(ctx context.Context, at netip.AddrPort) {
	update, err := call(ctx, s.clients, at, mirrorTimeout,
		func(ctx context.Context, c wire.PeerClient) (*wire.MirrorUpdate, error) {
			return c.Mirror(ctx, s.summary())
		})
	if err != nil {
		s.doubt(at)
		return
	}
	s.trust(at)
	s.hear(update.GetSelf(), update.GetPeers())
	for _, c := range update.GetCopies() {
		s.adopt(c)
	}
	for _, n := range update.GetPaces() {
		s.paces.Record(slowness.Report{Endpoint: n.GetEndpoint(), Slowness: n.GetPace(), ReportedAt: time.Now().Add(-n.GetAge().AsDuration())})
	}
}

// doubt stops relying on a peer that did not answer for a while. What others heard
// of it before does not count.
func (s *TableGossip) doubt(at netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.peers[at]
	if !ok {
		return
	}
	if k.follows {
		s.log.Info(events.PeerDoubted, events.Fields{"peer": k.instance})
		k.follows, k.heard = false, time.Now()
	}
	k.doubted = time.Now()
	s.peers[at] = k
}

// trust ends the doubt about a peer, for it answered.
func (s *TableGossip) trust(at netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k, ok := s.peers[at]; ok {
		k.doubted = time.Time{}
		s.peers[at] = k
	}
}

// adopt takes a newer copy.
func (s *TableGossip) adopt(c *wire.TableCopy) {
	snapshot := mirror.Snapshot{Revision: c.GetRevision(), Authoritative: c.GetSettled()}
	for _, r := range c.GetRows() {
		row := table.Row{Key: r.GetKey(), Value: r.GetValue(), Revision: r.GetRevision()}
		if r.GetLapsedFor() != nil {
			snapshot.Lapsed = append(snapshot.Lapsed, mirror.LapsedRow{Row: row, Remaining: r.GetLapsedFor().AsDuration()})
			continue
		}
		snapshot.Rows = append(snapshot.Rows, row)
	}
	s.mirror.Replace(mirror.Topic(c.GetTopic()), snapshot)
}

func (s *TableGossip) summary() *wire.MirrorSummary {
	out := &wire.MirrorSummary{Self: s.info(), Peers: s.tell()}
	for _, t := range mirror.Topics() {
		if revision, ok := s.mirror.Revision(t); ok {
			out.Copies = append(out.Copies, &wire.TableCopy{Topic: string(t), Revision: revision})
		}
	}
	return out
}

// Mirror implements wire.PeerServer.
func (s *TableGossip) Mirror(_ context.Context, in *wire.MirrorSummary) (*wire.MirrorUpdate, error) {
	s.hear(in.GetSelf(), in.GetPeers())
	theirs := map[mirror.Topic]uint64{}
	for _, c := range in.GetCopies() {
		theirs[mirror.Topic(c.GetTopic())] = c.GetRevision()
	}
	out := &wire.MirrorUpdate{Self: s.info(), Peers: s.tell()}
	for _, n := range s.paces.SlowReports() {
		out.Paces = append(out.Paces, &wire.EndpointPace{Endpoint: n.Endpoint, Pace: n.Slowness, Age: DurationToWire(time.Since(n.ReportedAt))})
	}
	for _, t := range mirror.Topics() {
		if revision, ok := s.mirror.Revision(t); ok && revision > theirs[t] {
			out.Copies = append(out.Copies, s.copyOf(t))
		}
	}
	return out, nil
}

func (s *TableGossip) copyOf(t mirror.Topic) *wire.TableCopy {
	snapshot, _ := s.mirror.Snapshot(t)
	out := &wire.TableCopy{Topic: string(t), Revision: snapshot.Revision, Settled: snapshot.Authoritative}
	for _, r := range snapshot.Rows {
		out.Rows = append(out.Rows, &wire.TableRow{Key: r.Key, Value: r.Value, Revision: r.Revision})
	}
	for _, l := range snapshot.Lapsed {
		out.Rows = append(out.Rows, &wire.TableRow{Key: l.Row.Key, Value: l.Row.Value, Revision: l.Row.Revision, LapsedFor: DurationToWire(l.Remaining)})
	}
	return out
}

func (s *TableGossip) info() *wire.PeerInfo {
	return &wire.PeerInfo{
		Instance: s.self.Instance,
		Address:  s.self.Address.String(),
		Follows:  s.Following() && !s.mirror.LastCallFailed(),
	}
}

// tell names some live peers with the time since they were heard.
func (s *TableGossip) tell() []*wire.PeerInfo {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*wire.PeerInfo
	for _, at := range s.live() {
		if len(out) == peersTold {
			break
		}
		k := s.peers[at]
		out = append(out, &wire.PeerInfo{Instance: k.instance, Address: at.String(), Age: DurationToWire(time.Since(k.heard)), Follows: k.follows})
	}
	return out
}

// hear notes a peer that spoke and those that it named.
func (s *TableGossip) hear(from *wire.PeerInfo, named []*wire.PeerInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.note(from, 0)
	for _, p := range named {
		s.note(p, p.GetAge().AsDuration())
	}
	for at, k := range s.peers {
		if time.Since(k.heard) >= peerLife {
			delete(s.peers, at)
		}
	}
}

func (s *TableGossip) note(p *wire.PeerInfo, age time.Duration) {
	at, err := netip.ParseAddrPort(p.GetAddress())
	heard := time.Now().Add(-max(0, age))
	if err != nil || at == s.self.Address || age >= peerLife || len(s.peers) >= peerLimit {
		return
	}
	k := s.peers[at]
	if heard.After(k.heard) {
		k.instance, k.heard = p.GetInstance(), heard
		k.follows = p.GetFollows() && time.Since(k.doubted) >= doubtLife
		s.peers[at] = k
	}
}

func (s *TableGossip) logPeers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.live()); n != s.told {
		s.told = n
		s.log.Info(events.PeersChanged, events.Fields{"peers": n})
	}
}
