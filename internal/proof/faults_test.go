package proof

import (
	"time"

	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/standin"
)

// faultDuration is how long a fault that can be healed lasts.
const faultDuration = 3 * time.Second

// fault is a fault at an endpoint, at its sidecar or at the platform's table. inject
// returns nil if the fault is a single event or stays.
type fault struct {
	name   string
	inject func(*cluster, *endpointNode) (heal func())
}

// faults returns all faults of the matrix.
func faults() []fault {
	return []fault{
		{"link disconnected", func(c *cluster, e *endpointNode) func() {
			c.network.Disconnect(e.sidecarAddress().String())
			return nil
		}},
		{"link blackholed", func(c *cluster, e *endpointNode) func() { c.network.Blackhole(e.sidecarAddress().String()); return nil }},
		{"sidecar paused", pauseSidecar},
		{"link slow", func(c *cluster, e *endpointNode) func() {
			c.network.SetDelay(e.sidecarAddress().String(), 300*time.Millisecond)
			return func() { c.network.SetDelay(e.sidecarAddress().String(), 0) }
		}},
		{"sidecar killed", func(_ *cluster, e *endpointNode) func() { e.killSidecar(); return e.startSidecar }},
		{"endpoint killed", func(_ *cluster, e *endpointNode) func() { e.killEndpoint(); return e.startEndpoint }},
		{"endpoint turned cold", func(_ *cluster, e *endpointNode) func() {
			if e.engine != nil {
				e.engine.TurnCold()
			}
			return nil
		}},
		{"taken out", refusalFault(outcome.Held, true)},
		{"drained", refusalFault(outcome.Held, false)},
		{"leaving", refusalFault(outcome.Leaving, true)},
		{"view stale", refusalFault(outcome.StaleView, false)},
		{"store down", storeFault(standin.PlatformFaults{Outage: true})},
		{"store loses responses", storeFault(standin.PlatformFaults{LoseResponses: true})},
		{"store slow", storeFault(standin.PlatformFaults{Delay: 700 * time.Millisecond})},
	}
}

// pauseSidecar holds back all traffic of the sidecar, as if its process were stopped.
func pauseSidecar(c *cluster, e *endpointNode) func() {
	c.network.Pause(e.sidecarAddress().String())
	return func() { c.network.Resume(e.sidecarAddress().String()) }
}

// refusalFault makes the gate refuse new work for the reason and, if evict is true, also
// queued requests.
func refusalFault(reason outcome.Reason, evict bool) func(*cluster, *endpointNode) func() {
	return func(_ *cluster, e *endpointNode) func() {
		e.setRefusal(reason, evict)
		return func() { e.setRefusal("", false) }
	}
}

// storeFault makes the platform's table misbehave.
func storeFault(f standin.PlatformFaults) func(*cluster, *endpointNode) func() {
	return func(c *cluster, _ *endpointNode) func() {
		c.platform.SetFaults(f)
		return func() { c.platform.SetFaults(standin.PlatformFaults{}) }
	}
}

// injectAndHeal injects the fault now and heals it after faultDuration, if it can be
// healed. The channel closes after that.
func (f fault) injectAndHeal(c *cluster, e *endpointNode) (ended <-chan struct{}) {
	done := make(chan struct{})
	heal := f.inject(c, e)
	go func() {
		defer close(done)
		if heal != nil {
			time.Sleep(faultDuration)
			heal()
		}
	}()
	return done
}
