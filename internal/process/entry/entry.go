// Package entry assembles the entry process, which accepts callers' requests and
// forwards them to endpoints.
package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/cicadareel/cicadareel/internal/connection/caller"
	"github.com/cicadareel/cicadareel/internal/connection/operator"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/process/settings"
	"github.com/cicadareel/cicadareel/internal/request/memory"
	"github.com/cicadareel/cicadareel/internal/tcp"
)

const (
	// headerTimeout limits the time to read a request header.
	headerTimeout = 10 * time.Second
	// idleTimeout limits how long a caller's connection stays idle. It exceeds the
	// idle times announced to callers, so that no request arrives at a connection
	// that the entry is closing.
	idleTimeout = 2 * time.Minute
)

const (
	// cutOffTime is the part at the end of a shutdown in which stalled callers are cut off.
	cutOffTime = time.Second
	// cutOffInterval is the time between two searches for stalled callers in it.
	cutOffInterval = 250 * time.Millisecond
)

// operatorServerGrace is how long running readiness checks and metrics requests may
// take at shutdown.
const operatorServerGrace = 100 * time.Millisecond

// LoadSettings reads the settings file again after a signal. The error explains why
// the file cannot be used.
type LoadSettings func() (*settings.Settings, error)

// entry holds the components of the process.
type entry struct {
	settings       *settings.Settings
	environment    *environment
	callerServer   *http.Server
	operatorServer *operator.Server
	// shuttingDown is true once the graceful shutdown has begun.
	shuttingDown atomic.Bool
	// stopTasks stops the background tasks.
	stopTasks context.CancelFunc
}

// Run serves callers until ctx ends, then finishes the requests in progress and
// shuts down. On each value from hangups it reads the settings again.
func Run(ctx context.Context, s *settings.Settings, hangups <-chan struct{}, reload LoadSettings) error {
	taskCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	e := &entry{settings: s, stopTasks: stop}
	if err := e.start(taskCtx); err != nil {
		return err
	}
	log := e.environment.dependencies.Log
	log.Info(events.ProcessStarted, events.Fields{"callers": s.CallerAddress.String(), "failureDomain": s.FailureDomain})
	for {
		select {
		case <-ctx.Done():
			return e.shutDown()
		case <-hangups:
			e.reload(reload)
		}
	}
}

func (e *entry) start(taskCtx context.Context) error {
	var err error
	if e.settings.Deployment.StoreAddress.IsValid() {
		e.environment, err = newStoreEnvironment(taskCtx, e.settings, tcpNetwork(e.settings.Deployment.SocketBuffer()))
	} else {
		e.environment, err = newSidecarEnvironment(taskCtx, e.settings)
	}
	if err != nil {
		return err
	}
	if e.operatorServer, err = operator.NewServer(e.settings.OperatorAddress, e.environment.dependencies.Metrics, e.ready); err != nil {
		return err
	}
	if p, ok := caller.NewPreviewer(e.environment.dependencies); ok {
		e.operatorServer.Handle("GET /where", p)
	}
	if at := e.settings.MetricsAddress; at.IsValid() && at != e.settings.OperatorAddress {
		if _, err = operator.NewServer(at, e.environment.dependencies.Metrics, e.ready); err != nil {
			return err
		}
	}
	return e.serveCallers()
}

func (e *entry) serveCallers() error {
	d := e.settings.Deployment
	listener, err := tcp.ListenBounded(e.settings.CallerAddress, d.SocketBuffer())
	if err != nil {
		return err
	}
	connections := newCallerConnections(d.ConnectionLimit(descriptorLimit()), e.environment.dependencies)
	e.callerServer = &http.Server{
		Handler:           e.closeConnections(caller.NewService(e.environment.dependencies)),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ConnState:         connections.track,
	}
	go func() {
		if err := e.callerServer.Serve(listener); err != http.ErrServerClosed {
			e.environment.dependencies.Log.Warn(events.ServeFailed, events.Fields{"error": err.Error()})
		}
	}()
	return nil
}

// closeConnections closes each connection after its response once the shutdown has
// begun.
func (e *entry) closeConnections(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.shuttingDown.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// ready reports whether the platform's balancer should send callers here.
func (e *entry) ready() bool { return !e.shuttingDown.Load() && e.environment.ready() }

// reload reads the settings again. A file that cannot be used changes nothing.
func (e *entry) reload(load LoadSettings) {
	log := e.environment.dependencies.Log
	s, err := load()
	if err != nil {
		log.Warn(events.SettingsRefused, events.Fields{"error": err.Error()})
		return
	}
	if e.environment.reload != nil {
		e.environment.reload(s)
	}
	log.Info(events.SettingsReloaded, nil)
}

// cutOffStalled cuts off callers that have stalled in the last cutOffTime before the
// deadline of ctx, so that the connections of all others end in order.
func cutOffStalled(ctx context.Context, budget *memory.Budget) {
	if deadline, ok := ctx.Deadline(); ok {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(deadline) - cutOffTime):
		}
	}
	for budget != nil && ctx.Err() == nil {
		if budget.CutOffStalled() {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(cutOffInterval):
		}
	}
}

// shutDown finishes the requests in progress and then stops the background tasks.
func (e *entry) shutDown() error {
	log := e.environment.dependencies.Log
	log.Info(events.ProcessStopping, nil)
	e.shuttingDown.Store(true)
	if e.environment.handOver != nil {
		e.environment.handOver()
	}
	time.Sleep(e.environment.lameDuck)
	drainCtx, cancel := context.WithTimeout(context.Background(), e.environment.drainTimeout)
	defer cancel()
	go cutOffStalled(drainCtx, e.environment.dependencies.Memory)
	err := e.callerServer.Shutdown(drainCtx)
	e.stopTasks()
	e.environment.close()
	closeCtx, cancelClose := context.WithTimeout(context.Background(), operatorServerGrace)
	defer cancelClose()
	e.operatorServer.Close(closeCtx)
	log.Info(events.ProcessStopped, nil)
	log.Close()
	return oops.In("entry").Wrap(err)
}
