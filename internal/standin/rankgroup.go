package standin

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// RankFaults are the faults of the commands to a RankGroup. The group draws them from a
// seeded source, so that a run can be repeated.
type RankFaults struct {
	// Lose is the fraction of commands that are executed but get no response.
	Lose float64
	// Late is the fraction that get no response and are executed after LateBy.
	Late   float64
	LateBy time.Duration
}

// RankGroup stands in for a group of ranks in lock-step on the users' platform. It makes
// steps, executes commands about expert maps, and records each step that ranks began
// with different maps.
type RankGroup struct {
	// Name is the name of the group.
	Name string
	// Layers is the number of layers, Experts the number of experts per layer, and
	// SlotsPerRank the highest number of experts per layer on one rank.
	Layers, Experts, SlotsPerRank int
	// StepTime is the time of one step.
	StepTime time.Duration
	// Fenced makes ranks reject commands with a lower fencing token than an earlier one.
	Fenced bool

	mu     sync.Mutex
	random *rand.Rand
	faults RankFaults
	step   uint64
	epoch  uint64
	ranks  []*rankState
	// violations describes the steps that ranks began with different maps.
	violations []string
	// holdTime is the time that the group has waited at the present hold. longestHold is
	// the longest time that it waited at one hold.
	holdTime, longestHold time.Duration
	// popularExpert is the expert that requests choose most.
	popularExpert int
	// broken is true while the group cannot run.
	broken bool
	// idle holds the ranks that get no requests, so that their expert counts stay.
	idle map[int]bool
}

// expertMap is an expert map: the experts by layer and rank.
type expertMap struct {
	version uint64
	layout  [][][]int32
}

// rankState is the state of one rank.
type rankState struct {
	active   expertMap
	prepared *expertMap
	// highestVersion is the highest map version that was prepared.
	highestVersion uint64
	armed          *rankArming
	// held is the step before which the rank waits; nil if there is none.
	held *uint64
	// highestToken is the highest fencing token that the rank has seen.
	highestToken uint64
	// counts holds the requests that chose each expert, layer by layer.
	counts []float64
}

// rankArming is an armed switch: the rank uses the map version from the step on.
type rankArming struct {
	Version uint64 `json:"version"`
	Step    uint64 `json:"step"`
}

// NewRankGroup returns a group with a number of ranks. Run makes its steps.
func NewRankGroup(name string, size, layers, experts, slotsPerRank int, seed uint64) *RankGroup {
	g := &RankGroup{
		Name: name, Layers: layers, Experts: experts, SlotsPerRank: slotsPerRank, StepTime: 60 * time.Millisecond, Fenced: true,
		random: rand.New(rand.NewPCG(seed, 1)), epoch: 1,
		idle: map[int]bool{},
	}
	for range size {
		g.ranks = append(g.ranks, g.newRank(size))
	}
	return g
}

// newRank returns a rank with map version 0, which gives expert e to rank e modulo size.
func (g *RankGroup) newRank(size int) *rankState {
	layout := make([][][]int32, g.Layers)
	for l := range layout {
		layout[l] = make([][]int32, size)
		for e := range g.Experts {
			layout[l][e%size] = append(layout[l][e%size], int32(e))
		}
	}
	return &rankState{active: expertMap{layout: layout}, counts: make([]float64, g.Layers*g.Experts)}
}

// SetFaults sets the faults of the following commands.
func (g *RankGroup) SetFaults(f RankFaults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = f
}

// SetIdle stops the requests to a rank.
func (g *RankGroup) SetIdle(rank int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.idle[rank] = true
}

// ShiftPopularity moves the popularity to other experts.
func (g *RankGroup) ShiftPopularity() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.popularExpert = (g.popularExpert + 1 + g.random.IntN(g.Experts-1)) % g.Experts
}

// SetBroken breaks or repairs the group. While it is broken, it rejects requests without
// running them and its reports say so. A repaired group is in a new epoch.
func (g *RankGroup) SetBroken(broken bool) {
	g.mu.Lock()
	g.broken = broken
	g.mu.Unlock()
	if !broken {
		g.StartNewEpoch()
	}
}

