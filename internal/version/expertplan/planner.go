package expertplan

import (
	"math"
	"slices"
	"time"
)

const (
	// fastWeight and slowWeight are the weights of a new window of counts in the
	// two moving averages of popularity.
	fastWeight = 0.3
	slowWeight = 0.1
	// targetSkew is the skew at which no further change is made.
	targetSkew = 1.04
	// medianWindows is the number of windows of which the median is taken.
	medianWindows = 3
	// lastingShiftRatio separates a lasting shift of popularity from a burst. A
	// shift is lasting if the squared distance between the last two windows is
	// less than this share of the last window's squared distance from the average.
	lastingShiftRatio = 0.5
	// repackGain is the least factor by which a placement from scratch must lower
	// a layer's skew compared with single changes in order to be considered.
	repackGain = 1.03
	// noiseFactor is the multiple of the counting noise that a shift of popularity
	// or a saving must exceed; for a saving, in standard deviations.
	noiseFactor = 2
)

// Costs are the parameters from which the cost of a change is estimated.
type Costs struct {
	// ExpertBytes is the size of one expert of one layer.
	ExpertBytes int64
	// StoreRate is the throughput of the weight store for the whole group, in
	// bytes per second.
	StoreRate int64
	// HoldPause is the time for which a switch stops all ranks.
	HoldPause time.Duration
	// LoadOverhead is the share of the step time that is lost while experts load.
	LoadOverhead float64
	// PopularityLifetime is the time for which the popularity is expected to last.
	PopularityLifetime time.Duration
}

// Plan is a change of a group's map.
type Plan struct {
	Layers []Placement
	// Moves is the number of slots to load.
	Moves int
	// SkewBefore and SkewAfter are the predicted skews, averaged over layers.
	SkewBefore, SkewAfter float64
}

// Planner tracks the popularity of one group's experts and plans changes of its
// map.
type Planner struct {
	costs Costs
	// layers is the map in use.
	layers []Placement
	// fast and slow are moving averages of the popularity, by layer and expert.
	fast, slow [][]float64
	// last, previous and third are the popularity in the last three windows, the
	// newest first.
	last, previous, third [][]float64
	// windows is the number of windows observed.
	windows int
	// tokens is the number of tokens in the last window.
	tokens float64
}

// NewPlanner returns a planner for a group that uses the map in layers.
func NewPlanner(layers []Placement, experts int, c Costs) *Planner {
	p := &Planner{costs: c, layers: layers}
	for range layers {
		p.fast = append(p.fast, make([]float64, experts))
		p.slow = append(p.slow, make([]float64, experts))
		p.last = append(p.last, make([]float64, experts))
		p.previous = append(p.previous, make([]float64, experts))
		p.third = append(p.third, make([]float64, experts))
	}
	return p
}

// Layers returns the map in use.
func (p *Planner) Layers() []Placement { return p.layers }

// Observe adds one window of token counts by layer and expert. The caller skips
// missing windows; counts may be late.
func (p *Planner) Observe(counts [][]float64) {
	p.windows++
	p.tokens = 0
	for layer, row := range counts {
		total := 0.0
		for _, n := range row {
			total += n
		}
		if total == 0 {
			continue
		}
		p.tokens = total
		p.last[layer], p.previous[layer], p.third[layer] = p.third[layer], p.last[layer], p.previous[layer]
		for e, n := range row {
			p.last[layer][e] = n / total
		}
		p.updateAverage(layer, p.fast[layer], fastWeight)
		p.updateAverage(layer, p.slow[layer], slowWeight)
	}
}

// updateAverage moves an average towards the last window. From the third window
// on it uses the median of three windows, which a burst in one does not change.
func (p *Planner) updateAverage(layer int, average []float64, weight float64) {
	weight = max(weight, 1/float64(p.windows))
	for e, share := range p.last[layer] {
		if p.windows >= medianWindows {
			share = median(share, p.previous[layer][e], p.third[layer][e])
		}
		average[e] += weight * (share - average[e])
	}
}

func median(a, b, c float64) float64 {
	return max(min(a, b), min(max(a, b), c))
}

