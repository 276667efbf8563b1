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
	// lookEvery is the time between two looks at the pace of all ranks.
	lookEvery = time.Second
	// countTimeout bounds one sample, and one look.
	countTimeout = 300 * time.Millisecond
	// changeSkew is the skew, averaged over layers, from which on a change is
	// worth its copies and orders.
	changeSkew = 1.5
	// goalSkew is the skew at which a change stops looking for further moves.
	goalSkew = 1.3
	// newPerRank is the number of new experts a rank and layer in one change. One
	// keeps the copying short, and the next change follows soon.
	newPerRank = 1
)

// care is the state of one group's care.
type care struct {
	experts  *experts
	group    rankSet
	switcher *expertswitch.Switcher
	// demand is what callers ask of all groups like this one.
	demand *demand
	// layers is the layout in use.
	layers []expertplan.LayerLayout
	// sampled is the rank whose requests stand for all.
	sampled int
	// chosen are the counts of its last sample, popularity the last estimate by layer.
	chosen     []float64
	popularity [][]float64
	// slowness is that of each rank at the last look, made at looked.
	slowness []float64
	looked   time.Time
	// recovered is the time of a recovery after which holds may still show.
	recovered time.Time
}

// recover learns the map in use.
func (c *care) recover(ctx context.Context) error {
	found, err := c.switcher.Recover(ctx, c.group.shape.Layers)
	if err != nil {
		return err
	}
	if found.Repaired {
		c.experts.log.Info(events.MapRepaired, events.Fields{"group": c.group.name, "epoch": c.group.epoch})
	}
	c.layers = make([]expertplan.LayerLayout, len(found.Layout))
	for i := range c.layers {
		c.layers[i] = found.Layout[i]
	}
	c.recovered = time.Now()
	return c.sample(ctx)
}

// unhold ends a hold that an earlier holder left, once reports would show it.
func (c *care) unhold(ctx context.Context) error {
	if c.recovered.IsZero() {
		return nil
	}
	c.recovered = time.Time{}
	repaired, err := c.switcher.ReleaseHold(ctx)
	if repaired {
		c.experts.log.Info(events.MapRepaired, events.Fields{"group": c.group.name, "epoch": c.group.epoch})
	}
	return err
}

// look asks all ranks how slow they are.
func (c *care) look(ctx context.Context) {
	if time.Since(c.looked) < lookEvery {
		return
	}
	c.looked = time.Now()
	bounded, cancel := context.WithTimeout(ctx, countTimeout)
	defer cancel()
	slowness := make([]float64, len(c.group.ranks))
	var calls sync.WaitGroup
	for i, r := range c.group.ranks {
		calls.Go(func() {
			slowness[i] = 1
			report, err := r.Report(bounded)
			if err == nil && report.Slowness > 0 {
				slowness[i] = report.Slowness
				c.experts.directory.paces.Record(slowness.Report{Endpoint: r.Name(), Slowness: report.Slowness, ReportedAt: time.Now()})
			}
		})
	}
	calls.Wait()
	c.slowness = slowness
}

// begin takes the layout that a group has when it forms.
func (c *care) begin() {
	c.layers = make([]expertplan.LayerLayout, c.group.shape.Layers)
	for i := range c.layers {
		c.layers[i] = expertplan.InitialLayout(c.group.size, c.group.shape.PerLayer)
	}
}

// turn samples once and changes the map if that is worth it.
func (c *care) turn(ctx context.Context) error {
	if err := c.unhold(ctx); err != nil {
		return err
	}
	c.look(ctx)
	if err := c.sample(ctx); err != nil || c.popularity == nil || !c.switcher.SwitchObserved() {
		return err
	}
	return c.improve(ctx)
}

// improve changes the map if that is worth it.
func (c *care) improve(ctx context.Context) error {
	before := c.skew(c.layers)
	if before < changeSkew {
		return nil
	}
	next := make([]expertplan.LayerLayout, len(c.layers))
	limits := expertplan.Limits{SlotsPerRank: c.group.shape.SlotsPerRank, NewPerRank: min(newPerRank, c.group.shape.NewPerRank), TargetSkew: goalSkew, Slowness: c.slowness}
	loading := 0
	for i, h := range c.layers {
		next[i] = expertplan.Rebalance(h, c.popularity[i], limits)
		loading += h.MaxNewPerRank(next[i])
	}
	after := c.skew(next)
	return c.change(ctx, next, before, after, loading)
}

func (c *care) change(ctx context.Context, next []expertplan.LayerLayout, before, after float64, loading int) error {
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
	c.experts.log.Info(events.MapActivated, events.Fields{
		"group": c.group.name, "epoch": c.group.epoch, "loading": loading,
		"skewBefore": before, "skewAfter": after, "tookMs": time.Since(started).Milliseconds(),
	})
	return nil
}

// skew is the mean over layers.
func (c *care) skew(layers []expertplan.LayerLayout) float64 {
	sum := 0.0
	for i, h := range layers {
		sum += h.Skew(c.popularity[i], c.slowness)
	}
	return sum / float64(len(layers))
}
