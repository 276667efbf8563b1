// Package admission decides which new requests entries take on when the endpoints
// of a group cannot serve all of them in time.
//
// It answers two load patterns. Ranks in lock-step slow down together as more
// requests run, so a load that is a little too high makes every request late, and
// keeps doing so after its end. And one client account may send many times its
// usual, by one entry or by all, which fills the endpoints for all others.
//
// Each entry measures its Load. A Planner adds up the loads of all entries, lowers
// the capacity of a group while its requests are late and its endpoints are busy,
// and divides the capacity between client accounts, max-min fair. The resulting Plan
// goes back to the entries, whose Limiters apply it to each request.
//
// If the requests to a group differ in urgency, Levels at each entry decide as well.
package admission

import (
	"hash/fnv"
	"math"
	"sync"
	"time"
)

// rateWindow is the time constant of the measured rates: an amount counts for 1/e
// of its rate after that time.
const rateWindow = 500 * time.Millisecond

// negligibleRate is the rate below which an account counts as idle.
const negligibleRate = 0.01

// decayingRate is an exponentially decaying rate per second.
type decayingRate struct {
	value     float64
	updatedAt time.Time
}

// at returns the rate at a time.
func (r *decayingRate) at(now time.Time) float64 {
	return r.value * math.Exp(-now.Sub(r.updatedAt).Seconds()/rateWindow.Seconds())
}

// add counts an amount at a time.
func (r *decayingRate) add(now time.Time, amount float64) {
	r.value, r.updatedAt = r.at(now)+amount/rateWindow.Seconds(), now
}

// Demand is what a client account asks for, in cost per second.
type Demand struct {
	// New is for requests that come for the first time, Returned for those that come
	// back after the Retry-After of a refusal.
	New, Returned float64
	// InFlight is the number of the account's requests in progress.
	InFlight float64
}

// total returns the whole demand.
func (d Demand) total() float64 { return d.New + d.Returned }

// EndpointKey is a hash of an endpoint's name.
type EndpointKey uint32

// KeyOf returns the key of the endpoint with the name.
func KeyOf(endpoint string) EndpointKey {
	h := fnv.New32a()
	_, _ = h.Write([]byte(endpoint))
	return EndpointKey(h.Sum32())
}

// Load is what one entry measured of a group's requests. Rates are per second.
type Load struct {
	// Accounts has the demand of each account, whether admitted or not.
	Accounts map[string]Demand
	// Ended is the cost of requests that ended, TimeSpent the time that they were in
	// progress, in seconds.
	Ended, TimeSpent float64
	// Late and OnTime are the rates of requests that missed their objectives and that
	// kept them. Requests of limited accounts and those that resumed at another endpoint
	// count as neither.
	Late, OnTime float64
	// InFlight is the number of requests in progress.
	InFlight float64
	// AtEndpoints has the requests in progress at each endpoint.
	AtEndpoints map[EndpointKey]int
	// Slots is the number of requests that the group's usable endpoints run at the same
	// time. All entries see the same endpoints.
	Slots float64
}

// Meter measures the load of one group at one entry. It is safe for concurrent use.
type Meter struct {
	mu        sync.Mutex
	accounts  map[string]*accountMeter
	ended     decayingRate
	timeSpent decayingRate
	late      decayingRate
	onTime    decayingRate
	inFlight  int
}

// accountMeter measures the requests of one account.
type accountMeter struct {
	fresh, returned decayingRate
	inFlight        int
}

// NewMeter returns a meter that has measured nothing.
func NewMeter() *Meter { return &Meter{accounts: map[string]*accountMeter{}} }

// account returns the meter of an account. The caller must hold mu.
func (m *Meter) account(name string) *accountMeter {
	a := m.accounts[name]
	if a == nil {
		a = &accountMeter{}
		m.accounts[name] = a
	}
	return a
}

// CountArrival counts a request that arrived, whether it will be admitted or not.
func (m *Meter) CountArrival(r Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.account(r.Account)
	if r.Returned {
		a.returned.add(time.Now(), r.Cost)
	} else {
		a.fresh.add(time.Now(), r.Cost)
	}
}

// Begin counts a request in progress.
func (m *Meter) Begin(r Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight++
	m.account(r.Account).inFlight++
}

// End counts the end of a request that began some time ago. Call it once for each
// Begin.
func (m *Meter) End(r Request, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight--
	m.account(r.Account).inFlight--
	m.ended.add(time.Now(), r.Cost)
	m.timeSpent.add(time.Now(), took.Seconds())
}

// Demand returns what an account asks for, in cost per second.
func (m *Meter) Demand(account string) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.accounts[account]
	if a == nil {
		return 0
	}
	now := time.Now()
	return a.fresh.at(now) + a.returned.at(now)
}

// InFlight returns the number of the account's requests in progress.
func (m *Meter) InFlight(account string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a := m.accounts[account]; a != nil {
		return a.inFlight
	}
	return 0
}

// RecordTimeliness counts a request that missed or kept its objectives.
func (m *Meter) RecordTimeliness(late bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if late {
		m.late.add(time.Now(), 1)
	} else {
		m.onTime.add(time.Now(), 1)
	}
}

// Load returns the present load, and forgets accounts that are idle.
func (m *Meter) Load(slots float64) Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	l := Load{
		Accounts:  make(map[string]Demand, len(m.accounts)),
		Ended:     m.ended.at(now),
		TimeSpent: m.timeSpent.at(now),
		Late:      m.late.at(now),
		OnTime:    m.onTime.at(now),
		InFlight:  float64(m.inFlight),
		Slots:     slots,
	}
	for name, a := range m.accounts {
		d := Demand{New: a.fresh.at(now), Returned: a.returned.at(now), InFlight: float64(a.inFlight)}
		if d.total() < negligibleRate && a.inFlight == 0 {
			delete(m.accounts, name)
			continue
		}
		l.Accounts[name] = d
	}
	return l
}

// demand returns what all accounts ask for, in cost per second.
func (l Load) demand() float64 {
	demand := 0.0
	for _, d := range l.Accounts {
		demand += d.total()
	}
	return demand
}

// sum adds up the loads of several entries.
func sum(loads []Load) Load {
	total := Load{Accounts: map[string]Demand{}, AtEndpoints: map[EndpointKey]int{}}
	for _, l := range loads {
		for endpoint, n := range l.AtEndpoints {
			total.AtEndpoints[endpoint] += n
		}
		for name, d := range l.Accounts {
			t := total.Accounts[name]
			total.Accounts[name] = Demand{New: t.New + d.New, Returned: t.Returned + d.Returned, InFlight: t.InFlight + d.InFlight}
		}
		total.Ended += l.Ended
		total.TimeSpent += l.TimeSpent
		total.Late += l.Late
		total.OnTime += l.OnTime
		total.InFlight += l.InFlight
		total.Slots = max(total.Slots, l.Slots)
	}
	return total
}
