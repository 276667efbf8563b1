package entry

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/pkg/bundle"
)

const (
	// evidenceKept is the part of the evidence of earlier samples that is kept after
	// countInterval: what callers ask for can change within seconds.
	evidenceKept = 0.4
	// estimateLife is how long an estimate is worth planning from.
	estimateLife = 10 * time.Second
)

// demand estimates how often callers choose each expert of an endpoint group, from
// samples of all its lock-step groups: requests are spread over these by load, so
// that what they ask for is the same everywhere. It outlives the epochs of the
// groups. It is safe for concurrent use.
type demand struct {
	layers, perLayer int

	mu sync.Mutex
	// popularity holds shares by layer; nil before the first sample.
	popularity [][]float64
	// evidence is the number of choices that the estimate rests on, less for older
	// ones, at the time weighed.
	evidence float64
	weighed  time.Time
}

func (d *demand) fits(e bundle.Experts) bool { return d.layers == e.Layers && d.perLayer == e.PerLayer }

// recent returns the estimate, or nil if it is too old to plan from.
func (d *demand) recent() [][]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.popularity == nil || time.Since(d.weighed) > estimateLife {
		return nil
	}
	return d.copy()
}

// copy returns the estimate for use without the lock.
func (d *demand) copy() [][]float64 {
	out := make([][]float64, len(d.popularity))
	for i := range out {
		out[i] = slices.Clone(d.popularity[i])
	}
	return out
}

// weigh adds a sample by the number of choices that it rests on, and returns the
// estimate: a rank that had few requests says little about those of all.
func (d *demand) weigh(fresh [][]float64, choices float64) [][]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	age := time.Since(d.weighed).Seconds() / countInterval.Seconds()
	d.evidence = d.evidence*math.Pow(evidenceKept, age) + choices
	d.weighed = time.Now()
	if d.popularity == nil {
		d.popularity = fresh
		return d.copy()
	}
	for i := range fresh {
		for e := range fresh[i] {
			d.popularity[i][e] += choices / d.evidence * (fresh[i][e] - d.popularity[i][e])
		}
	}
	return d.copy()
}
