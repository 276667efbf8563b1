package endpoint

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/request/eventstream"
	"github.com/cicadareel/cicadareel/internal/request/transport"
)

const (
	// maxBufferedBytes bounds a response that is read completely before any of
	// it is delivered, so that the request can be retried if the response breaks.
	maxBufferedBytes = 1 << 20
	// firstBufferBytes is the size of the first buffer of a response, which takes no room.
	firstBufferBytes = 4 << 10
	// maxChunkBytes bounds one read of a response that is streamed.
	maxChunkBytes = 32 << 10
)

// Attempt is one attempt that is sent directly to an endpoint.
type Attempt struct {
	Call
	RequestID string
	// Account is the caller's client account; empty on anonymous routes.
	Account string
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// ResumeAfter is the id of the last event that the caller has of a stream to
	// be resumed; zero for a stream from the start.
	ResumeAfter eventstream.ID
	// Urgency orders the requests that wait at the endpoint: 0 is served first,
	// 9 last.
	Urgency int
	// Stream is true if the response is an event stream.
	Stream bool
	// Idempotent is true if the request may run more than once.
	Idempotent bool
	// Room bounds what may be buffered of the response; nil for no bound but
	// maxBufferedBytes.
	Room Room
}

// Room is a budget of bytes.
type Room interface {
	// TryTake takes bytes before they are held, if there is room for them.
	TryTake(n int64) bool
	// Give gives back bytes that are not held any more.
	Give(n int64)
}

// ResponseClass is what the status and header fields of a response tell about
// the attempt: Trusted, NotExecuted, Misdirected or Untrusted.
type ResponseClass interface{ isResponseClass() }

// Trusted means that the response is the endpoint's own to this attempt.
type Trusted struct{}

// NotExecuted means that the endpoint refused to run the request.
type NotExecuted struct{}

// Misdirected means that another endpoint, which did not run the request, now
// has the address.
type Misdirected struct{}

// Untrusted means that the response belongs to another attempt, lacks proof of
// its origin, or has a status that callers would take as proof that the request
// did not run.
type Untrusted struct{}

func (Trusted) isResponseClass()     {}
func (NotExecuted) isResponseClass() {}
func (Misdirected) isResponseClass() {}
func (Untrusted) isResponseClass()   {}

// UntrustedError reports a response that is Untrusted.
type UntrustedError struct{ Status int }

func (e *UntrustedError) Error() string {
	return fmt.Sprintf("response with status %d is not the endpoint's own to the attempt", e.Status)
}

// TooLongError reports an error response that is longer than maxBufferedBytes, or than there
// is room for.
type TooLongError struct{ Status int }

func (e *TooLongError) Error() string {
	return fmt.Sprintf("error response with status %d is too long", e.Status)
}

// Dialect defines the header fields of requests to endpoints and the meaning of
// their responses.
type Dialect interface {
	// Prepare sets the fields of a.Header that the endpoint with the name needs.
	Prepare(a *Attempt, endpoint string)
	// Classify returns the class of a response with the status and header fields.
	Classify(a *Attempt, status int, h http.Header) ResponseClass
	// RequestLimit returns the requests per second that the endpoint takes from all
	// processes together, or 0 if a response with the header fields names no limit.
	RequestLimit(h http.Header) (float64, error)
	// Leaving reports whether a response with the header fields says that the endpoint
	// takes no new requests any more.
	Leaving(h http.Header) bool
	// Pause returns how long the endpoint wants no requests from this process; 0 if a
	// response with the status and header fields does not say.
	Pause(status int, h http.Header) (time.Duration, error)
}

// Observation is what an attempt showed about its endpoint: Served, Shed,
// BrokenOff, ServerError, ConnectFailed, Replaced, LimitNamed, LimitInvalid,
// SaysLeaving, PauseAsked, PauseInvalid, StreamBegun, StreamContinued or StreamEnded.
type Observation interface{ isObservation() }

// Served means that the endpoint sent a complete response other than a
// ServerError.
type Served struct{}

// Shed means that the endpoint refused the request without running it.
type Shed struct{}

// BrokenOff means that a connected endpoint sent no complete, trusted response.
type BrokenOff struct{}

// ServerError means that the endpoint sent a complete response with a 5xx status
// that is shorter than maxBufferedBytes.
type ServerError struct{}

// ConnectFailed means that no connection could be opened.
type ConnectFailed struct{}

// Replaced means that another endpoint now has the address.
type Replaced struct{}

// LimitNamed means that the head of a response named a limit on the endpoint's requests.
type LimitNamed struct {
	// PerSecond is the limit; 0 if the response named none.
	PerSecond float64
}

// LimitInvalid means that the limit in the head of a response cannot be read.
type LimitInvalid struct{ Cause error }

// SaysLeaving means that the head of a response said that the endpoint is leaving.
type SaysLeaving struct{}

// PauseAsked means that the endpoint wants no requests from this process for a time.
type PauseAsked struct{ For time.Duration }

