package entry

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/store"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/table"
	"github.com/cicadareel/cicadareel/internal/version/expertswitch"
)

const (
	// scanInterval is the time between two scans for groups that formed again and
	// for changes of the lease.
	scanInterval = 50 * time.Millisecond
	// recoverRetryInterval is the time between two attempts to recover a group.
	recoverRetryInterval = 300 * time.Millisecond
	// sampleInterval is the time between two samples of the chosen experts. It spans
	// a few steps, so that a sample holds many choices.
	sampleInterval = 500 * time.Millisecond
	// minPause is the shortest pause between two rounds. A map change takes about as
	// long as a sample, and the counts of that time are enough to plan the next one.
	minPause = 50 * time.Millisecond
	// firstSampleMargin is added to the report lag for the wait after the first
	// sample, so that reports then show the state at the time of that sample.
	firstSampleMargin = 100 * time.Millisecond
)

// mapController plans and switches the expert maps of all groups while this
// process holds the lease.
type mapController struct {
	fleet *directFleet
	lease *store.Lease
	pacer *expertswitch.Pacer
	log   *events.Log
	loops sync.WaitGroup

	mu sync.Mutex
	// estimates holds the popularity of the experts by endpoint group.
	estimates map[string]*popularityEstimate
	// lastEpochs holds the epoch of each group when its controller last started.
	lastEpochs map[string]epochUnderLease
}

// epochUnderLease is an epoch of a group and the acquisition of the lease in which
// the group was controlled.
type epochUnderLease struct {
	epoch       uint64
	acquisition table.Revision
}

func newMapController(ctx context.Context, f *directFleet, lease *store.Lease, p *expertswitch.Pacer, l *events.Log) *mapController {
	m := &mapController{fleet: f, lease: lease, pacer: p, log: l, estimates: map[string]*popularityEstimate{}, lastEpochs: map[string]epochUnderLease{}}
	m.loops.Go(func() { m.loop(ctx) })
	m.loops.Go(func() { m.holdWatchLoop(ctx) })
	return m
}

func (m *mapController) wait() { m.loops.Wait() }

// loop starts and stops the controllers of groups as groups come and go.
func (m *mapController) loop(ctx context.Context) {
	var controllers sync.WaitGroup
	defer controllers.Wait()
	running := map[string]context.CancelFunc{}
	ticker := time.NewTicker(scanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			for _, stop := range running {
				stop()
			}
			return
		case <-ticker.C:
		}
		acquisition, held := m.lease.Held()
		wanted := map[string]bool{}
		for _, g := range m.fleet.groupSnapshots() {
			key := controllerKey(g, acquisition)
			if !held || !g.complete() {
				continue
			}
			wanted[key] = true
			if running[key] == nil {
				groupCtx, stop := context.WithCancel(ctx)
				running[key] = stop
				controllers.Go(func() { m.controlGroup(groupCtx, g) })
			}
		}
		for key, stop := range running {
			if !wanted[key] {
				stop()
				delete(running, key)
			}
		}
	}
}

// controllerKey returns a key that changes whenever the controller of a group must
// be restarted.
func controllerKey(g groupSnapshot, acquisition table.Revision) string {
	names := make([]string, len(g.ranks))
	for i, r := range g.ranks {
		names[i] = r.Name()
	}
	return fmt.Sprintf("%s %d %v %s", g.name, g.epoch, acquisition, strings.Join(names, " "))
}

// controlGroup samples, plans and switches one group in one epoch until ctx ends.
func (m *mapController) controlGroup(ctx context.Context, g groupSnapshot) {
	c := &groupController{parent: m, group: g, estimate: m.estimateFor(g)}
	c.popularity = c.estimate.recent()
	c.switcher = expertswitch.NewSwitcher(g.name, g.ranks, g.epoch, g.shape.ReportLag, m.pacer, m.lease.NextFencingToken)
	// A group that formed while this process held the lease has the initial map,
	// and no other process has sent it commands.
	recovered := m.formedUnderLease(g)
	justFormed := recovered
	for ctx.Err() == nil {
		var err error
		started := time.Now()
		switch {
		case justFormed:
			c.useInitialLayout()
			err = c.sample(ctx)
		case recovered:
			err = c.sampleAndRebalance(ctx)
		default:
			err = c.recoverLayout(ctx)
		}
		firstSample := justFormed || c.popularity == nil || !c.recoveredAt.IsZero()
		justFormed = false
		var fenced *expertswitch.FencedError
		if errors.As(err, &fenced) {
			m.lease.MarkLost("a rank has seen a higher fencing token")
			return
		}
		if err != nil && ctx.Err() == nil {
			m.log.Warn(events.MapSwitchFailed, events.Fields{"group": g.name, "epoch": g.epoch, "error": err.Error()})
		}
		recovered = err == nil
		wait := max(minPause, sampleInterval-time.Since(started))
		switch {
		case !recovered:
			wait = recoverRetryInterval
		case firstSample:
			wait = g.shape.ReportLag + firstSampleMargin
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// formedUnderLease reports whether the group's epoch began while this process held
// the lease, and records the epoch.
func (m *mapController) formedUnderLease(g groupSnapshot) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	acquisition, _ := m.lease.Held()
	last, ok := m.lastEpochs[g.name]
	m.lastEpochs[g.name] = epochUnderLease{epoch: g.epoch, acquisition: acquisition}
	return ok && last.acquisition == acquisition && last.epoch < g.epoch
}

// estimateFor returns the popularity estimate of the endpoint group that a
// lock-step group belongs to.
func (m *mapController) estimateFor(g groupSnapshot) *popularityEstimate {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.estimates[g.endpointGroup]
	if e == nil || !e.matches(g.shape) {
		e = &popularityEstimate{layers: g.shape.Layers, perLayer: g.shape.PerLayer}
		m.estimates[g.endpointGroup] = e
	}
	return e
}
