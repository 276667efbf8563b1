// Package sidecar is the entry's client of one sidecar. It multiplexes requests
// over a long-lived stream, which it probes with heartbeats, and seals attempts
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
	"github.com/cicadareel/cicadareel/internal/http1"
	"github.com/cicadareel/cicadareel/internal/metrics"
	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/request/transport"
)

const (
	// busyProbeAfter is the time without a frame after which a link with requests
	// sends a heartbeat as a probe.
	busyProbeAfter = 400 * time.Millisecond
	// idleProbeAfter is the same for a link without requests.
	idleProbeAfter = 2 * time.Second
	// probeTimeout is how long a probe may stay unanswered.
	probeTimeout = 800 * time.Millisecond
	// connectTimeout bounds the time from opening a stream to its welcome frame.
	connectTimeout = 2 * time.Second
	// busyCheckInterval and idleCheckInterval are the times between two checks
	// whether a link is silent, with and without requests.
	busyCheckInterval = 100 * time.Millisecond
	idleCheckInterval = time.Second
	// minBackoff and maxBackoff bound the pause before reconnecting.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// maxOutgoingFrames bounds the frames queued for sending.
	maxOutgoingFrames = 1024
)

// LinkDownError reports that a link has no open stream.
type LinkDownError struct{ Endpoint string }

func (e *LinkDownError) Error() string {
	return "no open stream to the sidecar of endpoint " + e.Endpoint
}

// GateState is the state of the sidecar's gate as last reported.
type GateState struct {
	// Limit bounds the requests at the endpoint; InFlight and Queued count those
	// admitted and those waiting.
	Limit, InFlight, Queued int
	// Warm is true once Limit has reached its value for a warm endpoint; Open is
	// true if the gate admits new work.
	Warm, Open bool
}

// Observer is notified of each gate state and when the link loses its stream. It
// must not block.
type Observer interface {
	GateChanged(g GateState)
	LinkDown()
}

// Remote identifies the sidecar process behind a link and its admission epoch.
// The incarnation is an id that is new with each start of the process.
type Remote struct {
	Incarnation string
	Epoch       uint64
}

// Link keeps a stream to one sidecar open and reconnects when it breaks.
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
	session *session
	// exchanges holds the exchanges in progress by request id.
	exchanges map[string]*Exchange
	remote    Remote
}

// session is the state of one stream.
type session struct {
	// outgoing is the queue of frames to send.
	outgoing chan *wire.EntryFrame
	// cancel closes the stream.
	cancel context.CancelFunc
	ctx    context.Context
	// lastReceived is when the last frame arrived.
	lastReceived time.Time
	// probeSent is when the unanswered probe was sent; zero if there is none.
	probeSent time.Time
	// becameBusy holds a token after the first request was added to an idle link.
	becameBusy chan struct{}
}

// NewLink connects to the sidecar of an endpoint and reconnects until Close.
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
	k.done.Go(func() { k.reconnectLoop(ctx) })
	return k
}

// Address returns the sidecar's address.
func (k *Link) Address() netip.AddrPort { return k.address }

// Endpoint returns the name of the endpoint behind the sidecar.
func (k *Link) Endpoint() string { return k.endpoint }

// Close closes the link and breaks its exchanges.
func (k *Link) Close() {
	k.cancel()
	k.done.Wait()
}

