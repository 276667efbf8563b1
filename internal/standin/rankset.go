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

// RankFaults says how the orders to a RankSet go wrong. The source of chance is
// seeded, so that a run can be repeated.
type RankFaults struct {
	// Lose is the part of the orders that are carried out and not answered.
	Lose float64
	// Late is the part that are not answered and carried out after LateBy.
	Late   float64
	LateBy time.Duration
}

// RankGroup stands in for a group of ranks in lock-step on the users' platform: it
// makes steps, takes orders about expert maps, and notes each step that ranks
// began with different maps.
type RankGroup struct {
	// Name is the group's.
	Name string
	// Layers, Experts and SlotsPerRank are its shape.
	Layers, Experts, SlotsPerRank int
	// StepTime is the time of a step.
	StepTime time.Duration
	// Fenced makes ranks refuse lower fencing tokens.
	Fenced bool

	mu      sync.Mutex
	chance  *rand.Rand
	trouble RankFaults
	step    uint64
	epoch   uint64
	ranks   []*rankState
	// violations are steps with more than one map.
	violations []string
	// stalled is how long the group has waited at holds in all, longest in one.
	held, longestHold time.Duration
	popular           int
	// broken is true while the group cannot run.
	broken bool
	// idle are ranks whose requests choose nothing, for they have none.
	idle map[int]bool
}

type rankMap struct {
	version uint64
	layout  [][][]int32
}

type rankState struct {
	active   rankMap
	prepared *rankMap
	highest  uint64
	armed    *rankArming
	held     *uint64
	token    uint64
	counts   []float64
}

type rankArming struct {
	Version uint64 `json:"version"`
	Step    uint64 `json:"step"`
}

// NewRankGroup returns a group of the size; Run makes its steps.
func NewRankGroup(name string, size, layers, experts, places int, seed uint64) *RankGroup {
	s := &RankGroup{
		Name: name, Layers: layers, Experts: experts, SlotsPerRank: places, StepTime: 60 * time.Millisecond, Fenced: true,
		chance: rand.New(rand.NewPCG(seed, 1)), epoch: 1,
		idle: map[int]bool{},
	}
	for range size {
		s.ranks = append(s.ranks, s.newRank(size))
	}
	return s
}

func (s *RankGroup) newRank(size int) *rankState {
	layout := make([][][]int32, s.Layers)
	for l := range layout {
		layout[l] = make([][]int32, size)
		for e := range s.Experts {
			layout[l][e%size] = append(layout[l][e%size], int32(e))
		}
	}
	return &rankState{active: rankMap{layout: layout}, counts: make([]float64, s.Layers*s.Experts)}
}

// SetFaults sets how orders go wrong from now on.
func (s *RankGroup) SetFaults(t RankFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trouble = t
}

// SetIdle takes all requests from a rank.
func (s *RankGroup) SetIdle(rank int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle[rank] = true
}

// ShiftPopularity makes other experts popular.
func (s *RankGroup) ShiftPopularity() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.popular = (s.popular + 1 + s.chance.IntN(s.Experts-1)) % s.Experts
}

// SetBroken breaks the group: requests are refused without being run, and reports
// say so. Once it is mended it is in a new epoch.
func (s *RankGroup) SetBroken(broken bool) {
	s.mu.Lock()
	s.broken = broken
	s.mu.Unlock()
	if !broken {
		s.StartNewEpoch()
	}
}

func (s *RankGroup) isBroken() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.broken
}

// StartNewEpoch breaks the group and forms it in a new epoch.
func (s *RankGroup) StartNewEpoch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	for i := range s.ranks {
		s.ranks[i] = s.newRank(len(s.ranks))
	}
}

// Violations returns the steps that began with different maps.
func (s *RankGroup) Violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.violations)
}

// LongestHold returns the longest time that the group waited for a hold.
func (s *RankGroup) LongestHold() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.longestHold
}

// MapVersion returns the version of the map in use at the first rank.
func (s *RankGroup) MapVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ranks[0].active.version
}

// Step returns the last step begun.
func (s *RankGroup) Step() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.step
}

// Epoch returns the present epoch.
func (s *RankGroup) Epoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// Run makes steps until done is closed.
func (s *RankGroup) Run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(s.StepTime):
			s.makeStep()
		}
	}
}

// makeStep begins the next step unless a rank is held before it.
func (s *RankGroup) makeStep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.step + 1
	for _, r := range s.ranks {
		if r.held != nil && *r.held <= next {
			s.held += s.StepTime
			s.longestHold = max(s.longestHold, s.held)
			return
		}
	}
	s.held = 0
	s.step = next
	for i, r := range s.ranks {
		if r.armed != nil && r.armed.Step <= next {
			r.active, r.prepared, r.armed = *r.prepared, nil, nil
		}
		if s.idle[i] {
			continue
		}
		for l := range s.Layers {
			for e := range s.Experts {
				r.counts[l*s.Experts+e] += s.popularity(e)
			}
		}
	}
	s.compare()
}

