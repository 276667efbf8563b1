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
	// maxOutgoingFrames bounds the frames queued for sending on one stream.
	maxOutgoingFrames = 256
	// silenceTimeout is the time without any frame after which a stream is closed.
	// It covers several idle heartbeats of an entry.
	silenceTimeout = 6 * time.Second
	// maxRequestIDBytes bounds the length of a request id.
	maxRequestIDBytes = 128
)

// MalformedError reports a frame that violates the protocol.
type MalformedError struct{ Problem string }

func (e *MalformedError) Error() string { return "malformed frame: " + e.Problem }

// session serves one stream of one entry. One goroutine receives frames, one
// writes the queued ones, and each attempt has one that queues its frames.
type session struct {
	server   *Server
	stream   wire.Sidecar_WorkServer
	outgoing chan *wire.SidecarFrame

	ctx    context.Context
	cancel context.CancelFunc
	// senders are the goroutines that queue the frames of attempts.
	senders sync.WaitGroup

	// handling is held while a frame is handled. Frames are dropped once closed is
	// true.
	handling sync.Mutex
	closed   bool

	mu sync.Mutex
	// attached maps request ids to the runs whose responses this stream reads.
	attached map[string]*reading
	// queued maps request ids to runs whose attempts are in the gate's queue, or were
	// admitted from it a moment ago.
	queued map[string]*run

	// noMoreFrames is closed when no more frames will be queued; the writer then
	// sends the remaining ones and ends.
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
		attached:     map[string]*reading{},
		queued:       map[string]*run{},
		noMoreFrames: make(chan struct{}),
	}
}

// serve runs the session until its stream ends.
func (s *session) serve() error {
	defer s.senders.Wait()
	defer s.stopHandling()
	defer s.cancel()
	var writer sync.WaitGroup
	defer writer.Wait()
	defer close(s.noMoreFrames)
	writer.Go(s.writeLoop)
	s.send(&wire.SidecarFrame{Kind: &wire.SidecarFrame_Welcome{Welcome: &wire.Welcome{
		Endpoint: s.server.name, Incarnation: s.server.incarnation,
	}}})
	return s.readUntilEnd()
}

// readUntilEnd returns when the stream breaks, is silent for silenceTimeout, or
// carries a malformed frame. The receiving goroutine ends with the stream.
func (s *session) readUntilEnd() error {
	silence := time.NewTimer(silenceTimeout)
	defer silence.Stop()
	ended := make(chan error, 1)
	go func() { ended <- s.receiveLoop(silence) }()
	select {
	case err := <-ended:
		return err
	case <-silence.C:
		return status.Error(codes.DeadlineExceeded, "entry sent no frame within the silence timeout")
	case <-s.ctx.Done():
		return nil
	case <-s.server.baseContext.Done():
		return nil
	}
}

// receiveLoop handles frames until the stream breaks or carries a malformed one.
func (s *session) receiveLoop(silence *time.Timer) error {
	for {
		f, err := s.stream.Recv()
		if err != nil {
			return nil //nolint:nilerr // The entry closed the stream.
		}
		silence.Reset(silenceTimeout)
		if err := s.handleIfOpen(f); err != nil {
			s.server.metrics.CountMalformed()
			s.server.log.Warn(events.PeerMessageMalformed, events.Fields{"error": err.Error()})
			return status.Error(codes.InvalidArgument, err.Error())
		}
	}
}

// handleIfOpen handles a frame unless the session has ended.
func (s *session) handleIfOpen(f *wire.EntryFrame) error {
	s.handling.Lock()
	defer s.handling.Unlock()
	if s.closed {
		return nil
	}
	return s.handleFrame(f)
}

// stopHandling waits for the frame in progress and drops later ones.
func (s *session) stopHandling() {
	s.handling.Lock()
	defer s.handling.Unlock()
	s.closed = true
}

