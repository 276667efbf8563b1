// Package sidecar is the entry's client of one sidecar: a long-lived stream
// that carries many requests, watched by heartbeats of its own, and sealing
// over fresh connections.
package sidecar

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"

	"github.com/cicadareel/cicadareel/internal/connection/peer"
	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/metrics"
	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/request/transport"
)

const (
	// busyHeartbeat is the time without a frame after which a link with
	// requests is probed.
	busyHeartbeat = 400 * time.Millisecond
	// idleHeartbeat is the same for a link without requests.
	idleHeartbeat = 2 * time.Second
	// heartbeatTimeout is how long a probe may stay unanswered.
	heartbeatTimeout = 800 * time.Millisecond
	// connectTimeout bounds opening a stream up to its welcome.
	connectTimeout = 2 * time.Second
	// busyWatch and idleWatch are the times between two looks at a link's
	// silence, with and without requests.
	busyWatch = 100 * time.Millisecond
	idleWatch = time.Second
	// backoffFirst and backoffLast bound the pause before a new connection.
	backoffFirst = 50 * time.Millisecond
	backoffLast  = time.Second
	// outgoingFrames bounds the frames waiting to be sent.
	outgoingFrames = 1024
)

// LinkDownError reports that a link has no stream at the moment.
type LinkDownError struct{ Endpoint string }

func (e *LinkDownError) Error() string { return "no stream to the sidecar of " + e.Endpoint }

// GateState is what a link knows of the gate behind it.
type GateState struct {
	Limit, InFlight, Queued int
	Warm, Open              bool
}

// Observer is told of each gate state and of the link going down. It must not
// block.
type Observer interface {
	GateChanged(g GateState)
	LinkDown()
}

// Remote tells which process is behind a link and its admission epoch.
type Remote struct {
	Incarnation string
	Epoch       uint64
}

// Link keeps a stream to one sidecar.
type Link struct {
	endpoint string
	instance string
	address  netip.AddrPort
	dialer   *peer.Dialer
	observer Observer
	log      *events.Log
	metrics  *metrics.Metrics
	cancel   context.CancelFunc
	done     sync.WaitGroup

	mu sync.Mutex
	// session is nil while there is no stream.
	session   *session
	exchanges map[string]*Exchange
	remote    Remote
}

// session is the life of one stream.
type session struct {
	out chan *wire.EntryFrame
	// end breaks the stream.
	end context.CancelFunc
	ctx context.Context
	// heard is the time of the last frame received.
	heard time.Time
	// probed is the time of the unanswered probe; zero if there is none.
	probed time.Time
	// busy holds a token when the link got its first request.
	busy chan struct{}
}

// NewLink starts connecting to the sidecar and keeps doing so until Close.
func NewLink(endpointName, instance string, at netip.AddrPort, d *peer.Dialer, o Observer, l *events.Log, m *metrics.Metrics) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	k := &Link{
		endpoint:  endpointName,
		instance:  instance,
		address:   at,
		dialer:    d,
		observer:  o,
		log:       l,
		metrics:   m,
		cancel:    cancel,
		exchanges: map[string]*Exchange{},
	}
	k.done.Go(func() { k.connectLoop(ctx) })
	return k
}

// Address returns the sidecar's address.
func (k *Link) Address() netip.AddrPort { return k.address }

// Endpoint returns the name of the endpoint behind the sidecar.
func (k *Link) Endpoint() string { return k.endpoint }

// Close ends the link and breaks its exchanges.
func (k *Link) Close() {
	k.cancel()
	k.done.Wait()
}

func (k *Link) connectLoop(ctx context.Context) {
	backoff := backoffFirst
	for ctx.Err() == nil {
		started := time.Now()
		k.connect(ctx)
		if time.Since(started) > backoffLast {
			backoff = backoffFirst
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, backoffLast)
	}
}

