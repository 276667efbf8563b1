package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/internal/version/expertswitch"
)

const (
	// holdWatchInterval is the time between two checks for groups stuck at a hold.
	holdWatchInterval = 250 * time.Millisecond
	// holdWatchTimeout limits one check.
	holdWatchTimeout = 200 * time.Millisecond
	// maxHoldTime is how long a group may wait at a hold. A switch holds it for about
	// ten milliseconds, and longer if a command is lost and sent again a few times.
	// Callers give up streams after two seconds.
	maxHoldTime = 500 * time.Millisecond
)

// observedHold is a hold at which a group waits, and since when.
type observedHold struct {
	epoch, step, hold uint64
	since             time.Time
}

// holdWatchLoop watches the groups whose maps another process changes. If that
// process stopped with a group on hold, this one takes the lease at once.
func (m *mapController) holdWatchLoop(ctx context.Context) {
	holds := map[string]observedHold{}
	ticker := time.NewTicker(holdWatchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, held := m.lease.Held(); held || !m.lease.IsCandidate() {
			clear(holds)
			continue
		}
		groups := m.fleet.groupSnapshots()
		for i, report := range firstRankReports(ctx, groups) {
			if isStuck(holds, groups[i], report) {
				delete(holds, groups[i].name)
				m.lease.TakeOver("group " + groups[i].name + " is stuck at a hold")
			}
		}
	}
}

// firstRankReports asks the first rank of each group, which is the one that gets the
// holds. The report is nil if the rank does not respond or the group is incomplete.
func firstRankReports(ctx context.Context, groups []groupSnapshot) []*expertswitch.Report {
	reportCtx, cancel := context.WithTimeout(ctx, holdWatchTimeout)
	defer cancel()
	reports := make([]*expertswitch.Report, len(groups))
	var calls sync.WaitGroup
	for i, g := range groups {
		if !g.complete() {
			continue
		}
		calls.Go(func() {
			if report, err := g.ranks[0].Report(reportCtx); err == nil {
				reports[i] = &report
			}
		})
	}
	calls.Wait()
	return reports
}

// isStuck records the hold in a report and reports whether the group has waited at
// it for too long.
func isStuck(holds map[string]observedHold, g groupSnapshot, r *expertswitch.Report) bool {
	if r == nil || r.Held == nil {
		delete(holds, g.name)
		return false
	}
	before, ok := holds[g.name]
	if !ok || before.epoch != r.Epoch || before.step != r.Step || before.hold != *r.Held {
		holds[g.name] = observedHold{epoch: r.Epoch, step: r.Step, hold: *r.Held, since: time.Now()}
		return false
	}
	return time.Since(before.since) >= maxHoldTime
}
