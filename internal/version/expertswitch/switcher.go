package expertswitch

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// commandTimeout limits one attempt to send a command, and is the least limit for
	// one with a map. It is many times the round trip to a rank.
	commandTimeout = 80 * time.Millisecond
	// commandTries limits the attempts to send a command that gets no response. At
	// the highest loss rate that is expected, about one command in three is lost.
	commandTries = 12
	// lossMargin is the number of steps by which a switch is delayed while commands
	// are lost, so that they can be sent again before the group stops.
	lossMargin = 8
	// lossWindow is the time for which a lost command delays switches.
	lossWindow = 10 * time.Second
	// holdTries limits the attempts to hold the group before a step. Each attempt
	// is for a later step; the last is 32 steps ahead.
	holdTries = 6
	// armTries limits the attempts to arm a rank that is not prepared yet.
	armTries = 12
	// armRetryInterval is the time between two of them.
	armRetryInterval = 60 * time.Millisecond
	// reportMargin is added to the maximum age of reports in the wait until they
	// show all earlier commands.
	reportMargin = 100 * time.Millisecond
)

// Switcher changes the map of one group in one epoch.
type Switcher struct {
	group string
	ranks []Rank
	epoch uint64
	// token is the fencing token in use; nextToken returns a higher one.
	token     uint64
	nextToken func() uint64
	// reportAge is the maximum age of reports.
	reportAge time.Duration
	pacer     *Pacer
	clock     stepClock
	// switchStep is the step of the last switch. Ranks accept no other map before
	// that step.
	switchStep uint64
	// lastLoss is the time of the last command without a response, in nanoseconds
	// since the Unix epoch.
	lastLoss atomic.Int64
}

// NewSwitcher returns a switcher for a group whose ranks are given in order.
// nextToken returns a higher fencing token with each call.
func NewSwitcher(group string, ranks []Rank, epoch uint64, reportAge time.Duration, p *Pacer, nextToken func() uint64) *Switcher {
	return &Switcher{group: group, ranks: ranks, epoch: epoch, token: nextToken(), nextToken: nextToken, reportAge: reportAge, pacer: p}
}

// Observe records the step that a rank has just reported.
func (s *Switcher) Observe(step uint64) { s.clock.observe(step, time.Now()) }

// SwitchObserved reports whether the group has been observed at or after the step
// of the last switch.
func (s *Switcher) SwitchObserved() bool { return s.clock.step >= s.switchStep }

// Switch moves all ranks to a layout, whose experts take about loadTime to load.
// The map's version is the fencing token, which is higher than the versions of all
// earlier maps. After an error, Recover must be called before anything else.
func (s *Switcher) Switch(ctx context.Context, l Layout, loadTime time.Duration) error {
	s.token = s.nextToken()
	version := s.token
	if err := s.sendAll(ctx, func(int) Command { return Prepare{Version: version, Layout: l} }); err != nil {
		return &PhaseError{Phase: "prepare", Cause: err}
	}
	sleep(ctx, loadTime)
	step, err := s.hold(ctx)
	if err != nil {
		return &PhaseError{Phase: "hold", Cause: err}
	}
	if err := s.arm(ctx, Arming{Version: version, Step: step}); err != nil {
		return &PhaseError{Phase: "arm", Cause: err}
	}
	s.switchStep = step
	if err := s.resume(ctx, step); err != nil {
		return &PhaseError{Phase: "resume", Cause: err}
	}
	return nil
}

// hold stops the group before a step in the near future and returns the step. If
// the group has begun the step already, the hold conflicts and is retried for a
// later step. A hold for a distant step would delay the switch if ranks are slow.
func (s *Switcher) hold(ctx context.Context) (uint64, error) {
	current, err := s.currentStep(ctx)
	if err != nil {
		return 0, err
	}
	if time.Since(time.Unix(0, s.lastLoss.Load())) < lossWindow {
		current += lossMargin
	}
	for try := range holdTries {
		step := current + 1<<try
		err = s.send(ctx, 0, Hold{Step: step})
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			return step, err
		}
	}
	return 0, err
}

