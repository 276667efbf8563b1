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
	// at which all switch, so that the hold reaches everybody in time.
	stepMargin = 8
	// commandTimeout bounds one command to one rank, staging excepted.
	commandTimeout = 4 * time.Second
	// stageTimeout bounds loading experts from the rate-limited weight store.
	stageTimeout = 5 * time.Minute
	// finishPause is the pause between two tries to reach a rank that must
	// still activate.
	finishPause = 200 * time.Millisecond
)

// Group reaches the ranks of one group.
type Group interface {
	// Size is the number of ranks.
	Size() int
	// Send gives a command to a rank. An error says that the outcome is not
	// known.
	Send(ctx context.Context, rank int, c Envelope) (Reply, error)
}

// Map is an expert map with the name of its content.
type Map struct {
	ID      ID
	Content []byte
}

// RankError reports a rank that did not answer or did not obey.
type RankError struct {
	Rank  int
	Phase string
	Cause error
}

func (e *RankError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("rank %d did not obey in phase %s", e.Rank, e.Phase)
	}
	return fmt.Sprintf("rank %d in phase %s: %v", e.Rank, e.Phase, e.Cause)
}

// Unwrap returns the cause.
func (e *RankError) Unwrap() error { return e.Cause }

// Coordinator drives switches of one group. Several may compete: the highest
// ballot prevails.
type Coordinator struct {
	group Group
	owner string
	// counter is the highest ballot counter seen.
	counter uint64
}

// NewCoordinator returns a coordinator that is known as owner.
func NewCoordinator(g Group, owner string) *Coordinator {
	return &Coordinator{group: g, owner: owner}
}

// SetGroup replaces the way to the ranks. Do not call it during a switch.
func (c *Coordinator) SetGroup(g Group) { c.group = g }

// Switch brings all ranks to the map, after it finished a switch that
// another coordinator left behind. If it fails before any rank activated, it
// releases the ranks; a later Switch settles the rest.
func (c *Coordinator) Switch(ctx context.Context, m Map) error {
	w, err := c.open(ctx)
	if err != nil {
		return err
	}
	if err := w.recover(ctx); err != nil {
		return err
	}
	if w.newest().Active == m.ID {
		return nil
	}
	if err := w.prepare(ctx, m); err != nil {
		w.release(ctx)
		return err
	}
	return w.activate(ctx, m.ID, w.step)
}

// Recover finishes or releases what another coordinator left behind.
func (c *Coordinator) Recover(ctx context.Context) error {
	w, err := c.open(ctx)
	if err != nil {
		return err
	}
	if err := w.recover(ctx); err != nil {
		return err
	}
	if w.held() {
		w.release(ctx)
	}
	return nil
}

// work is one coordinator's time under one ballot. It ends with the first
// command that is not obeyed.
type work struct {
	coordinator *Coordinator
	ballot      Ballot
	// reports are the last ones of each rank.
	reports []Reply
	// step is the step at which the ranks hold.
	step uint64
}

// open asks all ranks for their promise under a new ballot.
func (c *Coordinator) open(ctx context.Context) (*work, error) {
	c.counter++
	w := &work{coordinator: c, ballot: Ballot{Counter: c.counter, Owner: c.owner}, reports: make([]Reply, c.group.Size())}
	err := w.all(ctx, "query", commandTimeout, func(int) Command { return Query{} })
	for _, r := range w.reports {
		c.counter = max(c.counter, r.Promised.Counter)
	}
	return w, err
}

// all gives an order to every rank at once and waits for all reports.
func (w *work) all(ctx context.Context, phase string, timeout time.Duration, order func(rank int) Command) error {
	errs := make([]error, len(w.reports))
	var calls sync.WaitGroup
	for rank := range w.reports {
		calls.Go(func() { errs[rank] = w.one(ctx, rank, phase, timeout, order(rank)) })
	}
	calls.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (w *work) one(ctx context.Context, rank int, phase string, timeout time.Duration, o Command) error {
	if o == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	command := Envelope{Ballot: w.ballot, Incarnation: w.reports[rank].Incarnation, Command: o}
	report, err := w.coordinator.group.Send(ctx, rank, command)
	if err != nil {
		return &RankError{Rank: rank, Phase: phase, Cause: err}
	}
	if !report.Applied {
		w.reports[rank].Promised = report.Promised
		return &RankError{Rank: rank, Phase: phase}
	}
	w.reports[rank] = report
	return nil
}

// newest returns the state of a rank that activated last.
func (w *work) newest() EngineState {
	newest := w.reports[0].State
	for _, r := range w.reports {
		if r.State.ActiveFrom > newest.ActiveFrom {
			newest = r.State
		}
	}
	return newest
}

func (w *work) held() bool {
	for _, r := range w.reports {
		if r.State.HoldStep != 0 {
			return true
		}
	}
	return false
}

// recover finishes a switch in which at least one rank has activated. All the
// others then hold at that rank's first step with the map and have it staged,
// since no coordinator activates before.
func (w *work) recover(ctx context.Context) error {
	newest := w.newest()
	for _, r := range w.reports {
		if r.State.Active != newest.Active {
			return w.activate(ctx, newest.Active, newest.ActiveFrom)
		}
	}
	return nil
}

// prepare stages the map everywhere and then holds all ranks at one step.
// The step is after the first step of the present map, so that the newest map
// can be told by its first step.
func (w *work) prepare(ctx context.Context, m Map) error {
	stage := func(int) Command { return Stage{Map: m.ID, Content: m.Content} }
	if err := w.all(ctx, "stage", stageTimeout, stage); err != nil {
		return err
	}
	for _, r := range w.reports {
		w.step = max(w.step, r.State.Step+stepMargin, r.State.ActiveFrom+1)
	}
	return w.all(ctx, "hold", commandTimeout, func(int) Command { return Hold{Step: w.step} })
}

// activate makes the remaining ranks use the map from the step on. Once
// one has activated there is no way back, so it keeps trying until another
// coordinator takes over or ctx ends.
func (w *work) activate(ctx context.Context, m ID, step uint64) error {
	for {
		err := w.all(ctx, "activate", commandTimeout, func(rank int) Command {
			if s := w.reports[rank].State; s.Active == m && s.ActiveFrom == step {
				return nil
			}
			return Activate{Map: m, Step: step}
		})
		if err == nil || refusedBy(err) || ctx.Err() != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(finishPause):
		}
	}
}

func refusedBy(err error) bool {
	var rank *RankError
	return errors.As(err, &rank) && rank.Cause == nil
}

// release lets all ranks go on with their present map. Ranks that cannot be
// reached are left to the next coordinator.
func (w *work) release(ctx context.Context) {
	_ = w.all(ctx, "release", commandTimeout, func(int) Command { return Release{} })
}
