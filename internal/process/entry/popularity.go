package entry

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/pkg/bundle"
)

const (
	// weightKept is the share of the weight of earlier samples that remains after
	// sampleInterval. It is low, because what callers request can change within seconds.
	weightKept = 0.4
	// maxEstimateAge is how long an estimate is good enough to plan with.
	maxEstimateAge = 10 * time.Second
)

// popularityEstimate estimates how often requests choose each expert of an
// endpoint group, from samples of all its lock-step groups: requests are spread
// over these by load, so that the popularity is the same in all. It is kept when
// the groups start a new epoch. It is safe for concurrent use.
type popularityEstimate struct {
	layers, perLayer int

	mu sync.Mutex
	// shares holds the share of each expert by layer; nil before the first sample.
	shares [][]float64
	// weight is the number of choices behind the estimate at the time updated;
	// older choices count less.
	weight  float64
	updated time.Time
}

// matches reports whether the estimate has the dimensions of e.
func (p *popularityEstimate) matches(e bundle.Experts) bool {
	return p.layers == e.Layers && p.perLayer == e.PerLayer
}

// recent returns the estimate, or nil if it is too old to plan with.
func (p *popularityEstimate) recent() [][]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shares == nil || time.Since(p.updated) > maxEstimateAge {
		return nil
	}
	return p.clone()
}

// clone copies the shares for use without the lock.
func (p *popularityEstimate) clone() [][]float64 {
	out := make([][]float64, len(p.shares))
	for i := range out {
		out[i] = slices.Clone(p.shares[i])
	}
	return out
}

// add adds a sample, weighted by its number of choices, and returns the new
// estimate. A rank with few requests says little about the requests of all ranks.
func (p *popularityEstimate) add(sample [][]float64, choices float64) [][]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	age := time.Since(p.updated).Seconds() / sampleInterval.Seconds()
	p.weight = p.weight*math.Pow(weightKept, age) + choices
	p.updated = time.Now()
	if p.shares == nil {
		p.shares = sample
		return p.clone()
	}
	for i := range sample {
		for e := range sample[i] {
			p.shares[i][e] += choices / p.weight * (sample[i][e] - p.shares[i][e])
		}
	}
	return p.clone()
}
