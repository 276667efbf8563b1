package sidecar

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/samber/oops"

	"github.com/cicadareel/cicadareel/internal/connection/endpoint"
	"github.com/cicadareel/cicadareel/internal/connection/rank"
	"github.com/cicadareel/cicadareel/internal/connection/store"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/version/expertmap"
	"github.com/cicadareel/cicadareel/internal/version/expertplan"
	"github.com/cicadareel/cicadareel/pkg/bundle"
)

const (
	// planInterval is the time between two decisions about the expert map.
	planInterval = 10 * time.Second
	// holdPause is the expected stand-still of the ranks in a switch.
	holdPause = 100 * time.Millisecond
	// storeShare is the share of step time lost while experts load.
	storeShare = 0.02
	// popularityLife is the time for which a popularity is expected to last.
	popularityLife = 20 * time.Minute
	// switchTimeout bounds one switch.
	switchTimeout = 6 * time.Minute
)

// mapContent is the JSON form of an expert map.
type mapContent struct {
	PerRank int       `json:"perRank"`
	Layers  [][]int32 `json:"layers"`
}

// experts is the coordinator's role: it plans and switches the expert map of
// the sidecar's group while this sidecar is the first of the live ones.
type experts struct {
	sidecar     *sidecar
	engine      *endpoint.MapClient
	planner     *expertplan.Planner
	coordinator *expertmap.Coordinator
	group       *rank.Group
	// active is the map that the planner takes to be in force.
	active expertmap.ID
	// shape is the description that the planner was made for.
	shape bundle.Experts
	// addresses are those that the group was made for.
	addresses []netip.AddrPort
}

func newExperts(p *sidecar, e *endpoint.MapClient) *experts {
	return &experts{sidecar: p, engine: e}
}

func (x *experts) loop(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			x.turn(ctx)
		}
	}
}

// turn plans and switches once, if the role is this sidecar's.
func (x *experts) turn(ctx context.Context) {
	g := x.sidecar.group()
	if g == nil || g.Experts == nil {
		return
	}
	addresses, first := x.members(g)
	if !first {
		x.planner = nil
		return
	}
	x.prepare(g, addresses)
	ctx, cancel := context.WithTimeout(ctx, switchTimeout)
	defer cancel()
	if err := x.coordinator.Recover(ctx); err != nil {
		x.fail(err)
		return
	}
	if err := x.follow(ctx); err != nil {
		x.fail(err)
		return
	}
	counts := x.group.TakeCounts(g.Experts.Layers, g.Experts.PerLayer)
	if counts == nil {
		return
	}
	x.planner.Observe(counts)
	plan, ok := x.planner.Decide()
	if !ok {
		return
	}
	x.change(ctx, plan)
}

// follow makes the planner start from the engine's map, if another coordinator
// or an earlier turn switched to one that the planner does not know.
func (x *experts) follow(ctx context.Context) error {
	state, err := x.engine.State(ctx)
	if err != nil || state.Active == x.active {
		return err
	}
	encoded, err := x.engine.ActiveContent(ctx)
	if err != nil {
		return err
	}
	var content mapContent
	if err := json.Unmarshal(encoded, &content); err != nil {
		return oops.In("sidecar").Wrap(err)
	}
	layers := []expertplan.Placement{}
	for _, slots := range content.Layers {
		layers = append(layers, expertplan.Placement{Slots: slots, PerRank: content.PerRank})
	}
	if !x.fits(layers) {
		return nil
	}
	x.planner = x.newPlanner(layers)
	x.active = state.Active
	return nil
}

// fits reports whether a map has the shape that the bundle describes.
func (x *experts) fits(layers []expertplan.Placement) bool {
	slots := len(x.addresses) * x.shape.RanksPerEndpoint * x.shape.SlotsPerRank
	for _, l := range layers {
		if l.PerRank != x.shape.SlotsPerRank || len(l.Slots) != slots {
			return false
		}
	}
	return len(layers) == x.shape.Layers
}

func (x *experts) newPlanner(layers []expertplan.Placement) *expertplan.Planner {
	return expertplan.NewPlanner(layers, x.shape.PerLayer, expertplan.Costs{
		ExpertBytes: x.shape.Bytes,
		StoreRate:   x.shape.StoreBytesPerSecond,
		HoldPause:   holdPause,
		StoreShare:  storeShare,
		Life:        popularityLife,
	})
}

// members returns the addresses of the group's sidecars in the order of the
// bundle, and whether this sidecar's endpoint is the first live one. Without
// all of them the group makes no steps and cannot switch.
func (x *experts) members(g *bundle.Group) ([]netip.AddrPort, bool) {
	at := map[string]store.Instance{}
	for _, i := range x.sidecar.common.Members.List() {
		at[i.Endpoint] = i
	}
	addresses := []netip.AddrPort{}
	lowest := ""
	for _, name := range x.sidecar.common.View.Bundle().EndpointsOf(g.Name) {
		i, ok := at[name]
		if !ok {
			return nil, false
		}
		if lowest == "" && i.State == store.StateLive {
			lowest = name
		}
		addresses = append(addresses, i.PeerAddress)
	}
	return addresses, lowest == x.sidecar.common.Settings.Endpoint
}

// prepare makes the planner and the group anew when the bundle or the
// instances changed.
func (x *experts) prepare(g *bundle.Group, addresses []netip.AddrPort) {
	if x.planner == nil || x.shape != *g.Experts || len(x.addresses) != len(addresses) {
		x.shape = *g.Experts
		ranks := len(addresses) * g.Experts.RanksPerEndpoint
		layers := make([]expertplan.Placement, g.Experts.Layers)
		for i := range layers {
			layers[i] = expertplan.Even(ranks, g.Experts.SlotsPerRank, g.Experts.PerLayer)
		}
		x.planner = x.newPlanner(layers)
		x.active = ""
	}
	x.addresses = addresses
	x.group = rank.NewGroup(x.sidecar.common.Dialer, addresses)
	if x.coordinator == nil {
		x.coordinator = expertmap.NewCoordinator(x.group, x.sidecar.common.Incarnation)
	}
	x.coordinator.SetGroup(x.group)
}

func (x *experts) change(ctx context.Context, plan expertplan.Plan) {
	content := mapContent{PerRank: x.shape.SlotsPerRank}
	for _, layer := range plan.Layers {
		content.Layers = append(content.Layers, layer.Slots)
	}
	encoded, err := json.Marshal(content)
	if err != nil {
		x.fail(err)
		return
	}
	sum := sha256.Sum256(encoded)
	m := expertmap.Map{ID: expertmap.ID(hex.EncodeToString(sum[:])), Content: encoded}
	if err := x.coordinator.Switch(ctx, m); err != nil {
		x.fail(err)
		return
	}
	x.planner.Adopt(plan)
	x.active = m.ID
	x.sidecar.common.Log.Info(events.MapActivated, events.Fields{"map": m.ID, "moves": plan.Moves, "skewBefore": plan.Before, "skewAfter": plan.After})
}

func (x *experts) fail(err error) {
	x.sidecar.common.Log.Warn(events.MapSwitchFailed, events.Fields{"error": err.Error()})
}
