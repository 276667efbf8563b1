package endpoint

import (
	"context"
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/request/gate"
	"github.com/cicadareel/cicadareel/pkg/bundle"
)

// probeInterval is the time between two load reports. It is shorter than any
// restart of an endpoint, so that a restart without open requests is seen as
// a missing report or a new boot id before work follows.
const probeInterval = 200 * time.Millisecond

// Prober asks an endpoint for its load report.
type Prober interface {
	Probe(ctx context.Context, kind bundle.Kind) (Load, error)
}

// Monitor feeds load reports to a gate.
type Monitor struct {
	prober Prober
	gate   *gate.Gate
	kind   func() (bundle.Kind, bool)
	log    *events.Log
	// leaving receives whether the endpoint says that it is leaving.
	leaving func(bool)
	// boot is the last boot id; used by the probing goroutine only.
	boot  string
	ready bool
	done  sync.WaitGroup
}

// NewMonitor starts probing until ctx ends. kind tells the kind of the
// endpoint once a bundle is in force.
func NewMonitor(ctx context.Context, p Prober, g *gate.Gate, kind func() (bundle.Kind, bool), leaving func(bool), l *events.Log) *Monitor {
	m := &Monitor{prober: p, gate: g, kind: kind, leaving: leaving, log: l}
	m.done.Go(func() { m.probeLoop(ctx) })
	return m
}

// Wait returns after the goroutine has ended.
func (m *Monitor) Wait() { m.done.Wait() }

func (m *Monitor) probeLoop(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		if kind, ok := m.kind(); ok {
			m.probe(ctx, kind)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *Monitor) probe(ctx context.Context, kind bundle.Kind) {
	load, err := m.prober.Probe(ctx, kind)
	if err != nil {
		m.gate.LoadReportsMissing()
		m.note(false)
		return
	}
	restarted := load.Boot != m.boot
	m.boot = load.Boot
	m.leaving(load.Leaving)
	m.gate.ApplyLoadReport(restarted, load.Running)
	m.note(true)
}

func (m *Monitor) note(ready bool) {
	if ready == m.ready {
		return
	}
	m.ready = ready
	if ready {
		m.log.Info(events.EndpointReady, nil)
		return
	}
	m.log.Warn(events.EndpointUnready, nil)
}
