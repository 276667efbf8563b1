package expertplan

import "slices"

// LayerLayout lists the experts of each rank, for one layer. Each expert is on at
// least one rank, and its load is shared evenly by those that hold it.
type LayerLayout [][]int32

// Limits bound one change of holdings.
type Limits struct {
	// SlotsPerRank is the number of experts that a rank can hold.
	SlotsPerRank int
	// NewPerRank is the number of experts that one change may bring to a rank.
	NewPerRank int
	// TargetSkew is the skew at which no further move is made.
	TargetSkew float64
	// Slowness is each rank's time for its work as a multiple of the usual; nil
	// if all are alike.
	Slowness []float64
}

// InitialLayout deals the experts to the ranks in turn.
func InitialLayout(ranks, experts int) LayerLayout {
	h := make(LayerLayout, ranks)
	for e := range experts {
		h[e%ranks] = append(h[e%ranks], int32(e))
	}
	return h
}

// Skew returns the highest load of a rank, weighted by its slowness, divided by
// the mean load.
func (h LayerLayout) Skew(popularity, slowness []float64) float64 {
	return newRelief(h, popularity, Limits{Slowness: slowness}).skew()
}

// MaxNewPerRank returns the largest number of experts that the change to next
// brings to one rank.
func (h LayerLayout) MaxNewPerRank(next LayerLayout) int {
	most := 0
	for r, experts := range next {
		n := 0
		for _, e := range experts {
			if !slices.Contains(h[r], e) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Rebalance moves load away from the most loaded rank, a step at a time, until
// the skew is at its goal or no step within the limits helps. It changes little,
// since every expert that is new to a rank must be loaded.
func Rebalance(h LayerLayout, popularity []float64, l Limits) LayerLayout {
	s := newRelief(h, popularity, l)
	for range len(popularity) {
		if s.skew() <= l.TargetSkew || !s.step() {
			break
		}
	}
	return s.holdings
}

// relief is one search for a change.
type relief struct {
	before     LayerLayout
	holdings   LayerLayout
	popularity []float64
	limits     Limits
	copies     []int
	loads      []float64
	// added counts the experts new to each rank.
	added []int
}

func newRelief(h LayerLayout, popularity []float64, l Limits) *relief {
	s := &relief{
		before:     h,
		holdings:   make(LayerLayout, len(h)),
		popularity: popularity,
		limits:     l,
		copies:     make([]int, len(popularity)),
		added:      make([]int, len(h)),
	}
	for r, experts := range h {
		s.holdings[r] = slices.Clone(experts)
		for _, e := range experts {
			s.copies[e]++
		}
	}
	s.weigh()
	return s
}

func (s *relief) weigh() {
	s.loads = make([]float64, len(s.holdings))
	for r, experts := range s.holdings {
		for _, e := range experts {
			s.loads[r] += s.at(r, s.share(e))
		}
	}
}

// at returns the load that work is for a rank.
func (s *relief) at(r int, work float64) float64 {
	if s.limits.Slowness == nil {
		return work
	}
	return work * s.limits.Slowness[r]
}

func (s *relief) skew() float64 {
	work := 0.0
	for _, p := range s.popularity {
		work += p
	}
	if work == 0 {
		return 1
	}
	return slices.Max(s.loads) * float64(len(s.loads)) / work
}

// share is the load of one copy of the expert.
func (s *relief) share(e int32) float64 { return s.popularity[e] / float64(s.copies[e]) }

// move brings expert to a rank in place of victim. Without a rank, the hot rank
// drops the expert, which others hold.
type move struct {
	expert int32
	rank   int
	// victim is -1 if the rank has a free place.
	victim int32
	// peak is the highest load of the ranks concerned afterwards.
	peak float64
}

const (
	nobody = -1
	none   = int32(-1)
)

// step makes the best move from the most loaded rank and reports whether there
// was one.
func (s *relief) step() bool {
	hot := argMax(s.loads)
	best := move{peak: s.loads[hot] * (1 - minGain), rank: nobody, expert: none}
	for _, e := range s.holdings[hot] {
		s.tryDrop(hot, e, &best)
		for r := range s.holdings {
			s.tryCopy(hot, e, r, &best)
		}
	}
	if best.expert == none {
		return false
	}
	s.apply(hot, best)
	return true
}

// tryDrop considers taking a copy off the hot rank, which costs nothing.
func (s *relief) tryDrop(hot int, e int32, best *move) {
	if s.copies[e] < 2 {
		return
	}
	peak := max(s.loads[hot]-s.at(hot, s.share(e)), s.heirs(e, hot))
	if peak < best.peak {
		*best = move{expert: e, rank: nobody, victim: none, peak: peak}
	}
}

// tryCopy considers giving the expert a further copy on rank r.
func (s *relief) tryCopy(hot int, e int32, r int, best *move) {
	if r == hot || slices.Contains(s.holdings[r], e) {
		return
	}
	known := slices.Contains(s.before[r], e)
	if !known && s.added[r] >= s.limits.NewPerRank {
		return
	}
	victim := s.victim(r)
	if victim == none && len(s.holdings[r]) >= s.limits.SlotsPerRank {
		return
	}
	after := s.popularity[e] / float64(s.copies[e]+1)
	hotAfter := s.loads[hot] - s.at(hot, s.share(e)-after)
	rankAfter := s.loads[r] + s.at(r, after)
	peak := max(hotAfter, rankAfter)
	if victim != none {
		peak = max(hotAfter, rankAfter-s.at(r, s.share(victim)), s.heirs(victim, r))
	}
	if peak < best.peak {
		*best = move{expert: e, rank: r, victim: victim, peak: peak}
	}
}

// victim returns the least loaded expert of a full rank that others hold too,
// or none.
func (s *relief) victim(r int) int32 {
	if len(s.holdings[r]) < s.limits.SlotsPerRank {
		return none
	}
	best := none
	for _, e := range s.holdings[r] {
		if s.copies[e] > 1 && (best == none || s.share(e) < s.share(best)) {
			best = e
		}
	}
	return best
}

// heirs returns the highest load of the ranks that take over a copy's share.
func (s *relief) heirs(e int32, from int) float64 {
	rise := s.popularity[e]/float64(s.copies[e]-1) - s.share(e)
	peak := 0.0
	for r, experts := range s.holdings {
		if r != from && slices.Contains(experts, e) {
			peak = max(peak, s.loads[r]+s.at(r, rise))
		}
	}
	return peak
}

func (s *relief) apply(hot int, m move) {
	if m.rank == nobody {
		s.remove(hot, m.expert)
	} else {
		if m.victim != none {
			s.remove(m.rank, m.victim)
		}
		s.holdings[m.rank] = append(s.holdings[m.rank], m.expert)
		s.copies[m.expert]++
		if !slices.Contains(s.before[m.rank], m.expert) {
			s.added[m.rank]++
		}
	}
	s.weigh()
}

func (s *relief) remove(r int, e int32) {
	if !slices.Contains(s.before[r], e) {
		s.added[r]--
	}
	s.holdings[r] = slices.DeleteFunc(s.holdings[r], func(x int32) bool { return x == e })
	s.copies[e]--
}
