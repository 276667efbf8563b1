package standin

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/endpoint"
)

const (
	// mapStepTime is the time of one step of an ExpertMapRank.
	mapStepTime = 5 * time.Millisecond
	// countTokens scales the expert counts of each layer; expert e has a mean of
	// countTokens/(e+2).
	countTokens = 20000
)

// ExpertMapRank stands in for the expert map API of one rank of an engine. It runs steps,
// executes the commands of a map switch and records each activation.
type ExpertMapRank struct {
	layers, experts int
	fenced          bool

	mu      sync.Mutex
	state   endpoint.MapState
	content json.RawMessage
	staged  json.RawMessage
	// lastOrder is the last command that was executed. A fenced rank rejects commands
	// with a lower ballot.
	lastOrder   endpoint.MapCommand
	activations []MapActivation
	random      *rand.Rand
}

// MapActivation is a map with the first step that uses it.
type MapActivation struct {
	From uint64 `json:"from"`
	Map  string `json:"map"`
}

// NewExpertMapRank starts a rank, which runs until the process ends. A fenced rank
// rejects commands from a lower ballot than the last one.
func NewExpertMapRank(layers, experts int, fenced bool) *ExpertMapRank {
	m := &ExpertMapRank{layers: layers, experts: experts, fenced: fenced, random: rand.New(rand.NewPCG(1, 1))}
	go m.run()
	return m
}

// run makes steps. It stops before the step of a hold.
func (m *ExpertMapRank) run() {
	for range time.Tick(mapStepTime) {
		m.mu.Lock()
		if m.state.HoldStep == 0 || m.state.Step < m.state.HoldStep {
			m.state.Step++
		}
		m.mu.Unlock()
	}
}

// Register adds the handlers of the expert map API.
func (m *ExpertMapRank) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /map/state", func(w http.ResponseWriter, _ *http.Request) {
		m.mu.Lock()
		defer m.mu.Unlock()
		respond(w, m.state, nil)
	})
	mux.HandleFunc("GET /map/active", func(w http.ResponseWriter, _ *http.Request) {
		m.mu.Lock()
		defer m.mu.Unlock()
		respond(w, m.content, nil)
	})
	mux.HandleFunc("GET /map/history", func(w http.ResponseWriter, _ *http.Request) {
		m.mu.Lock()
		defer m.mu.Unlock()
		respond(w, m.activations, nil)
	})
	mux.HandleFunc("GET /map/counts", func(w http.ResponseWriter, _ *http.Request) { respond(w, m.counts(), nil) })
	mux.HandleFunc("POST /map/order", m.handleOrder)
}

// handleOrder executes a command unless a higher ballot fences it off.
func (m *ExpertMapRank) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o endpoint.MapCommand
	if !decodeBody(w, r, &o) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fenced && lowerBallot(o, m.lastOrder) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	m.lastOrder = o
	m.execute(o)
}

// lowerBallot reports whether a has a lower ballot than b.
func lowerBallot(a, b endpoint.MapCommand) bool {
	if a.FenceCounter != b.FenceCounter {
		return a.FenceCounter < b.FenceCounter
	}
	return a.FenceOwner < b.FenceOwner
}

// execute applies a command to the state. Commands that do not fit the state are
// ignored.
func (m *ExpertMapRank) execute(o endpoint.MapCommand) {
	switch o.Kind {
	case "stage":
		m.state.Staged, m.staged = o.Map, o.Content
	case "hold":
		if m.state.Step <= o.Step {
			m.state.HoldStep = o.Step
		}
	case "activate":
		if m.state.HoldStep == o.Step && m.state.Staged == o.Map {
			m.state.Active, m.state.ActiveFrom, m.state.HoldStep = o.Map, o.Step, 0
			m.content = m.staged
			m.activations = append(m.activations, MapActivation{From: o.Step, Map: o.Map})
		}
	case "release":
		m.state.HoldStep = 0
	}
}

// counts draws the requests of each expert, layer by layer. A few experts dominate.
func (m *ExpertMapRank) counts() []float32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := make([]float32, 0, m.layers*m.experts)
	for range m.layers {
		for e := range m.experts {
			mean := countTokens / float64(e+2)
			counts = append(counts, float32(mean+math.Sqrt(mean)*m.random.NormFloat64()))
		}
	}
	return counts
}
