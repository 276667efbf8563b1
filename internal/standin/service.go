package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cicadareel/cicadareel/internal/connection/endpoint"
)

// Service is a stand-in plain service. Its requests may run only once.
type Service struct {
	config   EndpointConfig
	recorder *recorder
	leaving  atomic.Bool
}

// NewService returns a service, which is cold at first.
func NewService(c EndpointConfig) *Service {
	return &Service{config: c, recorder: newRecorder(c.ColdRequests)}
}

// Record returns the record of the requests so far.
func (s *Service) Record() Record { return s.recorder.snapshot() }

// Handler serves requests, health checks, the record, and POST /leave, which makes the
// health checks fail.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		if s.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) { respond(w, s.Record(), nil) })
	mux.HandleFunc("POST /leave", func(http.ResponseWriter, *http.Request) { s.leaving.Store(true) })
	mux.HandleFunc("/", s.serve)
	return mux
}

// serve runs a request. A request that the caller cancels counts as run, but its wait
// ends early.
func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	cold, _ := s.recorder.begin(r.Header.Get(endpoint.RequestIDHeader), body)
	defer func() { s.recorder.end(r.Context().Err() != nil) }()
	s.config.waitStep(r, cold)
	s.config.setHeaders(w, body)
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, ExpectedServiceResponse(body))
}

// ExpectedServiceResponse returns the complete response of a service to a request body.
func ExpectedServiceResponse(body []byte) string {
	return fmt.Sprintf("{\"entered\":%q}\n", digest(body))
}
