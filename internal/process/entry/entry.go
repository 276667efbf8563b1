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
	"github.com/cicadareel/cicadareel/internal/process"
	"github.com/cicadareel/cicadareel/internal/process/events"
	"github.com/cicadareel/cicadareel/internal/process/settings"
	"github.com/cicadareel/cicadareel/internal/request/claim"
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

// Run serves until ctx ends, then shuts down without cutting a request.
func Run(ctx context.Context, s *settings.Settings) error {
	duties, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	c, err := process.NewCommon(duties, s)
	if err != nil {
		return err
	}
	f := newFleet(s, c.Dialer, c.View, c.Members, c.Log, c.Metrics)
	claims := claim.NewStore(duties, c.Platform)
	service := caller.NewService(c.View.Bundle, f, claims, c.Log, c.Metrics)
	var leaving atomic.Bool
	ready := func() bool { return !leaving.Load() && c.View.Bundle() != nil }
	ops, err := operator.NewServer(s.OperatorAddress, c.Metrics, ready)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.CallerAddress.String())
	if err != nil {
		return oops.In("entry").Wrap(err)
	}
	if err := c.Serve(func(*wire.ProcessStatus) {}); err != nil {
		return err
	}
	var loops sync.WaitGroup
	loops.Go(func() { refreshLoop(duties, c, f) })
	server := &http.Server{Handler: service, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	c.Log.Info(events.ProcessStarted, events.Fields{"callers": s.CallerAddress.String(), "incarnation": c.Incarnation})

	<-ctx.Done()
	c.Log.Info(events.ProcessStopping, nil)
	leaving.Store(true)
	server.SetKeepAlivesEnabled(false)
	time.Sleep(lameDuck)
	bounded, cancel := context.WithTimeout(duties, shutdownLimit)
	defer cancel()
	err = server.Shutdown(bounded)
	stop()
	loops.Wait()
	claims.Wait()
	f.close()
	c.Close(streamGrace)
	ops.Close(context.Background())
	c.Log.Info(events.ProcessStopped, nil)
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
