package balancer

import (
	"math/rand/v2"
	"sort"
	"strconv"

	"github.com/cicadareel/cicadareel/internal/rendezvous"
)

const (
	// ringPoints is the number of points of each member on the hash ring.
	ringPoints = 16
	// affinitySlack is how far above the mean load a preferred member may be.
	affinitySlack = 0.25
	// affinityWalk bounds the members considered for one prefix.
	affinityWalk = 3
	// meanSample is the number of members whose loads estimate the mean.
	meanSample = 8
	// localBonus is the load difference up to which the own failure domain is
	// preferred.
	localBonus = 0.15
	// samples bounds the random draws before the members are scanned.
	samples = 4
	// maxAvoid bounds the members that one request may have tried.
	maxAvoid = 4
)

// Query describes one choice.
type Query struct {
	// PrefixHash hashes the start of the prompt; used if HasPrefix.
	PrefixHash uint64
	HasPrefix  bool
	// LeastLoaded asks for the least loaded member of all, wherever it is. Ranks in
	// lock-step need it: each step is as slow as its slowest rank.
	LeastLoaded bool

	avoid  [maxAvoid]*Member
	avoids int
}

// Exclude excludes a member that was tried.
func (q *Query) Exclude(m *Member) {
	q.avoid[q.avoids%maxAvoid] = m
	q.avoids++
}

func (q *Query) allows(m *Member) bool {
	for i := range min(q.avoids, maxAvoid) {
		if q.avoid[i] == m {
			return false
		}
	}
	return m.eligible()
}

type point struct {
	hash   uint64
	member *Member
}

// Picker holds the members of one group. It never changes; a new one is made
// when members come or go.
type Picker struct {
	members []*Member
	// local are the members of the entry's own failure domain, remote the
	// others.
	local, remote []*Member
	// ring is sorted by hash.
	ring []point
}

// NewPicker returns a table of the members for an entry in failureDomain.
func NewPicker(members []*Member, failureDomain string) *Picker {
	t := &Picker{members: members}
	for _, m := range members {
		if m.FailureDomain == failureDomain {
			t.local = append(t.local, m)
		} else {
			t.remote = append(t.remote, m)
		}
		for i := range ringPoints {
			t.ring = append(t.ring, point{hash: rendezvous.Score(m.Name, strconv.Itoa(i)), member: m})
		}
	}
	sort.Slice(t.ring, func(i, j int) bool { return t.ring[i].hash < t.ring[j].hash })
	return t
}

// HashPrefix hashes the start of a prompt.
func HashPrefix(start []byte) uint64 { return rendezvous.Hash(start) }

// Pick returns a member for the query, or nil if none is eligible.
func (t *Picker) Pick(q *Query) *Member {
	if len(t.members) == 0 {
		return nil
	}
	if q.LeastLoaded {
		return t.scan(q)
	}
	if q.HasPrefix {
		if m := t.preferred(q); m != nil {
			return m
		}
	}
	return t.balanced(q)
}

// preferred walks the ring from the prefix to the first eligible member that
// is not loaded much above the mean.
func (t *Picker) preferred(q *Query) *Member {
	bound := t.meanLoad() * (1 + affinitySlack)
	at := sort.Search(len(t.ring), func(i int) bool { return t.ring[i].hash >= q.PrefixHash })
	var last *Member
	for walked := 0; walked < affinityWalk && at < 2*len(t.ring); at++ {
		m := t.ring[at%len(t.ring)].member
		if m == last {
			continue
		}
		last = m
		walked++
		if q.allows(m) && (m.load() <= bound || m.working() == 0) {
			return m
		}
	}
	return nil
}

// meanLoad estimates the mean load from a few random members.
func (t *Picker) meanLoad() float64 {
	sum, n := 0.0, 0
	for range meanSample {
		if m := t.members[rand.IntN(len(t.members))]; m.eligible() {
			sum += m.load()
			n++
		}
	}
	return sum / float64(max(1, n))
}

// balanced takes the better of two random members of the own failure domain,
// unless the better of two others is clearly less loaded.
func (t *Picker) balanced(q *Query) *Member {
	local := better(t.draw(q, t.local), t.draw(q, t.local))
	remote := better(t.draw(q, t.remote), t.draw(q, t.remote))
	switch {
	case local == nil && remote == nil:
		return t.scan(q)
	case remote == nil:
		return local
	case local == nil || local.load() > remote.load()+localBonus:
		return remote
	}
	return local
}

// better returns the less loaded member; nil counts as more loaded than any.
func better(a, b *Member) *Member {
	if b == nil || (a != nil && a.load() <= b.load()) {
		return a
	}
	return b
}

// draw returns a random eligible member after a bounded number of tries.
func (t *Picker) draw(q *Query, from []*Member) *Member {
	if len(from) == 0 {
		return nil
	}
	for range samples {
		if m := from[rand.IntN(len(from))]; q.allows(m) {
			return m
		}
	}
	return nil
}

// scan returns the least loaded eligible member of all. It starts anywhere, so
// that entries do not all take the same one of several equals.
func (t *Picker) scan(q *Query) *Member {
	var best *Member
	start := rand.IntN(len(t.members))
	for i := range t.members {
		m := t.members[(start+i)%len(t.members)]
		if q.allows(m) && (best == nil || m.load() < best.load()) {
			best = m
		}
	}
	return best
}