// Decide returns a plan, or false if the map in use should stay.
func (p *Planner) Decide() (Plan, bool) {
	incremental, repacked := Plan{}, Plan{}
	for layer, placement := range p.layers {
		popularity := p.expectedPopularity(layer)
		next, before, after := improve(placement, popularity)
		incremental.addLayer(placement, next, before, after)
		packed := relabelRanks(placement, Repack(placement.Ranks(), placement.PerRank, popularity))
		packedSkew := Skew(packed.Loads(popularity))
		if after < packedSkew*repackGain {
			packed, packedSkew = next, after
		}
		repacked.addLayer(placement, packed, before, packedSkew)
	}
	best := incremental
	if p.netSaving(repacked) > p.netSaving(incremental) {
		best = repacked
	}
	return best, best.Moves > 0 && p.netSaving(best) > 0
}

// addLayer appends one layer, which changes from current to next, with its skew
// before and after.
func (p *Plan) addLayer(current, next Placement, before, after float64) {
	p.Layers = append(p.Layers, next)
	p.Moves += current.Moves(next)
	n := float64(len(p.Layers))
	p.SkewBefore += (before - p.SkewBefore) / n
	p.SkewAfter += (after - p.SkewAfter) / n
}

// Adopt records that the group uses the plan's map now.
func (p *Planner) Adopt(plan Plan) { p.layers = plan.Layers }

// expectedPopularity returns the popularity to plan for. If the last two windows
// agree and differ from the fast average by more than noise, the popularity has
// shifted for good, and the result is the mean of both windows. Otherwise it is the
// fast average if that differs from the slow average by more than noise, and else
// the slow average, which varies less.
func (p *Planner) expectedPopularity(layer int) []float64 {
	last, previous := p.last[layer], p.previous[layer]
	fast, slow := p.fast[layer], p.slow[layer]
	noise := 2 / max(1, p.tokens)
	shift, difference := distance(last, fast), distance(last, previous)
	if shift > noiseFactor*noise && difference < lastingShiftRatio*shift {
		return mean(last, previous)
	}
	if distance(fast, slow) > noiseFactor*noise*fastWeight {
		return fast
	}
	return slow
}

// distance returns the squared Euclidean distance between two popularities.
func distance(a, b []float64) float64 {
	sum := 0.0
	for i := range a {
		sum += (a[i] - b[i]) * (a[i] - b[i])
	}
	return sum
}

func mean(a, b []float64) []float64 {
	out := make([]float64, len(a))
	for i := range a {
		out[i] = (a[i] + b[i]) / 2
	}
	return out
}

// relabelRanks permutes the ranks of a new placement such that each rank keeps
// many of the experts that it holds now. The choice is greedy.
func relabelRanks(current, next Placement) Placement {
	out := Placement{Slots: make([]int32, len(next.Slots)), PerRank: next.PerRank}
	taken := make([]bool, next.Ranks())
	for r := range current.Ranks() {
		held := current.Slots[r*current.PerRank : (r+1)*current.PerRank]
		best, most := -1, -1
		for c := range next.Ranks() {
			if taken[c] {
				continue
			}
			if common := countCommon(held, next.Slots[c*next.PerRank:(c+1)*next.PerRank]); common > most {
				best, most = c, common
			}
		}
		taken[best] = true
		copy(out.Slots[r*out.PerRank:], next.Slots[best*next.PerRank:(best+1)*next.PerRank])
	}
	return out
}

// countCommon returns how many elements of b are in a.
func countCommon(a, b []int32) int {
	n := 0
	for _, e := range b {
		if slices.Contains(a, e) {
			n++
		}
	}
	return n
}

// improve changes a placement until it reaches targetSkew, no change helps or
// maxChanges are made.
func improve(p Placement, popularity []float64) (next Placement, before, after float64) {
	s := newSearch(p, popularity)
	before = Skew(s.loads)
	for range maxChanges {
		if Skew(s.loads) <= targetSkew || !s.applyBest() {
			break
		}
	}
	return s.placement, before, Skew(s.loads)
}

// netSaving returns the step time that a plan saves over the popularity's
// lifetime, less the time lost to loading and to the pause, in seconds. It is 0
// if the saving does not exceed the counting noise.
func (p *Planner) netSaving(plan Plan) float64 {
	saved := (plan.SkewBefore - plan.SkewAfter) / plan.SkewBefore
	loading := float64(plan.Moves) * float64(p.costs.ExpertBytes) / float64(p.costs.StoreRate)
	cost := loading*p.costs.LoadOverhead + p.costs.HoldPause.Seconds()
	useful := p.costs.PopularityLifetime.Seconds() - loading
	ranks := float64(p.layers[0].Ranks())
	noise := noiseFactor * math.Sqrt(slowWeight*ranks/max(1, p.tokens))
	if saved <= noise {
		return 0
	}
	return saved*useful - cost
}
