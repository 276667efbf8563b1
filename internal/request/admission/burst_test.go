package admission

import (
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// The load is that of a group of 48 ranks of 10 slots while a third of its ranks is
// evacuated: three kinds of requests, of which the least urgent comes more than twice as
// often for some seconds.
const (
	burstEntries = 13
	burstRanks   = 48
	burstSlots   = 10
	burstBegin   = 5 * time.Second
	burstEnd     = 12 * time.Second
	burstLength  = 18 * time.Second
	burstTick    = 10 * time.Millisecond
	// firstEvent is the time from the beginning of a request to its first event.
	firstEvent = 200 * time.Millisecond
)

// burstKind is a kind of requests with its rate per second, usual and in the burst.
type burstKind struct {
	perSecond, inBurst float64
	objective          time.Duration
}

var burstKinds = []burstKind{
	{perSecond: 80, inBurst: 80, objective: 400 * time.Millisecond},
	{perSecond: 35, inBurst: 35, objective: 400 * time.Millisecond},
	{perSecond: 100, inBurst: 240, objective: time.Second},
}

// burstRequest is a request of a kind at a rank.
type burstRequest struct {
	kind, entry int
	asked       time.Time
	returned    bool
	ticket      Ticket
	rank        *burstRank
	ends        time.Time
}

// burstRank runs requests and queues others, the most urgent first.
type burstRank struct{ running, queue []*burstRequest }

// burstEntry stands for the endpoints as one entry sees them.
type burstEntry struct {
	levels     int
	controller *Controller
	own        []int
	others     map[EndpointKey]int
}

func (*burstEntry) Slots(string) int { return burstRanks * burstSlots }

func (e *burstEntry) Levels(string) int { return e.levels }

func (e *burstEntry) InProgress(string) int {
	n := 0
	for _, own := range e.own {
		n += own
	}
	for _, others := range e.others {
		n += others
	}
	return n
}

func (e *burstEntry) Requests(string) map[EndpointKey]int {
	m := map[EndpointKey]int{}
	for i, n := range e.own {
		m[EndpointKey(i)] = n
	}
	return m
}

func (e *burstEntry) ApplyOthers(_ string, requests map[EndpointKey]int) { e.others = requests }

// burst replays the load.
type burst struct {
	seed    uint64
	random  *rand.Rand
	levels  int
	ranks   []*burstRank
	entries []*burstEntry
	waiting []*burstRequest
	// exchange is called after each update of the entries' loads.
	exchange func(*burst, time.Duration)
	// tallies has the outcomes of each kind of requests in the burst.
	tallies []tally
	began   time.Time
	// lastRefusal is when an entry last refused a request, since began.
	lastRefusal time.Duration
}

// play replays the load and returns the outcomes of the requests sent in the burst. With
// one level, requests do not differ in urgency.
func (b *burst) play(t *testing.T) []tally {
	synctest.Test(t, func(*testing.T) {
		b.random, b.began = rand.New(rand.NewPCG(1, b.seed)), time.Now()
		b.tallies = make([]tally, len(burstKinds))
		for range burstRanks {
			b.ranks = append(b.ranks, &burstRank{})
		}
		for range burstEntries {
			e := &burstEntry{levels: b.levels, own: make([]int, burstRanks)}
			e.controller = NewController(e, func() int { return burstEntries })
			b.entries = append(b.entries, e)
		}
		for tick := 0; time.Since(b.began) < burstLength; tick++ {
			if tick%25 == 0 {
				b.update()
			}
			b.arrive()
			for _, rank := range b.ranks {
				b.run(rank)
			}
			time.Sleep(burstTick)
		}
	})
	return b.tallies
}

// update makes the entries exchange their loads, of which those of others are an interval
// old.
func (b *burst) update() {
	for _, e := range b.entries {
		e.controller.Update()
	}
	b.exchange(b, time.Since(b.began))
}

// exchangeLoads lets the first entry plan for all.
func exchangeLoads(b *burst, _ time.Duration) {
	planning := b.entries[0].controller
	for i, e := range b.entries[1:] {
		planning.RecordLoads(string(rune('a'+i)), e.controller.Loads())
		e.controller.ApplyPlans(planning.Plans())
	}
}

func (b *burst) inBurst(at time.Time) bool {
	since := at.Sub(b.began)
	return since >= burstBegin && since < burstEnd
}

func (b *burst) arrive() {
	now := time.Now()
	for kind, k := range burstKinds {
		rate := k.perSecond
		if b.inBurst(now) {
			rate = k.inBurst
		}
		for mean := rate * burstTick.Seconds(); b.random.Float64() < mean; mean-- {
			b.send(&burstRequest{kind: kind, entry: b.random.IntN(burstEntries), asked: now})
		}
	}
	for _, r := range b.waiting {
		if !now.Before(r.ends) {
			b.send(r)
		}
	}
	b.waiting = slices.DeleteFunc(b.waiting, func(r *burstRequest) bool { return !now.Before(r.ends) })
}

func (b *burst) tallyOf(r *burstRequest) *tally {
	if !b.inBurst(r.asked) {
		return &tally{}
	}
	return &b.tallies[r.kind]
}

func (b *burst) send(r *burstRequest) {
	if !r.returned {
		b.tallyOf(r).asked++
	}
	e := b.entries[r.entry]
	d, ticket := e.controller.Admit("g", Request{Account: "a", Cost: 1, Returned: r.returned, Level: min(r.kind, b.levels-1), Levels: b.levels})
	if !d.Admitted {
		b.lastRefusal = time.Since(b.began)
	}
	switch {
	case d.Admitted:
		r.ticket = ticket
		r.rank = b.place(r)
		i := slices.IndexFunc(r.rank.queue, func(o *burstRequest) bool { return b.before(r, o) })
		if i < 0 {
			i = len(r.rank.queue)
		}
		r.rank.queue = slices.Insert(r.rank.queue, i, r)
	case r.returned:
		b.tallyOf(r).lost++
	default:
		b.tallyOf(r).refused++
		r.returned = true
		r.ends = time.Now().Add(time.Duration(float64(d.RetryAfter) * (0.75 + b.random.Float64()/2)))
		b.waiting = append(b.waiting, r)
	}
}

// before reports whether a request goes before another at an endpoint.
func (b *burst) before(r, o *burstRequest) bool {
	switch {
	case r.returned != o.returned:
		return o.returned
	case b.levels == 1:
		return false
	}
	return r.kind < o.kind
}

// place returns the less loaded of two random ranks and counts the request there.
func (b *burst) place(r *burstRequest) *burstRank {
	i, j := b.random.IntN(burstRanks), b.random.IntN(burstRanks)
	if load := func(i int) int { return len(b.ranks[i].running) + len(b.ranks[i].queue) }; load(j) < load(i) {
		i = j
	}
	b.entries[r.entry].own[i]++
	return b.ranks[i]
}

// run ends the requests of a rank that are done and begins others.
func (b *burst) run(rank *burstRank) {
	now := time.Now()
	rank.running = slices.DeleteFunc(rank.running, func(r *burstRequest) bool {
		if now.Before(r.ends) {
			return false
		}
		b.entries[r.entry].own[slices.Index(b.ranks, rank)]--
		r.ticket.End()
		return true
	})
	for len(rank.running) < burstSlots && len(rank.queue) > 0 {
		r := rank.queue[0]
		rank.queue = rank.queue[1:]
		rank.running = append(rank.running, r)
		r.ends = now.Add(time.Duration((0.6 + 2.4*b.random.Float64()) * float64(time.Second)))
		if now.Add(firstEvent).Sub(r.asked) <= burstKinds[r.kind].objective {
			b.tallyOf(r).onTime++
		} else {
			b.tallyOf(r).late++
		}
	}
}

// onTimeShare returns the share of a kind's requests that was on time.
func onTimeShare(t tally) float64 { return float64(t.onTime) / float64(t.asked) }

// servedShare returns the share of a kind's requests that was served.
func servedShare(t tally) float64 { return float64(t.onTime+t.late) / float64(t.asked) }

// burstSeeds is the number of bursts that are replayed. One alone says little.
const burstSeeds = 24

// replayBursts replays bursts with and without levels of urgency, and returns the outcomes
// of all.
func replayBursts(t *testing.T) (with, without []tally) {
	with, without = make([]tally, len(burstKinds)), make([]tally, len(burstKinds))
	for seed := range uint64(burstSeeds) {
		addTallies(without, (&burst{seed: seed, levels: 1, exchange: exchangeLoads}).play(t))
		addTallies(with, (&burst{seed: seed, levels: len(burstKinds), exchange: exchangeLoads}).play(t))
	}
	for kind := range burstKinds {
		t.Logf("kind %d: on time %.2f, served %.2f; without levels on time %.2f, served %.2f", kind,
			onTimeShare(with[kind]), servedShare(with[kind]), onTimeShare(without[kind]), servedShare(without[kind]))
	}
	return with, without
}

func addTallies(sum, of []tally) {
	for i, o := range of {
		s := &sum[i]
		s.asked, s.onTime, s.late = s.asked+o.asked, s.onTime+o.onTime, s.late+o.late
	}
}

// TestReplayOfBurst replays a burst of the least urgent requests.
func TestReplayOfBurst(t *testing.T) {
	with, without := replayBursts(t)
	t.Run("more urgent kinds miss their objectives at most half as often as without levels", func(t *testing.T) {
		for kind := range burstKinds[:2] {
			if missed, before := 1-onTimeShare(with[kind]), 1-onTimeShare(without[kind]); missed > before/2 {
				t.Errorf("%.2f of kind %d miss them, %.2f without levels", missed, kind, before)
			}
		}
	})
	t.Run("the least urgent kind does not starve", func(t *testing.T) {
		all := tally{}
		for _, k := range with {
			all.asked, all.onTime, all.late = all.asked+k.asked, all.onTime+k.onTime, all.late+k.late
		}
		if got := servedShare(with[2]); got < 0.25*servedShare(all) {
			t.Errorf("%.2f are served, of all %.2f", got, servedShare(all))
		}
	})
}

// TestReplayOfBurstAtTarget checks that 95 in 100 of the most urgent requests are on time
// in a burst of the least urgent ones.
func TestReplayOfBurstAtTarget(t *testing.T) {
	if os.Getenv("KNOWN_RED") == "pass over" {
		t.Skip("listed in KNOWN-RED.txt")
	}
	with, _ := replayBursts(t)
	if got := onTimeShare(with[0]); got < 0.95 {
		t.Errorf("%.2f of the most urgent kind are on time", got)
	}
}

// TestLostCounts checks that entries which lose the counts of others in the burst turn
// nobody away once these are too old.
func TestLostCounts(t *testing.T) {
	lost := burstBegin + 2*time.Second
	b := &burst{levels: len(burstKinds), exchange: func(b *burst, at time.Duration) {
		if at < lost {
			exchangeLoads(b, at)
		}
	}}
	b.play(t)
	if b.lastRefusal < lost {
		t.Fatal("nobody is turned away before the counts are lost")
	}
	if until := lost + planLifetime + loadLifetime; b.lastRefusal > until {
		t.Fatalf("a request is turned away %v after the beginning, later than %v", b.lastRefusal, until)
	}
}
