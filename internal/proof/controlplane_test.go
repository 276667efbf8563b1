package proof

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/cicadareel/cicadareel/internal/connection/peer"
	"github.com/cicadareel/cicadareel/internal/connection/store"
	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/metrics"
	"github.com/cicadareel/cicadareel/internal/standin"
	"github.com/cicadareel/cicadareel/internal/table"
	"github.com/cicadareel/cicadareel/internal/version/view"
	"github.com/cicadareel/cicadareel/pkg/bundle"
	"github.com/cicadareel/cicadareel/pkg/order"
)

// propagationLimit is the time within which a new bundle or order takes effect at
// every process.
const propagationLimit = 4 * time.Second

// process is the part of an entry or sidecar process that follows the operators'
// bundles and orders.
type process struct {
	name, failureDomain string
	view                *view.View
	poller              *store.Poller
	members             *store.Members
	gossip              *peer.ViewGossip
	conns               *peer.ConnPool
	grpcServer          *grpc.Server
	stop                context.CancelFunc
	// reader reads the platform's table for this process.
	reader *tableReader
}

// tableReader reads the platform's table for one process. Its reads fail with ErrOutage
// while unreachable is true.
type tableReader struct {
	*standin.Platform
	unreachable bool
}

// Get returns a row of the table.
func (r *tableReader) Get(ctx context.Context, key string) (table.Row, error) {
	if r.unreachable {
		return table.Row{}, standin.ErrOutage
	}
	return r.Platform.Get(ctx, key)
}

// Scan returns the rows whose keys have the prefix.
func (r *tableReader) Scan(ctx context.Context, prefix string) ([]table.Row, error) {
	if r.unreachable {
		return nil, standin.ErrOutage
	}
	return r.Platform.Scan(ctx, prefix)
}

// controlPlane is a set of processes in two failure domains that share a table and
// exchange bundles and orders by gossip. It carries no request traffic.
type controlPlane struct {
	network    *standin.Network
	platform   *standin.Platform
	keys       bundle.KeySet
	privateKey ed25519.PrivateKey
	processes  []*process
	metrics    *metrics.Metrics
}

// newControlPlane starts processes p0, p1, ... in the failure domains a and b in turn.
func newControlPlane(size int) *controlPlane {
	public, private, err := ed25519.GenerateKey(nil)
	Expect(err).NotTo(HaveOccurred())
	m, err := metrics.NewMetrics()
	Expect(err).NotTo(HaveOccurred())
	c := &controlPlane{
		network:    standin.NewNetwork(),
		platform:   standin.NewPlatform(),
		keys:       bundle.KeySet{"anna": public},
		privateKey: private,
		metrics:    m,
	}
	list := []store.Instance{}
	for i := range size {
		name := fmt.Sprint("p", i)
		list = append(list, store.Instance{Name: name, FailureDomain: failureDomainOf(i), PeerAddress: addressOf(name), State: store.StateLive})
	}
	c.platform.SetInstances(list)
	for i := range size {
		p := &process{name: fmt.Sprint("p", i), failureDomain: failureDomainOf(i)}
		c.processes = append(c.processes, p)
		c.start(p)
	}
	return c
}

func failureDomainOf(i int) string { return string("ab"[i%2]) }

// start starts the poller, the gossip and the peer server of a process.
func (c *controlPlane) start(p *process) {
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	p.reader = &tableReader{Platform: c.platform}
	p.view = view.NewView(c.keys, p.failureDomain)
	p.members = store.NewMembers(ctx, c.platform, nil)
	p.poller = store.NewPoller(ctx, store.NewIntentStore(p.reader, c.platform), p.view, p.members, silentLog)
	self := peer.Self{Instance: p.name, FailureDomain: p.failureDomain, Address: addressOf(p.name)}
	p.conns = peer.NewConnPool(peer.NewDialerWith(insecure.NewCredentials, c.network.Dial))
	p.gossip = peer.NewViewGossip(ctx, self, p.view, p.members, p.conns, silentLog, c.metrics)
	p.grpcServer = peer.NewGRPCServer(insecure.NewCredentials())
	status := func() *wire.ProcessStatus { return &wire.ProcessStatus{Instance: p.name} }
	wire.RegisterPeerServer(p.grpcServer, peer.NewServer(self, p.view, p.gossip, status, silentLog, c.metrics))
	l := c.network.Listen(self.Address.String())
	server := p.grpcServer
	go func() { _ = server.Serve(l) }()
}

