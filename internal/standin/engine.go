package standin

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/endpoint"
)

// Names of header fields in a stand-in's answers.
const (
	// EndpointHeader names the endpoint that answered.
	EndpointHeader = "X-Endpoint"
	// FailureDomainHeader names its failure domain.
	FailureDomainHeader = "X-Failure-Domain"
	// DigestHeader is the digest of the request that the answer is for.
	DigestHeader = "X-Request-Digest"
)

// EndpointConfig describes a stand-in endpoint.
type EndpointConfig struct {
	Name, FailureDomain string
	// Tokens is the number of events of a model engine's answer.
	Tokens int
	// StepTime is the time of one token or, for a plain service, of one run.
	StepTime time.Duration
	// ColdRequests is the number of requests until the endpoint is warm, and
	// ColdFactor slows it down until then.
	ColdRequests, ColdFactor int
	// MaxLoadReportAge is how old a load report may be.
	MaxLoadReportAge time.Duration
}

// Engine is a stand-in model engine: its answer is a stream of events that
// depends on the request alone.
type Engine struct {
	config   EndpointConfig
	boot     string
	recorder *recorder
	leaving  atomic.Bool
	// Rank is the expert map side; nil without one.
	Rank *ExpertMapRank
}

// NewEngine returns a cold engine.
func NewEngine(c EndpointConfig) *Engine {
	return &Engine{config: c, boot: rand.Text(), recorder: newRecorder(c.ColdRequests)}
}

// Record returns what the engine was given.
func (e *Engine) Record() Record { return e.recorder.snapshot() }

// TurnCold makes the engine cold again without warning.
func (e *Engine) TurnCold() { e.recorder.turnCold(e.config.ColdRequests) }

// Leave makes the engine report that it is leaving.
func (e *Engine) Leave() { e.leaving.Store(true) }

// Handler serves requests, load reports and the record.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, e.recorder.load(e.boot, e.leaving.Load(), e.config.MaxLoadReportAge), nil)
	})
	mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) { reply(w, e.Record(), nil) })
	mux.HandleFunc("POST /cold", func(http.ResponseWriter, *http.Request) { e.TurnCold() })
	mux.HandleFunc("POST /leave", func(http.ResponseWriter, *http.Request) { e.Leave() })
	if e.Rank != nil {
		e.Rank.Register(mux)
	}
	mux.HandleFunc("/", e.serve)
	return mux
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	cold, _ := e.recorder.begin(r.Header.Get(endpoint.RequestIDHeader), body)
	cut := true
	defer func() { e.recorder.end(cut) }()
	e.config.describe(w, body)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for i := range e.config.Tokens {
		if !e.config.wait(r, cold) {
			return
		}
		_, _ = fmt.Fprintf(w, "data: token %d of %s\n\n", i, digest(body))
		_ = control.Flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
	cut = r.Context().Err() != nil
}

// ExpectedStream returns the whole answer of an engine to a body.
func ExpectedStream(body []byte, tokens int) string {
	text := ""
	for i := range tokens {
		text += fmt.Sprintf("data: token %d of %s\n\n", i, digest(body))
	}
	return text + "data: [DONE]\n\n"
}

func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}

func (c *EndpointConfig) describe(w http.ResponseWriter, body []byte) {
	w.Header().Set(EndpointHeader, c.Name)
	w.Header().Set(FailureDomainHeader, c.FailureDomain)
	w.Header().Set(DigestHeader, digest(body))
}

// wait takes one step and reports false if the caller left.
func (c *EndpointConfig) wait(r *http.Request, cold bool) bool {
	step := c.StepTime
	if cold {
		step *= time.Duration(max(1, c.ColdFactor))
	}
	if step == 0 {
		return r.Context().Err() == nil
	}
	select {
	case <-time.After(step):
		return true
	case <-r.Context().Done():
		return false
	}
}
