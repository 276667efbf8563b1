package expertplan

import "slices"

// LayerLayout lists the experts of each rank, for one layer. Each expert is on at
// least one rank, and the ranks that hold it share its load evenly.
type LayerLayout [][]int32

// Limits limit one change of a layout.
type Limits struct {
	// SlotsPerRank is the number of experts that a rank can hold.
	SlotsPerRank int
	// NewPerRank is the number of new experts that one change may add to a rank.
	NewPerRank int
	// TargetSkew is the skew at which no further move is made.
	TargetSkew float64
	// Slowness is each rank's time for its work as a multiple of the usual time;
	// nil if all ranks are equally fast.
	Slowness []float64
}

// InitialLayout assigns the experts to the ranks round-robin.
func InitialLayout(ranks, experts int) LayerLayout {
	l := make(LayerLayout, ranks)
	for e := range experts {
		l[e%ranks] = append(l[e%ranks], int32(e))
	}
	return l
}

// Skew returns the highest load of a rank, weighted by its slowness, divided by
// the mean load without slowness.
func (l LayerLayout) Skew(popularity, slowness []float64) float64 {
	return newRebalancer(l, popularity, Limits{Slowness: slowness}).skew()
}

// MaxNewPerRank returns the largest number of new experts that one rank gets in
// the change to next.
func (l LayerLayout) MaxNewPerRank(next LayerLayout) int {
	most := 0
	for r, experts := range next {
		n := 0
		for _, e := range experts {
			if !slices.Contains(l[r], e) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Rebalance moves load off the most loaded rank, one move at a time, until the
// skew reaches the target or no move within the limits helps. It makes few moves,
// since every expert that is new to a rank must be loaded.
func Rebalance(l LayerLayout, popularity []float64, limits Limits) LayerLayout {
	b := newRebalancer(l, popularity, limits)
	for range len(popularity) {
		if b.skew() <= limits.TargetSkew || !b.applyBest() {
			break
		}
	}
	return b.layout
}

// rebalancer is the state of one Rebalance.
type rebalancer struct {
	before     LayerLayout
	layout     LayerLayout
	popularity []float64
	limits     Limits
	copies     []int
	loads      []float64
	// added is the number of experts that are new to each rank.
	added []int
}

func newRebalancer(l LayerLayout, popularity []float64, limits Limits) *rebalancer {
	b := &rebalancer{
		before:     l,
		layout:     make(LayerLayout, len(l)),
		popularity: popularity,
		limits:     limits,
		copies:     make([]int, len(popularity)),
		added:      make([]int, len(l)),
	}
	for r, experts := range l {
		b.layout[r] = slices.Clone(experts)
		for _, e := range experts {
			b.copies[e]++
		}
	}
	b.updateLoads()
	return b
}

func (b *rebalancer) updateLoads() {
	b.loads = make([]float64, len(b.layout))
	for r, experts := range b.layout {
		for _, e := range experts {
			b.loads[r] += b.scale(r, b.share(e))
		}
	}
}

// scale returns work weighted by the rank's slowness.
func (b *rebalancer) scale(r int, work float64) float64 {
	if b.limits.Slowness == nil {
		return work
	}
	return work * b.limits.Slowness[r]
}

func (b *rebalancer) skew() float64 {
	work := 0.0
	for _, p := range b.popularity {
		work += p
	}
	if work == 0 {
		return 1
	}
	return slices.Max(b.loads) * float64(len(b.loads)) / work
}

// share returns the load of one copy of the expert.
func (b *rebalancer) share(e int32) float64 { return b.popularity[e] / float64(b.copies[e]) }

// move adds a copy of an expert to a rank, in place of victim. If rank is noRank,
// the hot rank drops the expert instead, which other ranks hold.
type move struct {
	expert int32
	rank   int
	// victim is noExpert if the rank has a free slot.
	victim int32
	// peak is the highest load of the affected ranks after the move.
	peak float64
}

const (
	noRank   = -1
	noExpert = int32(-1)
)

// applyBest makes the best move off the most loaded rank. It reports false if no
// move lowers the highest load by minGain.
func (b *rebalancer) applyBest() bool {
	hot := argMax(b.loads)
	best := move{peak: b.loads[hot] * (1 - minGain), rank: noRank, expert: noExpert}
	for _, e := range b.layout[hot] {
		b.tryDrop(hot, e, &best)
		for r := range b.layout {
			b.tryCopy(hot, e, r, &best)
		}
	}
	if best.expert == noExpert {
		return false
	}
	b.apply(hot, best)
	return true
}

// tryDrop considers removing a copy from the hot rank. No rank has to load an
// expert for it.
func (b *rebalancer) tryDrop(hot int, e int32, best *move) {
	if b.copies[e] < 2 {
		return
	}
	peak := max(b.loads[hot]-b.scale(hot, b.share(e)), b.peakAfterRemoving(e, hot))
	if peak < best.peak {
		*best = move{expert: e, rank: noRank, victim: noExpert, peak: peak}
	}
}

// tryCopy considers adding to rank r a copy of an expert of the hot rank.
func (b *rebalancer) tryCopy(hot int, e int32, r int, best *move) {
	if r == hot || slices.Contains(b.layout[r], e) {
		return
	}
	heldBefore := slices.Contains(b.before[r], e)
	if !heldBefore && b.added[r] >= b.limits.NewPerRank {
		return
	}
	victim := b.victim(r)
	if victim == noExpert && len(b.layout[r]) >= b.limits.SlotsPerRank {
		return
	}
	after := b.popularity[e] / float64(b.copies[e]+1)
	hotAfter := b.loads[hot] - b.scale(hot, b.share(e)-after)
	rankAfter := b.loads[r] + b.scale(r, after)
	peak := max(hotAfter, rankAfter)
	if victim != noExpert {
		peak = max(hotAfter, rankAfter-b.scale(r, b.share(victim)), b.peakAfterRemoving(victim, r))
	}
	if peak < best.peak {
		*best = move{expert: e, rank: r, victim: victim, peak: peak}
	}
}

// victim returns the least loaded expert of a full rank that other ranks hold
// too, or noExpert.
func (b *rebalancer) victim(r int) int32 {
	if len(b.layout[r]) < b.limits.SlotsPerRank {
		return noExpert
	}
	best := noExpert
	for _, e := range b.layout[r] {
		if b.copies[e] > 1 && (best == noExpert || b.share(e) < b.share(best)) {
			best = e
		}
	}
	return best
}

// peakAfterRemoving returns the highest load of the other ranks that hold the
// expert once they share the load of a removed copy.
func (b *rebalancer) peakAfterRemoving(e int32, from int) float64 {
	increase := b.popularity[e]/float64(b.copies[e]-1) - b.share(e)
	peak := 0.0
	for r, experts := range b.layout {
		if r != from && slices.Contains(experts, e) {
			peak = max(peak, b.loads[r]+b.scale(r, increase))
		}
	}
	return peak
}

func (b *rebalancer) apply(hot int, m move) {
	if m.rank == noRank {
		b.remove(hot, m.expert)
	} else {
		if m.victim != noExpert {
			b.remove(m.rank, m.victim)
		}
		b.layout[m.rank] = append(b.layout[m.rank], m.expert)
		b.copies[m.expert]++
		if !slices.Contains(b.before[m.rank], m.expert) {
			b.added[m.rank]++
		}
	}
	b.updateLoads()
}

func (b *rebalancer) remove(r int, e int32) {
	if !slices.Contains(b.before[r], e) {
		b.added[r]--
	}
	b.layout[r] = slices.DeleteFunc(b.layout[r], func(x int32) bool { return x == e })
	b.copies[e]--
}
