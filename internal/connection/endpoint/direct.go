package endpoint

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/request/transport"
)

const (
	// bufferedBody bounds an answer that is read whole before any of it is
	// passed on, so that one that breaks can still be replaced.
	bufferedBody = 1 << 20
	// chunkBytes bounds one piece of an answer that is passed on as it comes.
	chunkBytes = 32 << 10
)

// Attempt is one attempt that goes straight to an endpoint.
type Attempt struct {
	Call
	RequestID string
	// Account is the caller's client account; empty on anonymous routes.
	Account string
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// ResumeAfter is the id of the last event of a stream to be continued.
	ResumeAfter uint64
	// Urgency orders requests that wait at the endpoint, 0 first, 9 last.
	Urgency int
	// Stream says that the answer is an event stream.
	Stream bool
	// Idempotent says that the request may run more than once.
	Idempotent bool
}

// ResponseClass is what an answer's head says.
type ResponseClass interface{ isResponseClass() }

// Trusted says that the head is that of the endpoint's answer to the attempt.
type Trusted struct{}

// NotExecuted says that the endpoint did not run the request.
type NotExecuted struct{}

// Misdirected says that another endpoint has the address, which did not run
// the request.
type Misdirected struct{}

// Untrusted says that the answer is not one to the attempt, or claims without
// proof that it did not run.
type Untrusted struct{}

func (Trusted) isResponseClass()     {}
func (NotExecuted) isResponseClass() {}
func (Misdirected) isResponseClass() {}
func (Untrusted) isResponseClass()   {}

// Dialect is how endpoints are told of an attempt and how they answer.
type Dialect interface {
	// Prepare adds to a.Header what the endpoint with the name needs.
	Prepare(a *Attempt, endpoint string)
	// Classify reads the head of an answer.
	Classify(a *Attempt, status int, h http.Header) ResponseClass
}

// Observation is what an attempt showed about its endpoint: Served, Shed, Lost,
// Erred, Absent or Replaced.
type Observation interface{ isObservation() }

// Served says that the endpoint answered whole.
type Served struct{}

// Shed says that the endpoint refused without running the request.
type Shed struct{}

// BrokenOff says that the answer broke off.
type BrokenOff struct{}

// ServerError says that the endpoint answered with a failure of its own.
type ServerError struct{}

// ConnectFailed says that no connection could be opened.
type ConnectFailed struct{}

// Replaced says that another endpoint has the address.
type Replaced struct{}

func (Served) isObservation()        {}
func (Shed) isObservation()          {}
func (BrokenOff) isObservation()     {}
func (ServerError) isObservation()   {}
func (ConnectFailed) isObservation() {}
func (Replaced) isObservation()      {}

// Observer is told of each attempt's end. It must not block.
type Observer interface{ Observed(e Observation) }

// DirectClient sends attempts straight to one endpoint. Each has a connection of its
// own: late or surplus bytes of one answer cannot reach another, and no request
// depends on a kept connection that has gone silent.
type DirectClient struct {
	name     string
	client   *Client
	dialect  Dialect
	observer Observer
}

// NewDirectClient returns the way to the endpoint with the name.
func NewDirectClient(name string, c *Client, d Dialect, o Observer) *DirectClient {
	return &DirectClient{name: name, client: c, dialect: d, observer: o}
}

// Client returns the client of the endpoint.
func (d *DirectClient) Client() *Client { return d.client }

// Begin prepares an attempt, which is sent by the first call of Next.
func (d *DirectClient) Begin(ctx context.Context, a Attempt) transport.Exchange {
	ctx, cancel := context.WithCancel(ctx)
	return &exchange{direct: d, attempt: a, ctx: ctx, cancel: cancel}
}

// exchange is one attempt at a Direct. Its methods are called by one goroutine.
type exchange struct {
	direct  *DirectClient
	attempt Attempt
	ctx     context.Context
	cancel  context.CancelFunc
	// body is nil before the head.
	body io.ReadCloser
	// queue holds events that are ready.
	queue  []transport.Event
	length int64
}