// connect runs one stream over a connection of its own until it breaks.
func (k *Link) connect(ctx context.Context) {
	conn, err := k.dialer.Dial(k.address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	ctx, end := context.WithCancel(ctx)
	defer end()
	stream, welcome, err := k.open(ctx, end, conn)
	if err != nil {
		return
	}
	s := &session{out: make(chan *wire.EntryFrame, outgoingFrames), end: end, ctx: ctx, heard: time.Now(), busy: make(chan struct{}, 1)}
	k.up(s, welcome)
	var duties sync.WaitGroup
	duties.Go(func() { k.writeLoop(s, stream) })
	duties.Go(func() { k.watchLoop(s) })
	k.readLoop(s, stream)
	end()
	duties.Wait()
	k.down()
}

// open sends the hello and waits for the welcome for a bounded time.
func (k *Link) open(ctx context.Context, end context.CancelFunc, conn *grpc.ClientConn) (wire.Sidecar_WorkClient, *wire.SidecarFrame, error) {
	guard := time.AfterFunc(connectTimeout, end)
	defer guard.Stop()
	stream, err := wire.NewSidecarClient(conn).Work(ctx)
	if err != nil {
		return nil, nil, oops.In("sidecar").Wrap(err)
	}
	if err := stream.Send(&wire.EntryFrame{Kind: &wire.EntryFrame_Hello{Hello: &wire.Hello{Instance: k.instance}}}); err != nil {
		return nil, nil, oops.In("sidecar").Wrap(err)
	}
	first, err := stream.Recv()
	if err != nil {
		return nil, nil, oops.In("sidecar").Wrap(err)
	}
	if first.GetWelcome().GetEndpoint() != k.endpoint {
		k.metrics.Malformed()
		return nil, nil, &LinkDownError{Endpoint: k.endpoint}
	}
	return stream, first, nil
}

func (k *Link) up(s *session, welcome *wire.SidecarFrame) {
	k.mu.Lock()
	k.session = s
	k.remote = Remote{Incarnation: welcome.GetWelcome().GetIncarnation(), Epoch: welcome.GetGate().GetEpoch()}
	k.mu.Unlock()
	k.log.Debug(events.LinkUp, events.Fields{"endpoint": k.endpoint})
	k.observe(welcome.GetGate())
}

func (k *Link) down() {
	k.mu.Lock()
	k.session = nil
	broken := k.exchanges
	k.exchanges = map[string]*Exchange{}
	k.mu.Unlock()
	k.observer.LinkDown()
	k.log.Info(events.LinkDown, events.Fields{"endpoint": k.endpoint, "inFlight": len(broken)})
	for _, x := range broken {
		x.push(transport.Broken{})
	}
}

func (k *Link) observe(g *wire.GateState) {
	if g == nil {
		return
	}
	k.mu.Lock()
	k.remote.Epoch = max(k.remote.Epoch, g.GetEpoch())
	k.mu.Unlock()
	k.observer.GateChanged(GateState{
		Limit:    int(g.GetLimit()),
		InFlight: int(g.GetInFlight()),
		Queued:   int(g.GetQueued()),
		Warm:     g.GetWarm(),
		Open:     g.GetOpen(),
	})
}

func (k *Link) readLoop(s *session, stream wire.Sidecar_WorkClient) {
	for {
		f, err := stream.Recv()
		if err != nil {
			return
		}
		k.mu.Lock()
		s.heard = time.Now()
		s.probed = time.Time{}
		k.mu.Unlock()
		k.observe(f.GetGate())
		k.dispatch(f)
	}
}

// dispatch hands a frame to its exchange. Frames of unknown attempts are late
// and dropped.
func (k *Link) dispatch(f *wire.SidecarFrame) {
	switch b := f.GetKind().(type) {
	case *wire.SidecarFrame_Head:
		if x := k.find(b.Head.GetId()); x != nil {
			x.push(transport.Head{Status: int(b.Head.GetStatus()), Header: headerFromWire(b.Head.GetHeaders())})
		}
	case *wire.SidecarFrame_Data:
		if x := k.find(b.Data.GetId()); x != nil {
			x.data(b.Data)
		}
	case *wire.SidecarFrame_End:
		if x := k.find(b.End.GetId()); x != nil {
			x.end(b.End.GetLength())
		}
	case *wire.SidecarFrame_Refusal:
		if x := k.find(b.Refusal.GetId()); x != nil {
			x.push(transport.Refused{Reason: outcome.Reason(b.Refusal.GetReason()), MayHaveRun: b.Refusal.GetMayHaveRun()})
		}
	}
}

func headerFromWire(fields []*wire.Header) http.Header {
	header := make(http.Header, len(fields))
	for _, f := range fields {
		header[f.GetName()] = f.GetValues()
	}
	return header
}

func (k *Link) find(id *wire.AttemptId) *Exchange {
	k.mu.Lock()
	defer k.mu.Unlock()
	x := k.exchanges[id.GetRequestId()]
	if x == nil || x.id.GetNumber() != id.GetNumber() {
		return nil
	}
	return x
}

func (k *Link) forget(x *Exchange) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.exchanges[x.id.GetRequestId()] == x {
		delete(k.exchanges, x.id.GetRequestId())
	}
}

func (k *Link) writeLoop(s *session, stream wire.Sidecar_WorkClient) {
	for {
		select {
		case <-s.ctx.Done():
			return
		case f := <-s.out:
			if stream.Send(f) != nil {
				s.end()
				return
			}
		}
	}
}

// watchLoop probes a quiet stream and breaks it when a probe stays unanswered.
func (k *Link) watchLoop(s *session) {
	timer := time.NewTimer(idleWatch)
	defer timer.Stop()
	for sequence := uint64(1); ; sequence++ {
		select {
		case <-s.ctx.Done():
			return
		case <-timer.C:
		case <-s.busy:
		}
		timer.Reset(k.watch(s, sequence))
	}
}

// watch looks at the silence once and returns the time until the next look.
func (k *Link) watch(s *session, sequence uint64) time.Duration {
	k.mu.Lock()
	now := time.Now()
	quiet, pause := idleHeartbeat, idleWatch
	if len(k.exchanges) > 0 || !s.probed.IsZero() {
		quiet, pause = busyHeartbeat, busyWatch
	}
	silent := !s.probed.IsZero() && now.Sub(s.probed) > heartbeatTimeout
	probe := s.probed.IsZero() && now.Sub(s.heard) > quiet
	if probe {
		s.probed = now
	}
	k.mu.Unlock()
	if silent {
		s.end()
		return pause
	}
	if probe {
		k.trySend(&wire.EntryFrame{Kind: &wire.EntryFrame_Heartbeat{Heartbeat: &wire.Heartbeat{Sequence: sequence}}})
		return busyWatch
	}
	return pause
}

// trySend queues a frame that may be lost when the stream is full or broken.
func (k *Link) trySend(f *wire.EntryFrame) {
	if s := k.current(); s != nil {
		select {
		case s.out <- f:
		default:
		}
	}
}

// sendOrBreak queues a frame, waiting for room while the stream lives.
func (k *Link) sendOrBreak(f *wire.EntryFrame) {
	if s := k.current(); s != nil {
		select {
		case s.out <- f:
		case <-s.ctx.Done():
		}
	}
}

func (k *Link) current() *session {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.session
}
