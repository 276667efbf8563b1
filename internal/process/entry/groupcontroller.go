package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/version/expertplan"
	"github.com/cicadareel/cicadareel/internal/version/expertswitch"
	"github.com/cicadareel/cicadareel/internal/version/slowness"
)

const (
	// slownessInterval is the time between two measurements of how slow the ranks
	// are.
	slownessInterval = time.Second
	// sampleTimeout limits one sample and one measurement of slowness.
	sampleTimeout = 300 * time.Millisecond
	// rebalanceSkew is the lowest mean skew over layers at which a change is worth
	// its copying and its commands.
	rebalanceSkew = 1.5
	// targetSkew is the skew at which the search for further moves stops.
	targetSkew = 1.3
	// maxNewPerRank limits the new experts per rank and layer in one change. One
	// keeps the copying short, and the next change follows soon.
	maxNewPerRank = 1
)

// groupController controls the expert map of one group in one epoch.
type groupController struct {
	parent   *mapController
	group    groupSnapshot
	switcher *expertswitch.Switcher
	// estimate is shared by all lock-step groups of the endpoint group.
	estimate *popularityEstimate
	// layers is the layout in use.
	layers []expertplan.LayerLayout
	// sampledRank is the index of the rank whose requests stand for those of all
	// ranks.
	sampledRank int
	// lastCounts holds the counts of the last sample, popularity the last estimate by
	// layer.
	lastCounts []float64
	popularity [][]float64
	// slowness holds the slowness of each rank, measured at slownessAt.
	slowness   []float64
	slownessAt time.Time
	// recoveredAt is the time of a recovery whose reports may have missed a hold. It
	// is zero once endLeftoverHold has run.
	recoveredAt time.Time
}

// recoverLayout ends an unfinished switch and reads the layout in use.
func (c *groupController) recoverLayout(ctx context.Context) error {
	found, err := c.switcher.Recover(ctx, c.group.shape.Layers)
	if err != nil {
		return err
	}
	if found.Repaired {
		c.parent.log.Info(events.MapSwitchRecovered, events.Fields{"group": c.group.name, "epoch": c.group.epoch})
	}
	c.layers = make([]expertplan.LayerLayout, len(found.Layout))
	for i := range c.layers {
		c.layers[i] = found.Layout[i]
	}
	c.recoveredAt = time.Now()
	return c.sample(ctx)
}

// endLeftoverHold ends a hold that an earlier holder of the lease left. It is called
// after the report lag, when reports show such a hold.
func (c *groupController) endLeftoverHold(ctx context.Context) error {
	if c.recoveredAt.IsZero() {
		return nil
	}
	c.recoveredAt = time.Time{}
	repaired, err := c.switcher.ReleaseHold(ctx)
	if repaired {
		c.parent.log.Info(events.MapSwitchRecovered, events.Fields{"group": c.group.name, "epoch": c.group.epoch})
	}
	return err
}

// updateSlowness asks all ranks how slow they are, at most once per
// slownessInterval.
func (c *groupController) updateSlowness(ctx context.Context) {
	if time.Since(c.slownessAt) < slownessInterval {
		return
	}
	c.slownessAt = time.Now()
	reportCtx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	factors := make([]float64, len(c.group.ranks))
	var calls sync.WaitGroup
	for i, r := range c.group.ranks {
		calls.Go(func() {
			factors[i] = 1
			report, err := r.Report(reportCtx)
			if err == nil && report.Slowness > 0 {
				factors[i] = report.Slowness
				c.parent.fleet.slowness.Record(slowness.Report{Endpoint: r.Name(), Slowness: report.Slowness, ReportedAt: time.Now()})
			}
		})
	}
	calls.Wait()
	c.slowness = factors
}

// useInitialLayout starts from the layout that a group has when it forms.
func (c *groupController) useInitialLayout() {
	c.layers = make([]expertplan.LayerLayout, c.group.shape.Layers)
	for i := range c.layers {
		c.layers[i] = expertplan.InitialLayout(c.group.size, c.group.shape.PerLayer)
	}
}

// sampleAndRebalance takes one sample and changes the map if that is worthwhile.
func (c *groupController) sampleAndRebalance(ctx context.Context) error {
	if err := c.endLeftoverHold(ctx); err != nil {
		return err
	}
	c.updateSlowness(ctx)
	if err := c.sample(ctx); err != nil || c.popularity == nil || !c.switcher.SwitchObserved() {
		return err
	}
	return c.rebalance(ctx)
}

// rebalance changes the map if the skew is high enough.
func (c *groupController) rebalance(ctx context.Context) error {
	before := c.skew(c.layers)
	if before < rebalanceSkew {
		return nil
	}
	next := make([]expertplan.LayerLayout, len(c.layers))
	limits := expertplan.Limits{SlotsPerRank: c.group.shape.SlotsPerRank, NewPerRank: min(maxNewPerRank, c.group.shape.NewPerRank), TargetSkew: targetSkew, Slowness: c.slowness}
	loading := 0
	for i, layer := range c.layers {
		next[i] = expertplan.Rebalance(layer, c.popularity[i], limits)
		loading += layer.MaxNewPerRank(next[i])
	}
	after := c.skew(next)
	return c.switchTo(ctx, next, before, after, loading)
}

// switchTo switches all ranks to the next layout. loading is the number of experts
// to copy: the most that one rank gets in each layer, added up.
func (c *groupController) switchTo(ctx context.Context, next []expertplan.LayerLayout, before, after float64, loading int) error {
	layout := make(expertswitch.Layout, len(next))
	for i := range next {
		layout[i] = next[i]
	}
	shape := c.group.shape
	copying := time.Duration(float64(loading) * float64(shape.Bytes) / float64(shape.StoreBytesPerSecond) * float64(time.Second))
	started := time.Now()
	if err := c.switcher.Switch(ctx, layout, copying); err != nil {
		return err
	}
	c.layers = next
	c.parent.log.Info(events.MapActivated, events.Fields{
		"group": c.group.name, "epoch": c.group.epoch, "loading": loading,
		"skewBefore": before, "skewAfter": after, "tookMs": time.Since(started).Milliseconds(),
	})
	return nil
}

// skew returns the mean skew over layers.
func (c *groupController) skew(layers []expertplan.LayerLayout) float64 {
	sum := 0.0
	for i, layer := range layers {
		sum += layer.Skew(c.popularity[i], c.slowness)
	}
	return sum / float64(len(layers))
}