// Next implements transport.Exchange.
func (x *exchange) Next(ctx context.Context) (transport.Event, error) {
	stop := context.AfterFunc(ctx, x.cancel)
	defer stop()
	if len(x.queue) == 0 {
		x.advance()
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	e := x.queue[0]
	x.queue = x.queue[1:]
	return e, nil
}

// advance queues at least one event.
func (x *exchange) advance() {
	if x.body != nil {
		x.readChunk()
		return
	}
	x.direct.dialect.Prepare(&x.attempt, x.direct.name)
	call := x.attempt.Call
	call.Idempotent = false
	resp, err := x.direct.client.Do(x.ctx, call) //nolint:bodyclose // Close closes it
	if err != nil {
		x.fail(err)
		return
	}
	x.body = resp.Body
	x.judge(resp)
}

// fail ends an attempt without an answer.
func (x *exchange) fail(err error) {
	if neverSent(err) {
		x.end(ConnectFailed{}, transport.Refused{Reason: outcome.EndpointUnreachable})
		return
	}
	x.end(BrokenOff{}, transport.Broken{})
}

func (x *exchange) judge(resp *http.Response) {
	switch x.direct.dialect.Classify(&x.attempt, resp.StatusCode, resp.Header).(type) {
	case Trusted:
		x.accept(resp)
	case NotExecuted:
		x.end(Shed{}, transport.Refused{Reason: outcome.Shed})
	case Misdirected:
		x.end(Replaced{}, transport.Refused{Reason: outcome.EndpointReplaced})
	case Untrusted:
		x.end(BrokenOff{}, transport.Broken{})
	}
}

// accept passes a stream on as it comes, and any other answer once it is whole.
func (x *exchange) accept(resp *http.Response) {
	head := transport.Head{Status: resp.StatusCode, Header: resp.Header}
	if x.attempt.Stream && resp.StatusCode == http.StatusOK {
		x.queue = append(x.queue, head)
		return
	}
	content, err := io.ReadAll(io.LimitReader(resp.Body, bufferedBody))
	switch {
	case err != nil:
		x.end(BrokenOff{}, transport.Broken{})
	case resp.StatusCode >= http.StatusInternalServerError && len(content) < bufferedBody:
		x.end(ServerError{}, transport.Failed{Head: head, Body: content})
	case len(content) < bufferedBody:
		x.queue = append(x.queue, head, transport.Data{Payload: content})
		x.end(Served{}, transport.End{Length: int64(len(content))})
	default:
		x.length = int64(len(content))
		x.queue = append(x.queue, head, transport.Data{Payload: content})
	}
}

func (x *exchange) readChunk() {
	chunk := make([]byte, chunkBytes)
	n, err := x.body.Read(chunk)
	if n > 0 {
		x.length += int64(n)
		x.queue = append(x.queue, transport.Data{Payload: chunk[:n]})
	}
	switch err {
	case nil:
	case io.EOF:
		x.end(Served{}, transport.End{Length: x.length})
	default:
		x.end(BrokenOff{}, transport.Broken{})
	}
	if len(x.queue) == 0 {
		x.queue = append(x.queue, transport.Data{})
	}
}

// end queues the final event. What the caller itself ended says nothing about
// the endpoint.
func (x *exchange) end(e Observation, final transport.Event) {
	if x.ctx.Err() == nil {
		x.direct.observer.Observed(e)
	}
	x.queue = append(x.queue, final)
}

// Acknowledge implements transport.Exchange; endpoints keep nothing.
func (*exchange) Acknowledge(int64) {}

// Cancel implements transport.Exchange.
func (x *exchange) Cancel() { x.Close() }

// Close implements transport.Exchange. It closes the connection, which makes an
// endpoint at work stop.
func (x *exchange) Close() {
	x.cancel()
	if x.body != nil {
		_ = x.body.Close()
	}
}

// Idle implements transport.Exchange.
func (x *exchange) Idle() bool { return len(x.queue) == 0 }