// reconnectLoop keeps the link connected, with exponential backoff.
func (k *Link) reconnectLoop(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		started := time.Now()
		k.connect(ctx)
		if time.Since(started) > maxBackoff {
			backoff = minBackoff
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// connect opens a connection with one stream and serves it until it breaks.
func (k *Link) connect(ctx context.Context) {
	conn, err := k.dialer.Dial(k.address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, welcome, err := k.openStream(ctx, cancel, conn)
	if err != nil {
		return
	}
	s := &session{outgoing: make(chan *wire.EntryFrame, maxOutgoingFrames), cancel: cancel, ctx: ctx, lastReceived: time.Now(), becameBusy: make(chan struct{}, 1)}
	k.setSession(s, welcome)
	var loops sync.WaitGroup
	loops.Go(func() { k.writeLoop(s, stream) })
	loops.Go(func() { k.probeLoop(s) })
	k.readLoop(s, stream)
	cancel()
	loops.Wait()
	k.clearSession()
}

// openStream opens the stream, sends the hello frame and waits for the welcome frame,
// all within connectTimeout.
func (k *Link) openStream(ctx context.Context, cancel context.CancelFunc, conn *grpc.ClientConn) (wire.Sidecar_WorkClient, *wire.SidecarFrame, error) {
	guard := time.AfterFunc(connectTimeout, cancel)
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
		k.metrics.CountMalformed()
		return nil, nil, &LinkDownError{Endpoint: k.endpoint}
	}
	return stream, first, nil
}

// setSession makes s the link's session and reports the gate state.
func (k *Link) setSession(s *session, welcome *wire.SidecarFrame) {
	k.mu.Lock()
	k.session = s
	k.remote = Remote{Incarnation: welcome.GetWelcome().GetIncarnation(), Epoch: welcome.GetGate().GetEpoch()}
	k.mu.Unlock()
	k.log.Debug(events.LinkUp, events.Fields{"endpoint": k.endpoint})
	k.reportGate(welcome.GetGate())
}

// clearSession removes the session and breaks all exchanges in progress.
func (k *Link) clearSession() {
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

// reportGate passes a gate state to the observer.
func (k *Link) reportGate(g *wire.GateState) {
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

// readLoop receives frames until the stream breaks.
func (k *Link) readLoop(s *session, stream wire.Sidecar_WorkClient) {
	for {
		f, err := stream.Recv()
		if err != nil {
			return
		}
		k.mu.Lock()
		s.lastReceived = time.Now()
		s.probeSent = time.Time{}
		k.mu.Unlock()
		k.reportGate(f.GetGate())
		k.deliverFrame(f)
	}
}

// deliverFrame passes a frame to its exchange. It drops frames of unknown
// attempts, which arrive after their exchange was closed.
func (k *Link) deliverFrame(f *wire.SidecarFrame) {
	switch b := f.GetKind().(type) {
	case *wire.SidecarFrame_Head:
		if x := k.findExchange(b.Head.GetId()); x != nil {
			k.deliverHead(x, b.Head)
		}
	case *wire.SidecarFrame_Data:
		if x := k.findExchange(b.Data.GetId()); x != nil {
			x.receiveData(b.Data)
		}
	case *wire.SidecarFrame_End:
		if x := k.findExchange(b.End.GetId()); x != nil {
			x.receiveEnd(b.End.GetLength())
		}
	case *wire.SidecarFrame_Refusal:
		if x := k.findExchange(b.Refusal.GetId()); x != nil {
			x.push(transport.Refused{Reason: outcome.Reason(b.Refusal.GetReason()), MayHaveRun: b.Refusal.GetMayHaveRun()})
		}
	}
}

// deliverHead passes the head of a response to its exchange, or ends the exchange if the
// head is not valid.
func (k *Link) deliverHead(x *Exchange, m *wire.Head) {
	head := transport.Head{Status: int(m.GetStatus()), Header: headerFromWire(m.GetHeaders())}
	if err := http1.CheckHead(head.Status, head.Header); err != nil {
		k.metrics.CountMalformed()
		k.log.Warn(events.PeerMessageMalformed, events.Fields{"endpoint": k.endpoint, "request": x.id.GetRequestId(), "error": err.Error()})
		x.push(transport.Refused{Reason: outcome.EndpointBroke, MayHaveRun: true})
		return
	}
	x.push(head)
}

func headerFromWire(fields []*wire.Header) http.Header {
	header := make(http.Header, len(fields))
	for _, f := range fields {
		header[f.GetName()] = f.GetValues()
	}
	return header
}

// findExchange returns the exchange of the attempt, or nil.
func (k *Link) findExchange(id *wire.AttemptId) *Exchange {
	k.mu.Lock()
	defer k.mu.Unlock()
	x := k.exchanges[id.GetRequestId()]
	if x == nil || x.id.GetNumber() != id.GetNumber() {
		return nil
	}
	return x
}

// removeExchange drops the exchange from the link unless a later one of the request
// replaced it.
func (k *Link) removeExchange(x *Exchange) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.exchanges[x.id.GetRequestId()] == x {
		delete(k.exchanges, x.id.GetRequestId())
	}
}

// writeLoop sends the queued frames until the stream breaks.
func (k *Link) writeLoop(s *session, stream wire.Sidecar_WorkClient) {
	for {
		select {
		case <-s.ctx.Done():
			return
		case f := <-s.outgoing:
			if stream.Send(f) != nil {
				s.cancel()
				return
			}
		}
	}
}

// probeLoop probes a silent stream and closes it when a probe stays unanswered.
func (k *Link) probeLoop(s *session) {
	timer := time.NewTimer(idleCheckInterval)
	defer timer.Stop()
	for sequence := uint64(1); ; sequence++ {
		select {
		case <-s.ctx.Done():
			return
		case <-timer.C:
		case <-s.becameBusy:
		}
		timer.Reset(k.checkSilence(s, sequence))
	}
}

// checkSilence probes or closes the stream if it is silent, and returns the time
// until the next check.
func (k *Link) checkSilence(s *session, sequence uint64) time.Duration {
	k.mu.Lock()
	now := time.Now()
	probeAfter, interval := idleProbeAfter, idleCheckInterval
	if len(k.exchanges) > 0 || !s.probeSent.IsZero() {
		probeAfter, interval = busyProbeAfter, busyCheckInterval
	}
	silent := !s.probeSent.IsZero() && now.Sub(s.probeSent) > probeTimeout
	probe := s.probeSent.IsZero() && now.Sub(s.lastReceived) > probeAfter
	if probe {
		s.probeSent = now
	}
	k.mu.Unlock()
	if silent {
		s.cancel()
		return interval
	}
	if probe {
		k.trySend(&wire.EntryFrame{Kind: &wire.EntryFrame_Heartbeat{Heartbeat: &wire.Heartbeat{Sequence: sequence}}})
		return busyCheckInterval
	}
	return interval
}

// trySend queues a frame, or drops it if the queue is full or there is no stream.
func (k *Link) trySend(f *wire.EntryFrame) {
	if s := k.currentSession(); s != nil {
		select {
		case s.outgoing <- f:
		default:
		}
	}
}

// sendWait queues a frame and waits while the queue is full. It drops the frame
// if there is no stream or the stream breaks.
func (k *Link) sendWait(f *wire.EntryFrame) {
	if s := k.currentSession(); s != nil {
		select {
		case s.outgoing <- f:
		case <-s.ctx.Done():
		}
	}
}

func (k *Link) currentSession() *session {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.session
}
