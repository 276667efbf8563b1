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
	// outgoingFrames bounds the frames waiting to be sent on one stream.
	outgoingFrames = 256
	// silenceLimit is the time without any frame after which a stream is dead.
	// It exceeds several idle heartbeats of an entry.
	silenceLimit = 6 * time.Second
	// idLengthLimit bounds a request id, in bytes.
	idLengthLimit = 128
)

// MalformedError reports a frame that breaks the protocol.
type MalformedError struct{ Problem string }

func (e *MalformedError) Error() string { return "malformed frame: " + e.Problem }

// conversation is one stream with one entry. The serving goroutine reads, one
// goroutine writes, and each attempt has one that feeds the writer.
type conversation struct {
	server *Server
	stream wire.Sidecar_WorkServer
	out    chan *wire.SidecarFrame

	ctx    context.Context
	cancel context.CancelFunc
	// readers are the goroutines that feed out.
	readers sync.WaitGroup

	// intake is held while a frame is handled; closed ends the handling.
	intake sync.Mutex
	closed bool

	mu sync.Mutex
	// attached maps request ids to the run that this stream reads.
	attached map[string]*run
	// waiting maps request ids to attempts in the gate's queue.
	waiting map[string]gate.Attempt

	// flushed is closed when no more frames follow and the writer shall end.
	flushed chan struct{}
}

func newConversation(s *Server, stream wire.Sidecar_WorkServer) *conversation {
	ctx, cancel := context.WithCancel(stream.Context())
	return &conversation{
		server:   s,
		stream:   stream,
		out:      make(chan *wire.SidecarFrame, outgoingFrames),
		ctx:      ctx,
		cancel:   cancel,
		attached: map[string]*run{},
		waiting:  map[string]gate.Attempt{},
		flushed:  make(chan struct{}),
	}
}

func (c *conversation) serve() error {
	defer c.readers.Wait()
	defer c.closeIntake()
	defer c.cancel()
	var writer sync.WaitGroup
	defer writer.Wait()
	defer close(c.flushed)
	writer.Go(c.writeLoop)
	c.send(&wire.SidecarFrame{Kind: &wire.SidecarFrame_Welcome{Welcome: &wire.Welcome{
		Endpoint: c.server.name, Incarnation: c.server.incarnation,
	}}})
	return c.read()
}

// read returns when the stream breaks, stays silent, or carries a malformed
// frame. The receiving goroutine ends with the stream.
func (c *conversation) read() error {
	silence := time.NewTimer(silenceLimit)
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
	case <-c.server.base.Done():
		return nil
	}
}

func (c *conversation) receiveLoop(silence *time.Timer) error {
	for {
		f, err := c.stream.Recv()
		if err != nil {
			return nil //nolint:nilerr // The entry went away.
		}
		silence.Reset(silenceLimit)
		if err := c.take(f); err != nil {
			c.server.metrics.Malformed()
			c.server.log.Warn(events.PeerMisbehaved, events.Fields{"error": err.Error()})
			return status.Error(codes.InvalidArgument, err.Error())
		}
	}
}

// take handles a frame unless the conversation ended.
func (c *conversation) take(f *wire.EntryFrame) error {
	c.intake.Lock()
	defer c.intake.Unlock()
	if c.closed {
		return nil
	}
	return c.handle(f)
}

func (c *conversation) closeIntake() {
	c.intake.Lock()
	defer c.intake.Unlock()
	c.closed = true
}

func (c *conversation) handle(f *wire.EntryFrame) error {
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
		c.abandon(k.Cancel.GetId().GetRequestId())
		return nil
	case *wire.EntryFrame_Heartbeat:
		c.send(&wire.SidecarFrame{Kind: &wire.SidecarFrame_Heartbeat{Heartbeat: &wire.Heartbeat{
			Sequence: k.Heartbeat.GetSequence(),
		}}})
		return nil
	}
	return &MalformedError{Problem: "unknown kind"}
}