// isBroken reports whether the group is broken.
func (g *RankGroup) isBroken() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.broken
}

// StartNewEpoch resets all ranks to the initial map and state in a new epoch.
func (g *RankGroup) StartNewEpoch() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.epoch++
	for i := range g.ranks {
		g.ranks[i] = g.newRank(len(g.ranks))
	}
}

// Violations describes the steps that ranks began with different maps.
func (g *RankGroup) Violations() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.violations)
}

// LongestHold returns the longest time that the group waited at one hold.
func (g *RankGroup) LongestHold() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.longestHold
}

// MapVersion returns the version of the active map of rank 0.
func (g *RankGroup) MapVersion() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ranks[0].active.version
}

// Step returns the number of the last step that began.
func (g *RankGroup) Step() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.step
}

// Epoch returns the current epoch.
func (g *RankGroup) Epoch() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.epoch
}

// Run makes a step every StepTime until done is closed.
func (g *RankGroup) Run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(g.StepTime):
			g.makeStep()
		}
	}
}

// makeStep begins the next step unless a rank is held before it. Ranks that are armed
// for the step switch to their prepared maps.
func (g *RankGroup) makeStep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := g.step + 1
	for _, r := range g.ranks {
		if r.held != nil && *r.held <= next {
			g.holdTime += g.StepTime
			g.longestHold = max(g.longestHold, g.holdTime)
			return
		}
	}
	g.holdTime = 0
	g.step = next
	for i, r := range g.ranks {
		if r.armed != nil && r.armed.Step <= next {
			r.active, r.prepared, r.armed = *r.prepared, nil, nil
		}
		if g.idle[i] {
			continue
		}
		for l := range g.Layers {
			for e := range g.Experts {
				r.counts[l*g.Experts+e] += g.popularity(e)
			}
		}
	}
	g.checkVersions()
}

// popularity returns the requests per step that choose an expert. A few neighbouring
// experts get far more than the others.
func (g *RankGroup) popularity(expert int) float64 {
	distance := (expert - g.popularExpert + g.Experts) % g.Experts
	return 1 + 40/float64(1+distance*distance)
}

// checkVersions records a violation if two ranks use different map versions.
func (g *RankGroup) checkVersions() {
	first := g.ranks[0].active
	for i, r := range g.ranks {
		if r.active.version != first.version {
			g.violations = append(g.violations, fmt.Sprintf("step %d: rank %d has map %d, rank 0 has %d", g.step, i, r.active.version, first.version))
			return
		}
	}
}

// Handler serves the platform's calls about one rank and passes other requests to next.
func (g *RankGroup) Handler(rank int, next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/report", func(w http.ResponseWriter, _ *http.Request) { g.respondReport(w, rank) })
	mux.HandleFunc("GET /-/picked", func(w http.ResponseWriter, r *http.Request) { g.respondPicked(w, rank, r.URL.Query().Has("lists")) })
	mux.HandleFunc("POST /-/order", func(w http.ResponseWriter, r *http.Request) { g.handleCommand(w, r, rank) })
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if g.isBroken() {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
	return mux
}

// respondReport responds with the state of a rank.
func (g *RankGroup) respondReport(w http.ResponseWriter, rank int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[rank]
	var prepared *uint64
	if r.prepared != nil {
		prepared = &r.prepared.version
	}
	state := "open"
	if g.broken {
		state = "broken"
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"group": map[string]any{"name": g.Name, "epoch": g.epoch, "rank": rank, "state": state},
		"step":  g.step, "expert_map": r.active.version, "prepared": prepared, "armed": r.armed, "held": r.held, "pace": 1,
	})
}

