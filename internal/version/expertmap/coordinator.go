package expertmap

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// stepMargin is the number of steps between the furthest rank and the step
	// at which all switch, so that the hold reaches every rank in time.
	stepMargin = 8
	// commandTimeout limits one command to one rank, except for Stage.
	commandTimeout = 4 * time.Second
	// stageTimeout limits loading experts from the rate-limited weight store.
	stageTimeout = 5 * time.Minute
	// activateRetryInterval is the time between two attempts to reach the ranks
	// that must still activate.
	activateRetryInterval = 200 * time.Millisecond
)

// Group sends commands to the ranks of one group.
type Group interface {
	// Size is the number of ranks.
	Size() int
	// Send sends a command to a rank. After an error the outcome is unknown.
	Send(ctx context.Context, rank int, e Envelope) (Reply, error)
}

// Map is an encoded expert map and its ID.
type Map struct {
	ID      ID
	Content []byte
}

// RankError reports a rank that did not apply a command, or for which the
// outcome of the command is unknown (Cause is set).
type RankError struct {
	Rank  int
	Phase string
	Cause error
}

func (e *RankError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("rank %d did not apply the command of phase %s", e.Rank, e.Phase)
	}
	return fmt.Sprintf("rank %d failed in phase %s: %v", e.Rank, e.Phase, e.Cause)
}

// Unwrap returns the cause.
func (e *RankError) Unwrap() error { return e.Cause }

// Coordinator switches the maps of one group. Several coordinators may compete;
// the highest ballot wins.
type Coordinator struct {
	group Group
	owner string
	// counter is the highest ballot counter seen.
	counter uint64
}

// NewCoordinator returns a coordinator whose ballots carry owner.
func NewCoordinator(g Group, owner string) *Coordinator {
	return &Coordinator{group: g, owner: owner}
}

// SetGroup replaces the group. It must not be called during a switch.
func (c *Coordinator) SetGroup(g Group) { c.group = g }

// Switch moves all ranks to the map, after finishing a switch that another
// coordinator left unfinished. If it fails before any rank has activated the
// map, it releases the ranks; a later Switch completes the rest.
func (c *Coordinator) Switch(ctx context.Context, m Map) error {
	r, err := c.newRound(ctx)
	if err != nil {
		return err
	}
	if err := r.recover(ctx); err != nil {
		return err
	}
	if r.latest().Active == m.ID {
		return nil
	}
	if err := r.prepare(ctx, m); err != nil {
		r.release(ctx)
		return err
	}
	return r.activate(ctx, m.ID, r.step)
}

// Recover completes a switch that another coordinator left after a rank had
// activated, and releases ranks that are still held.
func (c *Coordinator) Recover(ctx context.Context) error {
	r, err := c.newRound(ctx)
	if err != nil {
		return err
	}
	if err := r.recover(ctx); err != nil {
		return err
	}
	if r.anyHeld() {
		r.release(ctx)
	}
	return nil
}

// round is a coordinator's work under one ballot. Once a rank refuses a
// command, at most a Release follows.
type round struct {
	coordinator *Coordinator
	ballot      Ballot
	// replies holds the last reply of each rank; of a refusal, only Promised.
	replies []Reply
	// step is the step before which the ranks are held.
	step uint64
}

// newRound asks all ranks to promise a new ballot.
func (c *Coordinator) newRound(ctx context.Context) (*round, error) {
	c.counter++
	r := &round{coordinator: c, ballot: Ballot{Counter: c.counter, Owner: c.owner}, replies: make([]Reply, c.group.Size())}
	err := r.broadcast(ctx, "query", commandTimeout, func(int) Command { return Query{} })
	for _, reply := range r.replies {
		c.counter = max(c.counter, reply.Promised.Counter)
	}
	return r, err
}

// broadcast sends a command to every rank concurrently and waits for all
// replies. A rank whose command is nil is skipped.
func (r *round) broadcast(ctx context.Context, phase string, timeout time.Duration, command func(rank int) Command) error {
	errs := make([]error, len(r.replies))
	var calls sync.WaitGroup
	for rank := range r.replies {
		calls.Go(func() { errs[rank] = r.send(ctx, rank, phase, timeout, command(rank)) })
	}
	calls.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *round) send(ctx context.Context, rank int, phase string, timeout time.Duration, c Command) error {
	if c == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	envelope := Envelope{Ballot: r.ballot, Incarnation: r.replies[rank].Incarnation, Command: c}
	reply, err := r.coordinator.group.Send(ctx, rank, envelope)
	if err != nil {
		return &RankError{Rank: rank, Phase: phase, Cause: err}
	}
	if !reply.Applied {
		r.replies[rank].Promised = reply.Promised
		return &RankError{Rank: rank, Phase: phase}
	}
	r.replies[rank] = reply
	return nil
}

// latest returns the state of a rank with the latest activation.
func (r *round) latest() EngineState {
	latest := r.replies[0].State
	for _, reply := range r.replies {
		if reply.State.ActiveFrom > latest.ActiveFrom {
			latest = reply.State
		}
	}
	return latest
}

func (r *round) anyHeld() bool {
	for _, reply := range r.replies {
		if reply.State.HoldStep != 0 {
			return true
		}
	}
	return false
}

// recover completes a switch in which at least one rank has activated. All the
// others are then held before that rank's first step with the map and have the
// map staged, since no coordinator activates earlier.
func (r *round) recover(ctx context.Context) error {
	latest := r.latest()
	for _, reply := range r.replies {
		if reply.State.Active != latest.Active {
			return r.activate(ctx, latest.Active, latest.ActiveFrom)
		}
	}
	return nil
}

// prepare stages the map on all ranks and then holds them before one step. The
// step is later than the first step of the active map, so that the map with the
// latest first step is always the newest.
func (r *round) prepare(ctx context.Context, m Map) error {
	stage := func(int) Command { return Stage{Map: m.ID, Content: m.Content} }
	if err := r.broadcast(ctx, "stage", stageTimeout, stage); err != nil {
		return err
	}
	for _, reply := range r.replies {
		r.step = max(r.step, reply.State.Step+stepMargin, reply.State.ActiveFrom+1)
	}
	return r.broadcast(ctx, "hold", commandTimeout, func(int) Command { return Hold{Step: r.step} })
}

// activate makes the remaining ranks use the map from the step on. Once one
// rank has activated, the switch cannot be undone, so activate retries until
// another coordinator takes over or ctx ends.
func (r *round) activate(ctx context.Context, m ID, step uint64) error {
	for {
		err := r.broadcast(ctx, "activate", commandTimeout, func(rank int) Command {
			if s := r.replies[rank].State; s.Active == m && s.ActiveFrom == step {
				return nil
			}
			return Activate{Map: m, Step: step}
		})
		if err == nil || isRefusal(err) || ctx.Err() != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(activateRetryInterval):
		}
	}
}

// isRefusal reports whether a rank replied that it did not apply a command.
func isRefusal(err error) bool {
	var rank *RankError
	return errors.As(err, &rank) && rank.Cause == nil
}

// release makes all ranks continue with their active map. Ranks that cannot be
// reached are left to the next coordinator.
func (r *round) release(ctx context.Context) {
	_ = r.broadcast(ctx, "release", commandTimeout, func(int) Command { return Release{} })
}
