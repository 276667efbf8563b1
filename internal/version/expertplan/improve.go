package expertplan

// maxChanges limits the changes of one plan in each layer.
const maxChanges = 64

// minGain is the smallest relative decrease of the highest load for which a
// change is made.
const minGain = 0.002

// search improves one placement, one change at a time.
type search struct {
	placement  Placement
	popularity []float64
	copies     []int
	loads      []float64
	// holders has, for each expert, the two most loaded ranks that hold it.
	holders []topTwo
}

// topTwo has the two most loaded ranks of a set; -1 if there is none.
type topTwo struct{ first, second int }

// change replaces the experts of one or two slots.
type change struct {
	slot, otherSlot int
	// expert goes into slot; counterpart goes into otherSlot if that is >= 0.
	expert, counterpart int32
	// peak is the highest load of the affected ranks after the change.
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

// applyBest makes the change that lowers the highest rank load most. It reports
// false if no change lowers it by minGain.
func (s *search) applyBest() bool {
	hot := argMax(s.loads)
	s.findHolders()
	best := change{peak: s.loads[hot] * (1 - minGain)}
	found := s.tryReplicas(hot, &best)
	found = s.trySwaps(hot, &best) || found
	if !found {
		return false
	}
	s.apply(best)
	return true
}

// share returns the load of one copy of the expert if it has n copies.
func (s *search) share(expert int32, n int) float64 {
	return s.popularity[expert] / float64(n)
}

// tryReplicas considers replicating an expert of the hot rank on another rank, in
// place of an expert that keeps another copy.
func (s *search) tryReplicas(hot int, best *change) bool {
	found := false
	for _, e := range s.expertsOf(hot) {
		decrease := s.share(e, s.copies[e]) - s.share(e, s.copies[e]+1)
		hotAfter := s.loads[hot] - decrease
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
				*best = change{slot: slot, otherSlot: -1, expert: e, peak: peak}
				found = true
			}
		}
	}
	return found
}

// peakAfterRemoving returns the highest load among the ranks that take over
// the share of a removed copy.
func (s *search) peakAfterRemoving(victim int32, from, hot int, hotAfter float64) float64 {
	increase := s.share(victim, s.copies[victim]-1) - s.share(victim, s.copies[victim])
	holder := s.holders[victim].first
	if holder == from {
		holder = s.holders[victim].second
	}
	switch holder {
	case -1:
		return 0
	case hot:
		return hotAfter + increase
	}
	return s.loads[holder] + increase
}

// findHolders finds the two most loaded ranks that hold each expert.
func (s *search) findHolders() {
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

// trySwaps considers swapping an expert of the hot rank for one with less load.
func (s *search) trySwaps(hot int, best *change) bool {
	found := false
	base := hot * s.placement.PerRank
	for i, e := range s.expertsOf(hot) {
		heavy := s.share(e, s.copies[e])
		for slot, light := range s.placement.Slots {
			r := slot / s.placement.PerRank
			diff := heavy - s.share(light, s.copies[light])
			if r == hot || diff <= 0 {
				continue
			}
			peak := max(s.loads[hot]-diff, s.loads[r]+diff)
			if peak < best.peak && !s.holds(r, e) && !s.holds(hot, light) {
				*best = change{slot: slot, otherSlot: base + i, expert: e, counterpart: light, peak: peak}
				found = true
			}
		}
	}
	return found
}

func (s *search) expertsOf(r int) []int32 {
	return s.placement.Slots[r*s.placement.PerRank : (r+1)*s.placement.PerRank]
}

func (s *search) holds(r int, expert int32) bool {
	for _, e := range s.expertsOf(r) {
		if e == expert {
			return true
		}
	}
	return false
}

func (s *search) apply(c change) {
	if c.otherSlot >= 0 {
		s.placement.Slots[c.otherSlot] = c.counterpart
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
