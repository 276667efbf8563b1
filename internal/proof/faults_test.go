package proof

import (
	"time"

	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/standin"
)

// mendAfter is how long a fault that passes lasts.
const mendAfter = 3 * time.Second

// fault breaks something at a site and returns how to mend it, if it passes.
type fault struct {
	name   string
	strike func(*rig, *site) (mend func())
}

func faults() []fault {
	return []fault{
		{"link cut", func(r *rig, s *site) func() { r.network.Disconnect(s.sidecarAddress().String()); return nil }},
		{"link silent", func(r *rig, s *site) func() { r.network.Blackhole(s.sidecarAddress().String()); return nil }},
		{"sidecar frozen", freeze},
		{"link slow", func(r *rig, s *site) func() {
			r.network.SetDelay(s.sidecarAddress().String(), 300*time.Millisecond)
			return func() { r.network.SetDelay(s.sidecarAddress().String(), 0) }
		}},
		{"sidecar killed", func(_ *rig, s *site) func() { s.killSidecar(); return s.startSidecar }},
		{"endpoint killed", func(_ *rig, s *site) func() { s.killEndpoint(); return s.startEndpoint }},
		{"endpoint cold", func(_ *rig, s *site) func() {
			if s.engine != nil {
				s.engine.TurnCold()
			}
			return nil
		}},
		{"taken out", barrierFault(outcome.Held, true)},
		{"drained", barrierFault(outcome.Held, false)},
		{"leaving", barrierFault(outcome.Leaving, true)},
		{"view stale", barrierFault(outcome.StaleView, false)},
		{"store down", storeFault(standin.PlatformFaults{Outage: true})},
		{"store loses answers", storeFault(standin.PlatformFaults{LoseResponses: true})},
		{"store slow", storeFault(standin.PlatformFaults{Delay: 700 * time.Millisecond})},
	}
}

func freeze(r *rig, s *site) func() {
	r.network.Pause(s.sidecarAddress().String())
	return func() { r.network.Resume(s.sidecarAddress().String()) }
}

func barrierFault(reason outcome.Reason, evict bool) func(*rig, *site) func() {
	return func(_ *rig, s *site) func() {
		s.setBarrier(reason, evict)
		return func() { s.setBarrier("", false) }
	}
}

func storeFault(f standin.PlatformFaults) func(*rig, *site) func() {
	return func(r *rig, _ *site) func() {
		r.table.SetFaults(f)
		return func() { r.table.SetFaults(standin.PlatformFaults{}) }
	}
}

// inflict strikes the fault now and mends it after a while.
func (f fault) inflict(r *rig, s *site) (ended <-chan struct{}) {
	done := make(chan struct{})
	mend := f.strike(r, s)
	go func() {
		defer close(done)
		if mend != nil {
			time.Sleep(mendAfter)
			mend()
		}
	}()
	return done
}
