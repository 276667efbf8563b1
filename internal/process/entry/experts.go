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
	"github.com/cicadareel/cicadareel/internal/version/expertswitch"
)

const (
	// groupInterval is the time between two looks for groups that formed anew or
	// for a lease that was taken.
	groupInterval = 50 * time.Millisecond
	// recoverPause is the time between two tries to recover a group.
	recoverPause = 300 * time.Millisecond
	// countInterval is the time between two samples of the experts chosen. It is
	// a few steps long, so that a sample holds many choices.
	countInterval = 500 * time.Millisecond
	// leastPause is the shortest time between two turns. A change of a map takes
	// about as long as a sample, and the next one can be planned from that time.
	leastPause = 50 * time.Millisecond
	// firstMargin is added to the age of reports for the time from the first
	// sample to the second: reports show by then what was in effect at the first.
	firstMargin = 100 * time.Millisecond
)

// experts plans and switches the expert maps of all groups while this process
// holds the lease.
type experts struct {
	directory *directory
	lease     *store.Lease
	log       *events.Log
	done      sync.WaitGroup

	mu sync.Mutex
	// demands are what callers ask for, by endpoint group.
	demands map[string]*demand
	// epochs are the groups' epochs when their care last began.
	epochs map[string]tenure
}

// tenure is an epoch of a group in one holder's time.
type tenure struct{ epoch, fence uint64 }

func newExperts(ctx context.Context, d *directory, k *store.Lease, l *events.Log) *experts {
	x := &experts{directory: d, lease: k, log: l, demands: map[string]*demand{}, epochs: map[string]tenure{}}
	x.done.Go(func() { x.loop(ctx) })
	x.done.Go(func() { x.watchLoop(ctx) })
	return x
}

func (x *experts) wait() { x.done.Wait() }

// loop starts and ends the care of groups as they come and go.
func (x *experts) loop(ctx context.Context) {
	var cares sync.WaitGroup
	defer cares.Wait()
	running := map[string]context.CancelFunc{}
	ticker := time.NewTicker(groupInterval)
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
		fence, held := x.lease.Held()
		wanted := map[string]bool{}
		for _, g := range x.directory.rankGroups() {
			key := careKey(g, fence)
			if !held || !g.complete() {
				continue
			}
			wanted[key] = true
			if running[key] == nil {
				bounded, stop := context.WithCancel(ctx)
				running[key] = stop
				cares.Go(func() { x.care(bounded, g) })
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

// careKey changes whenever the care of a group must begin anew.
func careKey(g rankSet, fence uint64) string {
	names := make([]string, len(g.ranks))
	for i, r := range g.ranks {
		names[i] = r.Name()
	}
	return fmt.Sprintf("%s %d %d %s", g.name, g.epoch, fence, strings.Join(names, " "))
}

// care samples, plans and switches one group in one epoch until ctx ends.
func (x *experts) care(ctx context.Context, g rankSet) {
	c := &care{experts: x, group: g, demand: x.demandOf(g)}
	c.popularity = c.demand.recent()
	c.switcher = expertswitch.NewSwitcher(g.name, g.ranks, g.epoch, g.shape.ReportAge, x.lease.NextFencingToken)
	// A group that formed while this process held the lease has the initial map
	// and no orders of others.
	recovered := x.formed(g)
	fresh := recovered
	for ctx.Err() == nil {
		var err error
		begun := time.Now()
		switch {
		case fresh:
			c.begin()
			err = c.sample(ctx)
		case recovered:
			err = c.turn(ctx)
		default:
			err = c.recover(ctx)
		}
		first := fresh || c.popularity == nil || !c.recovered.IsZero()
		fresh = false
		var fenced *expertswitch.FencedError
		if errors.As(err, &fenced) {
			x.lease.MarkLost("a rank has seen a higher fencing token")
			return
		}
		if err != nil && ctx.Err() == nil {
			x.log.Warn(events.MapSwitchFailed, events.Fields{"group": g.name, "epoch": g.epoch, "error": err.Error()})
		}
		recovered = err == nil
		wait := max(leastPause, countInterval-time.Since(begun))
		switch {
		case !recovered:
			wait = recoverPause
		case first:
			wait = g.shape.ReportAge + firstMargin
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// formed reports whether the group's epoch began while this process held the
// lease, and takes note of the epoch.
func (x *experts) formed(g rankSet) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	fence, _ := x.lease.Held()
	last, ok := x.epochs[g.name]
	x.epochs[g.name] = tenure{epoch: g.epoch, fence: fence}
	return ok && last.fence == fence && last.epoch < g.epoch
}

// demandOf returns what callers ask of the endpoint group that a lock-step group
// belongs to.
func (x *experts) demandOf(g rankSet) *demand {
	x.mu.Lock()
	defer x.mu.Unlock()
	d := x.demands[g.service]
	if d == nil || !d.fits(g.shape) {
		d = &demand{layers: g.shape.Layers, perLayer: g.shape.PerLayer}
		x.demands[g.service] = d
	}
	return d
}
