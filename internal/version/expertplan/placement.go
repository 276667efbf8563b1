package expertplan

import "slices"

// Placement assigns an expert to each slot of each rank, for one layer. Every
// expert has at least one slot, and its slots share its load evenly.
type Placement struct {
	// Slots holds the expert of slot s of rank r at index r*PerRank+s.
	Slots []int32
	// PerRank is the number of slots of each rank.
	PerRank int
}

// CyclicPlacement assigns the experts to the slots in order and starts over until
// all slots are assigned.
func CyclicPlacement(ranks, perRank, experts int) Placement {
	p := Placement{Slots: make([]int32, ranks*perRank), PerRank: perRank}
	for i := range p.Slots {
		p.Slots[i] = int32(i % experts)
	}
	return p
}

// Ranks returns the number of ranks.
func (p Placement) Ranks() int { return len(p.Slots) / p.PerRank }

// Clone returns a copy.
func (p Placement) Clone() Placement {
	return Placement{Slots: slices.Clone(p.Slots), PerRank: p.PerRank}
}

// Moves returns the number of slots for which a rank must load an expert to go
// from p to next. An expert that the rank already holds in another slot is not
// loaded again.
func (p Placement) Moves(next Placement) int {
	moves := 0
	for r := range p.Ranks() {
		held := p.Slots[r*p.PerRank : (r+1)*p.PerRank]
		for _, e := range next.Slots[r*p.PerRank : (r+1)*p.PerRank] {
			if !slices.Contains(held, e) {
				moves++
			}
		}
	}
	return moves
}

// Copies returns the number of slots of each expert.
func (p Placement) Copies(experts int) []int {
	copies := make([]int, experts)
	for _, e := range p.Slots {
		copies[e]++
	}
	return copies
}

// Loads returns the load of each rank for the given popularity of the experts.
func (p Placement) Loads(popularity []float64) []float64 {
	copies := p.Copies(len(popularity))
	loads := make([]float64, p.Ranks())
	for i, e := range p.Slots {
		loads[i/p.PerRank] += popularity[e] / float64(copies[e])
	}
	return loads
}

// Skew returns the highest rank load divided by the mean. In lock-step it is
// the factor by which a step takes longer than with even loads.
func Skew(loads []float64) float64 {
	sum, highest := 0.0, 0.0
	for _, l := range loads {
		sum += l
		highest = max(highest, l)
	}
	if sum == 0 {
		return 1
	}
	return highest * float64(len(loads)) / sum
}
