package entry

import (
	"context"
	"math"
	"time"

	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/version/expertswitch"
)

// evidenceKept is the part of the evidence of earlier samples that is kept after
// countInterval: what callers ask for can change within seconds.
const evidenceKept = 0.4

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
		return &expertswitch.ChangedError{Group: c.group.name}
	}
	c.switcher.Observe(counts.Step)
	previous := c.chosen
	c.chosen = counts.Chosen
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
	c.weigh(fresh, sum(c.chosen)-sum(previous))
	return nil
}

// weigh adds a sample to the estimate, by the number of choices that each rests
// on: a rank that had few requests says little about those of all.
func (c *care) weigh(fresh [][]float64, choices float64) {
	if c.popularity == nil {
		c.popularity, c.evidence, c.weighed = fresh, choices, time.Now()
		return
	}
	age := time.Since(c.weighed).Seconds() / countInterval.Seconds()
	c.evidence = c.evidence*math.Pow(evidenceKept, age) + choices
	c.weighed = time.Now()
	for i := range fresh {
		for e := range fresh[i] {
			c.popularity[i][e] += choices / c.evidence * (fresh[i][e] - c.popularity[i][e])
		}
	}
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