func (c *conversation) begin(b *wire.Begin) error {
	id := b.GetId()
	if id.GetRequestId() == "" || len(id.GetRequestId()) > idLengthLimit || id.GetNumber() == 0 {
		return &MalformedError{Problem: "attempt id"}
	}
	if b.GetMethod() == "" || len(b.GetTarget()) == 0 || b.GetTarget()[0] != '/' {
		return &MalformedError{Problem: "method or target"}
	}
	r := newRun(b, time.Now())
	verdicts := make(chan gate.Decision, 1)
	verdict := c.server.gate.Submit(r.attempt, func(v gate.Decision) { verdicts <- v })
	switch v := verdict.(type) {
	case gate.Refused:
		c.send(refusal(id, v.Reason, v.Reason == outcome.AlreadyAdmitted))
	case gate.Admitted:
		c.attach(r)
		c.server.start(r)
		c.readers.Go(func() { c.pump(r, id, false, 0) })
	case gate.Queued:
		c.setWaiting(r.attempt)
		c.readers.Go(func() { c.await(r, id, verdicts) })
	}
	return nil
}

// await waits for the later verdict on a queued attempt. A stream that ends
// withdraws its queued attempts; where that comes too late, the verdict is on
// its way.
func (c *conversation) await(r *run, id *wire.AttemptId, verdicts <-chan gate.Decision) {
	var verdict gate.Decision
	select {
	case verdict = <-verdicts:
	case <-c.ctx.Done():
		if c.server.gate.Withdraw(r.attempt) {
			return
		}
		verdict = <-verdicts
	}
	c.clearWaiting(r.attempt.RequestID)
	switch v := verdict.(type) {
	case gate.Refused:
		c.send(refusal(id, v.Reason, false))
	case gate.Admitted:
		c.attach(r)
		c.server.start(r)
		c.pump(r, id, false, 0)
	}
}

func (c *conversation) resume(m *wire.Resume) error {
	r := c.server.runs.get(m.GetId().GetRequestId())
	if m.GetOffset() < 0 {
		return &MalformedError{Problem: "offset"}
	}
	if r == nil || m.GetIncarnation() != c.server.incarnation {
		c.send(refusal(m.GetId(), outcome.AnswerNotKept, true))
		return nil
	}
	c.attach(r)
	c.readers.Go(func() { c.pump(r, m.GetId(), false, m.GetOffset()) })
	return nil
}

// pump sends an answer from the offset to its end.
func (c *conversation) pump(r *run, id *wire.AttemptId, headSent bool, offset int64) {
	defer c.release(r)
	for {
		switch p := r.answer.Next(headSent, offset).(type) {
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

func (c *conversation) acknowledge(m *wire.Acknowledge) {
	id := m.GetId().GetRequestId()
	r := c.server.runs.get(id)
	if r == nil {
		return
	}
	r.answer.Acknowledge(m.GetOffset())
	c.server.runs.acknowledged(r)
}

// abandon ends this entry's interest in a request.
func (c *conversation) abandon(id string) {
	c.mu.Lock()
	waiting, queued := c.waiting[id]
	r := c.attached[id]
	c.mu.Unlock()
	if queued {
		c.server.gate.Seal(waiting.RequestID, waiting.Number, waiting.Epoch)
		return
	}
	if r != nil {
		r.stop()
	}
}

func (c *conversation) attach(r *run) {
	r.attach()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attached[r.attempt.RequestID] = r
}

func (c *conversation) release(r *run) {
	r.detach()
	c.mu.Lock()
	delete(c.attached, r.attempt.RequestID)
	c.mu.Unlock()
}

func (c *conversation) setWaiting(a gate.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting[a.RequestID] = a
}

func (c *conversation) clearWaiting(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
}

// send queues a frame with the gate's state; it gives up when the stream ends.
func (c *conversation) send(f *wire.SidecarFrame) {
	f.Gate = c.server.gateState()
	select {
	case c.out <- f:
	case <-c.ctx.Done():
	}
}

// writeLoop sends frames until the stream breaks, or all are sent after the
// conversation ended.
func (c *conversation) writeLoop() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case f := <-c.out:
			if c.stream.Send(f) != nil {
				c.cancel()
				return
			}
		case <-c.flushed:
			c.writeRest()
			return
		}
	}
}

func (c *conversation) writeRest() {
	for {
		select {
		case f := <-c.out:
			if c.stream.Send(f) != nil {
				return
			}
		default:
			return
		}
	}
}
