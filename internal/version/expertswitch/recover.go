package expertswitch

import (
	"context"
	"errors"
	"slices"
)

// Recovered says what Recover found.
type Recovered struct {
	// Layout is the one that all ranks use now.
	Layout Layout
	// Repaired is true if a switch was left unfinished.
	Repaired bool
}

// Recover ends what an earlier switch, of this or another holder, left behind,
// and learns the layout in use.
//
// It first raises the token at every rank, so that nothing given earlier can
// take effect any more. If no rank has another map prepared then, none can be
// armed. Else it waits until reports show all that took effect. A rank that is
// armed for a step which the group has not begun is disarmed while the group is
// held before that step; without the hold, ranks that are disarmed in time and
// others that are not would run one step with two maps.
func (s *Switcher) Recover(ctx context.Context, layers int) (Recovered, error) {
	s.token = s.next()
	if err := s.raise(ctx); err != nil {
		return Recovered{}, &PhaseError{Phase: "fence", Cause: err}
	}
	layout, quiet, err := s.possessions(ctx, layers)
	if err == nil && quiet {
		return Recovered{Layout: layout}, nil
	}
	pause(ctx, s.reportAge+settleMargin)
	reports, err := s.reports(ctx)
	if err != nil {
		return Recovered{}, &PhaseError{Phase: "report", Cause: err}
	}
	repaired, err := s.undo(ctx, reports)
	if err != nil {
		return Recovered{}, &PhaseError{Phase: "undo", Cause: err}
	}
	layout, _, err = s.possessions(ctx, layers)
	if err != nil {
		return Recovered{}, &PhaseError{Phase: "layout", Cause: err}
	}
	return Recovered{Layout: layout, Repaired: repaired}, nil
}

// ReleaseHold ends a hold that an earlier holder left behind without arming anybody.
func (s *Switcher) ReleaseHold(ctx context.Context) (bool, error) {
	reports, err := s.reports(ctx)
	if err != nil {
		return false, err
	}
	return s.undo(ctx, reports)
}

// raise makes every rank see the token. A rank that objects to the order, for it
// is held for another step, has seen the token all the same.
func (s *Switcher) raise(ctx context.Context) error {
	errs := s.each(func(rank int) error {
		err := s.give(ctx, rank, Resume{})
		var objection *ConflictError
		if errors.As(err, &objection) {
			return nil
		}
		return err
	})
	return errors.Join(errs...)
}

func (s *Switcher) reports(ctx context.Context) ([]Report, error) {
	reports := make([]Report, len(s.ranks))
	errs := s.each(func(rank int) error {
		bounded, cancel := context.WithTimeout(ctx, 2*orderTimeout)
		defer cancel()
		var err error
		reports[rank], err = s.ranks[rank].Report(bounded)
		return err
	})
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	for _, r := range reports {
		if r.Epoch != s.epoch || !r.Ready {
			return nil, &GroupChangedError{Group: s.group}
		}
	}
	return reports, nil
}

// undo disarms every armed rank and ends every hold.
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
		if err := s.disarm(ctx, a, held, freeOf(reports)); err != nil {
			return true, err
		}
	}
	for step := range held {
		if err := s.all(ctx, func(int) Command { return Resume{Step: step} }); err != nil {
			return true, err
		}
	}
	return len(armed)+len(held) > 0, nil
}

// freeOf returns a rank that is not held, since each has one hold at a time.
func freeOf(reports []Report) int {
	return max(0, slices.IndexFunc(reports, func(r Report) bool { return r.Held == nil }))
}

// disarm undoes one arming, under a hold that the free rank takes. A step that
// has begun needs nothing: every rank has switched by then.
func (s *Switcher) disarm(ctx context.Context, a Arming, held map[uint64]bool, free int) error {
	if !held[a.Step] {
		err := s.give(ctx, free, Hold{Step: a.Step})
		var objection *ConflictError
		if errors.As(err, &objection) {
			return s.begun(ctx, a.Step)
		}
		if err != nil {
			return err
		}
		held[a.Step] = true
	}
	err := s.all(ctx, func(int) Command { return Disarm{Version: a.Version} })
	var objection *ConflictError
	if errors.As(err, &objection) {
		return nil
	}
	return err
}

// begun checks that the group has begun a step.
func (s *Switcher) begun(ctx context.Context, step uint64) error {
	bounded, cancel := context.WithTimeout(ctx, 2*orderTimeout)
	defer cancel()
	counts, err := s.ranks[0].Counts(bounded)
	switch {
	case err != nil:
		return err
	case counts.Epoch != s.epoch || counts.Step < step:
		return &GroupChangedError{Group: s.group}
	}
	return nil
}

// possessions reads the layout in use from all ranks. It reports whether no
// rank has another map at hand.
func (s *Switcher) possessions(ctx context.Context, layers int) (Layout, bool, error) {
	found := make([]LoadedExperts, len(s.ranks))
	errs := s.each(func(rank int) error {
		bounded, cancel := context.WithTimeout(ctx, 2*orderTimeout)
		defer cancel()
		var err error
		found[rank], err = s.ranks[rank].Experts(bounded)
		return err
	})
	if err := errors.Join(errs...); err != nil {
		return nil, false, err
	}
	l := make(Layout, layers)
	quiet := true
	for _, p := range found {
		if p.Active != found[0].Active || len(p.Layers) != layers {
			return nil, false, &GroupChangedError{Group: s.group}
		}
		quiet = quiet && !p.Preparing
		for i := range l {
			l[i] = append(l[i], p.Layers[i])
		}
	}
	return l, quiet, nil
}
