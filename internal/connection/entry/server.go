// Package entry is the sidecar's server for the entries: it submits their
// attempts to the gate, sends the admitted ones to the endpoint, and returns the
// responses.
package entry

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/endpoint"
	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/metrics"
	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/request/gate"
	"github.com/cicadareel/cicadareel/internal/request/response"
)

const (
	// epochLength is the duration of an admission epoch.
	epochLength = 30 * time.Second
	// tickInterval is the time between two calls of the gate's Tick.
	tickInterval = 50 * time.Millisecond
	// drainPoll is the time between two checks for remaining runs.
	drainPoll = 20 * time.Millisecond
)

// Server serves all entries that send work to one endpoint.
type Server struct {
	wire.UnimplementedSidecarServer

	name        string
	incarnation string
	gate        *gate.Gate
	client      *endpoint.Client
	runs        *runs
	log         *events.Log
	metrics     *metrics.Metrics
	// baseContext ends when the process must abort what still runs.
	baseContext context.Context
	done        sync.WaitGroup

	mu       sync.Mutex
	sessions map[*session]struct{}
	// closed is true once no more runs may start.
	closed bool
}

// NewServer returns a server that ticks the gate and advances its epochs until
// ctx ends.
func NewServer(ctx context.Context, name, incarnation string, g *gate.Gate, c *endpoint.Client, l *events.Log, m *metrics.Metrics) *Server {
	s := &Server{name: name, incarnation: incarnation, gate: g, client: c, runs: newRuns(), log: l, metrics: m, baseContext: ctx}
	s.sessions = map[*session]struct{}{}
	initial := g.State()
	s.done.Go(func() { s.tickLoop(ctx, initial) })
	s.done.Go(func() { s.epochLoop(ctx) })
	return s
}

// Wait lets no more runs start and returns after all goroutines have ended. Call
// it after the context of NewServer has ended.
func (s *Server) Wait() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.done.Wait()
}

// tickLoop ticks the gate and tells the entries when it opens, closes or changes
// its limit. The state last is older than that in any session's first frame, so
// that no change in between goes untold.
func (s *Server) tickLoop(ctx context.Context, last gate.State) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.gate.Tick()
			now := s.gate.State()
			if now.Open != last.Open || now.Limit != last.Limit {
				s.broadcastGateState()
			}
			last = now
		}
	}
}

// broadcastGateState sends the gate's state to every entry. It skips streams
// whose queue is full: their next frame carries the state.
func (s *Server) broadcastGateState() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for x := range s.sessions {
		f := &wire.SidecarFrame{
			Kind: &wire.SidecarFrame_Heartbeat{Heartbeat: &wire.Heartbeat{}},
			Gate: s.gateState(),
		}
		select {
		case x.outgoing <- f:
		default:
		}
	}
}

func (s *Server) addSession(x *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions[x] = struct{}{}
}

func (s *Server) removeSession(x *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, x)
}

// epochLoop advances the admission epoch and drops runs that are too old.
func (s *Server) epochLoop(ctx context.Context) {
	ticker := time.NewTicker(epochLength)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.gate.AdvanceEpoch()
			s.runs.dropExpired(s.gate.State().Epoch)
		}
	}
}

// Drain waits until every run has ended and has no reader, or ctx ends.
func (s *Server) Drain(ctx context.Context) {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for s.runs.countUnfinished() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Work implements wire.SidecarServer: it serves one entry's stream.
func (s *Server) Work(stream wire.Sidecar_WorkServer) error {
	x := newSession(s, stream)
	s.addSession(x)
	defer s.removeSession(x)
	return x.serve()
}

// Seal implements wire.SidecarServer: it returns what became of an attempt and,
// unless the request is look-only, seals it if it was not admitted.
func (s *Server) Seal(_ context.Context, in *wire.SealRequest) (*wire.SealReply, error) {
	out := &wire.SealReply{Incarnation: s.incarnation, State: wire.SealState_SEAL_STATE_CANNOT_SAY}
	if in.GetIncarnation() != s.incarnation {
		return out, nil
	}
	id := in.GetId().GetRequestId()
	var state gate.SealState
	if in.GetLookOnly() {
		state = s.gate.Lookup(id, in.GetEpoch())
	} else {
		state = s.gate.Seal(id, in.GetId().GetNumber(), in.GetEpoch())
	}
	s.fillSealReply(out, id, state)
	return out, nil
}

// fillSealReply sets the state and the first offset of a response still kept.
func (s *Server) fillSealReply(out *wire.SealReply, id string, state gate.SealState) {
	r := s.runs.get(id)
	switch state {
	case gate.NeverAdmitted:
		out.State = wire.SealState_SEAL_STATE_NEVER_ADMITTED
	case gate.NotSeen:
		out.State = wire.SealState_SEAL_STATE_NOT_SEEN
	case gate.CannotSay:
		out.State = wire.SealState_SEAL_STATE_CANNOT_SAY
	case gate.Running:
		out.State = wire.SealState_SEAL_STATE_RUNNING
	case gate.Ran:
		out.State = wire.SealState_SEAL_STATE_RAN
		if r != nil {
			out.State = wire.SealState_SEAL_STATE_ANSWER_KEPT
		}
	}
	if r != nil {
		out.KeptFrom = r.response.KeptFrom()
	}
}

// startRun executes an admitted run in a goroutine, or fails it if the server is
// closed.
func (s *Server) startRun(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		r.cancel()
		r.response.Fail(response.Failure{Reason: string(outcome.ShuttingDown)})
		s.gate.Finish(r.attempt, gate.Completion{NeverSent: true})
		return
	}
	s.runs.add(r)
	s.done.Go(func() {
		defer r.cancel()
		completion, err := r.execute(s.client)
		if err != nil && r.ctx.Err() == nil {
			s.logBroken(r, completion, err)
		}
		s.gate.Finish(r.attempt, completion)
		s.runs.markEnded(r, s.gate.State().Epoch)
	})
}

// logBroken logs a run that has no complete response, although nobody canceled it.
func (s *Server) logBroken(r *run, c gate.Completion, cause error) {
	s.log.Info(events.AttemptBroken, events.Fields{
		"request": r.attempt.RequestID, "account": r.attempt.Account, "endpoint": s.name,
		"tookMs": c.Total.Milliseconds(), "begun": r.response.Begun(), "error": cause.Error(),
	})
}

func (s *Server) gateState() *wire.GateState { return GateToWire(s.gate.State()) }

// GateToWire converts a snapshot of a gate to its message.
func GateToWire(g gate.State) *wire.GateState {
	return &wire.GateState{
		Limit:    uint32(max(0, g.Limit)),
		InFlight: uint32(max(0, g.InFlight)),
		Queued:   uint32(max(0, g.Queued)),
		Warm:     g.Warm,
		Open:     g.Open,
		Epoch:    g.Epoch,
	}
}

// isNeverSent reports whether a call failed before any byte of it was sent.
func isNeverSent(err error) bool {
	var call *endpoint.CallError
	return errors.As(err, &call) && call.NeverSent
}

func isEOF(err error) bool { return errors.Is(err, io.EOF) }

// refusal returns the frame that refuses an attempt.
func refusal(id *wire.AttemptId, reason outcome.Reason, mayHaveRun bool) *wire.SidecarFrame {
	return &wire.SidecarFrame{Kind: &wire.SidecarFrame_Refusal{Refusal: &wire.Refusal{
		Id: id, Reason: string(reason), MayHaveRun: mayHaveRun,
	}}}
}
