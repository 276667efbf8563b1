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
// restart of an endpoint, so that a restart without open requests shows as a
// missing report or a new boot id before the endpoint gets more work.
const probeInterval = 200 * time.Millisecond

// Prober requests an endpoint's load report.
type Prober interface {
	Probe(ctx context.Context, kind bundle.Kind) (Load, error)
}

// Monitor probes an endpoint and passes its load reports to a gate.
type Monitor struct {
	prober Prober
	gate   *gate.Gate
	// kind returns the endpoint's kind, or false if no bundle is in force.
	kind func() (bundle.Kind, bool)
	log  *events.Log
	// setLeaving is called with each report and tells whether the endpoint is
	// shutting down.
	setLeaving func(bool)
	// boot is the boot id of the last report; used by the probing goroutine only.
	boot string
	// ready is true if the last probe got a report.
	ready bool
	done  sync.WaitGroup
}

// NewMonitor starts probing until ctx ends. kind returns the endpoint's kind, or
// false if no bundle is in force; setLeaving is called with each report.
func NewMonitor(ctx context.Context, p Prober, g *gate.Gate, kind func() (bundle.Kind, bool), setLeaving func(bool), l *events.Log) *Monitor {
	m := &Monitor{prober: p, gate: g, kind: kind, setLeaving: setLeaving, log: l}
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
		m.logReadiness(err)
		return
	}
	restarted := load.Boot != m.boot
	m.boot = load.Boot
	m.setLeaving(load.Leaving)
	m.gate.ApplyLoadReport(restarted, load.Running)
	m.logReadiness(nil)
}

// logReadiness logs whether reports arrive, when that changes. cause is why the last report
// is missing; nil if it is there.
func (m *Monitor) logReadiness(cause error) {
	ready := cause == nil
	if ready == m.ready {
		return
	}
	m.ready = ready
	if ready {
		m.log.Info(events.EndpointReady, nil)
		return
	}
	m.log.Warn(events.EndpointNotReady, events.Fields{"error": cause.Error()})
}
