package caller

import (
	"encoding/json"
	"net/http"

	"github.com/cicadareel/cicadareel/internal/request/outcome"
)

// Names of header fields of the callers' interface.
const (
	// IdempotencyKeyHeader identifies a request that may be sent again.
	IdempotencyKeyHeader = "Idempotency-Key"
	// TimeoutHeader is the caller's deadline as a duration.
	TimeoutHeader = "Cicadareel-Timeout"
	// RequestIDHeader names the request in answers and logs.
	RequestIDHeader = "Cicadareel-Request-Id"
)

// retryAfter is the pause suggested to a caller who was refused, in seconds.
const retryAfter = "1"

// Problem is the body of a refusal (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Outcome is notRun or unknown.
	Outcome   string         `json:"outcome"`
	Reason    outcome.Reason `json:"reason"`
	RequestID string         `json:"requestId,omitempty"`
}

// newProblem describes an outcome other than Answered.
func newProblem(o outcome.Outcome, detail, requestID string) Problem {
	p := Problem{Type: "about:blank", Detail: detail, RequestID: requestID}
	switch k := o.(type) {
	case outcome.NotRun:
		p.Outcome, p.Reason, p.Status = "notRun", k.Reason, statusOf(k.Reason)
	case outcome.Unknown:
		p.Outcome, p.Reason, p.Status = "unknown", k.Reason, http.StatusBadGateway
	}
	p.Title = http.StatusText(p.Status)
	return p
}

func statusOf(r outcome.Reason) int {
	switch r {
	case outcome.Unauthorized:
		return http.StatusUnauthorized
	case outcome.NoRoute:
		return http.StatusNotFound
	case outcome.Malformed:
		return http.StatusBadRequest
	case outcome.TooLarge:
		return http.StatusRequestEntityTooLarge
	case outcome.KeyReused:
		return http.StatusUnprocessableEntity
	}
	return http.StatusServiceUnavailable
}

func (p Problem) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	if p.Status == http.StatusServiceUnavailable {
		h.Set("Retry-After", retryAfter)
	}
	if p.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
