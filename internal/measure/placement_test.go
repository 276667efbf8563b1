//go:build measure

package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// The engines of the replayed load: ranks in lock-step that run up to placedSlots requests
// at once, and read prompts between the steps of those that write.
const (
	placedSlots     = 10
	placedEvents    = 23
	placedPrompt    = 800
	passSteps       = 6
	passChunk       = 512
	passStepMs      = 5.85
	passRequestMs   = 0.426
	passTokensPerMs = 61.2
	passExpertShare = 0.85
	// passSkew is the work of the most loaded rank's experts as a multiple of the mean.
	passSkew       = 2.9
	longestPauseMs = 120

	// placedPerRank is about the mean number of requests in progress at a rank, which take
	// about usualTime.
	placedPerRank = 7
	usualTime     = 2.0
	// A third of the entries get largerEntry times as many requests as the others.
	largerEntry   = 2.5
	placedTick    = 5 * time.Millisecond
	placedWarmup  = 4 * time.Second
	placedSeconds = 12
	// noExchange is an age at which entries know nothing of each other.
	noExchange = time.Hour
)

// placedRequest is a request at a rank.
type placedRequest struct {
	entry, events, unread int
	cost                  float32
}

// placedRank is a rank. Its requests from placedSlots on wait.
type placedRank struct {
	group    int
	requests []*placedRequest
}

// placingEntry is what an entry knows. Counts are of requests or of their work.
type placingEntry struct {
	index       int
	weight      float64
	own, others []float32
	// quota is the entry's part of what the ranks lack.
	quota []int
	// order is a random order of the ranks, the entry's own, and start its part of the ring.
	order             []int
	start             int
	learnedAt, nextAt time.Duration
	scratch           []float64
}

// way picks a rank for a request of an entry.
type way func(p *placementReplay, e *placingEntry) int

// placementReplay replays one load with one way to place requests. Each entry learns, each
// half of age, the counts of half of age ago.
type placementReplay struct {
	random  *rand.Rand
	pick    way
	tokens  bool
	age     time.Duration
	now     time.Duration
	ranks   []*placedRank
	entries []*placingEntry
	weights float64
	history []knownLoads
}

// knownLoads are the requests of all entries at a time.
type knownLoads struct {
	at      time.Duration
	byEntry [][]float32
	total   []float32
}

func newPlacementReplay(entries, ranks, groups int, age time.Duration) *placementReplay {
	p := &placementReplay{random: rand.New(rand.NewPCG(1, 2)), age: age}
	for i := range ranks {
		p.ranks = append(p.ranks, &placedRank{group: i * groups / ranks})
	}
	for i := range entries {
		e := &placingEntry{
			index: i, weight: 1, own: make([]float32, ranks), others: make([]float32, ranks), quota: make([]int, ranks),
			order: p.random.Perm(ranks), nextAt: time.Duration(p.random.Float64() * float64(age) / 2), scratch: make([]float64, ranks), start: i * ranks / entries,
		}
		if i%3 == 0 {
			e.weight = largerEntry
		}
		p.weights += e.weight
		p.entries = append(p.entries, e)
	}
	return p
}

// learn records what all entries have, and lets those learn it whose turn it is.
func (p *placementReplay) learn() {
	if p.age == noExchange {
		return
	}
	if len(p.history) == 0 || p.now-p.history[len(p.history)-1].at >= p.age/10 {
		k := knownLoads{at: p.now, total: make([]float32, len(p.ranks))}
		for _, e := range p.entries {
			k.byEntry = append(k.byEntry, append([]float32(nil), e.own...))
			for i, n := range e.own {
				k.total[i] += n
			}
		}
		p.history = append(p.history, k)
		for len(p.history) > 2 && p.history[1].at < p.now-p.age/2 {
			p.history = p.history[1:]
		}
	}
	known := p.history[0]
	for _, e := range p.entries {
		if p.now < e.nextAt {
			continue
		}
		e.nextAt, e.learnedAt = p.now+p.age/2, known.at
		for i, n := range known.total {
			e.others[i] = n - known.byEntry[e.index][i]
		}
		p.assignQuota(e, known.total)
	}
}

// assignQuota gives an entry its part of what each rank lacks of an even share of the
// requests that are expected until the next exchange.
func (p *placementReplay) assignQuota(e *placingEntry, total []float32) {
	sum := 0.0
	for _, n := range total {
		sum += float64(n)
	}
	level := sum * (1 + p.age.Seconds()/2/usualTime) / float64(len(total))
	for i, n := range total {
		e.quota[i] = int(max(0, level-float64(n))*e.weight/p.weights + p.random.Float64())
	}
}

// placementResult has the busiest rank over the mean, the swing of a rank's requests over
// time (standard deviation over the mean), the share of passes over the longest pause, and
// the percentage of requests that wait while another rank has a free slot.
type placementResult struct{ busiest, swing, over, inVain float64 }

