package gate

import "time"

// reportLag bounds the age of an endpoint's load report.
const reportLag = 3 * time.Second

// foreignWork estimates the requests at the endpoint that an earlier sidecar
// admitted. There is no more of it than at the first report, so it only
// shrinks. Reports lag: what they count of this gate's own work is at least
// the lowest own count within the lag.
type foreignWork struct {
	count int
	// low and before are the lowest own counts in the present and the previous
	// period of reportLag; since is the start of the present one.
	low, before int
	since       time.Time
}

// observe notes the number of own requests after a change.
func (f *foreignWork) observe(own int) {
	if now := time.Now(); now.Sub(f.since) > reportLag {
		f.before, f.low, f.since = f.low, own, now
	}
	f.low = min(f.low, own)
}

// first applies the first report, before any own work.
func (f *foreignWork) first(running int) { f.count = running }

// report applies a later report.
func (f *foreignWork) report(running, own int) {
	f.observe(own)
	f.count = min(f.count, max(0, running-min(f.low, f.before)))
}
