package admission

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cicadareel/cicadareel/internal/request/balancer"
)

// Dimensions of a large deployment, with the figures of its engines.
const (
	simGroups    = 3
	simRanks     = 64
	simSlots     = 6
	simQueue     = 12
	simEntries   = 53
	simAccounts  = 40
	simClients   = 10
	simPerSecond = 466.0

	simEvents        = 17
	simStepsPerEvent = 8
	simStepMs        = 5.85
	simPerRequestMs  = 0.83
	simReadMs        = 13.6
	simExpertShare   = 0.85

	simObjective = 500 * time.Millisecond
	simPause     = 150 * time.Millisecond
	simAbandon   = 2 * time.Second
	simTick      = 5 * time.Millisecond
	simPlanning  = 250 * time.Millisecond
	// shedRetryAfter is the Retry-After of requests that endpoints rejected.
	shedRetryAfter = 300 * time.Millisecond
)

// simStream is a request for a stream of events.
type simStream struct {
	account, entry int
	// asked is when the caller first sent the request, sent when it last did.
	asked, sent, lastEvent       time.Time
	events                       int
	late, returned, gone, urgent bool
	member                       *balancer.Member
}

type simRank struct{ running, queue []*simStream }

// simGroup is a group of ranks that make passes in lock-step.
type simGroup struct {
	ranks   []*simRank
	passEnd time.Time
}

// load is a load pattern. Times are since the start of the replay.
type load struct {
	// rate is the arrival rate of an account at a time, as a multiple of its usual one.
	rate func(account int, at time.Duration) float64
	// skew is the work of the most loaded rank's experts as a multiple of the mean.
	skew func(at time.Duration) float64
}

// tally counts the outcomes of the requests that an account sent for the first time
// in one second. returnServed are those that were refused, came back and were served.
type tally struct{ asked, onTime, late, lost, refused, returnServed int }

// simulation replays a load against a deployment.
type simulation struct {
	load    load
	admits  bool
	random  *rand.Rand
	started time.Time
	groups  []*simGroup
	entries []*simEntry
	planner Planner
	// planned is the last plan, which is applied when the next one is made.
	planned Plan
	// waiting are the callers that were told to come back, streams the requests in
	// progress.
	waiting []*simStream
	streams map[*simStream]bool
	tallies map[int][]tally
}

// simEntry is one entry.
type simEntry struct {
	meter    *Meter
	limiter  *Limiter
	reported Load
	picker   *balancer.Picker
	members  map[string]*balancer.Member
}

// replay runs a load for a number of seconds, with or without admission, and returns
// the outcomes by account and second.
func replay(t *testing.T, l load, admits bool, seconds int) map[int][]tally {
	var tallies map[int][]tally
	synctest.Test(t, func(*testing.T) {
		s := newSimulation(l, admits, seconds)
		nextPlan := s.started
		for time.Since(s.started) < time.Duration(seconds)*time.Second {
			if !time.Now().Before(nextPlan) {
				s.plan()
				nextPlan = nextPlan.Add(simPlanning)
			}
			s.arrive()
			s.pass()
			s.abandon()
			time.Sleep(simTick)
		}
		tallies = s.tallies
	})
	return tallies
}

func newSimulation(l load, admits bool, seconds int) *simulation {
	s := &simulation{load: l, admits: admits, random: rand.New(rand.NewPCG(1, 1)), started: time.Now(), tallies: map[int][]tally{}, streams: map[*simStream]bool{}}
	for range simGroups {
		g := &simGroup{}
		for range simRanks {
			g.ranks = append(g.ranks, &simRank{})
		}
		s.groups = append(s.groups, g)
	}
	for range simEntries {
		s.entries = append(s.entries, newSimEntry())
	}
	for a := range simAccounts {
		s.tallies[a] = make([]tally, seconds+1)
	}
	return s
}

func newSimEntry() *simEntry {
	e := &simEntry{meter: NewMeter(), members: map[string]*balancer.Member{}}
	e.limiter = NewLimiter(e.meter)
	var members []*balancer.Member
	for i := range simGroups * simRanks {
		m := balancer.NewMember(strconv.Itoa(i), "d")
		m.ApplyAnnouncement(simSlots, true)
		m.MarkUp()
		e.members[m.Name] = m
		members = append(members, m)
	}
	e.picker = balancer.NewPicker(members, "d")
	return e
}

// plan applies the previous plan and makes the next, as the exchange of loads and
// plans takes as long as the time between two.
func (s *simulation) plan() {
	if !s.admits {
		return
	}
	var loads []Load
	for _, e := range s.entries {
		e.limiter.Apply(s.planned, e.reported)
		for name, m := range e.members {
			m.ApplyOthers(s.planned.AtEndpoints[KeyOf(name)] - e.reported.AtEndpoints[KeyOf(name)])
		}
		e.reported = e.meter.Load(simGroups * simRanks * simSlots)
		e.limiter.LearnUsual(e.reported)
		e.reported.AtEndpoints = map[EndpointKey]int{}
		for name, m := range e.members {
			e.reported.AtEndpoints[KeyOf(name)] = m.OwnRequests()
		}
		loads = append(loads, e.reported)
	}
	s.planned = s.planner.Update(loads)
}

// usualRate is the arrival rate of an account, a few of which are large.
func usualRate(account int) float64 {
	total := 0.0
	for a := range simAccounts {
		total += 1 / float64(a+2)
	}
	return simPerSecond / float64(account+2) / total
}

