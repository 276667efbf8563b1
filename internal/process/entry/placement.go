package entry

import (
	"context"
	"math"
	"time"

	"github.com/cicadareel/cicadareel/internal/events"
)

const (
	// placementInterval is the time between two updates of this entry's place, and
	// refreshInterval that between two lists of usable endpoints.
	placementInterval = 250 * time.Millisecond
	refreshInterval   = 50 * time.Millisecond
)

// placementLoop keeps this entry's place among the live entries, and logs which groups get
// fewer requests since their passes take long.
func (f *directFleet) placementLoop(ctx context.Context) {
	refresh, ticker := time.NewTicker(refreshInterval), time.NewTicker(placementInterval)
	defer refresh.Stop()
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-refresh.C:
			f.refreshPickers()
			continue
		case <-ticker.C:
		}
		f.place.Set(f.settings.Instance, f.liveEntries())
		f.updatePauses()
		f.logRelief()
	}
}

// updatePauses tells the lock-step groups the longest pauses that callers want.
func (f *directFleet) updatePauses() {
	b := f.bundle.Load()
	if b == nil {
		return
	}
	f.mu.RLock()
	defer f.mu.RUnlock()
	pauses := map[string]time.Duration{}
	for i := range b.Routes {
		r := &b.Routes[i]
		pauses[r.Group] = minPositive(pauses[r.Group], r.MaxPause)
		for _, share := range r.Shares {
			pauses[share.Group] = minPositive(pauses[share.Group], r.MaxPause)
		}
	}
	for _, e := range f.endpoints {
		if g := e.group.Load(); g != nil {
			g.lockstep.SetLongestPause(pauses[e.info.Group])
		}
	}
}

// refreshPickers lets the pickers see which endpoints are usable now.
func (f *directFleet) refreshPickers() {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, p := range f.pickers {
		p.Refresh()
	}
}

// logRelief logs groups that are relieved, or not any more.
func (f *directFleet) logRelief() {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for name, g := range f.groups {
		relieved, changed := g.lockstep.ReliefChanged()
		if !changed {
			continue
		}
		event := events.GroupRestored
		if relieved {
			event = events.GroupRelieved
		}
		f.log.Info(event, events.Fields{"group": name, "passMs": g.lockstep.PassTime().Milliseconds(), "share": math.Round(percent*g.lockstep.Share()) / percent})
	}
}

// percent converts a share for gauges, which are whole numbers.
const percent = 100

// busiestPercent returns the requests at the busiest usable endpoint in percent of the mean
// of its endpoint group, as far as this entry knows them, for the group where that is
// highest.
func (f *directFleet) busiestPercent() int64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	highest := 0.0
	for _, p := range f.pickers {
		highest = max(highest, p.BusiestOverMean())
	}
	return int64(percent * highest)
}
