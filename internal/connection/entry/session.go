package entry

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/request/gate"
	"github.com/cicadareel/cicadareel/internal/request/response"
)

const (
	// maxOutgoingFrames bounds the frames waiting to be sent on one stream.
	maxOutgoingFrames = 256
	// silenceTimeout is the time without any frame after which a stream is dead.
	// It exceeds several idle heartbeats of an entry.
	silenceTimeout = 6 * time.Second
	// maxIDLength bounds a request id, in bytes.
	maxIDLength = 128
)

// MalformedError reports a frame that breaks the protocol.
type MalformedError struct{ Problem string }

func (e *MalformedError) Error() string { return "malformed frame: " + e.Problem }

// conversation is one stream with one entry. The serving goroutine reads, one
// goroutine writes, and each attempt has one that feeds the writer.
type session struct {
	server   *Server
	stream   wire.Sidecar_WorkServer
	outgoing chan *wire.SidecarFrame

	ctx    context.Context
	cancel context.CancelFunc
	// readers are the goroutines that feed out.
	senders sync.WaitGroup

	// intake is held while a frame is handled; closed ends the handling.
	handling sync.Mutex
	closed   bool

	mu sync.Mutex
	// attached maps request ids to the run that this stream reads.
	attached map[string]*run
	// waiting maps request ids to attempts in the gate's queue.
	queued map[string]gate.Attempt

	// flushed is closed when no more frames follow and the writer shall end.
	noMoreFrames chan struct{}
}

func newSession(s *Server, stream wire.Sidecar_WorkServer) *session {
	ctx, cancel := context.WithCancel(stream.Context())
	return &session{
		server:       s,
		stream:       stream,
		outgoing:     make(chan *wire.SidecarFrame, maxOutgoingFrames),
		ctx:          ctx,
		cancel:       cancel,
		attached:     map[string]*run{},
		queued:       map[string]gate.Attempt{},
		noMoreFrames: make(chan struct{}),
	}
}

func (c *session) serve() error {
	defer c.senders.Wait()
	defer c.stopHandling()
	defer c.cancel()
	var writer sync.WaitGroup
	defer writer.Wait()
	defer close(c.noMoreFrames)
	writer.Go(c.writeLoop)
	c.send(&wire.SidecarFrame{Kind: &wire.SidecarFrame_Welcome{Welcome: &wire.Welcome{
		Endpoint: c.server.name, Incarnation: c.server.incarnation,
	}}})
	return c.readUntilEnd()
}

// read returns when the stream breaks, stays silent, or carries a malformed
// frame. The receiving goroutine ends with the stream.
func (c *session) readUntilEnd() error {
	silence := time.NewTimer(silenceTimeout)
	defer silence.Stop()
	ended := make(chan error, 1)
	go func() { ended <- c.receiveLoop(silence) }()
	select {
	case err := <-ended:
		return err
	case <-silence.C:
		return status.Error(codes.DeadlineExceeded, "stream silent")
	case <-c.ctx.Done():
		return nil
	case <-c.server.baseContext.Done():
		return nil
	}
}

func (c *session) receiveLoop(silence *time.Timer) error {
	for {
		f, err := c.stream.Recv()
		if err != nil {
			return nil //nolint:nilerr // The entry went away.
		}
		silence.Reset(silenceTimeout)
		if err := c.handleIfOpen(f); err != nil {
			c.server.metrics.Malformed()
			c.server.log.Warn(events.PeerMisbehaved, events.Fields{"error": err.Error()})
			return status.Error(codes.InvalidArgument, err.Error())
		}
	}
}

// take handles a frame unless the conversation ended.
func (c *session) handleIfOpen(f *wire.EntryFrame) error {
	c.handling.Lock()
	defer c.handling.Unlock()
	if c.closed {
		return nil
	}
	return c.handle(f)
}

func (c *session) stopHandling() {
	c.handling.Lock()
	defer c.handling.Unlock()
	c.closed = true
}

func (c *session) handle(f *wire.EntryFrame) error {
	switch k := f.GetKind().(type) {
	case *wire.EntryFrame_Hello:
		return nil
	case *wire.EntryFrame_Begin:
		return c.begin(k.Begin)
	case *wire.EntryFrame_Resume:
		return c.resume(k.Resume)
	case *wire.EntryFrame_Acknowledge:
		c.acknowledge(k.Acknowledge)
		return nil
	case *wire.EntryFrame_Cancel:
		c.cancelAttempt(k.Cancel.GetId().GetRequestId())
		return nil
	case *wire.EntryFrame_Heartbeat:
		c.send(&wire.SidecarFrame{Kind: &wire.SidecarFrame_Heartbeat{Heartbeat: &wire.Heartbeat{
			Sequence: k.Heartbeat.GetSequence(),
		}}})
		return nil
	}
	return &MalformedError{Problem: "unknown kind"}
}

