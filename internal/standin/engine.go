package standin

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/endpoint"
)

// Header fields of a stand-in's responses.
const (
	// EndpointHeader holds the name of the endpoint that ran the request.
	EndpointHeader = "X-Endpoint"
	// FailureDomainHeader holds the failure domain of that endpoint.
	FailureDomainHeader = "X-Failure-Domain"
	// DigestHeader holds the digest of the request body.
	DigestHeader = "X-Request-Digest"
)

// EndpointConfig configures a stand-in endpoint: an Engine or a Service.
type EndpointConfig struct {
	Name, FailureDomain string
	// Tokens is the number of events of a model engine's response.
	Tokens int
	// EventIDs are the ids of these events, in increasing order. An engine with ids sends
	// the events after Last-Event-Id, and each event in two parts.
	EventIDs []int
	// StepTime is the time of one token or, for a plain service, of one request.
	StepTime time.Duration
	// ColdRequests is the number of requests until the endpoint is warm. ColdFactor
	// multiplies StepTime until then.
	ColdRequests, ColdFactor int
	// MaxLoadReportAge is the highest age of a load report; younger ones are sent again.
	MaxLoadReportAge time.Duration
}

// Engine is a stand-in model engine. It responds with a stream of events that depends
// only on the request body.
type Engine struct {
	config   EndpointConfig
	boot     string
	recorder *recorder
	leaving  atomic.Bool
	// Rank serves the expert map API; nil for an engine without expert maps.
	Rank *ExpertMapRank
}

// NewEngine returns an engine, which is cold at first.
func NewEngine(c EndpointConfig) *Engine {
	return &Engine{config: c, boot: rand.Text(), recorder: newRecorder(c.ColdRequests)}
}

// Record returns the record of the requests so far.
func (e *Engine) Record() Record { return e.recorder.snapshot() }

// TurnCold makes the engine cold again without reporting it.
func (e *Engine) TurnCold() { e.recorder.turnCold(e.config.ColdRequests) }

// Leave makes the load reports say that the engine is shutting down.
func (e *Engine) Leave() { e.leaving.Store(true) }

// Handler serves requests, load reports, the record, POST /cold and POST /leave.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		respond(w, e.recorder.load(e.boot, e.leaving.Load(), e.config.MaxLoadReportAge), nil)
	})
	mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) { respond(w, e.Record(), nil) })
	mux.HandleFunc("POST /cold", func(http.ResponseWriter, *http.Request) { e.TurnCold() })
	mux.HandleFunc("POST /leave", func(http.ResponseWriter, *http.Request) { e.Leave() })
	if e.Rank != nil {
		e.Rank.Register(mux)
	}
	mux.HandleFunc("/", e.serve)
	return mux
}

// serve streams the response to a request.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	cold, _ := e.recorder.begin(r.Header.Get(endpoint.RequestIDHeader), body)
	canceled := true
	defer func() { e.recorder.end(canceled) }()
	e.config.setHeaders(w, body)
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for i := range e.config.Tokens {
		if e.config.has(i, r.Header.Get("Last-Event-Id")) {
			continue
		}
		if !e.config.waitStep(r, cold) {
			return
		}
		first, second := e.config.event(i, body)
		_, _ = io.WriteString(w, first)
		_ = controller.Flush()
		if second != "" && !e.config.waitStep(r, cold) {
			return
		}
		_, _ = io.WriteString(w, second)
		_ = controller.Flush()
	}
	_, _ = io.WriteString(w, lastEvent)
	canceled = r.Context().Err() != nil
}

// lastEvent ends a complete response.
const lastEvent = "data: [DONE]\n\n"

// has reports whether a caller that has the events up to an id has the i-th event.
func (c *EndpointConfig) has(i int, lastID string) bool {
	last, err := strconv.Atoi(lastID)
	return err == nil && c.EventIDs != nil && c.EventIDs[i] <= last
}

// event returns the i-th event in the parts in which it is sent.
func (c *EndpointConfig) event(i int, body []byte) (first, second string) {
	text := fmt.Sprintf("data: token %d of %s\n\n", i, digest(body))
	if c.EventIDs == nil {
		return text, ""
	}
	text = fmt.Sprintf("id: %d\n", c.EventIDs[i]) + text
	return text[:len(text)/2], text[len(text)/2:]
}

// ExpectedStream returns the complete response of an engine to a request body.
func ExpectedStream(body []byte, tokens int) string {
	return ExpectedEvents(body, &EndpointConfig{Tokens: tokens}, "")
}

// ExpectedEvents returns the complete response of an engine to a request body and a
// Last-Event-Id.
func ExpectedEvents(body []byte, c *EndpointConfig, lastID string) string {
	text := ""
	for i := range c.Tokens {
		if !c.has(i, lastID) {
			first, second := c.event(i, body)
			text += first + second
		}
	}
	return text + lastEvent
}

// digest identifies a request body.
func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}

// setHeaders identifies the endpoint and the request in the response.
func (c *EndpointConfig) setHeaders(w http.ResponseWriter, body []byte) {
	w.Header().Set(EndpointHeader, c.Name)
	w.Header().Set(FailureDomainHeader, c.FailureDomain)
	w.Header().Set(DigestHeader, digest(body))
}

// waitStep waits for the time of one step. It returns false if the request was canceled.
func (c *EndpointConfig) waitStep(r *http.Request, cold bool) bool {
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
