package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/internal/version/expertswitch"
)

const (
	// watchEvery is the time between two looks whether a group stands still.
	watchEvery = 250 * time.Millisecond
	// watchTimeout bounds one look.
	watchTimeout = 200 * time.Millisecond
	// standLimit is how long a group may stand at a hold. A switch holds it for
	// some ten milliseconds, and for a few repetitions of an order if one is lost;
	// callers give streams up after two seconds.
	standLimit = 500 * time.Millisecond
)

// standing is a group that waits at a hold.
type standing struct {
	epoch, step, hold uint64
	since             time.Time
}

// watchLoop looks at the groups that another process changes the maps of. If that
// process stopped with a group on hold, this one takes the lease at once.
func (x *experts) watchLoop(ctx context.Context) {
	stood := map[string]standing{}
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, held := x.lease.Held(); held || !x.lease.IsCandidate() {
			clear(stood)
			continue
		}
		groups := x.directory.rankGroups()
		for i, report := range look(ctx, groups) {
			if stands(stood, groups[i], report) {
				delete(stood, groups[i].name)
				x.lease.TakeOver("group " + groups[i].name + " stands at a hold")
			}
		}
	}
}

// look asks the rank of each group that takes the holds; there is no report of one
// that does not answer, or of a group that is not complete.
func look(ctx context.Context, groups []rankSet) []*expertswitch.Report {
	bounded, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	reports := make([]*expertswitch.Report, len(groups))
	var calls sync.WaitGroup
	for i, g := range groups {
		if !g.complete() {
			continue
		}
		calls.Go(func() {
			if report, err := g.ranks[0].Report(bounded); err == nil {
				reports[i] = &report
			}
		})
	}
	calls.Wait()
	return reports
}

// stands notes a report of a group and returns whether the group has stood at one
// hold for too long.
func stands(stood map[string]standing, g rankSet, r *expertswitch.Report) bool {
	if r == nil || r.Held == nil {
		delete(stood, g.name)
		return false
	}
	before, ok := stood[g.name]
	if !ok || before.epoch != r.Epoch || before.step != r.Step || before.hold != *r.Held {
		stood[g.name] = standing{epoch: r.Epoch, step: r.Step, hold: *r.Held, since: time.Now()}
		return false
	}
	return time.Since(before.since) >= standLimit
}
