package entry

import (
	"context"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/caller"
	"github.com/cicadareel/cicadareel/internal/connection/store"
	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/process"
	"github.com/cicadareel/cicadareel/internal/process/settings"
	"github.com/cicadareel/cicadareel/internal/request/claim"
	"github.com/cicadareel/cicadareel/internal/request/retry"
)

// environment is what differs between platforms: where the operators' intent
// comes from and how endpoints are reached.
type environment struct {
	dependencies caller.Dependencies
	// ready reports whether callers can be served.
	ready func() bool
	// lameDuck is how long the process keeps serving after it fails its readiness
	// check, so that the balancer in front can switch to other entries.
	lameDuck time.Duration
	// drainTimeout limits the time of the requests in progress at shutdown.
	drainTimeout time.Duration
	// reload applies changed settings; nil if they need a restart.
	reload func(*settings.Settings)
	// handOver is called when the shutdown begins. It leaves the tasks that this entry
	// does for all entries to the others; nil if there are no such tasks.
	handOver func()
	// lease is needed to change expert maps; nil without one.
	lease *store.Lease
	// close waits for the background tasks and closes connections.
	close func()
}

const (
	// sidecarLameDuck allows for a balancer that checks readiness every second.
	sidecarLameDuck = time.Second
	// sidecarDrainTimeout exceeds any route timeout that operators should use.
	sidecarDrainTimeout = 10 * time.Minute
	// streamGrace is how long peers' streams may take to end at shutdown.
	streamGrace = time.Second
)

// newSidecarEnvironment builds an environment with signed bundles and with
// sidecars in front of the endpoints.
func newSidecarEnvironment(ctx context.Context, s *settings.Settings) (*environment, error) {
	c, err := process.NewCommon(ctx, s)
	if err != nil {
		return nil, err
	}
	fleet := newSidecarFleet(s, c.Dialer, c.View, c.Members, c.Log, c.Metrics)
	claims := claim.NewStore(ctx, c.Platform)
	if err := c.Serve(func(*wire.ProcessStatus) {}); err != nil {
		return nil, err
	}
	refreshed := make(chan struct{})
	go func() {
		defer close(refreshed)
		refreshLoop(ctx, c, fleet)
	}()
	return &environment{
		dependencies: caller.Dependencies{
			CurrentBundle: c.View.Bundle,
			Fleet:         fleet,
			Claims:        claims,
			Dialect:       caller.DefaultDialect{},
			Budgets:       retry.NewBudgets(retry.DefaultConfig()),
			Log:           c.Log,
			Metrics:       c.Metrics,
		},
		ready:        func() bool { return c.View.Bundle() != nil },
		lameDuck:     sidecarLameDuck,
		drainTimeout: sidecarDrainTimeout,
		close: func() {
			<-refreshed
			claims.Wait()
			fleet.close()
			c.Close(streamGrace)
		},
	}, nil
}

// refreshLoop refreshes the fleet when the view or the instance list changes.
func refreshLoop(ctx context.Context, c *process.Common, fleet *sidecarFleet) {
	for {
		viewChanged, listChanged := c.View.Changed(), c.Members.Changed()
		fleet.refresh()
		select {
		case <-ctx.Done():
			return
		case <-viewChanged:
		case <-listChanged:
		}
	}
}
