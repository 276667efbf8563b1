package caller

import (
	"crypto/rand"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cicadareel/cicadareel/internal/outcome"
)

// Names of header fields of the product's own interface.
const (
	// IdempotencyKeyHeader identifies a request that may be sent again.
	IdempotencyKeyHeader = "Idempotency-Key"
	// TimeoutHeader is the caller's deadline as a duration.
	TimeoutHeader = "Cicadareel-Timeout"
	// RequestIDHeader names the request in answers and logs.
	RequestIDHeader = "Cicadareel-Request-Id"
)

const (
	// keyLimit bounds an idempotency key, in bytes.
	keyLimit = 256
	// retryAfter is the pause suggested to a caller who was refused, in seconds.
	retryAfter = "1"
)

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

// DefaultDialect is the product's own interface: bearer tokens, idempotency
// keys, and refusals as problem documents.
type DefaultDialect struct{}

// ParseRequest implements Dialect.
func (DefaultDialect) ParseRequest(r *http.Request) (RequestMetadata, error) {
	a := RequestMetadata{
		RequestID:      rand.Text(),
		Token:          bearer(r),
		IdempotencyKey: r.Header.Get(IdempotencyKeyHeader),
		PrivateHeaders: []string{"Authorization", TimeoutHeader, RequestIDHeader},
	}
	if len(a.IdempotencyKey) > keyLimit {
		return a, &InvalidRequestError{outcome.Malformed, "Idempotency-Key is longer than 256 bytes"}
	}
	text := r.Header.Get(TimeoutHeader)
	if text == "" {
		return a, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 {
		return a, &InvalidRequestError{outcome.Malformed, "Cicadareel-Timeout must be a positive duration such as 1.5s"}
	}
	a.Timeout = timeout
	return a, nil
}

func bearer(r *http.Request) string {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return token
}

// SetRequestID implements Dialect.
func (DefaultDialect) SetRequestID(h http.Header, id string) { h.Set(RequestIDHeader, id) }

// WriteRefusal implements Dialect.
func (DefaultDialect) WriteRefusal(w http.ResponseWriter, r Refusal) {
	newProblem(r.Outcome, r.Detail, r.RequestID).write(w)
}

// newProblem describes an outcome other than Answered.
func newProblem(o outcome.Outcome, detail, requestID string) Problem {
	p := Problem{Type: "about:blank", Detail: detail, RequestID: requestID}
	switch k := o.(type) {
	case outcome.NotRun:
		p.Outcome, p.Reason, p.Status = "notRun", k.Reason, HTTPStatus(k.Reason)
	case outcome.Unknown:
		p.Outcome, p.Reason, p.Status = "unknown", k.Reason, http.StatusBadGateway
	}
	p.Title = http.StatusText(p.Status)
	return p
}

// HTTPStatus returns the status of a request that did not run.
func HTTPStatus(r outcome.Reason) int {
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
