package expertplan

import (
	"math"
	"slices"
	"time"
)

const (
	// fastWeight and slowWeight are the weights of a new window of counts in
	// the two moving averages of popularity.
	fastWeight = 0.3
	slowWeight = 0.1
	// skewGoal is the skew below which no change is looked for.
	skewGoal = 1.04
	// medianWindows is the number of windows of which the median is taken.
	medianWindows = 3
	// persistence is the ratio of the change between the last two windows to
	// their distance from the average below which a move of popularity counts
	// as lasting rather than as a burst.
	persistence = 0.5
	// repackGain is the ratio of skews above which a placement from scratch is
	// considered.
	repackGain = 1.03
	// noiseFactor is the number of standard deviations of the counting noise
	// that a saving must exceed.
	noiseFactor = 2
)

// Costs are what a change costs.
type Costs struct {
	// ExpertBytes is the size of one expert of one layer.
	ExpertBytes int64
	// StoreRate is the rate of the weight store in bytes a second for the
	// whole group.
	StoreRate int64
	// HoldPause is the time that all ranks stand still during a switch.
	HoldPause time.Duration
	// LoadOverhead is the share of the step time lost while experts load.
	LoadOverhead float64
	// PopularityLifetime is the time for which a popularity is expected to last.
	PopularityLifetime time.Duration
}

// Plan is a decision to change.
type Plan struct {
	Layers []Placement
	// Moves counts the slots to load.
	Moves int
	// SkewBefore and SkewAfter are the predicted skews, averaged over layers.
	SkewBefore, SkewAfter float64
}

// Planner keeps the popularity of one group's experts and its present map.
type Planner struct {
	costs Costs
	// layers is the map in force.
	layers []Placement
	// fast and slow are moving averages of the experts' share of tokens.
	fast, slow [][]float64
	// last, previous and third are the shares of the last three windows.
	last, previous, third [][]float64
	// windows counts the windows seen.
	windows int
	// tokens is the number of tokens in the last window.
	tokens float64
}

// NewPlanner returns a planner for the map in force.
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

// Layers returns the map in force.
func (p *Planner) Layers() []Placement { return p.layers }

// Observe adds one window of token counts by layer and expert. A missing
// window is left out by the caller; counts may be late.
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
		p.blend(layer, p.fast[layer], fastWeight)
		p.blend(layer, p.slow[layer], slowWeight)
	}
}

// blend moves an average towards the last windows. From the third window on it
// takes the median of three, which a burst of one window does not change.
func (p *Planner) blend(layer int, average []float64, weight float64) {
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

// Decide returns a plan, or false if the present map should stay.
func (p *Planner) Decide() (Plan, bool) {
	small, large := Plan{}, Plan{}
	for layer, placement := range p.layers {
		popularity := p.expected(layer)
		next, before, after := improve(placement, popularity)
		small.add(placement, next, before, after)
		packed := relabel(placement, Repack(placement.Ranks(), placement.PerRank, popularity))
		packedSkew := Skew(packed.Loads(popularity))
		if after < packedSkew*repackGain {
			packed, packedSkew = next, after
		}
		large.add(placement, packed, before, packedSkew)
	}
	best := small
	if p.value(large) > p.value(small) {
		best = large
	}
	return best, best.Moves > 0 && p.value(best) > 0
}

// add appends one layer.
func (p *Plan) add(now, next Placement, before, after float64) {
	p.Layers = append(p.Layers, next)
	p.Moves += now.Moves(next)
	n := float64(len(p.Layers))
	p.SkewBefore += (before - p.SkewBefore) / n
	p.SkewAfter += (after - p.SkewAfter) / n
}

// Adopt notes that the plan is in force.
func (p *Planner) Adopt(plan Plan) { p.layers = plan.Layers }

// expected is the popularity to plan for. Where the last two windows agree
// and lie away from the average by more than noise, popularity moved for good
// and they hold. Else it is the fast average if that left the slow one by more
// than noise, or the slow one, which is steadier.
func (p *Planner) expected(layer int) []float64 {
	last, previous := p.last[layer], p.previous[layer]
	fast, slow := p.fast[layer], p.slow[layer]
	noise := 2 / max(1, p.tokens)
	moved, apart := distance(last, fast), distance(last, previous)
	if moved > noiseFactor*noise && apart < persistence*moved {
		return middle(last, previous)
	}
	if distance(fast, slow) > noiseFactor*noise*fastWeight {
		return fast
	}
	return slow
}

// distance is the squared distance of two shares.
func distance(a, b []float64) float64 {
	sum := 0.0
	for i := range a {
		sum += (a[i] - b[i]) * (a[i] - b[i])
	}
	return sum
}

func middle(a, b []float64) []float64 {
	out := make([]float64, len(a))
	for i := range a {
		out[i] = (a[i] + b[i]) / 2
	}
	return out
}

// relabel orders the ranks of a new placement such that each present rank
// keeps as many of its experts as a greedy choice allows.
func relabel(now, next Placement) Placement {
	out := Placement{Slots: make([]int32, len(next.Slots)), PerRank: next.PerRank}
	taken := make([]bool, next.Ranks())
	for r := range now.Ranks() {
		held := now.Slots[r*now.PerRank : (r+1)*now.PerRank]
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

func countCommon(a, b []int32) int {
	n := 0
	for _, e := range b {
		if slices.Contains(a, e) {
			n++
		}
	}
	return n
}

// improve changes a placement until the skew is good or stops falling.
func improve(p Placement, popularity []float64) (next Placement, before, after float64) {
	s := newSearch(p, popularity)
	before = Skew(s.loads)
	for range maxMoves {
		if Skew(s.loads) <= skewGoal || !s.step() {
			break
		}
	}
	return s.placement, before, Skew(s.loads)
}

// value is the step time that a plan saves over the expected life of the
// popularity less the time lost to loading and to the pause, in seconds. It is
// 0 for a saving that does not stand out from the noise of counting.
func (p *Planner) value(plan Plan) float64 {
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
