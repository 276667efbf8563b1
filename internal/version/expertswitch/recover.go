package expertswitch

import (
	"context"
	"errors"
	"slices"
)

// Recovered is the result of Recover.
type Recovered struct {
	// Layout is the one that all ranks use now.
	Layout Layout
	// Repaired is true if an unfinished switch was undone.
	Repaired bool
}

// Recover undoes what an unfinished switch, of this or another holder of the
// lease, left behind, and returns the layout in use.
//
// It first raises the token at every rank, so that no earlier command can take
// effect any more. If no rank has prepared or is preparing another map then, none
// can be armed. Otherwise it waits until reports show everything that took effect.
// A rank that is armed for a step which the group has not begun is disarmed while
// the group is held before that step. Without the hold, some ranks could be disarmed
// in time and others not, and they would run one step with two maps.
func (s *Switcher) Recover(ctx context.Context, layers int) (Recovered, error) {
	s.token = s.nextToken()
	if err := s.raiseToken(ctx); err != nil {
		return Recovered{}, &PhaseError{Phase: "fence", Cause: err}
	}
	layout, onlyActive, err := s.loadedLayout(ctx, layers)
	if err == nil && onlyActive {
		return Recovered{Layout: layout}, nil
	}
	sleep(ctx, s.reportAge+reportMargin)
	reports, err := s.collectReports(ctx)
	if err != nil {
		return Recovered{}, &PhaseError{Phase: "report", Cause: err}
	}
	repaired, err := s.undo(ctx, reports)
	if err != nil {
		return Recovered{}, &PhaseError{Phase: "undo", Cause: err}
	}
	layout, _, err = s.loadedLayout(ctx, layers)
	if err != nil {
		return Recovered{}, &PhaseError{Phase: "layout", Cause: err}
	}
	return Recovered{Layout: layout, Repaired: repaired}, nil
}

// ReleaseHold ends a hold that an earlier holder of the lease left behind without
// having armed a rank. It reports whether there was anything to undo.
func (s *Switcher) ReleaseHold(ctx context.Context) (bool, error) {
	reports, err := s.collectReports(ctx)
	if err != nil {
		return false, err
	}
	return s.undo(ctx, reports)
}

// raiseToken makes every rank see the token. A rank that reports a conflict,
// because it is held before another step, has seen the token nevertheless.
func (s *Switcher) raiseToken(ctx context.Context) error {
	errs := s.forEachRank(func(rank int) error {
		err := s.send(ctx, rank, Resume{})
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			return nil
		}
		return err
	})
	return joinRankErrors(errs)
}

// collectReports returns the reports of all ranks.
func (s *Switcher) collectReports(ctx context.Context) ([]Report, error) {
	reports := make([]Report, len(s.ranks))
	errs := s.forEachRank(func(rank int) error {
		callCtx, cancel := context.WithTimeout(ctx, 2*commandTimeout)
		defer cancel()
		var err error
		reports[rank], err = s.ranks[rank].Report(callCtx)
		return err
	})
	if err := joinRankErrors(errs); err != nil {
		return nil, err
	}
	for _, r := range reports {
		if r.Epoch != s.epoch || !r.Ready {
			return nil, &GroupChangedError{Group: s.group}
		}
	}
	return reports, nil
}

// undo disarms every armed rank and ends every hold. It reports whether there was
// any.
func (s *Switcher) undo(ctx context.Context, reports []Report) (bool, error) {
	armed := map[Arming]bool{}
	held := map[uint64]bool{}
	for _, r := range reports {
		if r.Armed != nil {
			armed[*r.Armed] = true
		}
		if r.Held != nil {
			held[*r.Held] = true
		}
	}
	for a := range armed {
		if err := s.disarm(ctx, a, held, rankWithoutHold(reports)); err != nil {
			return true, err
		}
	}
	for step := range held {
		if err := s.sendAll(ctx, func(int) Command { return Resume{Step: step} }); err != nil {
			return true, err
		}
	}
	return len(armed)+len(held) > 0, nil
}

// rankWithoutHold returns a rank that reports no hold, since a rank can have only
// one hold at a time. It returns 0 if there is none.
func rankWithoutHold(reports []Report) int {
	return max(0, slices.IndexFunc(reports, func(r Report) bool { return r.Held == nil }))
}

// disarm cancels one arming while the group is held before its step. Unless such
// a hold exists, it sends one to rank. If the step has begun, there is nothing to
// cancel: every rank has switched.
func (s *Switcher) disarm(ctx context.Context, a Arming, held map[uint64]bool, rank int) error {
	if !held[a.Step] {
		err := s.send(ctx, rank, Hold{Step: a.Step})
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			return s.checkStepBegun(ctx, a.Step)
		}
		if err != nil {
			return err
		}
		held[a.Step] = true
	}
	err := s.sendAll(ctx, func(int) Command { return Disarm{Version: a.Version} })
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}

// checkStepBegun returns an error unless the group has begun a step.
func (s *Switcher) checkStepBegun(ctx context.Context, step uint64) error {
	callCtx, cancel := context.WithTimeout(ctx, 2*commandTimeout)
	defer cancel()
	counts, err := s.ranks[0].Counts(callCtx)
	switch {
	case err != nil:
		return err
	case counts.Epoch != s.epoch || counts.Step < step:
		return &GroupChangedError{Group: s.group}
	}
	return nil
}

// loadedLayout reads the layout in use from all ranks. It reports
// whether no rank has loaded or is loading another map.
func (s *Switcher) loadedLayout(ctx context.Context, layers int) (Layout, bool, error) {
	loaded := make([]LoadedExperts, len(s.ranks))
	errs := s.forEachRank(func(rank int) error {
		callCtx, cancel := context.WithTimeout(ctx, 2*commandTimeout)
		defer cancel()
		var err error
		loaded[rank], err = s.ranks[rank].Experts(callCtx)
		return err
	})
	if err := joinRankErrors(errs); err != nil {
		return nil, false, err
	}
	l := make(Layout, layers)
	onlyActive := true
	for _, p := range loaded {
		if p.Active != loaded[0].Active || len(p.Layers) != layers {
			return nil, false, &GroupChangedError{Group: s.group}
		}
		onlyActive = onlyActive && !p.Preparing
		for i := range l {
			l[i] = append(l[i], p.Layers[i])
		}
	}
	return l, onlyActive, nil
}
