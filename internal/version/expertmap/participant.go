package expertmap

import (
	"context"
	"time"
)

// CommandLifetime limits how long a command may take to reach an engine. A
// sidecar that takes over an engine waits this long, until no command of its
// predecessor can take effect. Fencing numbers do not replace the wait: a
// promise alone does not reach the engine, so the engine may still accept a
// command of the predecessor afterwards.
const CommandLifetime = 2 * time.Second

// EngineState is the state that an engine reports for its rank.
type EngineState struct {
	// Step is the next step to run.
	Step uint64
	// Active is the map in use, Staged one that is loaded.
	Active, Staged ID
	// ActiveFrom is the first step with the active map.
	ActiveFrom uint64
	// HoldStep is the step before which the rank waits; 0 if none.
	HoldStep uint64
}

// Engine is the model engine of one rank. Stage, Hold, Activate and Release do
// what the commands of these names say. Engines that check fencing numbers refuse
// a command with a lower ballot than they have seen.
type Engine interface {
	State(ctx context.Context) (EngineState, error)
	Stage(ctx context.Context, b Ballot, m ID, content []byte) error
	Hold(ctx context.Context, b Ballot, step uint64) error
	Activate(ctx context.Context, b Ballot, m ID, step uint64) error
	Release(ctx context.Context, b Ballot) error
}

// Participant is the sidecar's side of a switch for one rank. It sends its
// engine one command at a time.
type Participant struct {
	engine      Engine
	incarnation string

	// busy holds a token while a command is executed.
	busy chan struct{}
	// promised is the highest ballot seen by this incarnation.
	promised Ballot
	// quietAt is the time from which no command with an unknown outcome, of this
	// incarnation or its predecessor, can take effect.
	quietAt time.Time
}

// NewParticipant returns the participant of a sidecar that starts now.
func NewParticipant(e Engine, incarnation string) *Participant {
	return &Participant{
		engine:      e,
		incarnation: incarnation,
		busy:        make(chan struct{}, 1),
		quietAt:     time.Now().Add(CommandLifetime),
	}
}

// Handle executes a command if its ballot, its incarnation and the state of the
// rank permit it. After an error the outcome is unknown.
func (p *Participant) Handle(ctx context.Context, e Envelope) (Reply, error) {
	select {
	case p.busy <- struct{}{}:
		defer func() { <-p.busy }()
	case <-ctx.Done():
		return Reply{}, ctx.Err()
	}
	if err := p.waitUntilQuiet(ctx); err != nil {
		return Reply{}, err
	}
	if !p.permits(e) {
		return p.reply(ctx, false)
	}
	p.promised = e.Ballot
	ctx, cancel := context.WithTimeout(ctx, CommandLifetime)
	defer cancel()
	if err := p.execute(ctx, e); err != nil {
		p.quietAt = time.Now().Add(CommandLifetime)
		return Reply{}, err
	}
	reply, err := p.reply(ctx, true)
	reply.Applied = inEffect(e.Command, reply.State)
	return reply, err
}

// inEffect reports whether the engine's state shows the effect of a command. An
// engine may have passed the step of a Hold before the command reached it.
func inEffect(c Command, s EngineState) bool {
	switch c := c.(type) {
	case Stage:
		return s.Staged == c.Map
	case Hold:
		return s.HoldStep == c.Step && s.Step <= c.Step
	case Activate:
		return s.Active == c.Map && s.ActiveFrom == c.Step
	case Release:
		return s.HoldStep == 0
	}
	return true
}

// permits reports whether the ballot and the incarnation permit the command.
func (p *Participant) permits(e Envelope) bool {
	if e.Ballot.Less(p.promised) {
		return false
	}
	if _, ok := e.Command.(Query); ok {
		return true
	}
	return e.Incarnation == p.incarnation && e.Ballot == p.promised
}

// waitUntilQuiet waits until no earlier command can take effect any more.
func (p *Participant) waitUntilQuiet(ctx context.Context) error {
	wait := time.Until(p.quietAt)
	if wait <= 0 {
		return nil
	}
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// execute sends the command to the engine unless it is already in effect. It sends
// an Activate only if the engine is held before its step and has staged its map.
func (p *Participant) execute(ctx context.Context, e Envelope) error {
	state, err := p.engine.State(ctx)
	if err != nil || inEffect(e.Command, state) {
		return err
	}
	switch c := e.Command.(type) {
	case Stage:
		return p.engine.Stage(ctx, e.Ballot, c.Map, c.Content)
	case Hold:
		return p.engine.Hold(ctx, e.Ballot, c.Step)
	case Activate:
		if state.HoldStep == c.Step && state.Staged == c.Map {
			return p.engine.Activate(ctx, e.Ballot, c.Map, c.Step)
		}
	case Release:
		return p.engine.Release(ctx, e.Ballot)
	}
	return nil
}

// reply returns a reply with the engine's current state.
func (p *Participant) reply(ctx context.Context, applied bool) (Reply, error) {
	state, err := p.engine.State(ctx)
	if err != nil {
		return Reply{}, err
	}
	return Reply{Applied: applied, Incarnation: p.incarnation, Promised: p.promised, State: state}, nil
}
