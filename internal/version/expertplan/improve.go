package expertplan

// maxMoves bounds the changes of one plan in each layer, in slots.
const maxMoves = 64

// minGain is the least relative fall of the highest load for which a further
// change is worth considering.
const minGain = 0.002

// search improves one placement step by step.
type search struct {
	placement  Placement
	popularity []float64
	copies     []int
	loads      []float64
	// holders are, for each expert, the two most loaded ranks that hold it.
	holders []topTwo
}

// topTwo holds the two most loaded ranks of a set; -1 where there is none.
type topTwo struct{ first, second int }

// change replaces the experts of one or two slots.
type change struct {
	slot, other int
	// expert goes into slot; counterpart goes into other, if other >= 0.
	expert, counterpart int32
	// peak is the higher load of the ranks concerned afterwards.
	peak float64
}

func newSearch(p Placement, popularity []float64) *search {
	return &search{
		placement:  p.Clone(),
		popularity: popularity,
		copies:     p.Copies(len(popularity)),
		loads:      p.Loads(popularity),
	}
}

// step makes the change that lowers the highest rank load most. It reports
// false if none lowers it by minGain.
func (s *search) step() bool {
	hot := argMax(s.loads)
	s.rankHolders()
	best := change{peak: s.loads[hot] * (1 - minGain)}
	found := s.tryReplicas(hot, &best)
	found = s.trySwaps(hot, &best) || found
	if !found {
		return false
	}
	s.apply(best)
	return true
}

// share is the load of one slot of the expert if it had n copies.
func (s *search) share(expert int32, n int) float64 {
	return s.popularity[expert] / float64(n)
}

// tryReplicas considers giving an expert of the hot rank another copy, in
// place of an expert that keeps a copy elsewhere.
func (s *search) tryReplicas(hot int, best *change) bool {
	found := false
	for _, e := range s.rank(hot) {
		fall := s.share(e, s.copies[e]) - s.share(e, s.copies[e]+1)
		hotAfter := s.loads[hot] - fall
		if hotAfter >= best.peak {
			continue
		}
		for slot, victim := range s.placement.Slots {
			r := slot / s.placement.PerRank
			if r == hot || victim == e || s.copies[victim] < 2 || s.holds(r, e) {
				continue
			}
			after := s.loads[r] - s.share(victim, s.copies[victim]) + s.share(e, s.copies[e]+1)
			peak := max(hotAfter, after, s.peakAfterRemoving(victim, r, hot, hotAfter))
			if peak < best.peak {
				*best = change{slot: slot, other: -1, expert: e, peak: peak}
				found = true
			}
		}
	}
	return found
}

// peakAfterRemoving returns the highest load among the ranks that take over
// the share of a removed copy.
func (s *search) peakAfterRemoving(victim int32, from, hot int, hotAfter float64) float64 {
	rise := s.share(victim, s.copies[victim]-1) - s.share(victim, s.copies[victim])
	heir := s.holders[victim].first
	if heir == from {
		heir = s.holders[victim].second
	}
	switch heir {
	case -1:
		return 0
	case hot:
		return hotAfter + rise
	}
	return s.loads[heir] + rise
}

// rankHolders finds the most loaded holders of each expert.
func (s *search) rankHolders() {
	s.holders = make([]topTwo, len(s.popularity))
	for e := range s.holders {
		s.holders[e] = topTwo{-1, -1}
	}
	for slot, e := range s.placement.Slots {
		r := slot / s.placement.PerRank
		h := &s.holders[e]
		switch {
		case h.first == r:
		case h.first < 0 || s.loads[r] > s.loads[h.first]:
			h.first, h.second = r, h.first
		case h.second < 0 || s.loads[r] > s.loads[h.second]:
			h.second = r
		}
	}
}

// trySwaps considers exchanging an expert of the hot rank for a lighter one.
func (s *search) trySwaps(hot int, best *change) bool {
	found := false
	base := hot * s.placement.PerRank
	for i, e := range s.rank(hot) {
		heavy := s.share(e, s.copies[e])
		for slot, light := range s.placement.Slots {
			r := slot / s.placement.PerRank
			diff := heavy - s.share(light, s.copies[light])
			if r == hot || diff <= 0 {
				continue
			}
			peak := max(s.loads[hot]-diff, s.loads[r]+diff)
			if peak < best.peak && !s.holds(r, e) && !s.holds(hot, light) {
				*best = change{slot: slot, other: base + i, expert: e, counterpart: light, peak: peak}
				found = true
			}
		}
	}
	return found
}

func (s *search) rank(r int) []int32 {
	return s.placement.Slots[r*s.placement.PerRank : (r+1)*s.placement.PerRank]
}

func (s *search) holds(r int, expert int32) bool {
	for _, e := range s.rank(r) {
		if e == expert {
			return true
		}
	}
	return false
}

func (s *search) apply(c change) {
	if c.other >= 0 {
		s.placement.Slots[c.other] = c.counterpart
	} else {
		s.copies[s.placement.Slots[c.slot]]--
		s.copies[c.expert]++
	}
	s.placement.Slots[c.slot] = c.expert
	s.loads = s.placement.Loads(s.popularity)
}

func argMax(values []float64) int {
	best := 0
	for i, v := range values {
		if v > values[best] {
			best = i
		}
	}
	return best
}
