package entry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/store"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/version/expertplan"
	"github.com/cicadareel/cicadareel/internal/version/expertswitch"
	"github.com/cicadareel/cicadareel/internal/version/pace"
	"github.com/cicadareel/cicadareel/pkg/bundle"
	"github.com/cicadareel/cicadareel/platform"
)

const (
	// firstInterval is the time from the first sample to the second. Reports show
	// by then what was in effect at the first.
	firstInterval = reportAge + 100*time.Millisecond
	// lookEvery is the time between two looks at the pace of all ranks.
	lookEvery = time.Second
	// countInterval is the time between two samples of the experts chosen. It is
	// a few steps long, so that a sample holds many choices.
	countInterval = 500 * time.Millisecond
	// groupInterval is the time between two looks for groups that formed anew or
	// for a lease that was taken.
	groupInterval = 50 * time.Millisecond
	// countTimeout bounds one sample.
	countTimeout = 300 * time.Millisecond
	// sampleWeight is the weight of a new sample against the ones before: what
	// callers ask for can change within seconds.
	sampleWeight = 0.6
	// changeSkew is the skew, averaged over layers, from which on a change is
	// worth its copies and orders.
	changeSkew = 1.5
	// goalSkew is the skew at which a change stops looking for further moves.
	goalSkew = 1.3
	// newPerRank is the number of new experts a rank and layer in one change. One
	// keeps the copying short, and the next change follows soon.
	newPerRank = 1
	// reportAge is how old a rank's report may be.
	reportAge = 200 * time.Millisecond
	// recoverPause is the time between two tries to recover a group.
	recoverPause = 300 * time.Millisecond
)

// experts plans and switches the expert maps of all groups while this process
// holds the lease.
type experts struct {
	directory *directory
	lease     *store.Lease
	log       *events.Log
	done      sync.WaitGroup

	mu sync.Mutex
	// known is the last estimate of each group's popularity. It outlives epochs:
	// what callers ask for does not change because ranks form anew.
	known map[string]estimate
	// epochs are the groups' epochs when their care last began.
	epochs map[string]tenure
}

// tenure is an epoch of a group in one holder's time.
type tenure struct{ epoch, fence uint64 }

// estimate is a popularity by layer at a time.
type estimate struct {
	popularity [][]float64
	at         time.Time
}

// estimateLife is how long an estimate is worth planning from.
const estimateLife = 10 * time.Second

