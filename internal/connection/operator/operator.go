// Package operator serves health checks and metrics over HTTP to the platform and
// the operators.
package operator

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/samber/oops"

	"github.com/cicadareel/cicadareel/internal/metrics"
)

// headerTimeout bounds the read of a request's header.
const headerTimeout = 5 * time.Second

// Server is the operators' HTTP server.
type Server struct {
	http     *http.Server
	mux      *http.ServeMux
	listener net.Listener
}

// NewServer starts serving at the address. The readiness check succeeds while ready
// returns true, which means that the process accepts new work.
func NewServer(at netip.AddrPort, m *metrics.Metrics, ready func() bool) (*Server, error) {
	listener, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, oops.In("operator").Wrap(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.Handle("GET /metrics", m.Handler())
	s := &Server{mux: mux, http: &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}, listener: listener}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// Handle adds a handler for the requests that match the pattern.
func (s *Server) Handle(pattern string, h http.Handler) { s.mux.Handle(pattern, h) }

// Close stops serving.
func (s *Server) Close(ctx context.Context) { _ = s.http.Shutdown(ctx) }