// PauseInvalid means that the pause in the head of a response cannot be read.
type PauseInvalid struct{ Cause error }

// StreamBegun means that the first bytes of an event stream came.
type StreamBegun struct{}

// StreamContinued means that further bytes of an event stream came.
type StreamContinued struct {
	// After is the time since the bytes before; 0 if these lay ready.
	After time.Duration
}

// StreamEnded means that a stream that had begun is over, for whatever reason.
type StreamEnded struct{}

func (StreamBegun) isObservation()     {}
func (StreamContinued) isObservation() {}
func (StreamEnded) isObservation()     {}
func (Served) isObservation()          {}
func (Shed) isObservation()            {}
func (BrokenOff) isObservation()       {}
func (ServerError) isObservation()     {}
func (ConnectFailed) isObservation()   {}
func (Replaced) isObservation()        {}
func (LimitNamed) isObservation()      {}
func (LimitInvalid) isObservation()    {}
func (SaysLeaving) isObservation()     {}
func (PauseAsked) isObservation()      {}
func (PauseInvalid) isObservation()    {}

// Observer is notified of what an attempt showed. It must not block.
type Observer interface{ Observe(o Observation) }

// DirectClient sends attempts directly to one endpoint, each over its own
// connection: late or surplus bytes of one response cannot end up in another,
// and no request depends on a kept-alive connection that has gone silent.
type DirectClient struct {
	name     string
	client   *Client
	dialect  Dialect
	observer Observer
}

// NewDirectClient returns a client of the endpoint with the name.
func NewDirectClient(name string, c *Client, d Dialect, o Observer) *DirectClient {
	return &DirectClient{name: name, client: c, dialect: d, observer: o}
}

// Begin returns an exchange for the attempt, which the first call of Next sends.
func (d *DirectClient) Begin(ctx context.Context, a Attempt) transport.Exchange {
	ctx, cancel := context.WithCancel(ctx)
	return &exchange{direct: d, attempt: a, ctx: ctx, cancel: cancel}
}

