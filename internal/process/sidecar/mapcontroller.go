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
	// holdPause is how long the ranks are expected to stand still in a switch.
	holdPause = 100 * time.Millisecond
	// loadOverhead is the share of step time lost while experts load.
	loadOverhead = 0.02
	// popularityLifetime is how long a popularity of experts is expected to last.
	popularityLifetime = 20 * time.Minute
	// switchTimeout limits one call of planAndSwitch.
	switchTimeout = 6 * time.Minute
)

// mapDocument is the JSON form of an expert map.
type mapDocument struct {
	PerRank int       `json:"perRank"`
	Layers  [][]int32 `json:"layers"`
}

// mapController plans and switches the expert map of the sidecar's group while this
// sidecar is the coordinator: the first live one in the order of the bundle.
type mapController struct {
	sidecar     *sidecar
	engine      *endpoint.MapClient
	planner     *expertplan.Planner
	coordinator *expertmap.Coordinator
	group       *rank.Group
	// active is the map that the planner starts from; empty while that is the cyclic
	// placement.
	active expertmap.ID
	// shape is the expert configuration that the planner was created for.
	shape bundle.Experts
	// addresses are the addresses that the group was created with.
	addresses []netip.AddrPort
}

func newMapController(p *sidecar, e *endpoint.MapClient) *mapController {
	return &mapController{sidecar: p, engine: e}
}

func (m *mapController) loop(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.planAndSwitch(ctx)
		}
	}
}

// planAndSwitch plans and switches once if this sidecar is the coordinator.
func (m *mapController) planAndSwitch(ctx context.Context) {
	g := m.sidecar.group()
	if g == nil || g.Experts == nil {
		return
	}
	addresses, first := m.groupAddresses(g)
	if !first {
		m.planner = nil
		return
	}
	m.refresh(g, addresses)
	ctx, cancel := context.WithTimeout(ctx, switchTimeout)
	defer cancel()
	if err := m.coordinator.Recover(ctx); err != nil {
		m.logFailure(err)
		return
	}
	if err := m.syncPlanner(ctx); err != nil {
		m.logFailure(err)
		return
	}
	counts := m.group.TakeCounts(g.Experts.Layers, g.Experts.PerLayer)
	if counts == nil {
		return
	}
	m.planner.Observe(counts)
	plan, ok := m.planner.Decide()
	if !ok {
		return
	}
	m.switchMap(ctx, plan)
}

// syncPlanner makes the planner start from the engine's map if another coordinator
// or an earlier round switched to a map that the planner does not know.
func (m *mapController) syncPlanner(ctx context.Context) error {
	state, err := m.engine.State(ctx)
	if err != nil || state.Active == m.active {
		return err
	}
	encoded, err := m.engine.ActiveContent(ctx)
	if err != nil {
		return err
	}
	var content mapDocument
	if err := json.Unmarshal(encoded, &content); err != nil {
		return oops.In("sidecar").Wrap(err)
	}
	layers := []expertplan.Placement{}
	for _, slots := range content.Layers {
		layers = append(layers, expertplan.Placement{Slots: slots, PerRank: content.PerRank})
	}
	if !m.matchesShape(layers) {
		return nil
	}
	m.planner = m.newPlanner(layers)
	m.active = state.Active
	return nil
}

// matchesShape reports whether a map has the dimensions that the bundle describes.
func (m *mapController) matchesShape(layers []expertplan.Placement) bool {
	slots := len(m.addresses) * m.shape.RanksPerEndpoint * m.shape.SlotsPerRank
	for _, l := range layers {
		if l.PerRank != m.shape.SlotsPerRank || len(l.Slots) != slots {
			return false
		}
	}
	return len(layers) == m.shape.Layers
}

func (m *mapController) newPlanner(layers []expertplan.Placement) *expertplan.Planner {
	return expertplan.NewPlanner(layers, m.shape.PerLayer, expertplan.Costs{
		ExpertBytes:        m.shape.Bytes,
		StoreRate:          m.shape.StoreBytesPerSecond,
		HoldPause:          holdPause,
		LoadOverhead:       loadOverhead,
		PopularityLifetime: popularityLifetime,
	})
}

// groupAddresses returns the addresses of the group's sidecars in the order of the
// bundle, and whether this sidecar's endpoint is the first live one. Unless all are
// known, the group makes no steps and cannot switch.
func (m *mapController) groupAddresses(g *bundle.Group) ([]netip.AddrPort, bool) {
	at := map[string]store.Instance{}
	for _, i := range m.sidecar.common.Members.List() {
		at[i.Endpoint] = i
	}
	addresses := []netip.AddrPort{}
	firstLive := ""
	for _, name := range m.sidecar.common.View.Bundle().EndpointNames(g.Name) {
		i, ok := at[name]
		if !ok {
			return nil, false
		}
		if firstLive == "" && i.State == store.StateLive {
			firstLive = name
		}
		addresses = append(addresses, i.PeerAddress)
	}
	return addresses, firstLive == m.sidecar.common.Settings.Endpoint
}

// refresh replaces the group. It also replaces the planner if the shape or the
// number of instances changed.
func (m *mapController) refresh(g *bundle.Group, addresses []netip.AddrPort) {
	if m.planner == nil || m.shape != *g.Experts || len(m.addresses) != len(addresses) {
		m.shape = *g.Experts
		ranks := len(addresses) * g.Experts.RanksPerEndpoint
		layers := make([]expertplan.Placement, g.Experts.Layers)
		for i := range layers {
			layers[i] = expertplan.CyclicPlacement(ranks, g.Experts.SlotsPerRank, g.Experts.PerLayer)
		}
		m.planner = m.newPlanner(layers)
		m.active = ""
	}
	m.addresses = addresses
	m.group = rank.NewGroup(m.sidecar.common.Dialer, addresses)
	if m.coordinator == nil {
		m.coordinator = expertmap.NewCoordinator(m.group, m.sidecar.common.Incarnation)
	}
	m.coordinator.SetGroup(m.group)
}

func (m *mapController) switchMap(ctx context.Context, plan expertplan.Plan) {
	content := mapDocument{PerRank: m.shape.SlotsPerRank}
	for _, layer := range plan.Layers {
		content.Layers = append(content.Layers, layer.Slots)
	}
	encoded, err := json.Marshal(content)
	if err != nil {
		m.logFailure(err)
		return
	}
	sum := sha256.Sum256(encoded)
	next := expertmap.Map{ID: expertmap.ID(hex.EncodeToString(sum[:])), Content: encoded}
	if err := m.coordinator.Switch(ctx, next); err != nil {
		m.logFailure(err)
		return
	}
	m.planner.Adopt(plan)
	m.active = next.ID
	m.sidecar.common.Log.Info(events.MapActivated, events.Fields{"map": next.ID, "moves": plan.Moves, "skewBefore": plan.SkewBefore, "skewAfter": plan.SkewAfter})
}

func (m *mapController) logFailure(err error) {
	m.sidecar.common.Log.Warn(events.MapSwitchFailed, events.Fields{"error": err.Error()})
}
