package gate

import "time"

// reportLag bounds the age of an endpoint's load report.
const reportLag = 3 * time.Second

// inheritedWork estimates the requests at the endpoint that an earlier sidecar
// process admitted. The first load report is an upper bound, and later reports only
// lower it. Reports lag, so a report contains at least the minimum number of this
// gate's own requests within the lag.
type inheritedWork struct {
	count int
	// currentMin and previousMin are the minima of this gate's own work in the
	// current and the previous period of reportLag; periodStart is the start of the
	// current one.
	currentMin, previousMin int
	periodStart             time.Time
}

// observe records the number of this gate's own requests after a change.
func (w *inheritedWork) observe(own int) {
	if now := time.Now(); now.Sub(w.periodStart) > reportLag {
		w.previousMin, w.currentMin, w.periodStart = w.currentMin, own, now
	}
	w.currentMin = min(w.currentMin, own)
}

// reset sets the count from a report that contains none of this gate's own work.
func (w *inheritedWork) reset(running int) { w.count = running }

// update lowers the count by a later report.
func (w *inheritedWork) update(running, own int) {
	w.observe(own)
	w.count = min(w.count, max(0, running-min(w.currentMin, w.previousMin)))
}
