package expertmap

import (
	"context"
	"time"
)

// CommandLifetime bounds one order to an engine. A sidecar that takes over an
// engine waits this long, so that no order of its predecessor is still on its
// way. Fencing numbers do not replace the wait: a promise alone does not reach
// the engine, so it may still accept the predecessor's order afterwards.
const CommandLifetime = 2 * time.Second

// EngineState is what an engine says of its rank.
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

// Engine takes orders for one rank. Engines that check fencing numbers refuse
// an order with a lower ballot than they have seen.
type Engine interface {
	State(ctx context.Context) (EngineState, error)
	Stage(ctx context.Context, b Ballot, m ID, content []byte) error
	Hold(ctx context.Context, b Ballot, step uint64) error
	Activate(ctx context.Context, b Ballot, m ID, step uint64) error
	Release(ctx context.Context, b Ballot) error
}

// Participant is a sidecar's part in the switch of one rank. It gives its engine one
// order at a time.
type Participant struct {
	engine      Engine
	incarnation string

	// turn holds a token while a command is carried out.
	turn chan struct{}
	// promised is the highest ballot seen by this incarnation.
	promised Ballot
	// settled is the time before which an order whose end is not known, of
	// this incarnation or its predecessor, may still take effect.
	settled time.Time
}

// NewParticipant returns the part of a sidecar that starts now.
func NewParticipant(e Engine, incarnation string) *Participant {
	return &Participant{
		engine:      e,
		incarnation: incarnation,
		turn:        make(chan struct{}, 1),
		settled:     time.Now().Add(CommandLifetime),
	}
}

// Handle carries out a command if its ballot, its incarnation and the state of
// the rank permit it. An error says that the outcome is not known.
func (r *Participant) Handle(ctx context.Context, c Envelope) (Reply, error) {
	select {
	case r.turn <- struct{}{}:
		defer func() { <-r.turn }()
	case <-ctx.Done():
		return Reply{}, ctx.Err()
	}
	if err := r.settle(ctx); err != nil {
		return Reply{}, err
	}
	if !r.permits(c) {
		return r.report(ctx, false)
	}
	r.promised = c.Ballot
	ctx, cancel := context.WithTimeout(ctx, CommandLifetime)
	defer cancel()
	if err := r.carryOut(ctx, c); err != nil {
		r.settled = time.Now().Add(CommandLifetime)
		return Reply{}, err
	}
	report, err := r.report(ctx, true)
	report.Applied = took(c.Command, report.State)
	return report, err
}

// took reports whether an order has its effect in the engine's state. An
// engine may have passed the step of a Hold before the order reached it.
func took(o Command, s EngineState) bool {
	switch k := o.(type) {
	case Stage:
		return s.Staged == k.Map
	case Hold:
		return s.HoldStep == k.Step && s.Step <= k.Step
	case Activate:
		return s.Active == k.Map && s.ActiveFrom == k.Step
	case Release:
		return s.HoldStep == 0
	}
	return true
}

func (r *Participant) permits(c Envelope) bool {
	if c.Ballot.Less(r.promised) {
		return false
	}
	if _, ok := c.Command.(Query); ok {
		return true
	}
	return c.Incarnation == r.incarnation && c.Ballot == r.promised
}

// settle waits until no earlier order can take effect any more.
func (r *Participant) settle(ctx context.Context) error {
	wait := time.Until(r.settled)
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

// carryOut gives the order to the engine if its state permits it.
func (r *Participant) carryOut(ctx context.Context, c Envelope) error {
	state, err := r.engine.State(ctx)
	if err != nil || took(c.Command, state) {
		return err
	}
	switch o := c.Command.(type) {
	case Stage:
		return r.engine.Stage(ctx, c.Ballot, o.Map, o.Content)
	case Hold:
		return r.engine.Hold(ctx, c.Ballot, o.Step)
	case Activate:
		if state.HoldStep == o.Step && state.Staged == o.Map {
			return r.engine.Activate(ctx, c.Ballot, o.Map, o.Step)
		}
	case Release:
		return r.engine.Release(ctx, c.Ballot)
	}
	return nil
}

func (r *Participant) report(ctx context.Context, obeyed bool) (Reply, error) {
	state, err := r.engine.State(ctx)
	if err != nil {
		return Reply{}, err
	}
	return Reply{Applied: obeyed, Incarnation: r.incarnation, Promised: r.promised, State: state}, nil
}
