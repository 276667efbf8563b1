package entry

import (
	"context"

	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/version/expertswitch"
)

// sample updates the popularity from the counts of one rank, whose requests are a
// fair sample of the group's.
func (c *groupController) sample(ctx context.Context) error {
	countsCtx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	counts, err := c.group.ranks[c.sampledRank].Counts(countsCtx)
	if err != nil {
		c.sampleNextRank("no response")
		return nil //nolint:nilerr // a lost sample is harmless: sampling continues at another rank
	}
	if counts.Epoch != c.group.epoch {
		return &expertswitch.GroupChangedError{Group: c.group.name}
	}
	c.switcher.Observe(counts.Step)
	previous := c.lastCounts
	c.lastCounts = counts.PerExpert
	shape := c.group.shape
	if len(previous) != len(c.lastCounts) || len(c.lastCounts) != shape.Layers*shape.PerLayer {
		return nil
	}
	shares := make([][]float64, shape.Layers)
	for i := range shares {
		shares[i] = sharesBetween(c.lastCounts[i*shape.PerLayer:(i+1)*shape.PerLayer], previous[i*shape.PerLayer:(i+1)*shape.PerLayer])
		if shares[i] == nil {
			c.sampleNextRank("no requests")
			return nil
		}
	}
	c.popularity = c.estimate.add(shares, sum(c.lastCounts)-sum(previous))
	return nil
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// sampleNextRank moves the sampling to the next rank that gets requests, if any does.
func (c *groupController) sampleNextRank(reason string) {
	c.lastCounts = nil
	for range c.group.ranks {
		c.sampledRank = (c.sampledRank + 1) % len(c.group.ranks)
		if c.parent.fleet.acceptsWork(c.group.ranks[c.sampledRank].Name()) {
			break
		}
	}
	c.parent.log.Info(events.SampledRankChanged, events.Fields{"group": c.group.name, "rank": c.sampledRank, "reason": reason})
}

// sharesBetween returns the share of each expert in the choices between two counts.
// It returns nil if there were no choices or if the counts started again from 0.
func sharesBetween(current, previous []float64) []float64 {
	total := 0.0
	out := make([]float64, len(current))
	for i := range current {
		out[i] = current[i] - previous[i]
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
