package gate

import "time"

const (
	// growthFactor multiplies the limit after a number of healthy responses equal to
	// the limit.
	growthFactor = 1.5
	// slowFactor is the multiple of the average first-byte time above which a
	// response is slow.
	slowFactor = 8
	// minSlowFirstByte is the first-byte time up to which a response is never slow,
	// so that jitter of fast services does not count.
	minSlowFirstByte = 250 * time.Millisecond
	// smoothingDivisor sets the weight of a new sample in a moving average, which
	// is 1/smoothingDivisor.
	smoothingDivisor = 8
	// maxSlowStreak is the number of consecutive slow responses at which the
	// endpoint counts as cold.
	maxSlowStreak = 2
)

// limiter moves the limit of concurrent requests between a cold and a warm limit.
type limiter struct {
	coldLimit, warmLimit int
	// warmAfter is the number of healthy responses at the cold limit before the
	// limit may grow.
	warmAfter int
	// warmupLeft counts down from warmAfter.
	warmupLeft int
	// limit is between coldLimit and warmLimit.
	limit int
	// healthySinceChange counts healthy responses since the last change of limit.
	healthySinceChange int
	// firstByte is the moving average of the first-byte time; 0 before the first
	// sample.
	firstByte time.Duration
	// slowStreak counts consecutive slow responses.
	slowStreak int
}

func newLimiter(cold, warm, warmAfter int) limiter {
	return limiter{coldLimit: cold, warmLimit: warm, warmAfter: warmAfter, warmupLeft: warmAfter, limit: cold}
}

func (l *limiter) current() int { return l.limit }

func (l *limiter) isWarm() bool { return l.limit == l.warmLimit }

// resetToCold returns to the cold limit and starts the warm-up again.
func (l *limiter) resetToCold() {
	l.limit = l.coldLimit
	l.warmupLeft = l.warmAfter
	l.healthySinceChange = 0
	l.slowStreak = 0
}

// configure sets new bounds. A changed warmAfter adjusts a warm-up in progress.
func (l *limiter) configure(cold, warm, warmAfter int) {
	if l.limit == l.coldLimit {
		l.warmupLeft = max(0, l.warmupLeft+warmAfter-l.warmAfter)
		l.limit = cold
	}
	l.coldLimit, l.warmLimit, l.warmAfter = cold, warm, warmAfter
	l.limit = min(max(l.limit, cold), warm)
}

// recordHealthy records a complete response. The limit grows after a number of them
// equal to the limit; consecutive slow first bytes reset it to the cold limit.
func (l *limiter) recordHealthy(firstByte time.Duration) {
	if l.isSlow(firstByte) {
		l.slowStreak++
		if l.slowStreak >= maxSlowStreak {
			l.resetToCold()
		}
		return
	}
	l.slowStreak = 0
	l.firstByte = smooth(l.firstByte, firstByte)
	if l.warmupLeft > 0 {
		l.warmupLeft--
		return
	}
	l.healthySinceChange++
	if l.healthySinceChange >= l.limit && l.limit < l.warmLimit {
		l.limit = min(max(l.limit+1, int(float64(l.limit)*growthFactor)), l.warmLimit)
		l.healthySinceChange = 0
	}
}

// isSlow reports whether the first-byte time is far above the average.
func (l *limiter) isSlow(firstByte time.Duration) bool {
	return l.firstByte > 0 && firstByte > minSlowFirstByte && firstByte > slowFactor*l.firstByte
}

// smooth returns the moving average after a sample. An average of 0 means that there
// was no sample before.
func smooth(average, sample time.Duration) time.Duration {
	if average == 0 {
		return sample
	}
	return average + (sample-average)/smoothingDivisor
}