// currentStep estimates the group's current step.
func (s *Switcher) currentStep(ctx context.Context) (uint64, error) {
	callCtx, cancel := context.WithTimeout(ctx, 2*commandTimeout)
	defer cancel()
	report, err := s.ranks[0].Report(callCtx)
	if err != nil {
		return 0, err
	}
	if report.Epoch != s.epoch || !report.Ready {
		return 0, &GroupChangedError{Group: s.group}
	}
	return s.clock.estimate(report.Step, time.Now().Add(-s.reportAge)), nil
}

// arm arms every rank while the group is held. It retries for ranks that are not
// prepared yet.
func (s *Switcher) arm(ctx context.Context, a Arming) error {
	errs := s.forEachRank(func(rank int) error {
		var err error
		for range armTries {
			err = s.send(ctx, rank, Arm{Arming: a})
			var conflict *ConflictError
			if !errors.As(err, &conflict) {
				return err
			}
			sleep(ctx, armRetryInterval)
		}
		return err
	})
	return joinRankErrors(errs)
}

// resume ends the group's hold. It raises the token, so that a delayed Hold cannot
// stop the group again.
func (s *Switcher) resume(ctx context.Context, step uint64) error {
	s.token = s.nextToken()
	return s.send(ctx, 0, Resume{Step: step})
}

// sendAll sends a command to every rank.
func (s *Switcher) sendAll(ctx context.Context, command func(rank int) Command) error {
	return joinRankErrors(s.forEachRank(func(rank int) error { return s.send(ctx, rank, command(rank)) }))
}

// forEachRank calls do concurrently for every rank and returns its errors by rank.
func (s *Switcher) forEachRank(do func(rank int) error) []error {
	errs := make([]error, len(s.ranks))
	var calls sync.WaitGroup
	for rank := range s.ranks {
		calls.Go(func() { errs[rank] = do(rank) })
	}
	calls.Wait()
	return errs
}

// send sends a command repeatedly until the rank responds. Before their step, all
// commands are idempotent.
func (s *Switcher) send(ctx context.Context, rank int, c Command) error {
	fence := Fence{Token: s.token, Epoch: s.epoch}
	var err error
	for range commandTries {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		err = s.sendOnce(ctx, rank, c, fence)
		var conflict *ConflictError
		var fenced *FencedError
		if err == nil || errors.As(err, &conflict) || errors.As(err, &fenced) {
			return err
		}
		s.lastLoss.Store(time.Now().UnixNano())
	}
	return err
}

// sendOnce makes one attempt to send a command.
func (s *Switcher) sendOnce(ctx context.Context, rank int, c Command, f Fence) error {
	prepare, ok := c.(Prepare)
	if !ok {
		callCtx, cancel := context.WithTimeout(ctx, commandTimeout)
		defer cancel()
		return s.ranks[rank].Send(callCtx, c, f)
	}
	if err := s.pacer.wait(ctx, prepare.Layout.wireBytes()); err != nil {
		return err
	}
	started := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, s.pacer.timeout())
	defer cancel()
	err := s.ranks[rank].Send(callCtx, c, f)
	switch {
	case err == nil:
		s.pacer.recordArrival(time.Since(started))
	case callCtx.Err() != nil && ctx.Err() == nil:
		s.pacer.recordTimeout()
	}
	return err
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// stepClock estimates a group's step from observations.
type stepClock struct {
	step       uint64
	observedAt time.Time
	// stepTime is the duration of a step between the last two observations; 0
	// before the second.
	stepTime time.Duration
}

// observe records that the group is at the step now.
func (c *stepClock) observe(step uint64, now time.Time) {
	if step > c.step && !c.observedAt.IsZero() {
		c.stepTime = now.Sub(c.observedAt) / time.Duration(step-c.step)
	}
	if step != c.step || c.observedAt.IsZero() {
		c.step, c.observedAt = step, now
	}
}

// estimate returns the current step of a group that was at the given step at
// reportedAt. If the steps between the last observation and reportedAt took longer
// than stepTime, it uses their average duration.
func (c *stepClock) estimate(step uint64, reportedAt time.Time) uint64 {
	stepTime := c.stepTime
	if age := reportedAt.Sub(c.observedAt); !c.observedAt.IsZero() && age > stepTime {
		stepTime = max(stepTime, age/time.Duration(max(1, int64(step)-int64(c.step))))
	}
	if stepTime <= 0 {
		return step
	}
	return step + uint64(time.Since(reportedAt)/stepTime)
}
