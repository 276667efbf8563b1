package admission

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Levels decide by urgency which requests to a group an entry admits.
//
// They answer a burst of the least urgent requests at endpoints whose slots are nearly all
// taken, for example while a failure domain is evacuated. Once every slot is taken, an
// urgent request waits for the next one to become free, and misses its objective however
// far in front it waits. So requests are admitted up to a share of the room that depends on
// what else is asked for: the less urgent leave some slots free for the more urgent, and
// the more urgent may wait at the endpoints in front of the less urgent. Callers come back
// only once, so requests that return after a refusal are admitted beyond that.
//
// The decision needs no plan, only the numbers of requests in progress that entries tell
// each other, and this entry's own changes since. It is safe for concurrent use.
type Levels struct {
	mu sync.Mutex
	// known is true if the requests of other entries are known. Otherwise all requests are
	// admitted.
	known bool
	// inProgress is the expected number of requests at the usable endpoints, counted the one
	// at the last update, and slots what these run at the same time.
	inProgress, counted, slots float64
	// room is the number of slots that may be filled. It follows the slots, but rises
	// slowly.
	room      float64
	updatedAt time.Time
	// asked and admitted are the amounts of requests by level, which decay over rateWindow.
	// They are empty while the group's requests do not differ in urgency.
	asked, admitted []float64
	// credit has for each level what it has been short of its least part when requests were
	// refused, at least 0 and less than 1. It begins at random, so that entries with few
	// requests admit their part together.
	credit     []float64
	decayedAt  time.Time
	turnedAway int
}

const (
	// urgentExcess is the part of the room by which requests of the most urgent level may
	// exceed it, and returnedExcess the additional one of those that come back.
	urgentExcess   = 0.25
	returnedExcess = 0.1
	// reserve is the part of the room that the least urgent level leaves free.
	reserve = 0.12
	// fullBelow is the share of less urgent requests from which a request has all of
	// urgentExcess, and fullAbove that of more urgent ones from which it leaves all of
	// reserve.
	fullBelow = 0.4
	fullAbove = 0.2
	// leastAdmitted is the part of a level's requests that is admitted at least, as a share
	// of the part that is admitted of all.
	leastAdmitted = 0.35
	// firstRoom is the share of the slots that may be filled at once when endpoints return,
	// and roomPerSecond the one by which the room rises then.
	firstRoom     = 0.75
	roomPerSecond = 0.25
	// lead is the part of the last change of the requests in progress that is expected to
	// come once more before the next update. The counts are old, and all entries go by them.
	lead = 0.5
	// decayInterval is the time between two updates of the decaying amounts.
	decayInterval = 20 * time.Millisecond
	// turnAfter is when callers that are turned away should come back.
	turnAfter = 2 * time.Second
)

// LevelState is what the levels of a group decide from.
type LevelState struct {
	Group string
	// Room, Slots and InProgress are numbers of requests of all entries.
	Room, Slots, InProgress float64
	// TurnedAway is the number of requests that this entry refused since the last state.
	TurnedAway int
}

// Active reports whether the group's requests differ in urgency.
func (l *Levels) Active() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.asked) > 0
}

// Update sets the requests in progress at the usable endpoints and their slots. known is
// true if they include those of other entries.
func (l *Levels) Update(inProgress, slots float64, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	rise := roomPerSecond * slots * now.Sub(l.updatedAt).Seconds()
	l.room = min(slots, max(firstRoom*slots, l.room+rise))
	l.inProgress = inProgress
	// Endpoints that left or returned, or counts that were not known, are no trend.
	if known && l.known && slots == l.slots {
		l.inProgress = max(0, inProgress+lead*(inProgress-l.counted))
	}
	l.counted, l.slots, l.known, l.updatedAt = inProgress, slots, known, now
}

// Begin counts a request in progress.
func (l *Levels) Begin() { l.add(1) }

// End counts the end of a request. Call it once for each Begin.
func (l *Levels) End() { l.add(-1) }

func (l *Levels) add(n float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inProgress += n
}

// State returns what decides now, and starts counting refusals anew.
func (l *Levels) State() LevelState {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := LevelState{Room: l.room, Slots: l.slots, InProgress: l.inProgress, TurnedAway: l.turnedAway}
	l.turnedAway = 0
	return s
}

// Decide decides on a request that the limits of accounts admit.
func (l *Levels) Decide(r Request, d Decision) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.asked) != r.Levels {
		l.asked, l.admitted = nil, nil
	}
	if r.Levels <= 1 {
		return d
	}
	if l.asked == nil {
		l.asked, l.admitted, l.credit = make([]float64, r.Levels), make([]float64, r.Levels), make([]float64, r.Levels)
		for i := range l.credit {
			l.credit[i] = rand.Float64()
		}
	}
	l.decay(time.Now())
	l.asked[r.Level]++
	d, l.credit[r.Level] = l.decide(r, d)
	if d.Admitted {
		l.admitted[r.Level]++
	} else {
		l.turnedAway++
	}
	return d
}

// Preview returns what Decide would decide on a request, which is not counted.
func (l *Levels) Preview(r Request, d Decision) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Levels <= 1 || len(l.asked) != r.Levels {
		return d
	}
	l.decay(time.Now())
	before := l.asked[r.Level]
	l.asked[r.Level]++
	d, _ = l.decide(r, d)
	l.asked[r.Level] = before
	return d
}

// decide decides on a request that is among those asked for, and returns the credit that
// its level has then. The caller must hold mu.
func (l *Levels) decide(r Request, d Decision) (Decision, float64) {
	d.Room, d.InProgress = l.room*l.share(r), l.inProgress
	credit := l.credit[r.Level]
	// Without slots, the choice of an endpoint refuses requests.
	d.Admitted = !l.known || l.slots == 0 || r.Resumes || d.InProgress < d.Room
	if d.Admitted {
		return d, credit
	}
	if credit += min(1, l.shortage(r.Level)); credit >= 1 {
		d.Admitted = true
		return d, credit - 1
	}
	d.LessUrgent, d.RetryAfter = true, turnAfter
	return d, credit
}

// decay lets the amounts decay. The caller must hold mu.
func (l *Levels) decay(now time.Time) {
	passed := now.Sub(l.decayedAt)
	if passed < decayInterval {
		return
	}
	l.decayedAt = now
	factor := math.Exp(-passed.Seconds() / rateWindow.Seconds())
	for i := range l.asked {
		l.asked[i] *= factor
		l.admitted[i] *= factor
	}
}

// share returns the share of the room up to which a request is admitted. The caller must
// hold mu.
func (l *Levels) share(r Request) float64 {
	above, all := 0.0, sumOf(l.asked)
	for _, amount := range l.asked[:r.Level] {
		above += amount
	}
	below := all - above - l.asked[r.Level]
	if r.Level == 0 {
		below = all
	}
	share := 1 + urgentExcess*min(1, below/all/fullBelow) - reserve*min(1, above/all/fullAbove)
	if r.Returned {
		share += returnedExcess
	}
	return share
}

// shortage returns how many requests of a level are missing to its least part if one that
// is asked for now is refused. The caller must hold mu.
func (l *Levels) shortage(level int) float64 {
	// Where few are asked for, one that is admitted stands for those of other entries.
	ofAll := min(1, (1+sumOf(l.admitted))/sumOf(l.asked))
	return max(0, leastAdmitted*ofAll*l.asked[level]-l.admitted[level])
}

func sumOf(amounts []float64) float64 {
	sum := 0.0
	for _, a := range amounts {
		sum += a
	}
	return sum
}
