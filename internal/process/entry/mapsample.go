package entry

import (
	"context"

	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/version/expertswitch"
)

// sample updates the popularity from the counts of one rank: its requests are
// a fair sample of the group's.
func (c *care) sample(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, countTimeout)
	defer cancel()
	counts, err := c.group.ranks[c.sampled].Counts(bounded)
	if err != nil {
		c.sampleNext("no answer")
		return nil //nolint:nilerr // one lost sample changes nothing; the next one covers it
	}
	if counts.Epoch != c.group.epoch {
		return &expertswitch.GroupChangedError{Group: c.group.name}
	}
	c.switcher.Observe(counts.Step)
	previous := c.chosen
	c.chosen = counts.PerExpert
	shape := c.group.shape
	if len(previous) != len(c.chosen) || len(c.chosen) != shape.Layers*shape.PerLayer {
		return nil
	}
	fresh := make([][]float64, shape.Layers)
	for i := range fresh {
		fresh[i] = difference(c.chosen[i*shape.PerLayer:(i+1)*shape.PerLayer], previous[i*shape.PerLayer:(i+1)*shape.PerLayer])
		if fresh[i] == nil {
			c.sampleNext("no requests")
			return nil
		}
	}
	c.popularity = c.demand.weigh(fresh, sum(c.chosen)-sum(previous))
	return nil
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// sampleNext turns to the next rank, one that gets work if any does.
func (c *care) sampleNext(reason string) {
	c.chosen = nil
	for range c.group.ranks {
		c.sampled = (c.sampled + 1) % len(c.group.ranks)
		if c.experts.directory.takesWork(c.group.ranks[c.sampled].Name()) {
			break
		}
	}
	c.experts.log.Info(events.MapSampleMoved, events.Fields{"group": c.group.name, "rank": c.sampled, "reason": reason})
}

// difference returns the shares of what was chosen between two counts, or nil
// if nothing was or the count started anew.
func difference(now, before []float64) []float64 {
	total := 0.0
	out := make([]float64, len(now))
	for i := range now {
		out[i] = now[i] - before[i]
		if out[i] < 0 {
			return nil
		}
		total += out[i]
	}
	if total == 0 {
		return nil
	}
	for i := range out {
		out[i] /= total
	}
	return out
}
