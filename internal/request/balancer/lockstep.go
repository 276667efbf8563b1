package balancer

import (
	"math"
	"sync"
	"time"
)

const (
	// passWindow is the time constant of the measured time of a pass.
	passWindow = 300 * time.Millisecond
	// settleTime is the time in which most requests in progress are replaced by new ones.
	settleTime = time.Second
	// fixedShare is the part of a pass that is assumed to take as long without requests.
	fixedShare = 0.4
	// restoreTime is the time constant with which a group gets its usual share again if
	// its passes take no longer than others, and forgetTime that of one that shows none.
	restoreTime = 8 * time.Second
	forgetTime  = 2 * time.Second
	// minGroupShare and maxGroupShare bound the share of a group as a multiple of its
	// usual one. The smallest leaves requests that show when the group has recovered.
	minGroupShare = 1.0 / 16
	maxGroupShare = 2
	// maxGroupGrowth bounds by how much more requests a group may have than it has now, and
	// maxEmptiedGrowth that of one that had lost most of them.
	maxGroupGrowth   = 1.5
	maxEmptiedGrowth = 3
	// keptPart is the part of the longest pause up to which passes should take at groups
	// that keep it, and hopelessRatio the ratio to that and to those of the others
	// from which a group's passes take too long to leave it the requests that it has.
	keptPart      = 0.9
	hopelessRatio = 4
	// relievedShare is the share below which a group counts as relieved, and restoredShare
	// that from which it does no longer.
	relievedShare = 0.5
	restoredShare = 0.75
	// emptiedShare is the share below which a group gets its share back as soon as its passes
	// are short.
	emptiedShare = 0.25
)

// Lockstep is a group of ranks in lock-step as an entry sees it. It answers the load of several
// groups of which one is slow, stalled or has less room, while the others could serve its
// requests in time. Each pass of the group takes as long as its slowest rank, and gives every
// stream its next event. So the times between events of a few of the entry's own streams tell at
// once how long the passes of the whole group take. It is safe for concurrent use. The zero value
// has shown no pass.
type Lockstep struct {
	mu sync.Mutex
	// pass is the time of a pass; 0 before the first.
	pass time.Duration
	// eventAt is when a stream last had an event.
	eventAt time.Time
	// streams is the number of streams that have had an event and go on.
	streams int
	// share is the part of the requests that the group gets, and settled that which it has
	// of those in progress, both as multiples of its part of the slots. 0 stands for 1.
	share, settled float64
	updatedAt      time.Time
	relieved       bool
	// emptied is true from when the group had lost most of its share until it has most of it
	// again.
	emptied bool
	// longestPause is the longest pause that callers want between events; 0 for none.
	longestPause time.Duration
}

// SetLongestPause sets the longest pause that callers want between events; 0 for none.
func (l *Lockstep) SetLongestPause(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.longestPause = d
}

// BeginStream counts a stream that had its first event. Call EndStream once for each.
func (l *Lockstep) BeginStream() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.streams == 0 {
		if now.Sub(l.eventAt) > settleTime {
			l.pass = 0
		}
		l.eventAt = now
	}
	l.streams++
}

// EndStream counts a stream less. If streams waited for long, those that are given up do not
// make the group look well.
func (l *Lockstep) EndStream() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if silence := now.Sub(l.eventAt); l.streams > 0 && silence > max(l.pass, passWindow) {
		l.pass, l.eventAt = silence, now
	}
	l.streams = max(0, l.streams-1)
}

// RecordEvent counts a further event of a stream and the time since the one before; 0 if
// that is not known.
func (l *Lockstep) RecordEvent(gap time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if gap == 0 {
		l.eventAt = now
		return
	}
	if l.pass == 0 {
		l.pass = gap
	}
	// Streams of one pass have their events together and count once.
	weight := 1 - math.Exp(-now.Sub(l.eventAt).Seconds()/passWindow.Seconds())
	l.pass += time.Duration(weight * float64(gap-l.pass))
	l.eventAt = now
}

// PassTime returns how long passes take, or the time since the last one began if that is
// longer; 0 if none was seen lately.
func (l *Lockstep) PassTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.passTime(time.Now())
}

func (l *Lockstep) passTime(now time.Time) time.Duration {
	silence := now.Sub(l.eventAt)
	switch {
	case l.pass == 0 && silence < passWindow:
		return 0
	case l.streams > 0:
		return max(l.pass, silence)
	case silence > settleTime:
		return 0
	}
	return l.pass
}