// popularity makes a few experts, next to each other, far more popular.
func (s *RankGroup) popularity(expert int) float64 {
	distance := (expert - s.popular + s.Experts) % s.Experts
	return 1 + 40/float64(1+distance*distance)
}

func (s *RankGroup) compare() {
	first := s.ranks[0].active
	for i, r := range s.ranks {
		if r.active.version != first.version {
			s.violations = append(s.violations, fmt.Sprintf("step %d: rank %d has map %d, rank 0 has %d", s.step, i, r.active.version, first.version))
			return
		}
	}
}

// Handler serves one rank. Its other requests go to next.
func (s *RankGroup) Handler(rank int, next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/report", func(w http.ResponseWriter, _ *http.Request) { s.report(w, rank) })
	mux.HandleFunc("GET /-/picked", func(w http.ResponseWriter, r *http.Request) { s.picked(w, rank, r.URL.Query().Has("lists")) })
	mux.HandleFunc("POST /-/order", func(w http.ResponseWriter, r *http.Request) { s.order(w, r, rank) })
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if s.isBroken() {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
	return mux
}

func (s *RankGroup) report(w http.ResponseWriter, rank int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.ranks[rank]
	var prepared *uint64
	if r.prepared != nil {
		prepared = &r.prepared.version
	}
	state := "open"
	if s.broken {
		state = "broken"
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"group": map[string]any{"name": s.Name, "epoch": s.epoch, "rank": rank, "state": state},
		"step":  s.step, "expert_map": r.active.version, "prepared": prepared, "armed": r.armed, "held": r.held, "pace": 1,
	})
}

func (s *RankGroup) picked(w http.ResponseWriter, rank int, lists bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.ranks[rank]
	if !lists {
		_ = json.NewEncoder(w).Encode(map[string]any{"step": s.step, "epoch": s.epoch, "counts": r.counts})
		return
	}
	possession := func(m rankMap) map[string]any {
		experts := [][]int32{}
		for _, layer := range m.layout {
			experts = append(experts, layer[rank])
		}
		return map[string]any{"version": m.version, "experts": experts}
	}
	out := map[string]any{"step": s.step, "epoch": s.epoch, "expert_map": possession(r.active), "prepared": nil}
	if r.prepared != nil {
		out["prepared"] = possession(*r.prepared)
	}
	_ = json.NewEncoder(w).Encode(out)
}

// rankCommand is an order on the wire.
type rankCommand struct {
	Operation    string      `json:"operation"`
	FencingToken uint64      `json:"fencing_token"`
	Epoch        uint64      `json:"epoch"`
	Version      uint64      `json:"version"`
	Step         uint64      `json:"step"`
	ExpertMap    [][][]int32 `json:"expert_map"`
}

func (s *RankGroup) order(w http.ResponseWriter, r *http.Request, rank int) {
	var c rankCommand
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	dice, t := s.chance.Float64(), s.trouble
	if dice < t.Late {
		s.mu.Unlock()
		time.AfterFunc(t.LateBy, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.obey(rank, c)
		})
		<-r.Context().Done()
		return
	}
	status := s.obey(rank, c)
	s.mu.Unlock()
	if dice < t.Late+t.Lose {
		<-r.Context().Done()
		return
	}
	w.WriteHeader(status)
}

// obey carries an order out and returns its status.
func (s *RankGroup) obey(rank int, c rankCommand) int {
	r := s.ranks[rank]
	if c.Epoch != s.epoch {
		return http.StatusConflict
	}
	if s.Fenced && c.FencingToken < r.token {
		return http.StatusPreconditionFailed
	}
	r.token = max(r.token, c.FencingToken)
	switch c.Operation {
	case "prepare":
		return s.prepare(r, c)
	case "reserve":
		if c.Step <= s.step || (r.held != nil && *r.held != c.Step) {
			return http.StatusConflict
		}
		r.held = &c.Step
	case "arm":
		if r.armed != nil && *r.armed == (rankArming{c.Version, c.Step}) {
			return http.StatusOK
		}
		if r.prepared == nil || r.prepared.version != c.Version || c.Step <= s.step {
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

func (s *RankGroup) prepare(r *rankState, c rankCommand) int {
	if r.prepared != nil && r.prepared.version == c.Version {
		return http.StatusOK
	}
	if c.Version <= r.highest || r.armed != nil || !s.valid(c.ExpertMap) {
		return http.StatusConflict
	}
	r.highest = c.Version
	r.prepared = &rankMap{version: c.Version, layout: c.ExpertMap}
	return http.StatusAccepted
}

// valid checks that every expert has a rank and no rank too many.
func (s *RankGroup) valid(layout [][][]int32) bool {
	if len(layout) != s.Layers {
		return false
	}
	for _, layer := range layout {
		seen := map[int32]bool{}
		for _, experts := range layer {
			if len(experts) > s.SlotsPerRank {
				return false
			}
			for _, e := range experts {
				seen[e] = true
			}
		}
		if len(layer) != len(s.ranks) || len(seen) != s.Experts {
			return false
		}
	}
	return true
}
