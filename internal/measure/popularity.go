package measure

import (
	"math"
	"math/rand/v2"
)

// popularityModel generates the popularity of experts, window by window. The popularity
// of an expert is its relative share of the tokens.
type popularityModel struct {
	name string
	// next returns the popularity in a window. Call it once for each window, in order:
	// some models change their state.
	next func(window int) []float64
}

const (
	zipfExponent = 0.7
	// driftStep is the standard deviation of the relative change in one window.
	driftStep = 0.03
	// shiftLength is the number of windows that the evening shift takes.
	shiftLength = 40
	// swapWindow is the window of the sudden swap. The evening shift starts at half
	// of it.
	swapWindow = 100
	// burstEvery is the number of windows between two bursts.
	burstEvery = 10
	// burstFactor multiplies the popularity of the experts in a burst.
	burstFactor = 8
)

// zipf returns a Zipf distribution over the experts in random order, not normalized.
func zipf(random *rand.Rand, experts int) []float64 {
	p := make([]float64, experts)
	for i, position := range random.Perm(experts) {
		p[i] = 1 / math.Pow(float64(position+1), zipfExponent)
	}
	return p
}

// popularityModels returns the inputs of CompareExpertMaps.
func popularityModels(seed uint64, experts int) []popularityModel {
	random := rand.New(rand.NewPCG(seed, 1))
	steady, drifting := zipf(random, experts), zipf(random, experts)
	day, evening := zipf(random, experts), zipf(random, experts)
	before, after := zipf(random, experts), zipf(random, experts)
	noisy := zipf(random, experts)
	return []popularityModel{
		{"jitter only", func(int) []float64 { return steady }},
		{"weekly drift", func(int) []float64 {
			for e := range drifting {
				drifting[e] *= math.Exp(driftStep * random.NormFloat64())
			}
			return drifting
		}},
		{"evening shift", func(w int) []float64 {
			share := math.Min(1, math.Max(0, float64(w-swapWindow/2)/shiftLength))
			return blend(day, evening, share)
		}},
		{"sudden swap", func(w int) []float64 {
			if w < swapWindow {
				return before
			}
			return after
		}},
		{"burst noise", func(w int) []float64 {
			if w%burstEvery != 0 {
				return noisy
			}
			burst := append([]float64(nil), noisy...)
			for range experts / 10 {
				burst[random.IntN(experts)] *= burstFactor
			}
			return burst
		}},
	}
}

func blend(a, b []float64, share float64) []float64 {
	out := make([]float64, len(a))
	for i := range a {
		out[i] = a[i]*(1-share) + b[i]*share
	}
	return out
}

// sample draws token counts of a window. The counting noise is normal with the
// variance of a Poisson distribution.
func sample(random *rand.Rand, popularity []float64, tokens float64) []float64 {
	total := 0.0
	for _, p := range popularity {
		total += p
	}
	counts := make([]float64, len(popularity))
	for e, p := range popularity {
		mean := p / total * tokens
		counts[e] = math.Max(0, mean+math.Sqrt(mean)*random.NormFloat64())
	}
	return counts
}