// respondPicked responds with the expert counts of a rank or, if withExperts is set, with
// the experts that it holds.
func (g *RankGroup) respondPicked(w http.ResponseWriter, rank int, withExperts bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[rank]
	if !withExperts {
		_ = json.NewEncoder(w).Encode(map[string]any{"step": g.step, "epoch": g.epoch, "counts": r.counts})
		return
	}
	loadedExperts := func(m expertMap) map[string]any {
		experts := [][]int32{}
		for _, layer := range m.layout {
			experts = append(experts, layer[rank])
		}
		return map[string]any{"version": m.version, "experts": experts}
	}
	content := map[string]any{"step": g.step, "epoch": g.epoch, "expert_map": loadedExperts(r.active), "prepared": nil}
	if r.prepared != nil {
		content["prepared"] = loadedExperts(*r.prepared)
	}
	_ = json.NewEncoder(w).Encode(content)
}

// rankCommand is a command on the wire, where it is called an order.
type rankCommand struct {
	Operation    string      `json:"operation"`
	FencingToken uint64      `json:"fencing_token"`
	Epoch        uint64      `json:"epoch"`
	Version      uint64      `json:"version"`
	Step         uint64      `json:"step"`
	ExpertMap    [][][]int32 `json:"expert_map"`
}

// handleCommand executes a command, or applies one of the faults to it.
func (g *RankGroup) handleCommand(w http.ResponseWriter, r *http.Request, rank int) {
	var c rankCommand
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	draw, f := g.random.Float64(), g.faults
	if draw < f.Late {
		g.mu.Unlock()
		time.AfterFunc(f.LateBy, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.execute(rank, c)
		})
		<-r.Context().Done()
		return
	}
	status := g.execute(rank, c)
	g.mu.Unlock()
	if draw < f.Late+f.Lose {
		<-r.Context().Done()
		return
	}
	w.WriteHeader(status)
}

// execute applies a command to a rank and returns the status of the response.
func (g *RankGroup) execute(rank int, c rankCommand) int {
	r := g.ranks[rank]
	if c.Epoch != g.epoch {
		return http.StatusConflict
	}
	if g.Fenced && c.FencingToken < r.highestToken {
		return http.StatusPreconditionFailed
	}
	r.highestToken = max(r.highestToken, c.FencingToken)
	switch c.Operation {
	case "prepare":
		return g.prepare(r, c)
	case "reserve":
		if c.Step <= g.step || (r.held != nil && *r.held != c.Step) {
			return http.StatusConflict
		}
		r.held = &c.Step
	case "arm":
		if r.armed != nil && *r.armed == (rankArming{c.Version, c.Step}) {
			return http.StatusOK
		}
		if r.prepared == nil || r.prepared.version != c.Version || c.Step <= g.step {
			return http.StatusConflict
		}
		r.armed = &rankArming{c.Version, c.Step}
	case "disarm":
		if r.active.version == c.Version {
			return http.StatusConflict
		}
		if r.armed != nil && r.armed.Version == c.Version {
			r.armed = nil
		}
	case "go":
		if r.held != nil && *r.held == c.Step {
			r.held = nil
		}
	default:
		return http.StatusBadRequest
	}
	return http.StatusOK
}

// prepare loads a map if its version is higher than all earlier ones.
func (g *RankGroup) prepare(r *rankState, c rankCommand) int {
	if r.prepared != nil && r.prepared.version == c.Version {
		return http.StatusOK
	}
	if c.Version <= r.highestVersion || r.armed != nil || !g.valid(c.ExpertMap) {
		return http.StatusConflict
	}
	r.highestVersion = c.Version
	r.prepared = &expertMap{version: c.Version, layout: c.ExpertMap}
	return http.StatusAccepted
}

// valid reports whether every expert has a rank and no rank has more than SlotsPerRank
// experts in a layer.
func (g *RankGroup) valid(layout [][][]int32) bool {
	if len(layout) != g.Layers {
		return false
	}
	for _, layer := range layout {
		seen := map[int32]bool{}
		for _, experts := range layer {
			if len(experts) > g.SlotsPerRank {
				return false
			}
			for _, e := range experts {
				seen[e] = true
			}
		}
		if len(layer) != len(g.ranks) || len(seen) != g.Experts {
			return false
		}
	}
	return true
}
