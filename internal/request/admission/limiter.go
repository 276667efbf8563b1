package admission

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// planLifetime is how long a plan is applied. Plans come several times a second.
	planLifetime = 2 * time.Second
	// accountSlack is how far one limited account may exceed its own limit while
	// others leave room in theirs.
	accountSlack = 1.5
	// An account surges at an entry if its demand exceeds surgeFactor times its usual one
	// there by surgeMargin per second, which a few requests at the same time do not.
	surgeFactor = 4
	surgeMargin = 20
)

// Request describes a request to be admitted.
type Request struct {
	Account string
	// Cost is the work that the request needs, as a multiple of the usual request's.
	Cost float64
	// Returned is true if the request comes back after the Retry-After of a refusal.
	Returned bool
	// Resumes is true if the caller has a part of the response already. Such a request
	// is always admitted.
	Resumes bool
	// Level is the request's urgency among those to its group, 0 for the most urgent, and
	// Levels the number of these; 0 or 1 if they do not differ. Level is below Levels.
	Level, Levels int
}

// Decision is whether a request is admitted, with what decided it.
type Decision struct {
	Admitted bool
	// OverShare is true if the account asks for more than its fair share, or for far more
	// than its usual at this entry.
	OverShare bool
	// InFlight is the number of the account's requests in progress at this entry, and
	// Limit how many there may be.
	InFlight int
	Limit    float64
	// LessUrgent is true if a request was refused to keep room for more urgent ones. Room
	// is the number of requests in progress at all entries up to which it is admitted, and
	// InProgress that number; 0 if urgency did not decide.
	LessUrgent       bool
	Room, InProgress float64
	// PlanAge is the age of the plan; 0 without one.
	PlanAge time.Duration
	// RetryAfter is when the caller of a refused request should come back.
	RetryAfter time.Duration
}

// Limiter applies the plans of one group at one entry. It is safe for concurrent
// use.
type Limiter struct {
	meter *Meter

	mu         sync.Mutex
	plan       Plan
	receivedAt time.Time
	// shares holds this entry's share of each limit, and total their sum.
	shares map[string]*share
	total  float64
	usual  usualDemands
}

// share is one entry's share of an account's limit.
type share struct {
	inFlight float64
	// newCredit is the part of a new request that is saved up towards the next admission.
	newCredit float64
}

// NewLimiter returns a limiter that admits everything and uses the counts of a meter.
func NewLimiter(m *Meter) *Limiter { return &Limiter{meter: m, shares: map[string]*share{}} }

// Apply replaces the plan. own is the load of this entry that the plan takes into
// account; the entry gets a share of each limit in proportion to it. Fractions of a
// request are rounded at random, so that all entries together keep the limit.
func (l *Limiter) Apply(p Plan, own Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.plan, l.receivedAt = p, time.Now()
	for account := range l.shares {
		if _, limited := p.Limits[account]; !limited {
			delete(l.shares, account)
		}
	}
	l.total = rand.Float64()
	for account, limit := range p.Limits {
		s := l.shares[account]
		if s == nil {
			s = &share{newCredit: rand.Float64()}
			l.shares[account] = s
		}
		s.inFlight = limit.InFlight * own.Accounts[account].total() / limit.Demand
		l.total += s.inFlight
	}
}

// Plan returns the plan in force and its age. It is empty if there is none.
func (l *Limiter) Plan() (Plan, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	age := time.Since(l.receivedAt)
	if age > planLifetime {
		return Plan{}, 0
	}
	return l.plan, age
}

// Decide admits requests of limited accounts as long as their requests in progress
// keep the limits.
func (l *Limiter) Decide(r Request) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	d, credit := l.decide(r)
	if s := l.shares[r.Account]; s != nil {
		s.newCredit = credit
	}
	return d
}

// Preview returns what Decide would decide on a request, which is not counted.
func (l *Limiter) Preview(r Request) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	d, _ := l.decide(r)
	return d
}

// decide returns the decision and what is left of the account's credit for new requests.
// The caller must hold mu.
func (l *Limiter) decide(r Request) (Decision, float64) {
	s := l.shares[r.Account]
	age := time.Since(l.receivedAt)
	if s == nil {
		return Decision{Admitted: true, OverShare: l.surges(r.Account)}, 0
	}
	credit := s.newCredit
	if age > planLifetime || r.Resumes {
		return Decision{Admitted: true, OverShare: l.surges(r.Account)}, credit
	}
	d := Decision{OverShare: true, InFlight: l.meter.InFlight(r.Account), Limit: s.inFlight, PlanAge: age, RetryAfter: l.plan.RetryAfter}
	if !r.Returned {
		credit += l.plan.Limits[r.Account].NewFraction
		if credit < 1 {
			return d, credit
		}
		credit = min(1, credit-1)
	}
	d.Admitted = float64(d.InFlight+1) <= accountSlack*s.inFlight+1 && float64(l.limitedInFlight()+1) <= l.total
	return d, credit
}

// surges reports whether an account asks for far more at this entry than usual. Entries
// notice it sooner than plans do. The caller must hold mu.
func (l *Limiter) surges(account string) bool {
	return l.usual.known() && l.meter.Demand(account) > surgeFactor*l.usual.of(account, 0)+surgeMargin
}

// LearnUsual learns the usual demands of accounts at this entry from its load.
func (l *Limiter) LearnUsual(own Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.usual.update(own.Accounts, negligibleRate)
}

// limitedInFlight returns the number of requests in progress of all limited accounts.
// The caller must hold mu.
func (l *Limiter) limitedInFlight() int {
	n := 0
	for account := range l.shares {
		n += l.meter.InFlight(account)
	}
	return n
}
