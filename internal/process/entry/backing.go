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

// backing is what stands behind the callers' service: where the intent comes
// from and how endpoints are reached.
type backing struct {
	parts caller.Dependencies
	// ready reports whether callers can be served.
	ready func() bool
	// lameDuck is how long the process serves on after failing its readiness
	// check, so that the balancer before it can turn to others.
	lameDuck time.Duration
	// shutdown bounds the requests in progress at a graceful shutdown.
	shutdown time.Duration
	// reload takes settings that changed; nil if the process must restart.
	reload func(*settings.Settings)
	// leave hands duties for others to them, as the process begins to shut down;
	// nil without such duties.
	leave func()
	// lease is that of expert maps; nil without one.
	lease *store.Lease
	// close ends the duties.
	close func()
}

const (
	// signedLameDuck is a second for balancers that check each second.
	signedLameDuck = time.Second
	// signedShutdown exceeds any route's timeout that operators should use.
	signedShutdown = 10 * time.Minute
	// streamGrace is how long peers' streams may take to end.
	streamGrace = time.Second
)

// newSigned backs an entry by signed bundles and the gates of sidecars.
func newSigned(ctx context.Context, s *settings.Settings) (*backing, error) {
	c, err := process.NewCommon(ctx, s)
	if err != nil {
		return nil, err
	}
	f := newFleet(s, c.Dialer, c.View, c.Members, c.Log, c.Metrics)
	claims := claim.NewStore(ctx, c.Platform)
	if err := c.Serve(func(*wire.ProcessStatus) {}); err != nil {
		return nil, err
	}
	followed := make(chan struct{})
	go func() {
		defer close(followed)
		refreshLoop(ctx, c, f)
	}()
	return &backing{
		parts: caller.Dependencies{
			CurrentBundle: c.View.Bundle,
			Fleet:         f,
			Claims:        claims,
			Dialect:       caller.DefaultDialect{},
			Budgets:       retry.NewBudgets(retry.DefaultConfig()),
			Log:           c.Log,
			Metrics:       c.Metrics,
		},
		ready:    func() bool { return c.View.Bundle() != nil },
		lameDuck: signedLameDuck,
		shutdown: signedShutdown,
		close: func() {
			<-followed
			claims.Wait()
			f.close()
			c.Close(streamGrace)
		},
	}, nil
}

// refreshLoop follows the view and the instance list.
func refreshLoop(ctx context.Context, c *process.Common, f *fleet) {
	for {
		viewChanged, listChanged := c.View.Changed(), c.Members.Changed()
		f.refresh()
		select {
		case <-ctx.Done():
			return
		case <-viewChanged:
		case <-listChanged:
		}
	}
}
