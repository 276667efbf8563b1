//go:build measure

package measure

import "math"

// othersOf returns what an entry knows of the others' requests, and how old it is in
// seconds. Counts of more than two seconds are not used.
func (p *placementReplay) othersOf(e *placingEntry) (others []float32, age float64) {
	age = (p.now - e.learnedAt).Seconds()
	if age > 2.5 || p.age == noExchange {
		return make([]float32, len(e.own)), age
	}
	return e.others, age
}

// placeByTwo takes, of the ranks with the fewest own requests, the one of two random ones
// that has fewer of others.
func placeByTwo(p *placementReplay, e *placingEntry) int {
	others, _ := p.othersOf(e)
	least, equals := float32(math.Inf(1)), e.scratch[:0]
	for i, n := range e.own {
		if n < least {
			least, equals = n, equals[:0]
		}
		if n == least {
			equals = append(equals, float64(i))
		}
	}
	a, b := int(equals[p.random.IntN(len(equals))]), int(equals[p.random.IntN(len(equals))])
	if others[b] < others[a] {
		return b
	}
	return a
}

// placeByLeast takes the rank with the fewest requests, of which those of others become
// fewer with the age of the counts.
func placeByLeast(p *placementReplay, e *placingEntry) int {
	others, age := p.othersOf(e)
	kept := float32(math.Exp(-age / usualTime))
	return p.least(len(e.own), func(i int) float64 { return float64(e.own[i] + kept*others[i]) })
}

// placeByNoise takes the least of counts with noise that grows with their age.
func placeByNoise(p *placementReplay, e *placingEntry) int {
	others, age := p.othersOf(e)
	width := 2 * placedPerRank * min(1, age/usualTime)
	return p.least(len(e.own), func(i int) float64 { return float64(e.own[i]+others[i]) + width*p.random.Float64() })
}

// least returns the rank with the least score, the first one from a random one on.
func (p *placementReplay) least(ranks int, score func(i int) float64) int {
	best, least, start := 0, math.Inf(1), p.random.IntN(ranks)
	for j := range ranks {
		i := (start + j) % ranks
		if s := score(i); s < least {
			best, least = i, s
		}
	}
	return best
}

// placeByLevel takes ranks in proportion to what they lack of the level up to which the
// requests that have arrived since the counts would fill all ranks.
func placeByLevel(p *placementReplay, e *placingEntry) int {
	others, age := p.othersOf(e)
	if p.age == noExchange {
		return placeByTwo(p, e)
	}
	total, low := 0.0, math.Inf(1)
	for i := range e.own {
		e.scratch[i] = float64(e.own[i] + others[i])
		total += e.scratch[i]
		low = min(low, e.scratch[i])
	}
	expected := max(0.5, total*age/usualTime)
	high := low + expected
	for range 24 {
		level, sum := (low+high)/2, 0.0
		for _, n := range e.scratch {
			sum += max(0, level-n)
		}
		if sum > expected {
			high = level
		} else {
			low = level
		}
	}
	room, best := 0.0, 0
	for i, n := range e.scratch {
		if lacks := high - n; lacks > 0 {
			room += lacks
			if p.random.Float64()*room < lacks {
				best = i
			}
		}
	}
	return best
}

// placeBySplit keeps to ranks of the entry's own, of which there are half as many more as
// its even share, and goes on to the next ones when they are three quarters full.
func placeBySplit(p *placementReplay, e *placingEntry) int {
	share := max(1, 3*len(e.own)/len(p.entries)/2)
	for from := 0; ; from += share {
		best, least := 0, float32(math.Inf(1))
		for _, i := range e.order[from:min(len(e.order), from+share)] {
			if e.own[i] < least {
				best, least = i, e.own[i]
			}
		}
		if least < 0.75*placedSlots || from+share >= len(e.order) {
			return best
		}
	}
}

// placeByQuota uses up the quotas of the planner, and then two choices.
func placeByQuota(p *placementReplay, e *placingEntry) int {
	best, sum := -1, 0
	for i, n := range e.quota {
		if sum += n; n > 0 && p.random.IntN(sum) < n {
			best = i
		}
	}
	if best < 0 {
		return placeByTwo(p, e)
	}
	e.quota[best]--
	return best
}

// placeByStart takes the first rank with the fewest own requests from a start on that
// divides the ranks evenly between the entries.
func placeByStart(_ *placementReplay, e *placingEntry) int {
	return e.firstFrom(e.start)
}

// placeByHash is like placeByStart for entries that know no others: their starts are random.
func placeByHash(_ *placementReplay, e *placingEntry) int {
	return e.firstFrom(e.order[0])
}

// firstFrom returns the first rank with the fewest own requests from a rank on.
func (e *placingEntry) firstFrom(start int) int {
	best, least := 0, float32(math.Inf(1))
	for j := range e.own {
		if i := (start + j) % len(e.own); e.own[i] < least {
			best, least = i, e.own[i]
		}
	}
	return best
}

// placeByHalf lets every second entry run the version with two choices.
func placeByHalf(p *placementReplay, e *placingEntry) int {
	if e.index%2 == 0 {
		return placeByTwo(p, e)
	}
	return placeByStart(p, e)
}
