package expertplan

import "slices"

// Placement says which expert each slot of each rank holds, for one layer.
// Every expert has at least one slot; the load of an expert is shared evenly
// by its slots.
type Placement struct {
	// Slots holds the expert of slot s of rank r at index r*PerRank+s.
	Slots []int32
	// PerRank is the number of slots of each rank.
	PerRank int
}

// CyclicPlacement returns a placement of the experts in order; spare slots repeat them.
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

// Moves counts the slots that a rank must load to go from p to next: experts
// that it holds already in another slot need no load.
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

// Copies counts the slots of each expert.
func (p Placement) Copies(experts int) []int {
	copies := make([]int, experts)
	for _, e := range p.Slots {
		copies[e]++
	}
	return copies
}

// Loads returns the load of each rank for the given popularity of experts.
func (p Placement) Loads(popularity []float64) []float64 {
	copies := p.Copies(len(popularity))
	loads := make([]float64, p.Ranks())
	for i, e := range p.Slots {
		loads[i/p.PerRank] += popularity[e] / float64(copies[e])
	}
	return loads
}

// Skew returns the highest rank load divided by the mean. In lock-step it is
// the factor by which the step is slower than with even loads.
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
