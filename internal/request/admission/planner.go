package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// lateShare is the share of late requests of accounts without a limit above which the
	// target falls, and calmShare that below which it rises.
	lateShare = 0.1
	calmShare = 0.05
	// minObservations is the rate of observed requests, per second, below which a
	// share of late ones says nothing.
	minObservations = 2
	// minTarget and usualTarget bound the requests in progress that are aimed at, as
	// shares of the slots.
	minTarget   = 0.6
	usualTarget = 0.9
	// excessDemand is the multiple of what the endpoints can serve from which requests will
	// be late soon.
	excessDemand = 1.25
	// busyTarget is the target while most accounts are limited. Then the endpoints should
	// serve as many requests as they can.
	busyTarget = 1.1
	// mostAccounts is the share of the weights from which most accounts are limited.
	mostAccounts = 0.5
	// floodFactor is the multiple of its usual demand from which an account floods, and
	// othersFactor the one up to which all others together ask for their usual.
	floodFactor  = 2
	othersFactor = 1.3
	// minFloodShare is the least that an account that floods gets, as a share of its usual.
	minFloodShare = 0.8
	// minNewShare is the part of what an account gets that is for new requests. Without
	// it, those that come back could keep out all new ones, which then come back in turn.
	minNewShare = 0.5
	// fallPerSecond and risePerSecond are how fast the target moves.
	fallPerSecond = 0.8
	risePerSecond = 0.1
	// throughputWindow is the time constant of the measured throughput. Ranks in
	// lock-step end many requests at the same time.
	throughputWindow = 2 * time.Second
	// minServiceTime bounds the measured time that a request takes from below.
	minServiceTime = time.Millisecond
	// newAccountShare is the weight of an account without a usual demand, as a share of
	// the throughput.
	newAccountShare = 0.01
	// minReturn and maxReturn bound the Retry-After of refusals.
	minReturn = 2 * time.Second
	maxReturn = 2500 * time.Millisecond
)

// Planner makes the plans of one group. It is not safe for concurrent use.
type Planner struct {
	// target is the number of requests in progress that is aimed at, as a share of the
	// slots; 0 before the first update.
	target float64
	// throughput is the cost of requests that end per second, and timeSpent the time
	// that they were in progress, both smoothed.
	throughput, timeSpent float64
	// limitedWeight is the share of the weights of the accounts that the last plan
	// limited; 0 if it limited none.
	limitedWeight float64
	usual         usualDemands
	// leveled is true if the group's requests differ in urgency. Then the plans limit only
	// accounts that flood.
	leveled   bool
	updatedAt time.Time
}

// Update returns the plan for the present loads of all entries.
func (p *Planner) Update(loads []Load) Plan {
	now := time.Now()
	elapsed := now.Sub(p.updatedAt).Seconds()
	if p.updatedAt.IsZero() {
		elapsed = 0
	}
	if p.target == 0 {
		p.target = usualTarget
	}
	p.updatedAt = now
	total := sum(loads)
	moved := 1 - math.Exp(-elapsed/throughputWindow.Seconds())
	p.throughput += (total.Ended - p.throughput) * moved
	p.timeSpent += (total.TimeSpent - p.timeSpent) * moved
	p.updateTarget(total, elapsed)
	p.usual.update(total.Accounts, newAccountShare*p.throughput)
	plan := p.divide(total)
	plan.AtEndpoints = total.AtEndpoints
	plan.State = State{Target: p.target, Usual: p.usual.above(newAccountShare * p.throughput)}
	plan.Basis = Basis{Entries: len(loads), InFlight: total.InFlight, Target: p.target * total.Slots, Demand: total.demand(), ServiceTime: time.Duration(p.serviceTime() * float64(time.Second))}
	return plan
}

// adopt takes over what another planner has learned.
func (p *Planner) adopt(s State) {
	p.target = s.Target
	p.usual.adopt(s.Usual)
}

// knowsUsual reports whether the planner knows the usual demands, without which its plans
// have no limits.
func (p *Planner) knowsUsual() bool { return p.usual.known() }

// serviceTime returns how long a request of the usual cost is in progress, in seconds.
func (p *Planner) serviceTime() float64 {
	return max(minServiceTime.Seconds(), p.timeSpent/max(p.throughput, negligibleRate))
}

// updateTarget moves the target. While a few accounts are limited, it falls until the
// requests of the others are on time.
func (p *Planner) updateTarget(total Load, elapsed float64) {
	switch observed := total.Late + total.OnTime; {
	case p.limitedWeight == 0:
		p.moveTarget(usualTarget, elapsed)
	case p.limitedWeight >= mostAccounts:
		p.moveTarget(busyTarget, elapsed)
	case observed < minObservations:
	case total.Late > lateShare*observed:
		p.moveTarget(minTarget, elapsed)
	case total.Late < calmShare*observed:
		p.moveTarget(usualTarget, elapsed)
	}
}