func (p *placementReplay) run() placementResult {
	var r placementResult
	passEnd := make([]time.Duration, p.ranks[len(p.ranks)-1].group+1)
	perTick := placedPerRank * float64(len(p.ranks)) / usualTime * placedTick.Seconds()
	sums, squares := make([]float64, len(p.ranks)), make([]float64, len(p.ranks))
	passes, samples := 0, 0
	for ; p.now < placedSeconds*time.Second; p.now += placedTick {
		p.learn()
		for n := perTick; p.random.Float64() < n; n-- {
			p.arrive()
		}
		for g := range passEnd {
			if p.now < passEnd[g] {
				continue
			}
			ms := p.pass(g)
			passEnd[g] = p.now + time.Duration(ms*float64(time.Millisecond))
			if p.now > placedWarmup {
				passes++
				if ms > longestPauseMs {
					r.over++
				}
			}
		}
		if p.now > placedWarmup && p.now%(100*time.Millisecond) == 0 {
			samples++
			p.sample(&r, sums, squares)
		}
	}
	all := 0.0
	for i := range sums {
		mean := sums[i] / float64(samples)
		all += mean
		r.swing += math.Sqrt(max(0, squares[i]/float64(samples)-mean*mean))
	}
	return placementResult{r.busiest / float64(samples), r.swing / all, r.over / float64(passes), r.inVain / float64(samples)}
}

// sample adds the present state to the result.
func (p *placementReplay) sample(r *placementResult, sums, squares []float64) {
	most, total, free, waiting := 0, 0, 0, 0
	for i, k := range p.ranks {
		n := len(k.requests)
		most, total = max(most, n), total+n
		free, waiting = free+max(0, placedSlots-n), waiting+max(0, n-placedSlots)
		sums[i] += float64(n)
		squares[i] += float64(n * n)
	}
	r.busiest += float64(most*len(p.ranks)) / float64(max(1, total))
	r.inVain += 100 * float64(min(free, waiting)) / float64(max(1, total))
}

func (p *placementReplay) arrive() {
	at, e := p.random.Float64()*p.weights, p.entries[0]
	for _, e = range p.entries {
		if at -= e.weight; at < 0 {
			break
		}
	}
	q := &placedRequest{entry: e.index, cost: 1}
	q.events = 1 + int(placedEvents*math.Exp(0.6*p.random.NormFloat64()-0.18))
	q.unread = int(placedPrompt * math.Exp(0.8*p.random.NormFloat64()-0.32))
	if p.tokens {
		q.cost = float32(0.7 + 0.3*float64(q.unread)/placedPrompt)
	}
	i := p.pick(p, e)
	p.ranks[i].requests = append(p.ranks[i].requests, q)
	e.own[i] += q.cost
}

// pass makes one pass of a group and returns its milliseconds.
func (p *placementReplay) pass(group int) float64 {
	mostWritten, written, mostRead, read, ranks := 0.0, 0.0, 0.0, 0.0, 0.0
	for i, k := range p.ranks {
		if k.group != group {
			continue
		}
		w, r := p.passRank(i)
		mostWritten, written = max(mostWritten, w), written+w
		mostRead, read = max(mostRead, r), read+r
		ranks++
	}
	work := func(most, total float64) float64 {
		return (1-passExpertShare)*most + passExpertShare*passSkew*total/ranks
	}
	return passSteps*(passStepMs+passRequestMs*work(mostWritten, written)) + work(mostRead, read)/passTokensPerMs
}

// passRank makes a rank's part of a pass and returns the number of streams that it writes
// and of tokens that it reads.
func (p *placementReplay) passRank(rank int) (writes, reads float64) {
	k := p.ranks[rank]
	kept := k.requests[:0]
	for i, q := range k.requests {
		switch {
		case i >= placedSlots:
		case q.unread > 0:
			part := min(q.unread, passSteps*passChunk-int(reads))
			q.unread -= part
			reads += float64(part)
		default:
			writes++
			q.events--
		}
		if q.events > 0 {
			kept = append(kept, q)
			continue
		}
		own := p.entries[q.entry].own
		own[rank] = max(0, own[rank]-q.cost)
	}
	k.requests = kept
	return writes, reads
}

// TestPlacements prints the table of docs/design/even-load.md.
func TestPlacements(t *testing.T) {
	ways := []struct {
		name   string
		pick   way
		tokens bool
	}{
		{"two choices by shared counts", placeByTwo, false},
		{"two choices by shared tokens", placeByTwo, true},
		{"least of extrapolated counts", placeByLeast, false},
		{"filled up to a level", placeByLevel, false},
		{"noise by age", placeByNoise, false},
		{"split with overflow", placeBySplit, false},
		{"quotas of the planner", placeByQuota, false},
		{"own start", placeByStart, false},
		{"own start by hash, no other entry known", placeByHash, false},
		{"own start, half of the entries two choices", placeByHalf, false},
	}
	for _, size := range []struct{ entries, ranks, groups int }{{13, 72, 1}, {53, 192, 3}, {410, 910, 13}} {
		for _, age := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, noExchange} {
			for _, w := range ways {
				p := newPlacementReplay(size.entries, size.ranks, size.groups, age)
				p.pick, p.tokens = w.pick, w.tokens
				r := p.run()
				fmt.Printf("| %d | %v | %s | %.2f | %.2f | %.2f | %.1f |\n", size.entries, age, w.name, r.busiest, r.swing, r.over, r.inVain)
			}
		}
	}
}
