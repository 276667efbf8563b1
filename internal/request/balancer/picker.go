package balancer

import (
	"math/rand/v2"
	"sort"
	"strconv"

	"github.com/cicadareel/cicadareel/internal/rendezvous"
)

const (
	// pointsPerMember is the number of points of each member on the hash ring.
	pointsPerMember = 16
	// affinitySlack is the share by which the load of a member preferred for its
	// prefix cache may exceed the mean load.
	affinitySlack = 0.25
	// maxAffinityMembers bounds the members considered for one prefix.
	maxAffinityMembers = 3
	// meanSampleSize is the number of members whose loads estimate the mean.
	meanSampleSize = 8
	// localPreference is the load difference up to which the entry's own failure
	// domain is preferred.
	localPreference = 0.15
	// maxDraws bounds the random draws for one eligible member.
	maxDraws = 4
	// MaxExcluded is the number of latest excluded members that a query holds. A request
	// makes at most one attempt more.
	MaxExcluded = 5
)

// Query describes the member that a request needs.
type Query struct {
	// PrefixHash is the hash of the start of the prompt; used if HasPrefix.
	PrefixHash uint64
	HasPrefix  bool
	// LeastLoaded asks for the least loaded member of all failure domains. Ranks in
	// lock-step need it: each step takes as long as its slowest rank.
	LeastLoaded bool

	// excluded is a ring buffer; excludedCount counts all that were excluded.
	excluded      [MaxExcluded]*Member
	excludedCount int
}

// Exclude excludes a member that was tried.
func (q *Query) Exclude(m *Member) {
	q.excluded[q.excludedCount%MaxExcluded] = m
	q.excludedCount++
}

// allows reports whether the member is eligible and not excluded.
func (q *Query) allows(m *Member) bool {
	for i := range min(q.excludedCount, MaxExcluded) {
		if q.excluded[i] == m {
			return false
		}
	}
	return m.eligible()
}

type ringPoint struct {
	hash   uint64
	member *Member
}

// Picker picks among the members of one group. Its members never change; a new one is
// made when members come or go.
type Picker struct {
	members []*Member
	// local are the members in the entry's own failure domain, remote the others.
	local, remote []*Member
	// ring is sorted by hash.
	ring []ringPoint
	// ordered has the members in an order that is the same at all entries.
	ordered []*Member
	even    evenSpread
}

// NewPicker returns a picker among the members for an entry in failureDomain that is the
// only one.
func NewPicker(members []*Member, failureDomain string) *Picker {
	return NewPickerAt(members, failureDomain, &Place{})
}

// NewPickerAt returns a picker for an entry with a place among others.
func NewPickerAt(members []*Member, failureDomain string, place *Place) *Picker {
	p := &Picker{members: members, ordered: byHash(members), even: evenSpread{place: place}}
	for _, m := range members {
		if m.FailureDomain == failureDomain {
			p.local = append(p.local, m)
		} else {
			p.remote = append(p.remote, m)
		}
		for i := range pointsPerMember {
			p.ring = append(p.ring, ringPoint{hash: rendezvous.Score(m.Name, strconv.Itoa(i)), member: m})
		}
	}
	sort.Slice(p.ring, func(i, j int) bool { return p.ring[i].hash < p.ring[j].hash })
	return p
}

// HashPrefix hashes the start of a prompt.
func HashPrefix(start []byte) uint64 { return rendezvous.Hash(start) }

// Pick returns a member for the query, or nil if none is eligible.
func (p *Picker) Pick(q *Query) *Member {
	if len(p.members) == 0 {
		return nil
	}
	if q.LeastLoaded && p.hasLockstep() {
		return p.pickEven(q)
	}
	if q.LeastLoaded {
		return p.pickLeastLoaded(q)
	}
	if q.HasPrefix {
		if m := p.pickByPrefix(q); m != nil {
			return m
		}
	}
	return p.pickByLoad(q)
}

