// Package entry assembles the entry process: callers' requests in, attempts
// at endpoints out.
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
	"github.com/cicadareel/cicadareel/internal/tcp"
)

const (
	// headerTimeout bounds reading a caller's request header.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds an unused connection of a caller. It exceeds the idle
	// times that callers are told of, so that no request crosses the close.
	idleTimeout = 2 * time.Minute
)

// opsGrace is how long readiness checks and metrics may take to end.
const opsGrace = 100 * time.Millisecond

// Reload returns the settings anew after a signal, or an error that explains
// why the file cannot be used.
type Reload func() (*settings.Settings, error)

// entry holds the parts of the process from its start to its end.
type entry struct {
	settings *settings.Settings
	backing  *backing
	callers  *http.Server
	ops      *operator.Server
	// leaving is true from the start of the graceful shutdown.
	leaving atomic.Bool
	// stop ends the duties.
	stop context.CancelFunc
}

// Run serves until ctx ends, then shuts down without cutting a request. Each
// value from hangups asks for the settings to be read again.
func Run(ctx context.Context, s *settings.Settings, hangups <-chan struct{}, reload Reload) error {
	duties, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	e := &entry{settings: s, stop: stop}
	if err := e.start(duties); err != nil {
		return err
	}
	log := e.backing.parts.Log
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

func (e *entry) start(duties context.Context) error {
	var err error
	if e.settings.Deployment.StoreAddress.IsValid() {
		e.backing, err = newDeployed(duties, e.settings, tcpNetwork())
	} else {
		e.backing, err = newSigned(duties, e.settings)
	}
	if err != nil {
		return err
	}
	if e.ops, err = operator.NewServer(e.settings.OperatorAddress, e.backing.parts.Metrics, e.ready); err != nil {
		return err
	}
	if at := e.settings.MetricsAddress; at.IsValid() && at != e.settings.OperatorAddress {
		if _, err = operator.NewServer(at, e.backing.parts.Metrics, e.ready); err != nil {
			return err
		}
	}
	return e.serveCallers()
}

func (e *entry) serveCallers() error {
	listener, err := tcp.Listen(e.settings.CallerAddress)
	if err != nil {
		return err
	}
	e.callers = &http.Server{
		Handler:           e.closing(caller.NewService(e.backing.parts)),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
	go func() {
		if err := e.callers.Serve(listener); err != http.ErrServerClosed {
			e.backing.parts.Log.Warn(events.ServeFailed, events.Fields{"error": err.Error()})
		}
	}()
	return nil
}

// closing ends each connection after its answer once the process is leaving.
func (e *entry) closing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// ready tells the platform's balancer whether to send callers here.
func (e *entry) ready() bool { return !e.leaving.Load() && e.backing.ready() }

// reload reads the settings again; a file that cannot be used changes nothing.
func (e *entry) reload(read Reload) {
	log := e.backing.parts.Log
	s, err := read()
	if err != nil {
		log.Warn(events.SettingsRefused, events.Fields{"error": err.Error()})
		return
	}
	if e.backing.reload != nil {
		e.backing.reload(s)
	}
	log.Info(events.SettingsReloaded, nil)
}

// shutDown finishes the requests in progress and then ends the duties.
func (e *entry) shutDown() error {
	log := e.backing.parts.Log
	log.Info(events.ProcessStopping, nil)
	e.leaving.Store(true)
	if e.backing.leave != nil {
		e.backing.leave()
	}
	time.Sleep(e.backing.lameDuck)
	bounded, cancel := context.WithTimeout(context.Background(), e.backing.shutdown)
	defer cancel()
	err := e.callers.Shutdown(bounded)
	e.stop()
	e.backing.close()
	closing, stop := context.WithTimeout(context.Background(), opsGrace)
	defer stop()
	e.ops.Close(closing)
	log.Info(events.ProcessStopped, nil)
	log.Close()
	return oops.In("entry").Wrap(err)
}