// handleFrame dispatches a frame by its kind.
func (s *session) handleFrame(f *wire.EntryFrame) error {
	switch k := f.GetKind().(type) {
	case *wire.EntryFrame_Hello:
		return nil
	case *wire.EntryFrame_Begin:
		return s.begin(k.Begin)
	case *wire.EntryFrame_Resume:
		return s.resume(k.Resume)
	case *wire.EntryFrame_Acknowledge:
		s.acknowledge(k.Acknowledge)
		return nil
	case *wire.EntryFrame_Cancel:
		s.cancelAttempt(k.Cancel.GetId().GetRequestId())
		return nil
	case *wire.EntryFrame_Heartbeat:
		s.send(&wire.SidecarFrame{Kind: &wire.SidecarFrame_Heartbeat{Heartbeat: &wire.Heartbeat{
			Sequence: k.Heartbeat.GetSequence(),
		}}})
		return nil
	}
	return &MalformedError{Problem: "unknown frame kind"}
}

// begin submits a new attempt to the gate.
func (s *session) begin(b *wire.Begin) error {
	id := b.GetId()
	if id.GetRequestId() == "" || len(id.GetRequestId()) > maxRequestIDBytes || id.GetNumber() == 0 {
		return &MalformedError{Problem: "missing or oversized request id, or attempt number 0"}
	}
	if b.GetMethod() == "" || len(b.GetTarget()) == 0 || b.GetTarget()[0] != '/' {
		return &MalformedError{Problem: "missing method, or target without leading slash"}
	}
	r := s.newRun(b)
	decisions := make(chan gate.Decision, 1)
	decision := s.server.gate.Submit(r.attempt, func(v gate.Decision) { decisions <- v })
	switch v := decision.(type) {
	case gate.Refused:
		r.cancel()
		s.send(refusal(id, v.Reason, v.Reason == outcome.AlreadyAdmitted))
	case gate.Admitted:
		s.attach(r)
		s.server.startRun(r)
		s.senders.Go(func() { s.sendResponse(r, id, false, 0) })
	case gate.Queued:
		s.addQueued(r)
		s.senders.Go(func() { s.awaitDecision(r, id, decisions) })
	}
	return nil
}

// newRun returns a run for a begin frame that arrives now.
func (s *session) newRun(b *wire.Begin) *run {
	return newRun(s.server.baseContext, b, time.Now())
}

// awaitDecision waits for the gate's decision on a queued attempt. When the
// stream ends, it withdraws the attempt from the queue; if the attempt has left
// the queue already, the decision is about to arrive.
func (s *session) awaitDecision(r *run, id *wire.AttemptId, decisions <-chan gate.Decision) {
	var decision gate.Decision
	select {
	case decision = <-decisions:
	case <-s.ctx.Done():
		if s.server.gate.Withdraw(r.attempt) {
			r.cancel()
			return
		}
		decision = <-decisions
	}
	switch v := decision.(type) {
	case gate.Refused:
		s.removeQueued(r.attempt.RequestID)
		r.cancel()
		s.send(refusal(id, v.Reason, false))
	case gate.Admitted:
		s.attach(r)
		s.removeQueued(r.attempt.RequestID)
		s.server.startRun(r)
		s.sendResponse(r, id, false, 0)
	}
}

// resume sends the response of an earlier attempt from an offset.
func (s *session) resume(m *wire.Resume) error {
	r := s.server.runs.get(m.GetId().GetRequestId())
	if m.GetOffset() < 0 {
		return &MalformedError{Problem: "offset"}
	}
	if r == nil || m.GetIncarnation() != s.server.incarnation {
		s.send(refusal(m.GetId(), outcome.AnswerNotKept, true))
		return nil
	}
	s.attach(r)
	s.senders.Go(func() { s.sendResponse(r, m.GetId(), false, m.GetOffset()) })
	return nil
}