// pickByPrefix walks the ring from the prefix hash to the first eligible member
// that is idle or not loaded much above the mean.
func (p *Picker) pickByPrefix(q *Query) *Member {
	bound := p.meanLoad() * (1 + affinitySlack)
	at := sort.Search(len(p.ring), func(i int) bool { return p.ring[i].hash >= q.PrefixHash })
	var last *Member
	for considered := 0; considered < maxAffinityMembers && at < 2*len(p.ring); at++ {
		m := p.ring[at%len(p.ring)].member
		if m == last {
			continue
		}
		last = m
		considered++
		if q.allows(m) && (m.load() <= bound || m.outstanding() == 0) {
			return m
		}
	}
	return nil
}

// meanLoad estimates the mean load from a few random members.
func (p *Picker) meanLoad() float64 {
	sum, count := 0.0, 0
	for range meanSampleSize {
		if m := p.members[rand.IntN(len(p.members))]; m.eligible() {
			sum += m.load()
			count++
		}
	}
	return sum / float64(max(1, count))
}

// pickByLoad returns the less loaded of two random members of the entry's own
// failure domain, unless the less loaded of two others has clearly less load.
func (p *Picker) pickByLoad(q *Query) *Member {
	local := lessLoaded(p.randomAllowed(q, p.local), p.randomAllowed(q, p.local))
	remote := lessLoaded(p.randomAllowed(q, p.remote), p.randomAllowed(q, p.remote))
	switch {
	case local == nil && remote == nil:
		return p.pickLeastLoaded(q)
	case remote == nil:
		return local
	case local == nil || local.load() > remote.load()+localPreference:
		return remote
	}
	return local
}

// lessLoaded returns the less loaded member; nil counts as more loaded than any.
func lessLoaded(a, b *Member) *Member {
	if b == nil || (a != nil && a.load() <= b.load()) {
		return a
	}
	return b
}

// randomAllowed returns a random member that the query allows, or nil if a bounded
// number of draws finds none.
func (p *Picker) randomAllowed(q *Query, from []*Member) *Member {
	if len(from) == 0 {
		return nil
	}
	for range maxDraws {
		if m := from[rand.IntN(len(from))]; q.allows(m) {
			return m
		}
	}
	return nil
}

// pickLeastLoaded returns one of the members that the query allows with the least load
// by this entry's own requests. In large deployments an entry has few requests, and
// most members are equal in that. Of two random ones of these it returns the one with
// fewer requests of other entries. It does not look for the least of all: those counts
// are old, and all entries would pick the same member.
func (p *Picker) pickLeastLoaded(q *Query) *Member {
	var one, two *Member
	least, equals := 0.0, 0
	for _, m := range p.members {
		if !q.allows(m) {
			continue
		}
		switch load := m.load(); {
		case one == nil || load < least:
			one, two, least, equals = m, nil, load, 1
		case load == least:
			equals++
			one, two = sampleTwo(one, two, m, equals)
		}
	}
	if two == nil || one.othersLoad() <= two.othersLoad() {
		return one
	}
	return two
}

// sampleTwo keeps a random sample of two, in random order, of a sequence whose number
// of elements is count and whose last one is m.
func sampleTwo(one, two, m *Member, count int) (*Member, *Member) {
	switch i := rand.IntN(count); {
	case i == 0:
		return m, one
	case i == 1 || two == nil:
		return one, m
	}
	return one, two
}

// BusiestOverMean returns the requests at the busiest usable member, of this entry and of
// others as far as they are known, as a multiple of the mean; 0 without requests.
func (p *Picker) BusiestOverMean() float64 {
	most, sum, usable := 0.0, 0.0, 0
	for _, m := range p.members {
		if !m.IsUsable() {
			continue
		}
		load := m.outstanding() + m.othersLoad()*float64(max(1, m.limit.Load()))
		most, sum = max(most, load), sum+load
		usable++
	}
	if sum == 0 {
		return 0
	}
	return most * float64(usable) / sum
}
