// Package entry serves the entries: it takes their work through the gate to
// the endpoint and carries the answers back.
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
	// epochLength is the length of an admission epoch.
	epochLength = 30 * time.Second
	// tickInterval is the time between two looks at the gate's barrier.
	tickInterval = 50 * time.Millisecond
	// drainPoll is the time between two looks at the remaining runs.
	drainPoll = 20 * time.Millisecond
)

// Server takes the work of all entries for one endpoint.
type Server struct {
	wire.UnimplementedSidecarServer

	name        string
	incarnation string
	gate        *gate.Gate
	client      *endpoint.Client
	runs        *runs
	log         *events.Log
	metrics     *metrics.Metrics
	// base ends when the process must drop what still runs.
	base context.Context
	done sync.WaitGroup

	mu            sync.Mutex
	conversations map[*conversation]struct{}
	// closed is true once no further run may start.
	closed bool
}

// NewServer starts the gate's clock until ctx ends.
func NewServer(ctx context.Context, name, incarnation string, g *gate.Gate, c *endpoint.Client, l *events.Log, m *metrics.Metrics) *Server {
	s := &Server{name: name, incarnation: incarnation, gate: g, client: c, runs: newRuns(), log: l, metrics: m, base: ctx}
	s.conversations = map[*conversation]struct{}{}
	s.done.Go(func() { s.tickLoop(ctx) })
	s.done.Go(func() { s.epochLoop(ctx) })
	return s
}

// Wait starts no further run and returns after all goroutines have ended. Call
// it after the context of NewServer ended.
func (s *Server) Wait() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.done.Wait()
}

func (s *Server) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	told := s.gate.State()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.gate.Tick()
			now := s.gate.State()
			if now.Open != told.Open || now.Limit != told.Limit {
				s.tellEntries()
			}
			told = now
		}
	}
}

// tellEntries sends the gate's state to every entry, without waiting for
// streams that are full: their next frame carries it.
func (s *Server) tellEntries() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conversations {
		f := &wire.SidecarFrame{
			Kind: &wire.SidecarFrame_Heartbeat{Heartbeat: &wire.Heartbeat{}},
			Gate: s.gateState(),
		}
		select {
		case c.out <- f:
		default:
		}
	}
}

func (s *Server) join(c *conversation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conversations[c] = struct{}{}
}

func (s *Server) leave(c *conversation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conversations, c)
}

func (s *Server) epochLoop(ctx context.Context) {
	ticker := time.NewTicker(epochLength)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.gate.AdvanceEpoch()
			s.runs.expire(s.gate.State().Epoch)
		}
	}
}

// Drain waits until every run has ended and been read, or ctx ends.
func (s *Server) Drain(ctx context.Context) {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for s.runs.unread() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Work serves one entry's stream.
func (s *Server) Work(stream wire.Sidecar_WorkServer) error {
	c := newConversation(s, stream)
	s.join(c)
	defer s.leave(c)
	return c.serve()
}

// Seal reports what became of an attempt and seals it if it was not admitted.
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
	s.fillSeal(out, id, state)
	return out, nil
}

func (s *Server) fillSeal(out *wire.SealReply, id string, state gate.SealState) {
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
		out.KeptFrom = r.answer.KeptFrom()
	}
}

// start takes an admitted run to the endpoint.
func (s *Server) start(r *run) {
	ctx, cancel := context.WithDeadline(s.base, r.attempt.Deadline)
	r.cancel = cancel
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		cancel()
		r.answer.Fail(response.Failure{Reason: string(outcome.ShuttingDown)})
		s.gate.Finish(r.attempt, gate.Completion{NeverSent: true})
		return
	}
	s.runs.put(r)
	s.done.Go(func() {
		defer cancel()
		completion := r.execute(ctx, s.client)
		s.gate.Finish(r.attempt, completion)
		s.runs.end(r, s.gate.State().Epoch)
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

func isNeverSent(err error) bool {
	var call *endpoint.CallError
	return errors.As(err, &call) && call.NeverSent
}

func isEOF(err error) bool { return errors.Is(err, io.EOF) }

func refusal(id *wire.AttemptId, reason outcome.Reason, mayHaveRun bool) *wire.SidecarFrame {
	return &wire.SidecarFrame{Kind: &wire.SidecarFrame_Refusal{Refusal: &wire.Refusal{
		Id: id, Reason: string(reason), MayHaveRun: mayHaveRun,
	}}}
}