func (c *session) begin(b *wire.Begin) error {
	id := b.GetId()
	if id.GetRequestId() == "" || len(id.GetRequestId()) > maxIDLength || id.GetNumber() == 0 {
		return &MalformedError{Problem: "attempt id"}
	}
	if b.GetMethod() == "" || len(b.GetTarget()) == 0 || b.GetTarget()[0] != '/' {
		return &MalformedError{Problem: "method or target"}
	}
	r := newRun(b, time.Now())
	decisions := make(chan gate.Decision, 1)
	decision := c.server.gate.Submit(r.attempt, func(v gate.Decision) { decisions <- v })
	switch v := decision.(type) {
	case gate.Refused:
		c.send(refusal(id, v.Reason, v.Reason == outcome.AlreadyAdmitted))
	case gate.Admitted:
		c.attach(r)
		c.server.start(r)
		c.senders.Go(func() { c.sendResponse(r, id, false, 0) })
	case gate.Queued:
		c.addQueued(r.attempt)
		c.senders.Go(func() { c.awaitDecision(r, id, decisions) })
	}
	return nil
}

// await waits for the later decision on a queued attempt. A stream that ends
// withdraws its queued attempts; where that comes too late, the decision is on
// its way.
func (c *session) awaitDecision(r *run, id *wire.AttemptId, decisions <-chan gate.Decision) {
	var decision gate.Decision
	select {
	case decision = <-decisions:
	case <-c.ctx.Done():
		if c.server.gate.Withdraw(r.attempt) {
			return
		}
		decision = <-decisions
	}
	c.removeQueued(r.attempt.RequestID)
	switch v := decision.(type) {
	case gate.Refused:
		c.send(refusal(id, v.Reason, false))
	case gate.Admitted:
		c.attach(r)
		c.server.start(r)
		c.sendResponse(r, id, false, 0)
	}
}

func (c *session) resume(m *wire.Resume) error {
	r := c.server.runs.get(m.GetId().GetRequestId())
	if m.GetOffset() < 0 {
		return &MalformedError{Problem: "offset"}
	}
	if r == nil || m.GetIncarnation() != c.server.incarnation {
		c.send(refusal(m.GetId(), outcome.AnswerNotKept, true))
		return nil
	}
	c.attach(r)
	c.senders.Go(func() { c.sendResponse(r, m.GetId(), false, m.GetOffset()) })
	return nil
}

// pump sends an answer from the offset to its end.
func (c *session) sendResponse(r *run, id *wire.AttemptId, headSent bool, offset int64) {
	defer c.detach(r)
	for {
		switch p := r.response.Next(headSent, offset).(type) {
		case response.PartHead:
			headSent = true
			c.send(headFrame(id, p.Head))
		case response.PartData:
			offset = p.Offset + int64(len(p.Payload))
			c.send(&wire.SidecarFrame{Kind: &wire.SidecarFrame_Data{Data: &wire.Data{
				Id: id, Offset: p.Offset, Payload: p.Payload,
			}}})
		case response.PartEnd:
			c.send(&wire.SidecarFrame{Kind: &wire.SidecarFrame_End{End: &wire.End{Id: id, Length: p.Length}}})
			return
		case response.PartFailed:
			c.send(refusal(id, outcome.Reason(p.Failure.Reason), p.Failure.MayHaveRun))
			return
		case response.PartDropped:
			c.send(refusal(id, outcome.AnswerNotKept, true))
			return
		case response.PartWait:
			select {
			case <-p.Changed:
			case <-c.ctx.Done():
				return
			}
		}
		if c.ctx.Err() != nil {
			return
		}
	}
}

func headFrame(id *wire.AttemptId, h response.Head) *wire.SidecarFrame {
	head := &wire.Head{Id: id, Status: int32(h.Status)}
	for name, values := range h.Header {
		head.Headers = append(head.Headers, &wire.Header{Name: name, Values: values})
	}
	return &wire.SidecarFrame{Kind: &wire.SidecarFrame_Head{Head: head}}
}

func (c *session) acknowledge(m *wire.Acknowledge) {
	id := m.GetId().GetRequestId()
	r := c.server.runs.get(id)
	if r == nil {
		return
	}
	r.response.Acknowledge(m.GetOffset())
	c.server.runs.forgetIfRead(r)
}

// abandon ends this entry's interest in a request.
func (c *session) cancelAttempt(id string) {
	c.mu.Lock()
	attempt, isQueued := c.queued[id]
	r := c.attached[id]
	c.mu.Unlock()
	if isQueued {
		c.server.gate.Seal(attempt.RequestID, attempt.Number, attempt.Epoch)
		return
	}
	if r != nil {
		r.stop()
	}
}

func (c *session) attach(r *run) {
	r.attach()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attached[r.attempt.RequestID] = r
}

func (c *session) detach(r *run) {
	r.detach()
	c.mu.Lock()
	delete(c.attached, r.attempt.RequestID)
	c.mu.Unlock()
}

func (c *session) addQueued(a gate.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queued[a.RequestID] = a
}

func (c *session) removeQueued(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.queued, id)
}

// send queues a frame with the gate's state; it gives up when the stream ends.
func (c *session) send(f *wire.SidecarFrame) {
	f.Gate = c.server.gateState()
	select {
	case c.outgoing <- f:
	case <-c.ctx.Done():
	}
}

// writeLoop sends frames until the stream breaks, or all are sent after the
// conversation ended.
func (c *session) writeLoop() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case f := <-c.outgoing:
			if c.stream.Send(f) != nil {
				c.cancel()
				return
			}
		case <-c.noMoreFrames:
			c.writeRemaining()
			return
		}
	}
}

func (c *session) writeRemaining() {
	for {
		select {
		case f := <-c.outgoing:
			if c.stream.Send(f) != nil {
				return
			}
		default:
			return
		}
	}
}
