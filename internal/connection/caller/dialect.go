package caller

import (
	"net/http"
	"time"

	"github.com/cicadareel/cicadareel/internal/outcome"
)

// Asked is what a caller says of its request beside method, path and body.
type Asked struct {
	// ID names the request in answers and logs.
	ID string
	// Token identifies the client account.
	Token string
	// Timeout is how long the caller waits; 0 if it does not say.
	Timeout time.Duration
	// Key makes a request that is not idempotent safe to repeat; usually empty.
	Key string
	// ResumeAfter is the id of the last event that the caller has of a stream
	// that broke; 0 for a whole stream.
	ResumeAfter uint64
	// Private are the header fields that end at this hop.
	Private []string
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
	// Ask reads the header fields. The error is an *InvalidRequestError.
	Ask(r *http.Request) (Asked, error)
	// Name adds the request's id to the header fields of its answer.
	Name(h http.Header, id string)
	// Refuse writes a refusal.
	Refuse(w http.ResponseWriter, r Refusal)
}
