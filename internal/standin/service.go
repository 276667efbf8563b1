package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cicadareel/cicadareel/internal/connection/endpoint"
)

// Service is a stand-in plain service whose calls may not be repeated.
type Service struct {
	config   EndpointConfig
	recorder *recorder
	leaving  atomic.Bool
}

// NewService returns a service.
func NewService(c EndpointConfig) *Service {
	return &Service{config: c, recorder: newRecorder(c.ColdRequests)}
}

// Record returns what the service was given.
func (s *Service) Record() Record { return s.recorder.snapshot() }

// Handler serves requests, health checks and the record.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		if s.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.Record(), nil) })
	mux.HandleFunc("POST /leave", func(http.ResponseWriter, *http.Request) { s.leaving.Store(true) })
	mux.HandleFunc("/", s.serve)
	return mux
}

// serve runs the request to its end, also if its caller leaves.
func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	cold, _ := s.recorder.begin(r.Header.Get(endpoint.RequestIDHeader), body)
	defer func() { s.recorder.end(r.Context().Err() != nil) }()
	s.config.wait(r, cold)
	s.config.describe(w, body)
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, ExpectedServiceResponse(body))
}

// ExpectedServiceResponse returns the whole answer of a service to a body.
func ExpectedServiceResponse(body []byte) string {
	return fmt.Sprintf("{\"entered\":%q}\n", digest(body))
}
