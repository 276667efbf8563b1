package caller

import (
	"net/http"
	"time"

	"github.com/cicadareel/cicadareel/internal/outcome"
)

// RequestMetadata is what a caller says of its request beside method, path and body.
type RequestMetadata struct {
	// RequestID names the request in answers and logs.
	RequestID string
	// Token identifies the client account.
	Token string
	// Timeout is how long the caller waits; 0 if it does not say.
	Timeout time.Duration
	// IdempotencyKey makes a request that is not idempotent safe to repeat; usually empty.
	IdempotencyKey string
	// ResumeAfter is the id of the last event that the caller has of a stream
	// that broke; 0 for a whole stream.
	ResumeAfter uint64
	// PrivateHeaders are the header fields that end at this hop.
	PrivateHeaders []string
}

// Refusal is the answer to a request that no endpoint answered.
type Refusal struct {
	// Outcome is NotRun or Unknown.
	Outcome   outcome.Outcome
	Detail    string
	RequestID string
	// RetryAfter is when to come back if the request has not run; 0 if nothing
	// is known.
	RetryAfter time.Duration
}

// Dialect is how callers say what they want and hear why they get no answer.
type Dialect interface {
	// ParseRequest reads the header fields. The error is an *InvalidRequestError.
	ParseRequest(r *http.Request) (RequestMetadata, error)
	// Name adds the request's id to the header fields of its answer.
	SetRequestID(h http.Header, id string)
	// Refuse writes a refusal.
	WriteRefusal(w http.ResponseWriter, r Refusal)
}
