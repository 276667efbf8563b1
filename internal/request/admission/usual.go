package admission

import (
	"maps"
	"math"
	"time"
)

const (
	// learningTime is the time after which the usual demands are known.
	learningTime = 4 * time.Second
	// usualDoubling is the time in which a usual demand can double. It falls as slowly.
	usualDoubling = 30 * time.Second
)

// usualDemands learns what accounts usually ask for, in cost per second. The usual
// demand rises slowly, so that a flood does not become usual while it lasts.
type usualDemands struct {
	perSecond            map[string]float64
	startedAt, updatedAt time.Time
}

// known reports whether demands were observed for learningTime.
func (u *usualDemands) known() bool {
	return !u.startedAt.IsZero() && u.updatedAt.Sub(u.startedAt) >= learningTime
}

// update moves the usual demands towards the present ones. least is the usual demand of
// an account that asks for nothing; accounts that fall to it are forgotten.
func (u *usualDemands) update(accounts map[string]Demand, least float64) {
	now := time.Now()
	if u.perSecond == nil {
		u.perSecond, u.startedAt, u.updatedAt = map[string]float64{}, now, now
	}
	doublings := now.Sub(u.updatedAt).Seconds() / usualDoubling.Seconds()
	u.updatedAt = now
	for name, d := range accounts {
		if !u.known() {
			u.perSecond[name] = max(u.perSecond[name], d.total())
			continue
		}
		usual := max(u.perSecond[name], least)
		u.perSecond[name] = min(usual*math.Exp2(doublings), max(usual*math.Exp2(-doublings), d.total()))
	}
	maps.DeleteFunc(u.perSecond, func(name string, usual float64) bool {
		_, active := accounts[name]
		return !active && usual <= least
	})
	for name := range u.perSecond {
		if _, active := accounts[name]; !active {
			u.perSecond[name] *= math.Exp2(-doublings)
		}
	}
}

// of returns the usual demand of an account, at least least.
func (u *usualDemands) of(account string, least float64) float64 {
	return max(u.perSecond[account], least)
}

// above returns the usual demands above a value, or nil if they are not known.
func (u *usualDemands) above(value float64) map[string]float64 {
	if !u.known() {
		return nil
	}
	above := map[string]float64{}
	for account, usual := range u.perSecond {
		if usual > value {
			above[account] = usual
		}
	}
	return above
}

// adopt takes over usual demands that another process knows.
func (u *usualDemands) adopt(perSecond map[string]float64) {
	now := time.Now()
	u.perSecond, u.updatedAt, u.startedAt = maps.Clone(perSecond), now, now.Add(-learningTime)
}