// exchange is one attempt of a DirectClient. It is not safe for concurrent use.
type exchange struct {
	direct  *DirectClient
	attempt Attempt
	ctx     context.Context
	cancel  context.CancelFunc
	// body is nil until the response head arrives.
	body io.ReadCloser
	// queue holds events that are ready.
	queue []transport.Event
	// length counts the bytes of the body read so far.
	length int64
	// streamedAt is when bytes of an event stream last came; zero before the first and
	// after the end.
	streamedAt time.Time
	// taken is the room that the buffered part of the body takes.
	taken int64
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

// advance sends the request, or reads on in its response, and queues at least
// one event.
func (x *exchange) advance() {
	if x.body != nil {
		// What was buffered is delivered.
		x.takeInstead(0)
		x.readChunk()
		return
	}
	x.direct.dialect.Prepare(&x.attempt, x.direct.name)
	call := x.attempt.Call
	call.Idempotent = false
	resp, err := x.direct.client.Do(x.ctx, call) //nolint:bodyclose // Close closes it
	if err != nil {
		x.handleError(err)
		return
	}
	x.body = resp.Body
	x.classify(resp)
}

// handleError ends an attempt that got no response.
func (x *exchange) handleError(err error) {
	if isNeverSent(err) {
		x.finish(ConnectFailed{}, transport.Refused{Reason: outcome.EndpointUnreachable})
		return
	}
	x.finish(BrokenOff{}, transport.Broken{Cause: err})
}

// classify accepts a trusted response and ends the attempt on any other.
func (x *exchange) classify(resp *http.Response) {
	switch x.direct.dialect.Classify(&x.attempt, resp.StatusCode, resp.Header).(type) {
	case Trusted:
		x.observeState(resp)
		x.acceptResponse(resp)
	case NotExecuted:
		x.observeState(resp)
		x.finish(Shed{}, transport.Refused{Reason: outcome.Shed})
	case Misdirected:
		x.finish(Replaced{}, transport.Refused{Reason: outcome.EndpointReplaced})
	case Untrusted:
		x.finish(BrokenOff{}, transport.Broken{Cause: &UntrustedError{Status: resp.StatusCode}})
	}
}

// observeState notifies the observer of what a response says of the endpoint's state.
func (x *exchange) observeState(resp *http.Response) {
	h := resp.Header
	x.observePause(resp.StatusCode, h)
	if x.direct.dialect.Leaving(h) {
		x.direct.observer.Observe(SaysLeaving{})
	}
	perSecond, err := x.direct.dialect.RequestLimit(h)
	if err != nil {
		x.direct.observer.Observe(LimitInvalid{Cause: err})
		return
	}
	x.direct.observer.Observe(LimitNamed{PerSecond: perSecond})
}

// observePause notifies the observer of a pause that the endpoint asks for.
func (x *exchange) observePause(status int, h http.Header) {
	pause, err := x.direct.dialect.Pause(status, h)
	switch {
	case err != nil:
		x.direct.observer.Observe(PauseInvalid{Cause: err})
	case pause > 0:
		x.direct.observer.Observe(PauseAsked{For: pause})
	}
}

// acceptResponse queues the head of an event stream at once. It buffers any
// other response up to maxBufferedBytes, or as far as there is room, and streams the rest
// of a longer one. A longer error response counts as broken off.
func (x *exchange) acceptResponse(resp *http.Response) {
	head := transport.Head{Status: resp.StatusCode, Header: resp.Header}
	if x.attempt.Stream && resp.StatusCode == http.StatusOK {
		x.queue = append(x.queue, head)
		return
	}
	content, whole, err := x.buffer(resp)
	failed := resp.StatusCode >= http.StatusInternalServerError
	switch {
	case err != nil:
		x.finish(BrokenOff{}, transport.Broken{Cause: err})
	case failed && !whole:
		x.finish(BrokenOff{}, transport.Broken{Cause: &TooLongError{Status: resp.StatusCode}})
	case failed:
		x.finish(ServerError{}, transport.Failed{Head: head, Body: content})
	case whole:
		x.queue = append(x.queue, head, transport.Data{Payload: content})
		x.finish(Served{}, transport.End{Length: int64(len(content))})
	default:
		x.length = int64(len(content))
		x.queue = append(x.queue, head, transport.Data{Payload: content})
	}
}

// buffer reads the body up to maxBufferedBytes, or as far as there is room, and reports
// whether that is all of it.
func (x *exchange) buffer(resp *http.Response) ([]byte, bool, error) {
	content := make([]byte, 0, firstBufferBytes)
	for {
		if len(content) == cap(content) {
			size := min(2*cap(content), maxBufferedBytes)
			if resp.ContentLength >= int64(cap(content)) {
				size = int(min(resp.ContentLength+1, maxBufferedBytes))
			}
			if len(content) == maxBufferedBytes || !x.takeInstead(int64(size)) {
				return content, false, nil
			}
			content = append(make([]byte, 0, size), content...)
		}
		n, err := resp.Body.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		switch err { //nolint:errorlint // io.Reader returns io.EOF itself
		case nil:
		case io.EOF:
			return content, true, nil
		default:
			return nil, false, err
		}
	}
}

// takeInstead takes room for n bytes in place of what is taken, and reports whether there
// is room.
func (x *exchange) takeInstead(n int64) bool {
	if x.attempt.Room == nil || n == x.taken {
		return true
	}
	if n > 0 && !x.attempt.Room.TryTake(n) {
		return false
	}
	x.attempt.Room.Give(x.taken)
	x.taken = n
	return true
}

// readChunk reads the next bytes of a streamed response.
func (x *exchange) readChunk() {
	chunk := make([]byte, maxChunkBytes)
	readAt := time.Now()
	n, err := x.body.Read(chunk)
	if n > 0 {
		x.observeStream(readAt)
		x.length += int64(n)
		x.queue = append(x.queue, transport.Data{Payload: chunk[:n]})
	}
	switch err {
	case nil:
	case io.EOF:
		x.finish(Served{}, transport.End{Length: x.length})
	default:
		x.finish(BrokenOff{}, transport.Broken{Cause: err})
	}
	if len(x.queue) == 0 {
		x.queue = append(x.queue, transport.Data{})
	}
}

// observeStream notifies the observer of bytes of an event stream that were waited for
// since a time. Bytes that lay ready, since the caller reads slowly, tell no time.
func (x *exchange) observeStream(readAt time.Time) {
	if !x.attempt.Stream {
		return
	}
	now, last := time.Now(), x.streamedAt
	x.streamedAt = now
	switch {
	case last.IsZero():
		x.direct.observer.Observe(StreamBegun{})
	case now.Sub(readAt) >= now.Sub(last)/2:
		x.direct.observer.Observe(StreamContinued{After: now.Sub(last)})
	default:
		x.direct.observer.Observe(StreamContinued{})
	}
}

// endStream notifies the observer of the end of a stream that had begun.
func (x *exchange) endStream() {
	if !x.streamedAt.IsZero() {
		x.streamedAt = time.Time{}
		x.direct.observer.Observe(StreamEnded{})
	}
}

// finish queues the final event and notifies the observer. An attempt that this
// side canceled shows nothing about the endpoint.
func (x *exchange) finish(o Observation, final transport.Event) {
	x.endStream()
	if x.ctx.Err() == nil {
		x.direct.observer.Observe(o)
	}
	x.queue = append(x.queue, final)
}

// Acknowledge implements transport.Exchange. It does nothing: endpoints keep no
// responses.
func (*exchange) Acknowledge(int64) {}

// Cancel implements transport.Exchange.
func (x *exchange) Cancel() { x.Close() }

// Close implements transport.Exchange. It closes the connection, on which an
// endpoint stops work on the request.
func (x *exchange) Close() {
	x.cancel()
	x.endStream()
	x.takeInstead(0)
	if x.body != nil {
		_ = x.body.Close()
	}
}

// Idle implements transport.Exchange.
func (x *exchange) Idle() bool { return len(x.queue) == 0 }
