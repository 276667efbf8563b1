package caller

import (
	"crypto/rand"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cicadareel/cicadareel/internal/outcome"
)

// Header fields of DefaultDialect.
const (
	// IdempotencyKeyHeader carries the key under which a request runs at most
	// once.
	IdempotencyKeyHeader = "Idempotency-Key"
	// TimeoutHeader carries the time that the caller waits, such as 1.5s.
	TimeoutHeader = "Cicadareel-Timeout"
	// RequestIDHeader carries the request id of responses.
	RequestIDHeader = "Cicadareel-Request-Id"
)

const (
	// maxKeyBytes bounds the length of an idempotency key.
	maxKeyBytes = 256
	// retryAfter is the Retry-After of responses with status 503, in seconds.
	retryAfter = "1"
)

// Problem is a problem details document (RFC 9457), the body of a refusal.
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

// DefaultDialect is the product's own HTTP API: bearer tokens, idempotency keys,
// and refusals as problem details documents.
type DefaultDialect struct{}

// ParseRequest implements Dialect.
func (DefaultDialect) ParseRequest(r *http.Request) (RequestMetadata, error) {
	m := RequestMetadata{
		RequestID:      rand.Text(),
		Token:          bearerToken(r),
		IdempotencyKey: r.Header.Get(IdempotencyKeyHeader),
		PrivateHeaders: []string{"Authorization", TimeoutHeader, RequestIDHeader},
	}
	if len(m.IdempotencyKey) > maxKeyBytes {
		return m, &InvalidRequestError{outcome.Malformed, "Idempotency-Key is longer than 256 bytes"}
	}
	text := r.Header.Get(TimeoutHeader)
	if text == "" {
		return m, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 {
		return m, &InvalidRequestError{outcome.Malformed, "Cicadareel-Timeout must be a positive duration such as 1.5s"}
	}
	m.Timeout = timeout
	return m, nil
}

// bearerToken returns the token of the Authorization header field, or "".
func bearerToken(r *http.Request) string {
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

// newProblem returns the document for an outcome other than Answered.
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

// HTTPStatus returns the HTTP status for the reason why a request did not run.
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
