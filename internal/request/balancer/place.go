package balancer

import (
	"math"
	"slices"
	"sync/atomic"

	"github.com/cicadareel/cicadareel/internal/rendezvous"
)

// golden is the golden ratio. The fractions of its multiples are spread evenly.
const golden = 0.6180339887498949

// wordBits is the size of a word of Place.packed.
const wordBits = 32

// Place is the place of an entry among the live entries. It is safe for concurrent use.
// The zero value is that of the only entry.
type Place struct {
	// packed has two words: the number of entries before this one in the order of their
	// hashes, and that of all.
	packed atomic.Uint64
}

// Set sets the place of the entry self among entries, which include it. An entry that knows
// no other one is most likely cut off from them, and takes a place by its hash.
func (p *Place) Set(self string, entries []string) {
	own, before := rendezvous.Hash([]byte(self)), 0
	for _, e := range entries {
		if h := rendezvous.Hash([]byte(e)); h < own || (h == own && e < self) {
			before++
		}
	}
	if len(entries) < 2 {
		p.packed.Store(own>>(1+wordBits)<<wordBits | 1<<(wordBits-1))
		return
	}
	p.packed.Store(uint64(before)<<wordBits | uint64(len(entries)))
}

// start returns the entry's start on a ring of size.
func (p *Place) start(size int) int {
	packed := p.packed.Load()
	index, count := packed>>wordBits, max(1, packed&math.MaxUint32)
	return int(index*uint64(size)/count) % max(1, size)
}

// turn returns a number from 0 to 1 that differs between entries with neighbouring starts.
func (p *Place) turn() float64 {
	_, fraction := math.Modf(float64(p.packed.Load()>>wordBits) * golden)
	return fraction
}

// byHash returns the members in an order that is the same at all entries.
func byHash(members []*Member) []*Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b *Member) int {
		x, y := rendezvous.Hash([]byte(a.Name)), rendezvous.Hash([]byte(b.Name))
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	return sorted
}