// sendResponse sends the run's response from the offset to its end.
func (s *session) sendResponse(r *run, id *wire.AttemptId, headSent bool, offset int64) {
	defer s.detach(r)
	for {
		switch p := r.response.Next(headSent, offset).(type) {
		case response.PartHead:
			headSent = true
			s.send(headFrame(id, p.Head))
		case response.PartData:
			offset = p.Offset + int64(len(p.Payload))
			s.send(&wire.SidecarFrame{Kind: &wire.SidecarFrame_Data{Data: &wire.Data{
				Id: id, Offset: p.Offset, Payload: p.Payload,
			}}})
		case response.PartEnd:
			s.send(&wire.SidecarFrame{Kind: &wire.SidecarFrame_End{End: &wire.End{Id: id, Length: p.Length}}})
			return
		case response.PartFailed:
			s.send(refusal(id, outcome.Reason(p.Failure.Reason), p.Failure.MayHaveRun))
			return
		case response.PartDropped:
			s.send(refusal(id, outcome.AnswerNotKept, true))
			return
		case response.PartWait:
			select {
			case <-p.Changed:
			case <-s.ctx.Done():
				return
			}
		}
		if s.ctx.Err() != nil {
			return
		}
	}
}

// headFrame returns the frame for a response head.
func headFrame(id *wire.AttemptId, h response.Head) *wire.SidecarFrame {
	head := &wire.Head{Id: id, Status: int32(h.Status)}
	for name, values := range h.Header {
		head.Headers = append(head.Headers, &wire.Header{Name: name, Values: values})
	}
	return &wire.SidecarFrame{Kind: &wire.SidecarFrame_Head{Head: head}}
}

// acknowledge lets the buffered bytes that the entry has be dropped.
func (s *session) acknowledge(m *wire.Acknowledge) {
	id := m.GetId().GetRequestId()
	r := s.server.runs.get(id)
	if r == nil {
		return
	}
	r.response.Acknowledge(m.GetOffset())
	s.server.runs.removeIfRead(r)
}

// cancelAttempt handles an entry's cancellation: it seals an attempt that is queued, and
// stops its run in case it was admitted meanwhile.
func (s *session) cancelAttempt(id string) {
	s.mu.Lock()
	queued, read := s.queued[id], s.attached[id]
	s.mu.Unlock()
	if queued != nil {
		a := queued.attempt
		s.server.gate.Seal(a.RequestID, a.Number, a.Epoch)
		queued.stop()
	}
	if read != nil {
		read.run.stop()
	}
}

// reading is a run whose response a stream reads.
type reading struct {
	run *run
	// readers counts the senders of the response on the stream; at least 1.
	readers int
}

// attach counts the session as a reader of the run.
func (s *session) attach(r *run) {
	r.attach()
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.attempt.RequestID
	if read := s.attached[id]; read != nil && read.run == r {
		read.readers++
		return
	}
	s.attached[id] = &reading{run: r, readers: 1}
}

// detach ends a reading of the run. Another one on the stream goes on.
func (s *session) detach(r *run) {
	r.detach()
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.attempt.RequestID
	read := s.attached[id]
	if read == nil || read.run != r {
		return
	}
	if read.readers--; read.readers == 0 {
		delete(s.attached, id)
	}
}

func (s *session) addQueued(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued[r.attempt.RequestID] = r
}

func (s *session) removeQueued(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.queued, id)
}

// send queues a frame with the gate's state. It drops the frame if the stream
// ends while the queue is full.
func (s *session) send(f *wire.SidecarFrame) {
	f.Gate = s.server.gateState()
	select {
	case s.outgoing <- f:
	case <-s.ctx.Done():
	}
}

// writeLoop writes queued frames until the stream breaks or, after the session
// has ended, all are written.
func (s *session) writeLoop() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case f := <-s.outgoing:
			if s.stream.Send(f) != nil {
				s.cancel()
				return
			}
		case <-s.noMoreFrames:
			s.writeRemaining()
			return
		}
	}
}

// writeRemaining writes the frames that are still queued.
func (s *session) writeRemaining() {
	for {
		select {
		case f := <-s.outgoing:
			if s.stream.Send(f) != nil {
				return
			}
		default:
			return
		}
	}
}