func newExperts(ctx context.Context, d *directory, k *store.Lease, l *events.Log) *experts {
	x := &experts{directory: d, lease: k, log: l, known: map[string]estimate{}, epochs: map[string]tenure{}}
	x.done.Go(func() { x.loop(ctx) })
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

// rankSet is a lock-step group with its ranks in order.
type rankSet struct {
	name  string
	epoch uint64
	ranks []expertswitch.Rank
	shape bundle.Experts
	size  int
	open  bool
}

func (g rankSet) complete() bool { return g.open && len(g.ranks) == g.size }

// careKey changes whenever the care of a group must begin anew.
func careKey(g rankSet, fence uint64) string {
	names := make([]byte, 0, 256)
	for _, r := range g.ranks {
		names = append(append(names, r.Name()...), ' ')
	}
	return g.name + " " + time.Duration(g.epoch).String() + " " + time.Duration(fence).String() + " " + string(names)
}

// care samples, plans and switches one group in one epoch until ctx ends.
func (x *experts) care(ctx context.Context, g rankSet) {
	c := &care{experts: x, group: g, popularity: x.recall(g)}
	c.switcher = expertswitch.NewSwitcher(g.name, g.ranks, g.epoch, reportAge, x.lease.NextToken)
	// A group that formed while this process held the lease has the initial map
	// and no orders of others.
	recovered := x.formed(g)
	fresh := recovered
	for ctx.Err() == nil {
		var err error
		switch {
		case fresh:
			c.begin()
			err = c.turn(ctx)
		case recovered:
			err = c.turn(ctx)
		default:
			err = c.recover(ctx)
		}
		fresh = false
		var fenced *expertswitch.FencedError
		if errors.As(err, &fenced) {
			x.lease.Lose("a rank has seen a higher fencing token")
			return
		}
		if err != nil && ctx.Err() == nil {
			x.log.Warn(events.MapSwitchFailed, events.Fields{"group": g.name, "epoch": g.epoch, "error": err.Error()})
		}
		recovered = err == nil
		wait := countInterval
		switch {
		case !recovered:
			wait = recoverPause
		case c.popularity == nil || !c.recovered.IsZero():
			wait = firstInterval
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

// recall returns a recent estimate of a group's popularity, or nil.
func (x *experts) recall(g rankSet) [][]float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	e, ok := x.known[g.name]
	if !ok || time.Since(e.at) > estimateLife || len(e.popularity) != g.shape.Layers {
		return nil
	}
	return e.popularity
}

func (x *experts) remember(g rankSet, popularity [][]float64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.known[g.name] = estimate{popularity: popularity, at: time.Now()}
}

// care is the state of one group's care.
type care struct {
	experts  *experts
	group    rankSet
	switcher *expertswitch.Switcher
	// layers is the layout in use.
	layers []expertplan.Holdings
	// sampled is the rank whose requests stand for all.
	sampled int
	// chosen are the counts of its last sample, popularity the estimate by layer.
	chosen     []float64
	popularity [][]float64
	// slowness is that of each rank at the last look, made at looked.
	slowness []float64
	looked   time.Time
	// recovered is the time of a recovery after which holds may still show.
	recovered time.Time
}

// recover learns the map in use.
func (c *care) recover(ctx context.Context) error {
	found, err := c.switcher.Recover(ctx, c.group.shape.Layers)
	if err != nil {
		return err
	}
	if found.Repaired {
		c.experts.log.Info(events.MapRepaired, events.Fields{"group": c.group.name, "epoch": c.group.epoch})
	}
	c.layers = make([]expertplan.Holdings, len(found.Layout))
	for i := range c.layers {
		c.layers[i] = found.Layout[i]
	}
	c.recovered = time.Now()
	return c.sample(ctx)
}

// unhold ends a hold that an earlier holder left, once reports would show it.
func (c *care) unhold(ctx context.Context) error {
	if c.recovered.IsZero() {
		return nil
	}
	c.recovered = time.Time{}
	repaired, err := c.switcher.Unhold(ctx)
	if repaired {
		c.experts.log.Info(events.MapRepaired, events.Fields{"group": c.group.name, "epoch": c.group.epoch})
	}
	return err
}

// look asks all ranks how slow they are.
func (c *care) look(ctx context.Context) {
	if time.Since(c.looked) < lookEvery {
		return
	}
	c.looked = time.Now()
	bounded, cancel := context.WithTimeout(ctx, countTimeout)
	defer cancel()
	slowness := make([]float64, len(c.group.ranks))
	var calls sync.WaitGroup
	for i, r := range c.group.ranks {
		calls.Go(func() {
			slowness[i] = 1
			report, err := r.Report(bounded)
			if err == nil && report.Pace > 0 {
				slowness[i] = report.Pace
				c.experts.directory.paces.Put(pace.Note{Endpoint: r.Name(), Pace: report.Pace, At: time.Now()})
			}
		})
	}
	calls.Wait()
	c.slowness = slowness
}

// begin takes the layout that a group has when it forms.
func (c *care) begin() {
	c.layers = make([]expertplan.Holdings, c.group.shape.Layers)
	for i := range c.layers {
		c.layers[i] = expertplan.InitialHoldings(c.group.size, c.group.shape.PerLayer)
	}
}

// turn samples once and changes the map if that is worth it.
func (c *care) turn(ctx context.Context) error {
	if err := c.unhold(ctx); err != nil {
		return err
	}
	c.look(ctx)
	if err := c.sample(ctx); err != nil || c.popularity == nil || !c.switcher.Settled() {
		return err
	}
	c.experts.remember(c.group, c.popularity)
	return c.improve(ctx)
}

// improve changes the map if that is worth it.
func (c *care) improve(ctx context.Context) error {
	before := c.skew(c.layers)
	if before < changeSkew {
		return nil
	}
	next := make([]expertplan.Holdings, len(c.layers))
	most := 0
	limits := expertplan.Limits{Places: c.group.shape.SlotsPerRank, New: min(newPerRank, c.group.shape.NewPerRank), Goal: goalSkew, Slowness: c.slowness}
	loading := 0
	for i, h := range c.layers {
		next[i] = expertplan.Relieve(h, c.popularity[i], limits)
		loading += h.NewExperts(next[i])
		most = max(most, loading)
	}
	after := c.skew(next)
	return c.change(ctx, next, before, after, loading)
}

func (c *care) change(ctx context.Context, next []expertplan.Holdings, before, after float64, loading int) error {
	layout := make(expertswitch.Layout, len(next))
	for i := range next {
		layout[i] = next[i]
	}
	shape := c.group.shape
	copying := time.Duration(float64(loading) * float64(shape.Bytes) / float64(shape.StoreBytesPerSecond) * float64(time.Second))
	started := time.Now()
	if err := c.switcher.Switch(ctx, layout, copying); err != nil {
		return err
	}
	c.layers = next
	c.experts.log.Info(events.MapActivated, events.Fields{
		"group": c.group.name, "epoch": c.group.epoch, "loading": loading,
		"skewBefore": before, "skewAfter": after, "tookMs": time.Since(started).Milliseconds(),
	})
	return nil
}

// skew is the mean over layers.
func (c *care) skew(layers []expertplan.Holdings) float64 {
	sum := 0.0
	for i, h := range layers {
		sum += h.Skew(c.popularity[i], c.slowness)
	}
	return sum / float64(len(layers))
}

// sample updates the popularity from the counts of one rank: its requests are
// a fair sample of the group's.
func (c *care) sample(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, countTimeout)
	defer cancel()
	counts, err := c.group.ranks[c.sampled].Counts(bounded)
	if err != nil {
		c.sampleNext("no answer")
		return nil //nolint:nilerr // one lost sample changes nothing; the next one covers it
	}
	if counts.Epoch != c.group.epoch {
		return &expertswitch.ChangedError{Group: c.group.name}
	}
	c.switcher.Observe(counts.Step)
	previous := c.chosen
	c.chosen = counts.Chosen
	shape := c.group.shape
	if len(previous) != len(c.chosen) || len(c.chosen) != shape.Layers*shape.PerLayer {
		return nil
	}
	fresh := make([][]float64, shape.Layers)
	for i := range fresh {
		fresh[i] = difference(c.chosen[i*shape.PerLayer:(i+1)*shape.PerLayer], previous[i*shape.PerLayer:(i+1)*shape.PerLayer])
		if fresh[i] == nil {
			c.sampleNext("no requests")
			return nil
		}
	}
	if c.popularity == nil {
		c.popularity = fresh
		return nil
	}
	for i := range fresh {
		for e := range fresh[i] {
			c.popularity[i][e] += sampleWeight * (fresh[i][e] - c.popularity[i][e])
		}
	}
	return nil
}

// sampleNext turns to the next rank, one that gets work if any does.
func (c *care) sampleNext(reason string) {
	c.chosen = nil
	for range c.group.ranks {
		c.sampled = (c.sampled + 1) % len(c.group.ranks)
		if c.experts.directory.takesWork(c.group.ranks[c.sampled].Name()) {
			break
		}
	}
	c.experts.log.Info(events.MapSampleMoved, events.Fields{"group": c.group.name, "rank": c.sampled, "reason": reason})
}

// difference returns the shares of what was chosen between two counts, or nil
// if nothing was or the count started anew.
func difference(now, before []float64) []float64 {
	total := 0.0
	out := make([]float64, len(now))
	for i := range now {
		out[i] = now[i] - before[i]
		if out[i] < 0 {
			return nil
		}
		total += out[i]
	}
	if total == 0 {
		return nil
	}
	for i := range out {
		out[i] /= total
	}
	return out
}

// takesWork reports whether an endpoint is in use.
func (d *directory) takesWork(name string) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	n := d.nodes[name]
	return n != nil && !n.info.Leaving && !d.held[n.info.FailureDomain] && n.member.IsUp()
}

// rankGroups returns the lock-step groups of all endpoints.
func (d *directory) rankGroups() []rankSet {
	b := d.bundle.Load()
	if b == nil {
		return nil
	}
	d.mu.RLock()
	defer d.mu.RUnlock()
	groups := map[string][]*worker{}
	for _, n := range d.nodes {
		if n.info.Place != nil {
			groups[n.info.Place.Group] = append(groups[n.info.Place.Group], n)
		}
	}
	sets := make([]rankSet, 0, len(groups))
	for name, workers := range groups {
		if g := b.Group(workers[0].info.Group); g != nil && g.Experts != nil {
			sets = append(sets, newRankSet(name, workers, *g.Experts))
		}
	}
	slices.SortFunc(sets, func(a, b rankSet) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return sets
}

// newRankSet takes the ranks of the latest epoch.
func newRankSet(name string, workers []*worker, shape bundle.Experts) rankSet {
	g := rankSet{name: name, shape: shape, open: true}
	for _, w := range workers {
		g.epoch = max(g.epoch, w.info.Place.Epoch)
	}
	slices.SortFunc(workers, func(a, b *worker) int { return a.info.Place.Rank - b.info.Place.Rank })
	for _, w := range workers {
		if w.info.Place.Epoch != g.epoch {
			continue
		}
		g.size = w.info.Place.Size
		g.open = g.open && w.info.Place.Open
		g.ranks = append(g.ranks, platform.NewRank(w.info.Name, w.way.Client()))
	}
	return g
}
