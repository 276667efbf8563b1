package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/endpoint"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/request/balancer"
	"github.com/cicadareel/cicadareel/internal/version/roster"
	"github.com/cicadareel/cicadareel/platform"
)

const (
	// brokenPollInterval is the time between two requests for the report of a group
	// that may be broken.
	brokenPollInterval = 150 * time.Millisecond
	// reportTimeout limits one request for a report.
	reportTimeout = 300 * time.Millisecond
	// recoveryMargin is added to the earliest time at which a broken group can serve
	// again.
	recoveryMargin = 500 * time.Millisecond
)

// rankGroup is what this entry knows of a lock-step group. When one rank is gone,
// all ranks stall and none of them can serve requests.
type rankGroup struct {
	name  string
	fleet *directFleet
	// lockstep has the times of the group's passes.
	lockstep balancer.Lockstep

	mu sync.Mutex
	// epoch is the latest epoch in which the group was ready.
	epoch uint64
	// brokenSince is when the group was marked as broken; zero while it is ready.
	brokenSince time.Time
	// checking is true while checkReport waits for a report.
	checking bool
}

// usable reports whether the group can serve requests.
func (g *rankGroup) usable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.brokenSince.IsZero()
}

// brokenFor returns how long the group has been broken; 0 if it is ready.
func (g *rankGroup) brokenFor() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.brokenSince.IsZero() {
		return 0
	}
	return max(1, time.Since(g.brokenSince))
}

// handleObservation evaluates an attempt at one of the ranks. A rank that accepts no
// connections is gone, and the group is broken with it. A request that broke off
// or was shed may be the fault of that rank alone, so a report decides.
func (g *rankGroup) handleObservation(o endpoint.Observation) {
	switch o := o.(type) {
	case endpoint.ConnectFailed:
		g.markBroken("a rank accepts no connections")
	case endpoint.Shed, endpoint.BrokenOff:
		g.checkReport()
	case endpoint.StreamBegun:
		g.lockstep.BeginStream()
	case endpoint.StreamEnded:
		g.lockstep.EndStream()
	case endpoint.StreamContinued:
		g.lockstep.RecordEvent(o.After)
	}
}

// checkReport asks one rank in the background whether the group is broken.
func (g *rankGroup) checkReport() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.checking || !g.brokenSince.IsZero() {
		return
	}
	g.checking = true
	g.fleet.groupChecks.Go(func() {
		broken := g.reportsBroken(g.fleet.ctx)
		g.mu.Lock()
		g.checking = false
		g.mu.Unlock()
		if broken {
			g.markBroken("reported as broken")
		}
	})
}

func (g *rankGroup) reportsBroken(ctx context.Context) bool {
	ranks := g.fleet.ranksOf(g.name)
	if len(ranks) == 0 {
		return false
	}
	reportCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := ranks[0].Report(reportCtx)
	return err == nil && !report.Ready
}

// markBroken treats the group as broken until a report or an announcement shows it
// ready.
func (g *rankGroup) markBroken(reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.brokenSince.IsZero() {
		return
	}
	g.brokenSince = time.Now()
	g.fleet.log.Warn(events.GroupBroken, events.Fields{"group": g.name, "epoch": g.epoch, "reason": reason})
	g.fleet.groupChecks.Go(func() { g.pollUntilReady(g.fleet.ctx) })
}

// applyAnnouncement applies the group state that a rank announced.
func (g *rankGroup) applyAnnouncement(m roster.Membership) {
	g.mu.Lock()
	newEpoch := m.Epoch > g.epoch
	ready := m.Ready
	g.mu.Unlock()
	switch {
	case ready && newEpoch:
		g.markReady(m.Epoch, "announced")
	case !ready && m.Epoch >= g.epoch:
		g.markBroken("announced as broken")
	}
}

// markReady records that the group runs in an epoch.
func (g *rankGroup) markReady(epoch uint64, reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.brokenSince.IsZero() {
		g.fleet.log.Info(events.GroupOpen, events.Fields{"group": g.name, "epoch": epoch, "reason": reason, "brokenMs": time.Since(g.brokenSince).Milliseconds()})
	}
	g.epoch = max(g.epoch, epoch)
	g.brokenSince = time.Time{}
}

// pollUntilReady asks ranks for reports until one that was made after the group broke
// shows it ready.
func (g *rankGroup) pollUntilReady(ctx context.Context) {
	for attempt := 0; ctx.Err() == nil && !g.usable(); attempt++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(brokenPollInterval):
		}
		g.poll(ctx, attempt)
	}
}

func (g *rankGroup) poll(ctx context.Context, attempt int) {
	ranks := g.fleet.ranksOf(g.name)
	if len(ranks) == 0 {
		return
	}
	brokenFor := g.brokenFor()
	reportCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := ranks[attempt%len(ranks)].Report(reportCtx)
	if err != nil || !report.Ready {
		return
	}
	// The other ranks notice a lost rank only after the stall, and reports show the
	// state some time ago. Until then, a report of the old epoch proves nothing.
	if report.Epoch > g.currentEpoch() || brokenFor > g.fleet.settings.Deployment.Stall()+2*g.fleet.reportLag() {
		g.markReady(report.Epoch, "reported")
	}
}

func (g *rankGroup) currentEpoch() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.epoch
}

// reportLag returns how far the reports of ranks may lag behind.
func (f *directFleet) reportLag() time.Duration {
	longest := time.Duration(0)
	if b := f.bundle.Load(); b != nil {
		for _, g := range b.Groups {
			if g.Experts != nil {
				longest = max(longest, g.Experts.ReportLag)
			}
		}
	}
	return longest
}

// ranksOf returns the reachable ranks of a group.
func (f *directFleet) ranksOf(group string) []*platform.RankClient {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var ranks []*platform.RankClient
	for _, e := range f.endpoints {
		if e.info.Membership != nil && e.info.Membership.Group == group && e.member.IsUp() {
			ranks = append(ranks, platform.NewRankClient(e.info.Name, e.commands, platform.NewCommandBodies()))
		}
	}
	return ranks
}
