package entry

import (
	"context"
	"net"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/caller"
	"github.com/cicadareel/cicadareel/internal/connection/peer"
	"github.com/cicadareel/cicadareel/internal/connection/store"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/metrics"
	"github.com/cicadareel/cicadareel/internal/process/settings"
	"github.com/cicadareel/cicadareel/internal/request/admission"
	"github.com/cicadareel/cicadareel/internal/request/memory"
	"github.com/cicadareel/cicadareel/internal/request/quarantine"
	"github.com/cicadareel/cicadareel/internal/request/retry"
	"github.com/cicadareel/cicadareel/internal/tcp"
	"github.com/cicadareel/cicadareel/internal/version/expertswitch"
	"github.com/cicadareel/cicadareel/internal/version/mirror"
	"github.com/cicadareel/cicadareel/internal/version/slowness"
	"github.com/cicadareel/cicadareel/platform"
)

const (
	// storeLameDuck covers two checks of a balancer that checks readiness every
	// second, and the time until its decision takes effect everywhere.
	storeLameDuck = 2500 * time.Millisecond
	// exitMargin is the part of the grace period that is left to end the process
	// itself. In it the lease is released; every other step has a shorter limit.
	exitMargin = 1200 * time.Millisecond
	// expertsLease names the lease whose holder changes expert maps.
	expertsLease = "experts"
	// softLimitRatio is the share of the memory limit that the Go runtime tries to
	// stay under. The rest is for the program itself and for data in sockets.
	softLimitRatio = 0.65
)

// network opens and accepts the connections of a process.
type network struct {
	dial   func(ctx context.Context, network, address string) (net.Conn, error)
	listen func(at netip.AddrPort) (net.Listener, error)
	// dialEndpoint opens the connections for callers' requests to endpoints.
	dialEndpoint func(ctx context.Context, network, address string) (net.Conn, error)
}

// tcpNetwork returns the TCP network of the host. The sockets of connections to endpoints
// have buffers of the number of bytes.
func tcpNetwork(buffer int) network {
	return network{dial: tcp.NewDialer().DialContext, listen: tcp.Listen, dialEndpoint: tcp.NewBoundedDialer(buffer).DialContext}
}

