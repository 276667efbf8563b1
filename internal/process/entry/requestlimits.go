package entry

import (
	"time"

	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/request/balancer"
)

// observeLimit applies the limit that a response of an endpoint named; 0 for none.
func (f *directFleet) observeLimit(e *directEndpoint, perSecond float64) {
	limited := e.member.RequestLimit.Limits()
	if perSecond == 0 && !limited {
		return
	}
	named := balancer.NamedLimit{Endpoint: e.member.Name, PerSecond: perSecond, NamedAt: time.Now()}
	if f.applyLimit(e, named, false) && limited != (perSecond > 0) {
		f.onLimitChange()
	}
}

// applyLimit applies and logs a limit, unless a newer one is known. It reports whether it
// differs from the one before.
func (f *directFleet) applyLimit(e *directEndpoint, named balancer.NamedLimit, byPeer bool) bool {
	share := f.limitShare(named)
	changed := e.member.RequestLimit.Apply(named, share)
	if changed {
		f.log.Info(events.EndpointLimitChanged, events.Fields{
			"endpoint": named.Endpoint, "perSecond": named.PerSecond, "share": share, "byPeer": byPeer,
		})
	}
	return changed
}

// limitShare returns this entry's share of a limit.
func (f *directFleet) limitShare(named balancer.NamedLimit) float64 {
	return balancer.SplitRequestLimit(named.PerSecond, f.settings.Instance, f.liveEntries(), named.Endpoint)
}

// splitLimits divides the limits of endpoints among the entries that are live now.
func (f *directFleet) splitLimits() {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, e := range f.endpoints {
		if named, _ := e.member.RequestLimit.Named(); named.PerSecond > 0 {
			e.member.RequestLimit.SetShare(f.limitShare(named))
		}
	}
}

// Limits implements peer.Limits.
func (f *directFleet) Limits() []balancer.NamedLimit {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var all []balancer.NamedLimit
	for _, e := range f.endpoints {
		if named, worthTelling := e.member.RequestLimit.Named(); worthTelling {
			all = append(all, named)
		}
	}
	return balancer.LimitsToTell(all)
}

// ApplyLimits implements peer.Limits.
func (f *directFleet) ApplyLimits(limits []balancer.NamedLimit) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, l := range limits {
		if e := f.endpoints[l.Endpoint]; e != nil {
			f.applyLimit(e, l, true)
		}
	}
}

// limitedEndpoints returns the number of endpoints that name a limit.
func (f *directFleet) limitedEndpoints() int64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	limited := int64(0)
	for _, e := range f.endpoints {
		if e.member.RequestLimit.Limits() {
			limited++
		}
	}
	return limited
}
