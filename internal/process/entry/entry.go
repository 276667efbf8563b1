// Package entry assembles the entry process: callers' requests in, attempts
// at sidecars out.
package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/cicadareel/cicadareel/internal/connection/caller"
	"github.com/cicadareel/cicadareel/internal/connection/operator"
	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/process"
	"github.com/cicadareel/cicadareel/internal/process/settings"
	"github.com/cicadareel/cicadareel/internal/request/claim"
	"github.com/cicadareel/cicadareel/internal/request/retry"
)

const (
	// lameDuck is how long the process serves on after failing its readiness
	// check, so that the platform's balancer can turn to others.
	lameDuck = time.Second
	// shutdownLimit bounds a graceful shutdown; it exceeds any route's timeout
	// that operators should use.
	shutdownLimit = 10 * time.Minute
	// streamGrace is how long peers' streams may take to end.
	streamGrace = time.Second
	// headerTimeout bounds reading a caller's request header.
	headerTimeout = 10 * time.Second
)

// entry holds the parts of the process from its start to its end.
type entry struct {
	settings *settings.Settings
	common   *process.Common
	fleet    *fleet
	claims   *claim.Store
	callers  *http.Server
	ops      *operator.Server
	// leaving is true from the start of the graceful shutdown.
	leaving atomic.Bool
	// stop ends the duties, which loops waits for.
	stop  context.CancelFunc
	loops sync.WaitGroup
}

// Run serves until ctx ends, then shuts down without cutting a request.
func Run(ctx context.Context, s *settings.Settings) error {
	duties, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	e := &entry{settings: s, stop: stop}
	if err := e.start(duties); err != nil {
		return err
	}
	e.common.Log.Info(events.ProcessStarted, events.Fields{"callers": s.CallerAddress.String(), "incarnation": e.common.Incarnation})
	<-ctx.Done()
	return e.shutDown()
}

func (e *entry) start(duties context.Context) error {
	c, err := process.NewCommon(duties, e.settings)
	if err != nil {
		return err
	}
	e.common = c
	e.fleet = newFleet(e.settings, c.Dialer, c.View, c.Members, c.Log, c.Metrics)
	e.claims = claim.NewStore(duties, c.Platform)
	if e.ops, err = operator.NewServer(e.settings.OperatorAddress, c.Metrics, e.ready); err != nil {
		return err
	}
	if err := c.Serve(func(*wire.ProcessStatus) {}); err != nil {
		return err
	}
	e.loops.Go(func() { refreshLoop(duties, c, e.fleet) })
	return e.serveCallers()
}

func (e *entry) serveCallers() error {
	listener, err := net.Listen("tcp", e.settings.CallerAddress.String())
	if err != nil {
		return oops.In("entry").Wrap(err)
	}
	c := e.common
	service := caller.NewService(caller.Parts{
		Bundles: c.View.Bundle,
		Fleet:   e.fleet,
		Claims:  e.claims,
		Dialect: caller.ProblemDialect{},
		Budgets: retry.NewBudgets(retry.DefaultTerms()),
		Log:     c.Log,
		Metrics: c.Metrics,
	})
	e.callers = &http.Server{Handler: service, ReadHeaderTimeout: headerTimeout}
	go func() { _ = e.callers.Serve(listener) }()
	return nil
}

// ready tells the platform's balancer whether to send callers here.
func (e *entry) ready() bool { return !e.leaving.Load() && e.common.View.Bundle() != nil }

// shutDown finishes the requests in progress and then ends the duties.
func (e *entry) shutDown() error {
	e.common.Log.Info(events.ProcessStopping, nil)
	e.leaving.Store(true)
	e.callers.SetKeepAlivesEnabled(false)
	time.Sleep(lameDuck)
	bounded, cancel := context.WithTimeout(context.Background(), shutdownLimit)
	defer cancel()
	err := e.callers.Shutdown(bounded)
	e.stop()
	e.loops.Wait()
	e.claims.Wait()
	e.fleet.close()
	e.common.Close(streamGrace)
	e.ops.Close(context.Background())
	e.common.Log.Info(events.ProcessStopped, nil)
	return oops.In("entry").Wrap(err)
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