func (s *simulation) arrive() {
	now := time.Now()
	for a := range simAccounts {
		mean := usualRate(a) * s.load.rate(a, now.Sub(s.started)) * simTick.Seconds()
		for mean > 0 && s.random.Float64() < mean {
			mean--
			client := s.random.IntN(simClients)
			r := &simStream{account: a, entry: (a*31 + client*7) % simEntries, asked: now}
			s.tallyOf(r).asked++
			s.send(r)
		}
	}
	waiting := s.waiting
	s.waiting = nil
	for _, r := range waiting {
		if now.Before(r.sent) {
			s.waiting = append(s.waiting, r)
			continue
		}
		s.send(r)
	}
}

func (s *simulation) tallyOf(r *simStream) *tally {
	return &s.tallies[r.account][int(r.asked.Sub(s.started).Seconds())]
}

// send sends a request to its entry, which admits and places it or refuses it.
func (s *simulation) send(r *simStream) {
	r.sent, r.lastEvent = time.Now(), time.Now()
	e := s.entries[r.entry]
	if s.admits {
		e.meter.CountArrival(r.request())
		d := e.limiter.Decide(r.request())
		r.urgent = !d.OverShare
		if !d.Admitted {
			s.refuse(r, time.Duration(float64(d.RetryAfter)*(0.75+s.random.Float64()/2)))
			return
		}
	}
	rank := s.place(e)
	if rank == nil {
		s.refuse(r, shedRetryAfter)
		return
	}
	r.member = rank
	rank.BeginRequest()
	e.meter.Begin(r.request())
	s.streams[r] = true
	s.rankOf(rank).enqueue(r)
}

func (r *simStream) request() Request {
	return Request{Account: strconv.Itoa(r.account), Cost: 1, Returned: r.returned}
}

func (s *simulation) rankOf(m *balancer.Member) *simRank {
	i, _ := strconv.Atoi(m.Name)
	return s.groups[i/simRanks].ranks[i%simRanks]
}

// enqueue makes a request wait, behind the others that are as urgent.
func (k *simRank) enqueue(r *simStream) {
	at := len(k.queue)
	for r.urgent && at > 0 && !k.queue[at-1].urgent {
		at--
	}
	k.queue = slices.Insert(k.queue, at, r)
}

// place returns a rank for a request, or nil if two ranks reject it.
func (s *simulation) place(e *simEntry) *balancer.Member {
	q := &balancer.Query{LeastLoaded: true}
	for range 2 {
		m := e.picker.Pick(q)
		if len(s.rankOf(m).queue) < simQueue {
			return m
		}
		q.Exclude(m)
	}
	return nil
}

// refuse makes the caller come back once.
func (s *simulation) refuse(r *simStream, after time.Duration) {
	if r.returned {
		s.tallyOf(r).lost++
		return
	}
	s.tallyOf(r).refused++
	r.returned = true
	r.sent = time.Now().Add(after)
	s.waiting = append(s.waiting, r)
}

// pass ends the passes that are over and begins the next ones.
func (s *simulation) pass() {
	now := time.Now()
	skew := s.load.skew(now.Sub(s.started))
	for _, g := range s.groups {
		if now.Before(g.passEnd) {
			continue
		}
		for _, rank := range g.ranks {
			s.endPass(rank)
		}
		g.passEnd = now.Add(g.beginPass(skew))
	}
}

// endPass gives every running request of a rank its next event.
func (s *simulation) endPass(rank *simRank) {
	var running []*simStream
	for _, r := range rank.running {
		if r.gone {
			continue
		}
		s.deliver(r)
		if r.events < simEvents {
			running = append(running, r)
			continue
		}
		s.finish(r, true)
	}
	rank.running = running
}

func (s *simulation) deliver(r *simStream) {
	now := time.Now()
	gap := now.Sub(r.lastEvent)
	r.lastEvent = now
	r.events++
	late := r.events == 1 && now.Sub(r.sent) > simObjective || r.events > 1 && gap > simPause
	if late && !r.late && r.urgent {
		s.entries[r.entry].meter.RecordTimeliness(true)
	}
	r.late = r.late || late
}

func (s *simulation) finish(r *simStream, whole bool) {
	r.member.EndRequest()
	delete(s.streams, r)
	r.gone = true
	t := s.tallyOf(r)
	s.entries[r.entry].meter.End(r.request(), time.Since(r.sent))
	if !whole {
		t.lost++
		return
	}
	if r.returned {
		t.returnServed++
	}
	if !r.late && r.urgent {
		s.entries[r.entry].meter.RecordTimeliness(false)
	}
	if r.late || r.returned {
		t.late++
	} else {
		t.onTime++
	}
}

// beginPass admits waiting requests to slots and returns how long the pass takes.
func (g *simGroup) beginPass(skew float64) time.Duration {
	maxRunning, sumRunning, maxRead, sumRead := 0, 0, 0, 0
	for _, rank := range g.ranks {
		read := 0
		for len(rank.running) < simSlots && len(rank.queue) > 0 {
			if r := rank.queue[0]; !r.gone {
				rank.running = append(rank.running, r)
				read++
			}
			rank.queue = rank.queue[1:]
		}
		maxRunning, sumRunning = max(maxRunning, len(rank.running)), sumRunning+len(rank.running)
		maxRead, sumRead = max(maxRead, read), sumRead+read
	}
	if sumRunning == 0 {
		return simTick
	}
	work := func(most, total int) float64 {
		return (1-simExpertShare)*float64(most) + simExpertShare*skew*float64(total)/simRanks
	}
	ms := simStepsPerEvent*(simStepMs+simPerRequestMs*work(maxRunning, sumRunning)) + simReadMs*work(maxRead, sumRead)
	return time.Duration(ms * float64(time.Millisecond))
}

// abandon lets callers leave who got no event for too long.
func (s *simulation) abandon() {
	for r := range s.streams {
		if time.Since(r.lastEvent) > simAbandon {
			s.finish(r, false)
		}
	}
}
