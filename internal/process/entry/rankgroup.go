package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/endpoint"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/version/roster"
	"github.com/cicadareel/cicadareel/platform"
)

const (
	// lookInterval is the time between two reports of a group that may be
	// broken.
	lookInterval = 150 * time.Millisecond
	// lookTimeout bounds one report.
	lookTimeout = 300 * time.Millisecond
	// returnMargin is added to the time in which a broken group can be back at
	// the earliest.
	returnMargin = 500 * time.Millisecond
)

// rankGroup is what this entry knows of a lock-step group. When one rank is
// gone, all of them stall, and no request to any of them can be served.
type rankGroup struct {
	name      string
	directory *directory

	mu sync.Mutex
	// epoch is the latest one known to be open.
	epoch uint64
	// broken is the time since which the group is taken for broken; zero while
	// it is open.
	broken time.Time
	// looking is true while a report is awaited that tells whether the group is
	// broken.
	looking bool
}

// usable reports whether the group takes work.
func (g *rankGroup) usable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.broken.IsZero()
}

// brokenFor returns how long the group has been broken; 0 if it is open.
func (g *rankGroup) brokenFor() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.broken.IsZero() {
		return 0
	}
	return max(1, time.Since(g.broken))
}

// observed takes the evidence of an attempt at one of the ranks. A rank that
// takes no connections is gone, and the group with it. One that breaks off or
// sheds may do so for itself.
func (g *rankGroup) observed(e endpoint.Evidence) {
	switch e.(type) {
	case endpoint.Absent:
		g.suspect("a rank takes no connections")
	case endpoint.Shed, endpoint.Lost:
		g.check()
	}
}

// check asks one rank whether the group is broken.
func (g *rankGroup) check() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.looking || !g.broken.IsZero() {
		return
	}
	g.looking = true
	g.directory.duties.Go(func() {
		broken := g.reportsBroken(g.directory.life)
		g.mu.Lock()
		g.looking = false
		g.mu.Unlock()
		if broken {
			g.suspect("reported as broken")
		}
	})
}

func (g *rankGroup) reportsBroken(ctx context.Context) bool {
	ranks := g.directory.ranksOf(g.name)
	if len(ranks) == 0 {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	report, err := ranks[0].Report(bounded)
	return err == nil && !report.Open
}

// suspect takes the group for broken until a report says otherwise.
func (g *rankGroup) suspect(reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.broken.IsZero() {
		return
	}
	g.broken = time.Now()
	g.directory.log.Warn(events.GroupBroken, events.Fields{"group": g.name, "epoch": g.epoch, "reason": reason})
	g.directory.duties.Go(func() { g.lookLoop(g.directory.life) })
}

// announce takes what a rank's row says.
func (g *rankGroup) announce(p roster.Place) {
	g.mu.Lock()
	fresh := p.Epoch > g.epoch
	isOpen := p.Open
	g.mu.Unlock()
	switch {
	case isOpen && fresh:
		g.open(p.Epoch, "announced")
	case !isOpen && p.Epoch >= g.epoch:
		g.suspect("announced as broken")
	}
}

// open notes that the group runs in an epoch.
func (g *rankGroup) open(epoch uint64, reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.broken.IsZero() {
		g.directory.log.Info(events.GroupOpen, events.Fields{"group": g.name, "epoch": epoch, "reason": reason, "brokenMs": time.Since(g.broken).Milliseconds()})
	}
	g.epoch = max(g.epoch, epoch)
	g.broken = time.Time{}
}

// lookLoop asks ranks for reports until one that was made after the suspicion
// says that the group is open.
func (g *rankGroup) lookLoop(ctx context.Context) {
	for turn := 0; ctx.Err() == nil && !g.usable(); turn++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(lookInterval):
		}
		g.look(ctx, turn)
	}
}

func (g *rankGroup) look(ctx context.Context, turn int) {
	ranks := g.directory.ranksOf(g.name)
	if len(ranks) == 0 {
		return
	}
	asked := g.brokenFor()
	bounded, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	report, err := ranks[turn%len(ranks)].Report(bounded)
	if err != nil || !report.Open {
		return
	}
	// A rank that is gone is noticed when the stall is over, and reports show
	// the state some time ago; until then the old epoch proves nothing.
	if report.Epoch > g.epochNow() || asked > g.directory.settings.Deployment.Stall()+2*g.directory.reportAge() {
		g.open(report.Epoch, "reported")
	}
}

func (g *rankGroup) epochNow() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.epoch
}

// reportAge is how old the reports of ranks may be.
func (d *directory) reportAge() time.Duration {
	longest := time.Duration(0)
	if b := d.bundle.Load(); b != nil {
		for _, g := range b.Groups {
			if g.Experts != nil {
				longest = max(longest, g.Experts.ReportAge)
			}
		}
	}
	return longest
}

// ranksOf returns the ranks of a group that can be reached.
func (d *directory) ranksOf(group string) []*platform.RankClient {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var ranks []*platform.RankClient
	for _, n := range d.nodes {
		if n.info.Place != nil && n.info.Place.Group == group && n.member.IsUp() {
			ranks = append(ranks, platform.NewRankClient(n.info.Name, n.way.Client()))
		}
	}
	return ranks
}
