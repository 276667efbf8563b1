package entry

import (
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/endpoint"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/request/choice"
	"github.com/cicadareel/cicadareel/internal/version/roster"
	"github.com/cicadareel/cicadareel/platform"
)

// downTime is how long an endpoint gets no work after a connection to it could
// not be opened. Endpoints that are gone leave the list meanwhile.
const downTime = time.Second

// worker is one endpoint that attempts go straight to.
type worker struct {
	directory *directory
	member    *choice.Member
	way       *endpoint.Direct
	// info is guarded by the directory's lock.
	info roster.Endpoint
	// group is the lock-step group of a rank; nil for other endpoints.
	group *rankGroup

	mu sync.Mutex
	// isDown is true while the endpoint is out of the choice after a failure.
	isDown bool
	// replaced is true once another endpoint answered at the address.
	replaced bool
	retired  bool
}

func newWorker(d *directory, info roster.Endpoint) *worker {
	w := &worker{directory: d, member: choice.NewMember(info.Name, info.FailureDomain), info: info}
	w.member.Warmup = &choice.Warmup{}
	w.member.Slowness = func() float64 { return d.paces.Of(info.Name) }
	w.way = endpoint.NewDirect(info.Name, d.newClient(info), platform.EndpointDialect{}, w)
	w.member.SetHeld(d.held[info.FailureDomain])
	return w
}

// join makes the worker a rank of a group.
func (w *worker) join(g *rankGroup) {
	if w.group != g {
		w.group = g
		w.member.Usable = g.usable
	}
}

// update takes a newer announcement.
func (w *worker) update(info roster.Endpoint) {
	fresh := info.Revision != w.info.Revision || !w.member.Known()
	if !w.member.Known() {
		w.member.Up()
	}
	if info.Leaving && !w.info.Leaving {
		w.directory.log.Info(events.EndpointRemoved, events.Fields{"endpoint": info.Name, "reason": "leaving", "revision": info.Revision})
	}
	w.info = info
	w.member.Announce(info.Slots, !info.Leaving)
	if fresh {
		w.warmUp(info)
	}
}

// warmUp limits the work of an endpoint that says it is cold.
func (w *worker) warmUp(info roster.Endpoint) {
	if share, limited := w.directory.coldShare(info); limited && info.ColdFor > 0 {
		w.member.Warmup.Cold(time.Now().Add(info.ColdFor), share)
	}
}

// retire ends the worker's use.
func (w *worker) retire(reason string, revision uint64) {
	w.mu.Lock()
	w.retired = true
	w.mu.Unlock()
	w.member.Down()
	w.directory.log.Info(events.EndpointRemoved, events.Fields{"endpoint": w.info.Name, "reason": reason, "revision": revision})
}

// Observed implements endpoint.Observer.
func (w *worker) Observed(e endpoint.Evidence) {
	if w.group != nil {
		w.group.observed(e)
	}
	switch e.(type) {
	case endpoint.Absent:
		w.down("no connection")
	case endpoint.Replaced:
		w.mu.Lock()
		w.replaced = true
		w.mu.Unlock()
		w.down("another endpoint has the address")
	}
}

// down takes the endpoint out of the choice for a while, or for good if another
// one has its address.
func (w *worker) down(reason string) {
	w.mu.Lock()
	again := w.isDown
	w.isDown = true
	w.mu.Unlock()
	w.member.Down()
	if again {
		return
	}
	w.directory.log.Info(events.EndpointDown, events.Fields{"endpoint": w.member.Name, "reason": reason})
	time.AfterFunc(downTime, w.up)
}

func (w *worker) up() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isDown = false
	if !w.replaced && !w.retired {
		w.member.Up()
	}
}
