package rank

import (
	"context"
	"net/netip"
	"sync"

	"github.com/samber/oops"

	"github.com/cicadareel/cicadareel/internal/connection/peer"
	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/version/expertmap"
)

// Group sends commands to the sidecars of one group. It implements expertmap.Group
// and sums the token counts in the replies to queries.
type Group struct {
	dialer    *peer.Dialer
	addresses []netip.AddrPort

	mu sync.Mutex
	// counts are the sums of the token counts received since the last TakeCounts.
	counts []float64
}

// NewGroup returns a group whose member i has the address addresses[i].
func NewGroup(d *peer.Dialer, addresses []netip.AddrPort) *Group {
	return &Group{dialer: d, addresses: addresses}
}

// Size implements expertmap.Group.
func (g *Group) Size() int { return len(g.addresses) }

// Send implements expertmap.Group. It opens a new connection for each command, since
// switches are rare and an idle connection may have broken without notice.
func (g *Group) Send(ctx context.Context, member int, e expertmap.Envelope) (expertmap.Reply, error) {
	conn, err := g.dialer.Dial(g.addresses[member])
	if err != nil {
		return expertmap.Reply{}, err
	}
	defer func() { _ = conn.Close() }()
	command := &wire.MapCommand{BallotCounter: e.Ballot.Counter, BallotOwner: e.Ballot.Owner, Incarnation: e.Incarnation}
	commandToWire(e.Command, command)
	report, err := wire.NewGroupClient(conn).Command(ctx, command)
	if err != nil {
		return expertmap.Reply{}, oops.In("rank").With("address", g.addresses[member].String()).Wrap(err)
	}
	g.addCounts(report.GetCounts())
	return replyFromWire(report), nil
}

// addCounts adds token counts to the sums.
func (g *Group) addCounts(counts []float32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.counts) < len(counts) {
		g.counts = append(g.counts, make([]float64, len(counts)-len(g.counts))...)
	}
	for i, n := range counts {
		g.counts[i] += float64(n)
	}
}

// TakeCounts returns the summed token counts by layer and expert, and resets them.
// It returns nil if their number is not layers times experts.
func (g *Group) TakeCounts(layers, experts int) [][]float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := g.counts
	g.counts = nil
	if len(counts) != layers*experts {
		return nil
	}
	out := make([][]float64, layers)
	for layer := range out {
		out[layer] = counts[layer*experts : (layer+1)*experts]
	}
	return out
}
