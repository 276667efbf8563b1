// Package transport defines the events of an attempt at a request, whichever
// transport carries it.
package transport

import (
	"context"
	"net/http"

	"github.com/cicadareel/cicadareel/internal/outcome"
)

// Event is an event of an attempt: Head, Data, End, Failed, Refused or Broken.
// The last four end the attempt.
type Event interface{ isEvent() }

// Head carries the status and header fields of the response.
type Head struct {
	// Status is from 200 to 599.
	Status int
	// Header has names and values that HTTP allows.
	Header http.Header
}

// Data carries the next bytes of the response, without gaps or overlaps.
type Data struct{ Payload []byte }

// End says that the response is complete with the given length in bytes.
type End struct{ Length int64 }

// Failed carries the whole response of an endpoint that ran the request and
// failed. It comes instead of Head.
type Failed struct {
	Head Head
	Body []byte
}

// Refused says that the response will not be delivered.
type Refused struct {
	Reason     outcome.Reason
	MayHaveRun bool
}

// Broken says that the transport broke; whether the request ran is unknown.
type Broken struct {
	// Cause is nil if it is not known.
	Cause error
}

func (Head) isEvent()    {}
func (Data) isEvent()    {}
func (End) isEvent()     {}
func (Failed) isEvent()  {}
func (Refused) isEvent() {}
func (Broken) isEvent()  {}

// Exchange is one attempt in progress.
type Exchange interface {
	// Next waits for the next event. Its error is that of ctx.
	Next(ctx context.Context) (Event, error)
	// Acknowledge says that the bytes before the offset are no longer needed.
	Acknowledge(offset int64)
	// Cancel says that the response is no longer wanted.
	Cancel()
	// Close releases an exchange after its final event.
	Close()
	// Idle reports whether no event is waiting.
	Idle() bool
}
