package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/endpoint"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/request/balancer"
	"github.com/cicadareel/cicadareel/internal/table"
	"github.com/cicadareel/cicadareel/internal/version/roster"
	"github.com/cicadareel/cicadareel/platform"
)

// ejectionTime is how long an endpoint gets no requests after a connection to it
// could not be opened. Endpoints that are gone leave the list in that time.
const ejectionTime = time.Second

// directEndpoint is one endpoint that gets attempts directly, without a sidecar.
type directEndpoint struct {
	fleet  *directFleet
	member *balancer.Member
	direct *endpoint.DirectClient
	// info is guarded by the fleet's lock.
	info roster.Endpoint
	// commands is the client for calls that are not callers' requests. The buffers of its
	// sockets are not bounded, since commands with expert maps are long and urgent.
	commands *endpoint.Client
	// group is the lock-step group of a rank; nil for other endpoints.
	group atomic.Pointer[rankGroup]

	mu sync.Mutex
	// ejected is true while the endpoint gets no requests after a failure.
	ejected bool
	// replaced is true once another endpoint answered at the address.
	replaced bool
	retired  bool
	// leaving is true once a response said that the endpoint is leaving. That holds for
	// the incarnation, whatever its row says.
	leaving bool
	// invalidLimitLogged is true once an invalid limit was logged.
	invalidLimitLogged bool
	// invalidPauseLogged is true once an invalid pause was logged.
	invalidPauseLogged bool
}

func newDirectEndpoint(f *directFleet, info roster.Endpoint) *directEndpoint {
	e := &directEndpoint{fleet: f, member: balancer.NewMember(info.Name, info.FailureDomain), info: info}
	e.commands = endpoint.NewClientWithDialer(info.Address, f.network.dial)
	e.member.Warmup = &balancer.WarmupLimiter{}
	e.member.Slowness = func() float64 { return f.slowness.Slowness(info.Name) }
	e.direct = endpoint.NewDirectClient(info.Name, endpoint.NewClientWithDialer(info.Address, f.network.dialEndpoint), platform.EndpointDialect{}, e)
	e.member.SetHeld(f.heldDomains[info.FailureDomain])
	return e
}

// joinGroup makes the endpoint a rank of a group.
func (e *directEndpoint) joinGroup(g *rankGroup) {
	if e.group.Swap(g) != g {
		e.member.Usable = g.usable
		e.member.Lockstep = &g.lockstep
	}
}

// groupBrokenFor returns how long the endpoint's lock-step group has been broken; 0 if it
// is not, or if there is none.
func (e *directEndpoint) groupBrokenFor() time.Duration {
	if g := e.group.Load(); g != nil {
		return g.brokenFor()
	}
	return 0
}

// update applies the latest announcement.
func (e *directEndpoint) update(info roster.Endpoint) {
	changed := !e.isSameAnnouncement(info) || !e.member.HasLimit()
	if !e.member.HasLimit() {
		e.member.MarkUp()
	}
	if info.Leaving && !e.info.Leaving {
		e.fleet.log.Info(events.EndpointRemoved, events.Fields{"endpoint": info.Name, "reason": "leaving", "revision": info.Revision.Number, "era": info.Revision.Era})
	}
	e.info = info
	e.mu.Lock()
	defer e.mu.Unlock()
	e.member.ApplyAnnouncement(info.Slots, !info.Leaving && !e.leaving)
	if changed {
		e.limitWhileCold(info)
	}
}

// isSameAnnouncement reports whether an announcement is the one applied last. A store that
// came back from a copy has it at another revision.
func (e *directEndpoint) isSameAnnouncement(info roster.Endpoint) bool {
	if info.Revision.Era == e.info.Revision.Era {
		return info.Revision == e.info.Revision
	}
	return info.ColdFor == e.info.ColdFor
}

// limitWhileCold limits the requests to an endpoint that announces itself as cold.
func (e *directEndpoint) limitWhileCold(info roster.Endpoint) {
	if share, limited := e.fleet.coldShare(info); limited && info.ColdFor > 0 {
		e.member.Warmup.SetCold(time.Now().Add(info.ColdFor), share)
	}
}

// retire takes the endpoint out of use for good.
func (e *directEndpoint) retire(reason string, revision table.Revision) {
	e.mu.Lock()
	e.retired = true
	e.mu.Unlock()
	e.member.MarkDown()
	e.fleet.log.Info(events.EndpointRemoved, events.Fields{"endpoint": e.info.Name, "reason": reason, "revision": revision.Number, "era": revision.Era})
}

// Observe implements endpoint.Observer.
func (e *directEndpoint) Observe(observation endpoint.Observation) {
	if g := e.group.Load(); g != nil {
		g.handleObservation(observation)
	}
	switch o := observation.(type) {
	case endpoint.Shed, endpoint.BrokenOff, endpoint.ServerError:
		e.member.RecordFailure()
	case endpoint.LimitNamed:
		e.fleet.observeLimit(e, o.PerSecond)
	case endpoint.LimitInvalid:
		e.logInvalidLimit(o.Cause)
	case endpoint.PauseAsked:
		e.pause(o.For)
	case endpoint.PauseInvalid:
		e.logInvalidPause(o.Cause)
	case endpoint.SaysLeaving:
		e.handleLeaving()
	case endpoint.ConnectFailed:
		e.eject("no connection")
	case endpoint.Replaced:
		e.mu.Lock()
		e.replaced = true
		e.mu.Unlock()
		e.eject("another endpoint has the address")
	}
}

// pause keeps requests from the endpoint for a time.
func (e *directEndpoint) pause(d time.Duration) {
	wasPaused := e.member.PausedFor() > 0
	if e.member.PauseUntil(time.Now().Add(d)) && !wasPaused {
		e.fleet.log.Info(events.EndpointPaused, events.Fields{"endpoint": e.member.Name, "pauseMs": d.Milliseconds()})
	}
}

func (e *directEndpoint) logInvalidPause(cause error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.invalidPauseLogged {
		e.invalidPauseLogged = true
		e.fleet.log.Warn(events.EndpointPauseInvalid, events.Fields{"endpoint": e.member.Name, "error": cause.Error()})
	}
}

// handleLeaving takes the endpoint out of use after its response said that it is
// leaving.
func (e *directEndpoint) handleLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return
	}
	e.leaving = true
	e.member.Close()
	e.fleet.log.Info(events.EndpointRemoved, events.Fields{"endpoint": e.member.Name, "reason": "a response says that it is leaving"})
}

func (e *directEndpoint) logInvalidLimit(cause error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.invalidLimitLogged {
		e.invalidLimitLogged = true
		e.fleet.log.Warn(events.EndpointLimitInvalid, events.Fields{"endpoint": e.member.Name, "error": cause.Error()})
	}
}

// eject takes the endpoint out of use for ejectionTime, or for good if another
// endpoint has its address.
func (e *directEndpoint) eject(reason string) {
	e.mu.Lock()
	again := e.ejected
	e.ejected = true
	e.mu.Unlock()
	e.member.MarkDown()
	if again {
		return
	}
	e.fleet.log.Info(events.EndpointEjected, events.Fields{"endpoint": e.member.Name, "reason": reason})
	time.AfterFunc(ejectionTime, e.restore)
}

func (e *directEndpoint) restore() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ejected = false
	if !e.replaced && !e.retired {
		e.member.MarkUp()
	}
}
