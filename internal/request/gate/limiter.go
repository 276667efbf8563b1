package gate

import "time"

const (
	// growthFactor multiplies the limit after a full round of healthy work.
	growthFactor = 1.5
	// coldFactor is the ratio of first-byte time to its warm level above which
	// the endpoint counts as cold.
	coldFactor = 8
	// coldFloor is the first-byte time below which the endpoint never counts
	// as cold, so that noise on fast services does not.
	coldFloor = 250 * time.Millisecond
	// smoothing is the weight of a new sample in a moving average, as 1/smoothing.
	smoothing = 8
	// coldStrikes is the number of consecutive slow answers that mean cold.
	coldStrikes = 2
)

// limiter moves the bound on concurrent work between cold and warm.
type limiter struct {
	cold, warm int
	// warmAfter is the number of healthy answers at the cold limit before the
	// limit may grow.
	warmAfter int
	// warming counts down from warmAfter.
	warming int
	// limit is between cold and warm.
	limit int
	// round counts healthy completions since the last change of limit.
	round int
	// firstByte is the smoothed first-byte time; 0 before the first sample.
	firstByte time.Duration
	strikes   int
}

func newLimiter(cold, warm, warmAfter int) limiter {
	return limiter{cold: cold, warm: warm, warmAfter: warmAfter, warming: warmAfter, limit: cold}
}

func (l *limiter) current() int { return l.limit }

func (l *limiter) warmed() bool { return l.limit == l.warm }

func (l *limiter) fallCold() {
	l.limit = l.cold
	l.warming = l.warmAfter
	l.round = 0
	l.strikes = 0
}

func (l *limiter) configure(cold, warm, warmAfter int) {
	if l.limit == l.cold {
		l.warming = max(0, l.warming+warmAfter-l.warmAfter)
		l.limit = cold
	}
	l.cold, l.warm, l.warmAfter = cold, warm, warmAfter
	l.limit = min(max(l.limit, cold), warm)
}

// healthy notes a whole answer. A full round of them at the present limit
// raises it; repeated slow first bytes drop it to cold.
func (l *limiter) healthy(firstByte time.Duration) {
	if l.slow(firstByte) {
		l.strikes++
		if l.strikes >= coldStrikes {
			l.fallCold()
		}
		return
	}
	l.strikes = 0
	l.firstByte = smooth(l.firstByte, firstByte)
	if l.warming > 0 {
		l.warming--
		return
	}
	l.round++
	if l.round >= l.limit && l.limit < l.warm {
		l.limit = min(max(l.limit+1, int(float64(l.limit)*growthFactor)), l.warm)
		l.round = 0
	}
}

func (l *limiter) slow(firstByte time.Duration) bool {
	return l.firstByte > 0 && firstByte > coldFloor && firstByte > coldFactor*l.firstByte
}

func smooth(average, sample time.Duration) time.Duration {
	if average == 0 {
		return sample
	}
	return average + (sample-average)/smoothing
}
