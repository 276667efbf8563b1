// Package rank sends expert map commands from the coordinator of a group to the
// sidecars of its ranks, and their replies back.
package rank

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/version/expertmap"
)

// Counter returns the token counts of this rank's experts since the last call,
// layer by layer.
type Counter interface {
	Counts(ctx context.Context) ([]float32, error)
}

// Server executes the commands for the ranks of one endpoint.
type Server struct {
	wire.UnimplementedGroupServer

	participant *expertmap.Participant
	counter     Counter
}

// NewServer returns a server that executes commands with p and takes token counts
// from c.
func NewServer(p *expertmap.Participant, c Counter) *Server {
	return &Server{participant: p, counter: c}
}

// Command executes one command and returns the state of the ranks. It adds the
// token counts if the command asks for them.
func (s *Server) Command(ctx context.Context, m *wire.MapCommand) (*wire.RankReport, error) {
	command, ok := commandFromWire(m)
	if !ok {
		return nil, status.Error(codes.InvalidArgument, "expert map command has an unknown phase")
	}
	reply, err := s.participant.Handle(ctx, expertmap.Envelope{
		Ballot:      expertmap.Ballot{Counter: m.GetBallotCounter(), Owner: m.GetBallotOwner()},
		Incarnation: m.GetIncarnation(),
		Command:     command,
	})
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	message := replyToWire(reply)
	if m.GetCounts() {
		if message.Counts, err = s.counter.Counts(ctx); err != nil {
			return nil, status.Error(codes.Unavailable, err.Error())
		}
	}
	return message, nil
}

// commandFromWire converts a message to a command, and returns false if its phase is
// unknown.
func commandFromWire(m *wire.MapCommand) (expertmap.Command, bool) {
	switch m.GetPhase() {
	case wire.MapPhase_MAP_PHASE_QUERY:
		return expertmap.Query{}, true
	case wire.MapPhase_MAP_PHASE_STAGE:
		return expertmap.Stage{Map: expertmap.ID(m.GetMapId()), Content: m.GetMap()}, true
	case wire.MapPhase_MAP_PHASE_HOLD:
		return expertmap.Hold{Step: m.GetStep()}, true
	case wire.MapPhase_MAP_PHASE_ACTIVATE:
		return expertmap.Activate{Map: expertmap.ID(m.GetMapId()), Step: m.GetStep()}, true
	case wire.MapPhase_MAP_PHASE_RELEASE:
		return expertmap.Release{}, true
	}
	return nil, false
}

// commandToWire sets the fields of m that describe the command.
func commandToWire(c expertmap.Command, m *wire.MapCommand) {
	switch k := c.(type) {
	case expertmap.Query:
		m.Phase, m.Counts = wire.MapPhase_MAP_PHASE_QUERY, true
	case expertmap.Stage:
		m.Phase, m.MapId, m.Map = wire.MapPhase_MAP_PHASE_STAGE, string(k.Map), k.Content
	case expertmap.Hold:
		m.Phase, m.Step = wire.MapPhase_MAP_PHASE_HOLD, k.Step
	case expertmap.Activate:
		m.Phase, m.MapId, m.Step = wire.MapPhase_MAP_PHASE_ACTIVATE, string(k.Map), k.Step
	case expertmap.Release:
		m.Phase = wire.MapPhase_MAP_PHASE_RELEASE
	}
}

func replyToWire(r expertmap.Reply) *wire.RankReport {
	return &wire.RankReport{
		Obeyed:          r.Applied,
		Incarnation:     r.Incarnation,
		PromisedCounter: r.Promised.Counter,
		PromisedOwner:   r.Promised.Owner,
		Step:            r.State.Step,
		Active:          string(r.State.Active),
		Staged:          string(r.State.Staged),
		ActiveFrom:      r.State.ActiveFrom,
		HoldStep:        r.State.HoldStep,
	}
}

func replyFromWire(m *wire.RankReport) expertmap.Reply {
	return expertmap.Reply{
		Applied:     m.GetObeyed(),
		Incarnation: m.GetIncarnation(),
		Promised:    expertmap.Ballot{Counter: m.GetPromisedCounter(), Owner: m.GetPromisedOwner()},
		State: expertmap.EngineState{
			Step:       m.GetStep(),
			Active:     expertmap.ID(m.GetActive()),
			Staged:     expertmap.ID(m.GetStaged()),
			ActiveFrom: m.GetActiveFrom(),
			HoldStep:   m.GetHoldStep(),
		},
	}
}