// kill disconnects a process and stops all its parts.
func (c *controlPlane) kill(p *process) {
	c.network.Disconnect(addressOf(p.name).String())
	p.grpcServer.Stop()
	p.stop()
	p.gossip.Wait()
	p.conns.Close()
	p.poller.Wait()
	p.members.Wait()
}

// restart replaces a process by a new one with an empty view.
func (c *controlPlane) restart(p *process) {
	c.kill(p)
	c.start(p)
}

func (c *controlPlane) close() {
	for _, p := range c.processes {
		c.kill(p)
	}
	c.network.Close()
}

func (c *controlPlane) intentStore() *store.IntentStore {
	return store.NewIntentStore(c.platform, c.platform)
}

// bundleText returns the text of a bundle of the given version. Different notes give
// different texts.
func (c *controlPlane) bundleText(version uint64, note string) []byte {
	return fmt.Appendf(nil, "# %s\nversion = %d\nfailureDomains = [{name=\"a\"}, {name=\"b\"}]\n", note, version)
}

func (c *controlPlane) signBundle(version uint64, note string) *bundle.Signed {
	s, err := bundle.Sign(c.bundleText(version, note), "anna", c.privateKey)
	Expect(err).NotTo(HaveOccurred())
	return s
}

// applyBundle writes a signed bundle of the given version to the table, as an operator
// does.
func (c *controlPlane) applyBundle(version uint64) {
	Expect(c.intentStore().ApplyBundle(context.Background(), c.signBundle(version, ""))).To(Succeed())
}

func (c *controlPlane) signedOrder(id, target string, kind order.Kind, releases ...string) order.Order {
	o := order.Order{ID: id, Target: target, Kind: kind, Created: time.Now(), Releases: releases}
	o.Sign("anna", c.privateKey)
	return o
}

// sendOrder sends an order to one process, which forwards it to all others, and returns
// that process's reply.
func (c *controlPlane) sendOrder(p *process, o order.Order) *wire.OrderReply {
	dialer := peer.NewDialerWith(insecure.NewCredentials, c.network.Dial)
	conn, err := dialer.Dial(addressOf(p.name))
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	reply, err := wire.NewPeerClient(conn).Order(context.Background(), &wire.OrderRequest{
		Orders: []*wire.Hold{peer.OrderToWire(o)}, Spread: true,
	})
	Expect(err).NotTo(HaveOccurred())
	return reply
}

// versionList lists the bundle version of each process, for failure messages.
func (c *controlPlane) versionList() string {
	all := []string{}
	for _, p := range c.processes {
		all = append(all, fmt.Sprint(p.view.Version()))
	}
	return strings.Join(all, " ")
}

// expectVersionEverywhere checks that every process has the bundle version.
func (c *controlPlane) expectVersionEverywhere(version uint64) {
	for _, p := range c.processes {
		Expect(p.view.Version()).To(Equal(version), "at %s of %s", p.name, c.versionList())
	}
}

// expectNoNewWork checks that no process accepts new work for the target: it knows a
// hold on the target, or its view is not usable.
func (c *controlPlane) expectNoNewWork(target string) {
	for _, p := range c.processes {
		held := p.view.StrongestHold(target, "") != ""
		Expect(held || !p.view.Freshness().Usable).To(BeTrue(), p.name)
	}
}
