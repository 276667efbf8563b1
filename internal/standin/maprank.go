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
	// mapStepTime is the time of one step of a stand-in rank.
	mapStepTime = 5 * time.Millisecond
	// countTokens is the number of tokens that one call for counts reports for
	// each layer.
	countTokens = 20000
)

// ExpertMapRank is the expert map side of a stand-in engine: it runs steps, holds
// before a step, and remembers from which step on it used each map.
type ExpertMapRank struct {
	layers, experts int
	fenced          bool

	mu      sync.Mutex
	state   endpoint.MapState
	content json.RawMessage
	staged  json.RawMessage
	fence   endpoint.MapOrder
	history []MapActivation
	random  *rand.Rand
}

// MapActivation says from which step on a map was used.
type MapActivation struct {
	From uint64 `json:"from"`
	Map  string `json:"map"`
}

// NewExpertMapRank starts running steps for as long as the process lives. A fenced
// rank refuses orders with an older fencing number.
func NewExpertMapRank(layers, experts int, fenced bool) *ExpertMapRank {
	m := &ExpertMapRank{layers: layers, experts: experts, fenced: fenced, random: rand.New(rand.NewPCG(1, 1))}
	go m.run()
	return m
}

func (m *ExpertMapRank) run() {
	for range time.Tick(mapStepTime) {
		m.mu.Lock()
		if m.state.HoldStep == 0 || m.state.Step < m.state.HoldStep {
			m.state.Step++
		}
		m.mu.Unlock()
	}
}

// Register adds the rank's handlers.
func (m *ExpertMapRank) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /map/state", func(w http.ResponseWriter, _ *http.Request) {
		m.mu.Lock()
		defer m.mu.Unlock()
		reply(w, m.state, nil)
	})
	mux.HandleFunc("GET /map/active", func(w http.ResponseWriter, _ *http.Request) {
		m.mu.Lock()
		defer m.mu.Unlock()
		reply(w, m.content, nil)
	})
	mux.HandleFunc("GET /map/history", func(w http.ResponseWriter, _ *http.Request) {
		m.mu.Lock()
		defer m.mu.Unlock()
		reply(w, m.history, nil)
	})
	mux.HandleFunc("GET /map/counts", func(w http.ResponseWriter, _ *http.Request) { reply(w, m.counts(), nil) })
	mux.HandleFunc("POST /map/order", m.order)
}

func (m *ExpertMapRank) order(w http.ResponseWriter, r *http.Request) {
	var o endpoint.MapOrder
	if !receive(w, r, &o) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fenced && older(o, m.fence) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	m.fence = o
	m.obey(o)
}

func older(a, b endpoint.MapOrder) bool {
	if a.FenceCounter != b.FenceCounter {
		return a.FenceCounter < b.FenceCounter
	}
	return a.FenceOwner < b.FenceOwner
}

func (m *ExpertMapRank) obey(o endpoint.MapOrder) {
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
			m.history = append(m.history, MapActivation{From: o.Step, Map: o.Map})
		}
	case "release":
		m.state.HoldStep = 0
	}
}

// counts reports a popularity in which a few experts dominate.
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