// Share returns the part of requests that the group gets as a multiple of its part of the
// slots.
func (l *Lockstep) Share() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return orOne(l.share)
}

func orOne(share float64) float64 {
	if share == 0 {
		return 1
	}
	return share
}

// ReliefChanged reports whether the group gets much less than its usual share, and whether
// that is new.
func (l *Lockstep) ReliefChanged() (relieved, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.updatedAt) > forgetTime {
		// The group is the only usable one, or is not usable.
		l.share, l.settled = 1, 1
	}
	before := l.relieved
	switch share := orOne(l.share); {
	case share < relievedShare:
		l.relieved = true
	case share >= restoredShare:
		l.relieved = false
	}
	return l.relieved, l.relieved != before
}

// settle lets the share in progress follow the share that was sent.
func (l *Lockstep) settle(now time.Time) {
	l.share, l.settled = orOne(l.share), orOne(l.settled)
	elapsed := now.Sub(l.updatedAt).Seconds()
	if l.updatedAt.IsZero() {
		elapsed = 0
	}
	l.updatedAt = now
	l.settled += (l.share - l.settled) * (1 - math.Exp(-elapsed/settleTime.Seconds()))
	restore := restoreTime
	if l.passTime(now) == 0 {
		restore = forgetTime
	}
	l.settled += (1 - l.settled) * (1 - math.Exp(-elapsed/restore.Seconds()))
}

// aim sets the share with which the group's passes should take as long as they should if
// those of all groups take mean, those of the others others, and those of the slowest one
// slowest.
func (l *Lockstep) aim(now time.Time, mean, others, slowest float64) float64 {
	growth := 1.0
	if pass := l.passTime(now).Seconds(); pass > 0 && others > 0 {
		growth = (l.wanted(pass, mean, others, slowest)/pass - fixedShare) / (1 - fixedShare)
		if l.emptied {
			growth = min(growth, maxEmptiedGrowth)
		} else {
			growth = min(growth, maxGroupGrowth)
		}
	}
	l.share = max(minGroupShare, l.settled*growth)
	return l.share
}

// wanted returns how long the group's passes should take. Those that keep the longest pause
// may differ: if they were made equal, the next change would make the streams of all groups
// late at once. Groups that do not keep it have fewer requests if the others have room for the
// rest; if not, the slowest one has the rest, since streams are late there anyway. One that has
// lost most of its requests gets more again as soon as its passes are shorter than those of the
// others.
func (l *Lockstep) wanted(pass, mean, others, slowest float64) float64 {
	longest := l.longestPause.Seconds()
	hopeless := pass > hopelessRatio*max(others, longest)
	switch {
	case l.settled < emptiedShare:
		l.emptied = true
	case l.settled >= restoredShare:
		l.emptied = false
	}
	switch {
	case hopeless, pass < others && l.emptied:
		return others
	case longest == 0:
		return mean
	case pass > keptPart*longest && (pass < slowest || mean < keptPart*longest):
		return keptPart * longest
	}
	return pass
}

// rebalance sets the shares of groups so that their passes take equally long. slots are
// those of the groups.
func rebalance(groups []*Lockstep, slots []float64, now time.Time) {
	requests, passed, all, aimed, slowest := 0.0, 0.0, 0.0, 0.0, 0.0
	for i, l := range groups {
		l.mu.Lock()
		l.settle(now)
		if pass := l.passTime(now).Seconds(); pass > 0 {
			requests += l.settled * slots[i]
			passed += pass * l.settled * slots[i]
			slowest = max(slowest, pass)
		}
		l.mu.Unlock()
	}
	for i, l := range groups {
		l.mu.Lock()
		ownRequests, ownPassed := 0.0, 0.0
		if pass := l.passTime(now).Seconds(); pass > 0 {
			ownRequests = l.settled * slots[i]
			ownPassed = pass * ownRequests
		}
		others := (passed - ownPassed) / max(requests-ownRequests, minGroupShare)
		aimed += slots[i] * l.aim(now, passed/max(requests, minGroupShare), others, slowest)
		all += slots[i]
		l.mu.Unlock()
	}
	for _, l := range groups {
		l.mu.Lock()
		l.share = min(maxGroupShare, max(minGroupShare, l.share*all/aimed))
		l.mu.Unlock()
	}
}
