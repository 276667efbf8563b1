package entry

import (
	"context"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/endpoint"
)

const (
	// crashCheckTimeout limits one attempt to connect to an endpoint that may have
	// crashed.
	crashCheckTimeout = 300 * time.Millisecond
	// crashCheckInterval is the time between two such attempts: the operating system may
	// close the connections of a process that ends before it stops listening.
	crashCheckInterval = 30 * time.Millisecond
	crashCheckAttempts = 2
)

// HasCrashed implements caller.Fleet. The other ranks of a group that lost one break off
// their responses after the stall, which says nothing about these ranks.
func (f *directFleet) HasCrashed(ctx context.Context, name string) bool {
	f.mu.RLock()
	e := f.endpoints[name]
	f.mu.RUnlock()
	if e == nil || e.groupBrokenFor() > f.settings.Deployment.Stall()/2 {
		return false
	}
	crashed, _, _ := f.crashChecks.Do(name, func() (any, error) { return e.refusesConnections(ctx), nil })
	return crashed.(bool)
}

// refusesConnections reports whether the endpoint has ended, and takes it out of use if so.
func (e *directEndpoint) refusesConnections(ctx context.Context) bool {
	for attempt := range crashCheckAttempts {
		if attempt > 0 {
			time.Sleep(crashCheckInterval)
		}
		dialCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashCheckTimeout)
		refused := e.commands.Refuses(dialCtx)
		cancel()
		if refused {
			e.Observe(endpoint.ConnectFailed{})
			return true
		}
	}
	return false
}