// newStoreEnvironment builds an environment with the platform's store, in which
// endpoints announce themselves.
func newStoreEnvironment(ctx context.Context, s *settings.Settings, n network) (*environment, error) {
	m, err := metrics.NewMetrics()
	if err != nil {
		return nil, err
	}
	limitMemory(s)
	budget := memory.NewBudget(s.Deployment.HeldCapacity())
	registerHeld(m, budget)
	log := events.NewLog(s.LogLevel, s.Instance)
	tableMirror := mirror.NewMirror(platform.WrittenBefore)
	tracker := slowness.NewTracker()
	client := platform.NewStore(s.Deployment.StoreAddress, n.dial)
	budgets := retry.NewBudgets(retry.SharedConfig(s.Deployment.RetryRatio, s.Deployment.RetrySlack, s.Deployment.RetryWindow(), defaultEntryCount))
	fleet := newDirectFleet(ctx, s, n, tableMirror, tracker, log)
	var peers *peerGossip
	suspects := quarantine.NewTracker(s.Instance, func(c quarantine.Change) { handleSuspicion(c, peers, log) })
	controller := admission.NewController(fleet, func() int { return peers.gossip.LiveProcesses() })
	peers, err = newPeerGossip(ctx, s, n, tableMirror, tracker, controller, suspects, fleet, log)
	if err != nil {
		return nil, err
	}
	fleet.liveEntries, fleet.onLimitChange = peers.gossip.LiveInstances, peers.gossip.Spread
	follower := store.NewFollower(ctx, client, tableMirror, peers.gossip.Following, log)
	fleet.loops.Go(func() { memoryLoop(ctx, budget) })
	fleet.loops.Go(func() { admissionLoop(ctx, controller, log) })
	fleet.loops.Go(func() { fleet.placementLoop(ctx) })
	fleet.loops.Go(func() { limitShareLoop(ctx, s, peers.gossip, fleet, budgets) })
	mayChangeMaps := func() bool { return s.Deployment.FencedCommands && peers.gossip.Following() }
	lease := store.NewLease(ctx, client, expertsLease, s.Instance, mayChangeMaps, log)
	maps := newMapController(ctx, fleet, lease, expertswitch.NewPacer(s.Deployment.LinkRate()), log)
	m.RegisterGauge("cicadareel_log_lines_dropped", "Log lines not written.", log.Dropped)
	m.RegisterGauge("cicadareel_limited_accounts", "Client accounts that get less than they ask for.", controller.LimitedAccounts)
	m.RegisterGauge("cicadareel_suspected_prompt_parts", "Parts of prompts and whole requests that are suspected of crashing endpoints.", suspects.SuspectedParts)
	m.RegisterGauge("cicadareel_limited_endpoints", "Endpoints that name a limit on their requests.", fleet.limitedEndpoints)
	m.RegisterGauge("cicadareel_busiest_endpoint_percent", "Requests at the busiest endpoint in percent of the mean of its group.", fleet.busiestPercent)
	m.RegisterGauge("cicadareel_store_era", "How often the store came back from a copy, as it counts.", func() int64 {
		revision, _ := tableMirror.Revision(mirror.Intent)
		return int64(revision.Era)
	})
	m.RegisterGauge("cicadareel_bundle_version", "Version of the bundle in force.", fleet.bundleVersion)
	return &environment{
		dependencies: caller.Dependencies{
			CurrentBundle: fleet.bundle.Load,
			Fleet:         fleet,
			Dialect:       platform.CallerDialect{},
			Admission:     controller,
			Quarantine:    suspects,
			Budgets:       budgets,
			Memory:        budget,
			Log:           log,
			Metrics:       m,
		},
		ready:        fleet.ready,
		lameDuck:     storeLameDuck,
		drainTimeout: s.Deployment.Grace() - storeLameDuck - exitMargin,
		reload: func(s *settings.Settings) {
			limitMemory(s)
			budget.SetCapacity(s.Deployment.HeldCapacity())
		},
		handOver: peers.gossip.StepDown,
		lease:    lease,
		close: func() {
			follower.Wait()
			fleet.wait()
			maps.wait()
			lease.Wait()
			peers.close()
		},
	}, nil
}

// handleSuspicion logs a change of what this entry suspects, and tells peers of its own
// ones.
func handleSuspicion(change quarantine.Change, peers *peerGossip, log *events.Log) {
	byPeer := false
	switch c := change.(type) {
	case quarantine.Suspected:
		byPeer = c.ByPeer
		log.Warn(events.PromptPartSuspected, events.Fields{
			"part": c.Record.Part, "endpoint": c.Record.Endpoint, "blockMs": c.Record.Block.Milliseconds(),
			"likelihood": c.Record.Likelihood, "parts": c.Parts, "byPeer": c.ByPeer,
		})
	case quarantine.TrialBegun:
		log.Info(events.PromptPartTried, events.Fields{"part": c.Record.Part})
	case quarantine.Cleared:
		byPeer = c.ByPeer
		log.Info(events.PromptPartCleared, events.Fields{"part": c.Record.Part, "byPeer": c.ByPeer})
	}
	if !byPeer {
		peers.gossip.Spread()
	}
}

// limitShareInterval is the time between two checks of the number of entries that
// share limits.
const limitShareInterval = time.Second

// limitShareLoop divides the limits on all entries together by the number of live
// entries, or by defaultEntryCount if no other is live. It counts one more, because
// others learn of a starting entry with a delay.
func limitShareLoop(ctx context.Context, s *settings.Settings, g *peer.TableGossip, fleet *directFleet, b *retry.Budgets) {
	ticker := time.NewTicker(limitShareInterval)
	defer ticker.Stop()
	current := defaultEntryCount
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		fleet.splitLimits()
		live := g.LiveProcesses()
		if live == 1 {
			live = defaultEntryCount
		}
		if entries := live + 1; entries != current {
			current = entries
			fleet.entryCount.Store(int32(entries))
			b.Configure(retry.SharedConfig(s.Deployment.RetryRatio, s.Deployment.RetrySlack, s.Deployment.RetryWindow(), entries))
		}
	}
}

// limitMemory makes the runtime collect garbage before the process reaches its
// memory limit.
func limitMemory(s *settings.Settings) {
	if s.Deployment.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.Deployment.MemoryBytes) * softLimitRatio))
	}
}
