package proof

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"github.com/cicadareel/cicadareel/internal/table"
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
	"github.com/cicadareel/cicadareel/internal/version/view"
	"github.com/cicadareel/cicadareel/pkg/bundle"
	"github.com/cicadareel/cicadareel/pkg/order"
)

// promptly is the time within which operators' intent takes effect.
const promptly = 4 * time.Second

// participant is the part of a process that follows the operators' intent.
type participant struct {
	name, domain string
	view         *view.View
	poller       *store.Poller
	members      *store.Members
	spread       *peer.ViewGossip
	clients      *peer.ConnPool
	grpc         *grpc.Server
	stop         context.CancelFunc
	// reach is how this participant sees the platform.
	reach *reach
}

// reach is one participant's way to the platform, which can be cut.
type reach struct {
	*standin.Platform
	cut bool
}

func (r *reach) Get(ctx context.Context, key string) (table.Row, error) {
	if r.cut {
		return table.Row{}, standin.ErrOutage
	}
	return r.Platform.Get(ctx, key)
}

func (r *reach) Scan(ctx context.Context, prefix string) ([]table.Row, error) {
	if r.cut {
		return nil, standin.ErrOutage
	}
	return r.Platform.Scan(ctx, prefix)
}

// ensemble is several participants in two failure domains.
type ensemble struct {
	network      *standin.Network
	table        *standin.Platform
	keys         bundle.KeySet
	private      ed25519.PrivateKey
	participants []*participant
	metrics      *metrics.Metrics
}

func newEnsemble(size int) *ensemble {
	public, private, err := ed25519.GenerateKey(nil)
	Expect(err).NotTo(HaveOccurred())
	m, err := metrics.NewMetrics()
	Expect(err).NotTo(HaveOccurred())
	e := &ensemble{
		network: standin.NewNetwork(),
		table:   standin.NewPlatform(),
		keys:    bundle.KeySet{"anna": public},
		private: private,
		metrics: m,
	}
	list := []store.Instance{}
	for i := range size {
		name := fmt.Sprint("p", i)
		list = append(list, store.Instance{Name: name, FailureDomain: domainOf(i), PeerAddress: addressOf(name), State: store.StateLive})
	}
	e.table.SetInstances(list)
	for i := range size {
		p := &participant{name: fmt.Sprint("p", i), domain: domainOf(i)}
		e.participants = append(e.participants, p)
		e.start(p)
	}
	return e
}

func domainOf(i int) string { return string("ab"[i%2]) }

func (e *ensemble) start(p *participant) {
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	p.reach = &reach{Platform: e.table}
	p.view = view.NewView(e.keys, p.domain)
	p.members = store.NewMembers(ctx, e.table, nil)
	p.poller = store.NewPoller(ctx, store.NewIntentStore(p.reach, e.table), p.view, p.members, quiet)
	self := peer.Self{Instance: p.name, FailureDomain: p.domain, Address: addressOf(p.name)}
	p.clients = peer.NewConnPool(peer.NewDialerWith(insecure.NewCredentials, e.network.Dial))
	p.spread = peer.NewViewGossip(ctx, self, p.view, p.members, p.clients, quiet, e.metrics)
	p.grpc = peer.NewGRPCServer(insecure.NewCredentials())
	status := func() *wire.ProcessStatus { return &wire.ProcessStatus{Instance: p.name} }
	wire.RegisterPeerServer(p.grpc, peer.NewServer(self, p.view, p.spread, status, quiet, e.metrics))
	l := e.network.Listen(self.Address.String())
	server := p.grpc
	go func() { _ = server.Serve(l) }()
}

func (e *ensemble) kill(p *participant) {
	e.network.Disconnect(addressOf(p.name).String())
	p.grpc.Stop()
	p.stop()
	p.spread.Wait()
	p.clients.Close()
	p.poller.Wait()
	p.members.Wait()
}

// restart replaces the process: the new one knows nothing.
func (e *ensemble) restart(p *participant) {
	e.kill(p)
	e.start(p)
}

func (e *ensemble) close() {
	for _, p := range e.participants {
		e.kill(p)
	}
	e.network.Close()
}

func (e *ensemble) intent() *store.IntentStore { return store.NewIntentStore(e.table, e.table) }

// content returns a bundle's text of the given version; note makes it differ.
func (e *ensemble) content(version uint64, note string) []byte {
	return fmt.Appendf(nil, "# %s\nversion = %d\nfailureDomains = [{name=\"a\"}, {name=\"b\"}]\n", note, version)
}

func (e *ensemble) sign(version uint64, note string) *bundle.Signed {
	s, err := bundle.Sign(e.content(version, note), "anna", e.private)
	Expect(err).NotTo(HaveOccurred())
	return s
}

func (e *ensemble) accept(version uint64) {
	Expect(e.intent().ApplyBundle(context.Background(), e.sign(version, ""))).To(Succeed())
}

func (e *ensemble) order(id, target string, kind order.Kind, releases ...string) order.Order {
	o := order.Order{ID: id, Target: target, Kind: kind, Created: time.Now(), Releases: releases}
	o.Sign("anna", e.private)
	return o
}

// tell gives an order to one participant, which tells the others.
func (e *ensemble) tell(p *participant, o order.Order) *wire.OrderReply {
	dialer := peer.NewDialerWith(insecure.NewCredentials, e.network.Dial)
	conn, err := dialer.Dial(addressOf(p.name))
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	reply, err := wire.NewPeerClient(conn).Order(context.Background(), &wire.OrderRequest{
		Orders: []*wire.Hold{peer.OrderToWire(o)}, Spread: true,
	})
	Expect(err).NotTo(HaveOccurred())
	return reply
}

func (e *ensemble) versions() string {
	all := []string{}
	for _, p := range e.participants {
		all = append(all, fmt.Sprint(p.view.Version()))
	}
	return strings.Join(all, " ")
}

func (e *ensemble) expectVersionEverywhere(version uint64) {
	for _, p := range e.participants {
		Expect(p.view.Version()).To(Equal(version), "at %s of %s", p.name, e.versions())
	}
}

// expectStopped checks that no participant would take new work for the target:
// it knows the hold or its view is not usable.
func (e *ensemble) expectStopped(target string) {
	for _, p := range e.participants {
		held := p.view.StrongestHold(target, "") != ""
		Expect(held || !p.view.Freshness().Usable).To(BeTrue(), p.name)
	}
}
