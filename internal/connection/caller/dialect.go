package caller

import (
	"net/http"
	"time"

	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/request/eventstream"
)

// RequestMetadata is what the header fields of a request say about it.
type RequestMetadata struct {
	// RequestID identifies the request in responses and logs.
	RequestID string
	// Token authenticates the client account.
	Token string
	// Timeout is how long the caller waits; 0 if not specified.
	Timeout time.Duration
	// IdempotencyKey makes a request that is not idempotent safe to repeat;
	// empty if not specified.
	IdempotencyKey string
	// ResumeAfter is the id of the last event that the caller received of a
	// broken stream; zero for a stream from the start.
	ResumeAfter eventstream.ID
	// Cost is the work that the request needs, in the unit of the bundle's usual costs;
	// 0 if not specified.
	Cost float64
	// SharedParts are the ids of the parts of the prompt that other requests may
	// have as well, in order; empty if not specified. They hold no colon.
	SharedParts []string
	// WorkHeaders are the header fields that determine, beside the body, the work that the
	// request is for an endpoint. Repeats of a request have the same ones.
	WorkHeaders []string
	// PrivateHeaders are the header fields that are not forwarded to endpoints.
	PrivateHeaders []string
}

// Refusal describes the error response to a request that has no complete
// response of an endpoint.
type Refusal struct {
	// Outcome is NotRun or Unknown.
	Outcome   outcome.Outcome
	Detail    string
	RequestID string
	// RetryAfter is how long the caller should wait before it repeats a request
	// that has not run; 0 if unknown.
	RetryAfter time.Duration
}

// Dialect defines the header fields of requests and the format of refusals.
type Dialect interface {
	// ParseRequest reads the header fields. The error is an *InvalidRequestError.
	ParseRequest(r *http.Request) (RequestMetadata, error)
	// SetRequestID adds the request's id to the header fields of its response.
	SetRequestID(h http.Header, id string)
	// WriteRefusal writes the response for a refusal.
	WriteRefusal(w http.ResponseWriter, r Refusal)
}
