// Package sidecar assembles the sidecar process, which runs the admission gate in
// front of one endpoint.
package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/endpoint"
	"github.com/cicadareel/cicadareel/internal/connection/entry"
	"github.com/cicadareel/cicadareel/internal/connection/operator"
	"github.com/cicadareel/cicadareel/internal/connection/rank"
	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/process"
	"github.com/cicadareel/cicadareel/internal/process/settings"
	"github.com/cicadareel/cicadareel/internal/request/gate"
	"github.com/cicadareel/cicadareel/internal/version/expertmap"
	"github.com/cicadareel/cicadareel/pkg/bundle"
	"github.com/cicadareel/cicadareel/pkg/order"
)

const (
	// shutdownLimit limits the time of a graceful shutdown.
	shutdownLimit = 10 * time.Minute
	// streamGrace is how long entries' streams may take to end at shutdown.
	streamGrace = time.Second
)

// sidecar holds the components of the process.
type sidecar struct {
	common         *process.Common
	gate           *gate.Gate
	client         *endpoint.Client
	monitor        *endpoint.Monitor
	entryServer    *entry.Server
	operatorServer *operator.Server
	// shuttingDown is true once the graceful shutdown has begun, endpointLeaving while
	// the endpoint reports that it shuts down.
	shuttingDown    atomic.Bool
	endpointLeaving atomic.Bool
	// stopTasks stops the background tasks, which loops waits for.
	stopTasks context.CancelFunc
	loops     sync.WaitGroup
}

// Run serves until ctx ends, then finishes the requests in progress and shuts down.
func Run(ctx context.Context, s *settings.Settings) error {
	taskCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	c, err := process.NewCommon(taskCtx, s)
	if err != nil {
		return err
	}
	p := &sidecar{common: c, stopTasks: stop}
	if err := p.start(taskCtx); err != nil {
		return err
	}
	c.Log.Info(events.ProcessStarted, events.Fields{"endpoint": s.Endpoint, "incarnation": c.Incarnation})
	<-ctx.Done()
	p.shutDown()
	return nil
}

func (p *sidecar) start(taskCtx context.Context) error {
	c, s := p.common, p.common.Settings
	p.gate = gate.NewGate(c.Incarnation, gate.Config{ColdLimit: 1, WarmLimit: 1}, p.checkAdmission)
	p.client = endpoint.NewClient(s.EndpointAddress)
	p.monitor = endpoint.NewMonitor(taskCtx, p.client, p.gate, p.kind, p.endpointLeaving.Store, c.Log)
	p.entryServer = entry.NewServer(taskCtx, s.Endpoint, c.Incarnation, p.gate, p.client, c.Log, c.Metrics)
	wire.RegisterSidecarServer(c.Server, p.entryServer)
	p.startExperts(taskCtx)
	p.loops.Go(func() { p.configureLoop(taskCtx) })
	p.registerGauges()
	var err error
	if p.operatorServer, err = operator.NewServer(s.OperatorAddress, c.Metrics, func() bool { return p.gate.State().Open }); err != nil {
		return err
	}
	return c.Serve(func(out *wire.ProcessStatus) { out.Gate = entry.GateToWire(p.gate.State()) })
}

// startExperts takes part in expert map switches, and coordinates them while this
// sidecar is the coordinator.
func (p *sidecar) startExperts(taskCtx context.Context) {
	engine := endpoint.NewMapClient(p.client)
	participant := expertmap.NewParticipant(engine, p.common.Incarnation)
	wire.RegisterGroupServer(p.common.Server, rank.NewServer(participant, engine))
	p.loops.Go(func() { newMapController(p, engine).loop(taskCtx) })
}

// shutDown finishes the requests in progress and then stops the background tasks.
func (p *sidecar) shutDown() {
	p.common.Log.Info(events.ProcessStopping, nil)
	p.shuttingDown.Store(true)
	drainCtx, cancel := context.WithTimeout(context.Background(), shutdownLimit)
	defer cancel()
	p.entryServer.Drain(drainCtx)
	p.stopTasks()
	p.common.Close(streamGrace)
	p.entryServer.Wait()
	p.loops.Wait()
	p.monitor.Wait()
	p.operatorServer.Close(context.Background())
	p.common.Log.Info(events.ProcessStopped, nil)
}

// checkAdmission implements gate.AdmissionCheck.
func (p *sidecar) checkAdmission() (outcome.Reason, bool) {
	s, v := p.common.Settings, p.common.View
	if p.shuttingDown.Load() {
		return outcome.ShuttingDown, true
	}
	if p.endpointLeaving.Load() || p.common.Members.Leaving(s.Instance) {
		return outcome.Leaving, true
	}
	b := v.Bundle()
	if b == nil || b.Endpoint(s.Endpoint) == nil {
		return outcome.NoBundle, true
	}
	switch v.StrongestHold(s.Endpoint, b.Endpoint(s.Endpoint).FailureDomain) {
	case order.TakeOut:
		return outcome.Held, true
	case order.Drain:
		return outcome.Held, false
	}
	if !v.Freshness().Usable {
		return outcome.StaleView, false
	}
	return "", false
}

// kind returns the kind of the endpoint, or false while no bundle lists it.
func (p *sidecar) kind() (bundle.Kind, bool) {
	g := p.group()
	if g == nil {
		return "", false
	}
	return g.Kind, true
}

func (p *sidecar) group() *bundle.Group {
	b := p.common.View.Bundle()
	if b == nil {
		return nil
	}
	e := b.Endpoint(p.common.Settings.Endpoint)
	if e == nil {
		return nil
	}
	return b.Group(e.Group)
}

// configureLoop applies the limits in each new bundle to the gate.
func (p *sidecar) configureLoop(ctx context.Context) {
	for {
		changed := p.common.View.Changed()
		if g := p.group(); g != nil {
			p.gate.Configure(gate.Config{ColdLimit: g.ColdLimit, WarmLimit: g.WarmLimit, WarmAfter: g.WarmAfter, QueueLimit: g.QueueLimit})
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (p *sidecar) registerGauges() {
	m := p.common.Metrics
	m.RegisterGauge("cicadareel_gate_limit", "Present bound on concurrent requests.", func() int64 { return int64(p.gate.State().Limit) })
	m.RegisterGauge("cicadareel_gate_in_flight", "Requests at the endpoint.", func() int64 { return int64(p.gate.State().InFlight) })
	m.RegisterGauge("cicadareel_gate_queued", "Requests waiting in the gate.", func() int64 { return int64(p.gate.State().Queued) })
}
