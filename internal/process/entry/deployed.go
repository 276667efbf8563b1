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
	"github.com/cicadareel/cicadareel/internal/request/retry"
	"github.com/cicadareel/cicadareel/internal/tcp"
	"github.com/cicadareel/cicadareel/internal/version/mirror"
	"github.com/cicadareel/cicadareel/internal/version/pace"
	"github.com/cicadareel/cicadareel/platform"
)

const (
	// deployedLameDuck covers two checks of a balancer that asks each second,
	// and the time for its news to spread.
	deployedLameDuck = 2500 * time.Millisecond
	// exitMargin is kept of the grace for ending the process itself: the lease is
	// given back, and every other step has its own shorter bound.
	exitMargin = 1200 * time.Millisecond
	// expertsLease names the lease of the process that changes expert maps.
	expertsLease = "experts"
	// memoryShare is the part of the memory limit that the runtime aims to stay
	// under; the rest is for unread bytes and stacks of the system.
	memoryShare = 0.8
)

// network is how a process reaches others and is reached.
type network struct {
	dial   func(ctx context.Context, network, address string) (net.Conn, error)
	listen func(at netip.AddrPort) (net.Listener, error)
}

// tcpNetwork is the machine's own.
func tcpNetwork() network { return network{dial: tcp.Dialer().DialContext, listen: tcp.Listen} }

// newDeployed backs an entry by the platform's store and by endpoints that
// announce themselves there.
func newDeployed(ctx context.Context, s *settings.Settings, n network) (*backing, error) {
	m, err := metrics.NewMetrics()
	if err != nil {
		return nil, err
	}
	limitMemory(s)
	log := events.NewLog(s.LogLevel, s.Instance)
	copies := mirror.NewMirror()
	paces := pace.NewBoard()
	rows := platform.NewStore(s.Deployment.StoreAddress, n.dial)
	budgets := retry.NewBudgets(retry.SharedTerms(s.Deployment.RetryRatio, s.Deployment.RetrySlack, s.Deployment.RetryWindow(), entriesUnknown))
	peers, err := newPeers(ctx, s, n, copies, paces, log)
	if err != nil {
		return nil, err
	}
	follower := store.NewFollower(ctx, rows, copies, peers.mirrors.Following, log)
	d := newDirectory(ctx, s, n, copies, paces, log)
	d.done.Go(func() { shareLoop(ctx, s, peers.mirrors, d, budgets) })
	lease := store.NewLease(ctx, rows, expertsLease, s.Instance, peers.mirrors.Following, log)
	maps := newExperts(ctx, d, lease, log)
	m.Gauge("cicadareel_log_lines_dropped", "Log lines not written.", log.Dropped)
	m.Gauge("cicadareel_bundle_version", "Version of the bundle in force.", d.version)
	return &backing{
		parts: caller.Parts{
			Bundles: d.bundle.Load,
			Fleet:   d,
			Dialect: platform.CallerDialect{},
			Budgets: budgets,
			Log:     log,
			Metrics: m,
		},
		ready:    d.ready,
		lameDuck: deployedLameDuck,
		shutdown: s.Deployment.Grace() - deployedLameDuck - exitMargin,
		reload:   limitMemory,
		leave:    peers.mirrors.StepDown,
		lease:    lease,
		close: func() {
			follower.Wait()
			d.wait()
			maps.wait()
			lease.Wait()
			peers.close()
		},
	}, nil
}

// shareInterval is the time between two looks at the number of entries that
// share limits.
const shareInterval = time.Second

// shareLoop splits what all entries together may do between those that live.
// One more is counted, for an entry that starts is heard a little later.
func shareLoop(ctx context.Context, s *settings.Settings, m *peer.TableGossip, d *directory, b *retry.Budgets) {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	shared := entriesUnknown
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		live := m.LiveProcesses()
		if live == 1 {
			live = entriesUnknown
		}
		if entries := live + 1; entries != shared {
			shared = entries
			d.entries.Store(int32(entries))
			b.SetTerms(retry.SharedTerms(s.Deployment.RetryRatio, s.Deployment.RetrySlack, s.Deployment.RetryWindow(), entries))
		}
	}
}

// limitMemory makes the runtime collect garbage before the process reaches its
// memory limit.
func limitMemory(s *settings.Settings) {
	if s.Deployment.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.Deployment.MemoryBytes) * memoryShare))
	}
}