// moveTarget moves the target towards a value.
func (p *Planner) moveTarget(towards, elapsed float64) {
	p.target += min(max(-fallPerSecond*elapsed, towards-p.target), risePerSecond*elapsed)
}

// weight returns the weight of an account's share: its usual demand, or that of a
// small account if it has none yet.
func (p *Planner) weight(account string) float64 {
	return p.usual.of(account, max(negligibleRate, newAccountShare*p.throughput))
}

// divide limits accounts if more is asked for than the group can serve in time. If a
// few accounts ask for far more than their usual, it limits these alone. Otherwise it
// limits all that get less than they ask for when the requests in progress are divided
// max-min fair by weight: no account gets more than it asks for, and those that get less
// all get the same multiple of their weights.
func (p *Planner) divide(total Load) Plan {
	demand := total.demand()
	capacity := p.target * total.Slots / p.serviceTime()
	p.limitedWeight = 0
	// Without usable endpoints, other parts refuse requests, and limits would outlast the
	// endpoints' return.
	if demand <= capacity || !p.usual.known() || total.Slots == 0 {
		return Plan{}
	}
	plan := Plan{Limits: p.limitFloods(total), RetryAfter: min(max(minReturn, time.Duration(demand/capacity*float64(minReturn))), maxReturn)}
	if plan.Limits == nil && !p.leveled {
		plan.Limits = p.limitAll(total)
	}
	weights := 0.0
	for name := range total.Accounts {
		weights += p.weight(name)
		if _, limited := plan.Limits[name]; limited {
			p.limitedWeight += p.weight(name)
		}
	}
	p.limitedWeight /= weights
	return plan
}

// limitFloods returns limits for the accounts that ask for far more than their usual, or
// nil if the others ask for more than usual, too. The limits leave the others the
// requests that they have in progress.
func (p *Planner) limitFloods(total Load) map[string]Limit {
	floods := map[string]Demand{}
	weights, othersDemand, othersWeights := 0.0, 0.0, 0.0
	left := p.target * total.Slots
	for name, d := range total.Accounts {
		weight := p.weight(name)
		if d.total() > floodFactor*weight+2*deviation(weight) {
			floods[name] = d
			weights += weight
			continue
		}
		left -= d.InFlight
		othersDemand += d.total()
		othersWeights += weight
	}
	if len(floods) == 0 || othersDemand > othersFactor*othersWeights {
		return nil
	}
	limits := map[string]Limit{}
	for name, d := range floods {
		usual := p.weight(name) * p.serviceTime()
		limits[name] = p.limitOf(d, max(minFloodShare*usual, left*p.weight(name)/weights))
	}
	return limits
}

// limitAll returns limits for the accounts that ask for more than their fair share of
// what the group can serve, if its endpoints are full.
func (p *Planner) limitAll(total Load) map[string]Limit {
	if !p.overloaded(total) {
		return nil
	}
	inFlight := max(p.target, usualTarget) * total.Slots
	level := p.fairLevel(total.Accounts, inFlight/p.serviceTime())
	limits := map[string]Limit{}
	for name, d := range total.Accounts {
		if share := level * p.weight(name); d.total() > share {
			limits[name] = p.limitOf(d, share*p.serviceTime())
		}
	}
	return limits
}

// overloaded reports whether the endpoints are full, and requests are late for that or will
// be. Full endpoints alone may still serve all on time.
func (p *Planner) overloaded(total Load) bool {
	full := total.InFlight >= max(p.target, usualTarget)*total.Slots
	late := total.Late > lateShare*(total.Late+total.OnTime)
	return full && (late || total.demand() > excessDemand*total.Slots/p.serviceTime())
}

// deviation returns the standard deviation of a measured rate of requests that come
// independently of each other.
func deviation(rate float64) float64 { return math.Sqrt(rate / (2 * rateWindow.Seconds())) }

// fairLevel returns the multiple of their weights for which the demands, each cut to
// it, add up to the capacity.
func (p *Planner) fairLevel(accounts map[string]Demand, capacity float64) float64 {
	type claim struct{ demand, weight float64 }
	claims := make([]claim, 0, len(accounts))
	weights := 0.0
	for name, d := range accounts {
		c := claim{d.total(), p.weight(name)}
		claims = append(claims, c)
		weights += c.weight
	}
	slices.SortFunc(claims, func(a, b claim) int { return cmp.Compare(a.demand/a.weight, b.demand/b.weight) })
	for _, c := range claims {
		level := capacity / weights
		if c.demand > level*c.weight {
			return level
		}
		capacity -= c.demand
		weights -= c.weight
	}
	return math.Inf(1)
}

// limitOf returns the limit of a demand of which a number of requests may be in progress.
func (p *Planner) limitOf(d Demand, inFlight float64) Limit {
	l := Limit{InFlight: inFlight, Demand: d.total()}
	if admitted := inFlight / p.serviceTime(); d.New > 0 {
		l.NewFraction = min(1, max(minNewShare*admitted, admitted-d.Returned)/d.New)
	}
	return l
}
