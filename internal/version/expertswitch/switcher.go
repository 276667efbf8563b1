package expertswitch

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// orderTimeout bounds one order: many times the way to a rank and back.
	orderTimeout = 80 * time.Millisecond
	// orderTries bounds the repetitions of an order without an answer. Each is
	// lost with about one in three on the worst days that are expected.
	orderTries = 12
	// lossMargin is the number of steps to the step of a switch while orders are
	// lost, so that they are repeated before the group comes to stand.
	lossMargin = 8
	// lossMemory is how long a lost order counts.
	lossMemory = 10 * time.Second
	// holdTries bounds the later steps that are tried when a hold comes late. The
	// last is 32 steps away.
	holdTries = 6
	// prepareTries bounds the questions whether a rank is prepared.
	prepareTries = 12
	// preparePause is the time between two of them.
	preparePause = 60 * time.Millisecond
	// settleMargin is added to the age of reports before they are trusted.
	settleMargin = 100 * time.Millisecond
)

// Switcher changes the map of one group in one epoch.
type Switcher struct {
	group string
	ranks []Rank
	epoch uint64
	// token is the fencing token in use; next draws a higher one.
	token uint64
	next  func() uint64
	// reportAge is how old reports may be.
	reportAge time.Duration
	clock     stepClock
	// armed is the step of the last switch; ranks take no other map before it.
	armed uint64
	// lost is the time of the last order without an answer, in nanoseconds.
	lost atomic.Int64
}

// NewSwitcher returns a switcher for the ranks of a group, in the order of
// their numbers. next returns a higher fencing token with each call.
func NewSwitcher(group string, ranks []Rank, epoch uint64, reportAge time.Duration, next func() uint64) *Switcher {
	return &Switcher{group: group, ranks: ranks, epoch: epoch, token: next(), next: next, reportAge: reportAge}
}

// Observe notes the step that a rank just reported.
func (s *Switcher) Observe(step uint64) { s.clock.observe(step, time.Now()) }

// SwitchObserved reports whether the group is seen to have begun the step of the last
// switch.
func (s *Switcher) SwitchObserved() bool { return s.clock.step >= s.armed }

// Switch brings all ranks to a layout. The map's version is the fencing token,
// which is higher than those of all earlier maps. If it returns an error, call
// Recover before anything else.
func (s *Switcher) Switch(ctx context.Context, l Layout, copying time.Duration) error {
	s.token = s.next()
	version := s.token
	if err := s.all(ctx, func(int) Command { return Prepare{Version: version, Layout: l} }); err != nil {
		return &PhaseError{Phase: "prepare", Cause: err}
	}
	pause(ctx, copying)
	step, err := s.hold(ctx)
	if err != nil {
		return &PhaseError{Phase: "hold", Cause: err}
	}
	if err := s.arm(ctx, Arming{Version: version, Step: step}); err != nil {
		return &PhaseError{Phase: "arm", Cause: err}
	}
	s.armed = step
	if err := s.resume(ctx, step); err != nil {
		return &PhaseError{Phase: "resume", Cause: err}
	}
	return nil
}

// hold stops the group before a step soon to come. A hold that comes too late
// is refused and tried for a later step; one for a step far away would keep the
// switch waiting on slow ranks.
func (s *Switcher) hold(ctx context.Context) (uint64, error) {
	now, err := s.stepNow(ctx)
	if err != nil {
		return 0, err
	}
	if time.Since(time.Unix(0, s.lost.Load())) < lossMemory {
		now += lossMargin
	}
	for try := range holdTries {
		step := now + 1<<try
		err = s.give(ctx, 0, Hold{Step: step})
		var objection *ConflictError
		if !errors.As(err, &objection) {
			return step, err
		}
	}
	return 0, err
}

// stepNow estimates the step that the group is at.
func (s *Switcher) stepNow(ctx context.Context) (uint64, error) {
	bounded, cancel := context.WithTimeout(ctx, 2*orderTimeout)
	defer cancel()
	report, err := s.ranks[0].Report(bounded)
	if err != nil {
		return 0, err
	}
	if report.Epoch != s.epoch || !report.Ready {
		return 0, &GroupChangedError{Group: s.group}
	}
	return s.clock.since(report.Step, time.Now().Add(-s.reportAge)), nil
}

// arm arms every rank while the group is held, waiting for those that are not
// prepared yet.
func (s *Switcher) arm(ctx context.Context, a Arming) error {
	errs := s.each(func(rank int) error {
		var err error
		for range prepareTries {
			err = s.give(ctx, rank, Arm{Arming: a})
			var objection *ConflictError
			if !errors.As(err, &objection) {
				return err
			}
			pause(ctx, preparePause)
		}
		return err
	})
	return errors.Join(errs...)
}

// resume lets the group go on. It raises the token, so that a hold which is
// still on its way cannot stop the group again.
func (s *Switcher) resume(ctx context.Context, step uint64) error {
	s.token = s.next()
	return s.give(ctx, 0, Resume{Step: step})
}

// all gives an order to every rank.
func (s *Switcher) all(ctx context.Context, order func(rank int) Command) error {
	return errors.Join(s.each(func(rank int) error { return s.give(ctx, rank, order(rank)) })...)
}

func (s *Switcher) each(do func(rank int) error) []error {
	errs := make([]error, len(s.ranks))
	var calls sync.WaitGroup
	for rank := range s.ranks {
		calls.Go(func() { errs[rank] = do(rank) })
	}
	calls.Wait()
	return errs
}

// give repeats an order until it is answered. All orders have the same effect
// however often they are carried out before their step.
func (s *Switcher) give(ctx context.Context, rank int, o Command) error {
	fence := Fence{Token: s.token, Epoch: s.epoch}
	var err error
	for range orderTries {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		bounded, cancel := context.WithTimeout(ctx, orderTimeout)
		err = s.ranks[rank].Send(bounded, o, fence)
		cancel()
		var objection *ConflictError
		var fenced *FencedError
		if err == nil || errors.As(err, &objection) || errors.As(err, &fenced) {
			return err
		}
		s.lost.Store(time.Now().UnixNano())
	}
	return err
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// stepClock measures the time of a step.
type stepClock struct {
	step uint64
	seen time.Time
	// pace is the time of a step between the last two observations; 0 before
	// the second.
	pace time.Duration
}

func (c *stepClock) observe(step uint64, now time.Time) {
	if step > c.step && !c.seen.IsZero() {
		c.pace = now.Sub(c.seen) / time.Duration(step-c.step)
	}
	if step != c.step || c.seen.IsZero() {
		c.step, c.seen = step, now
	}
}

// since returns the step that a group is at if it was at the given one then. The
// pace is that since the last observation, if any step was made.
func (c *stepClock) since(step uint64, then time.Time) uint64 {
	pace := c.pace
	if age := then.Sub(c.seen); !c.seen.IsZero() && age > pace {
		pace = max(pace, age/time.Duration(max(1, int64(step)-int64(c.step))))
	}
	if pace <= 0 {
		return step
	}
	return step + uint64(time.Since(then)/pace)
}
