package caller

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/request/eventstream"
	"github.com/cicadareel/cicadareel/internal/request/memory"
	"github.com/cicadareel/cicadareel/internal/request/transport"
)

const (
	// acknowledgeBytes is the number of bytes delivered between two
	// acknowledgements to the sidecar.
	acknowledgeBytes = 64 << 10
	// smallBodyBytes is the Content-Length up to which a response is written
	// without intermediate flushes.
	smallBodyBytes = 4 << 10
	// writeBytes is the length of the parts in which long payloads are written.
	writeBytes = 8 << 10
)

// deliveryResult is how the delivery of one exchange ended: completed,
// endpointFailure, refused, transportBroken, outOfOrder, callerGone or promptSuspected.
type deliveryResult interface{ isDeliveryResult() }

// completed means that the caller has the complete response.
type completed struct{}

// endpointFailure means that the endpoint ran the request and returned a 5xx
// response.
type endpointFailure struct{ response transport.Failed }

// refused means that the transport will not deliver a response.
type refused struct {
	reason     outcome.Reason
	mayHaveRun bool
}

// transportBroken means that the connection broke or the deadline passed.
type transportBroken struct {
	timedOut bool
	// cause is nil if it is not known.
	cause error
}

// outOfOrder means that the endpoint sent malformed events or events whose ids do not
// increase.
type outOfOrder struct{ cause error }

// callerGone means that the caller closed its connection.
type callerGone struct{}

// promptSuspected means that the attempt was given up since its prompt may crash the
// endpoint.
type promptSuspected struct{}

func (completed) isDeliveryResult()       {}
func (endpointFailure) isDeliveryResult() {}
func (refused) isDeliveryResult()         {}
func (transportBroken) isDeliveryResult() {}
func (outOfOrder) isDeliveryResult()      {}
func (callerGone) isDeliveryResult()      {}
func (promptSuspected) isDeliveryResult() {}

// PartialEventError reports an event stream that ended within an event.
type PartialEventError struct{}

func (*PartialEventError) Error() string { return "the stream ended within an event" }

// delivery writes one response to the caller, across attempts.
type delivery struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// headSent is true once the status line was written.
	headSent bool
	status   int
	// firstByte is when the first byte of the body was written.
	firstByte time.Time
	// attemptBegun is true once the present attempt has sent a part of the body that
	// the caller got.
	attemptBegun bool
	// offset counts the bytes of the body written to the caller, and base those of them
	// that are not in the response of the present attempt, which goes on after them.
	offset, base int64
	// skip counts the bytes that are still to be dropped from an attempt that
	// replays the response from offset 0.
	skip int64
	// smallBody is true if the response needs no flush before its end.
	smallBody bool
	// acknowledged is the offset last acknowledged to the sidecar.
	acknowledged int64
	// pace checks the times at which the response is written.
	pace pace
	// onBegun is called when an attempt begins to send the body.
	onBegun func()
	// onLate is called when the response misses an objective.
	onLate func()
	// deadline is when the caller stops waiting.
	deadline time.Time
	// held is what the request holds of the process's budget of bytes.
	held *memory.Holder
	// splicer joins the event streams of several attempts; nil for responses
	// that are not event streams.
	splicer *eventstream.Splicer
}

// newDelivery returns a delivery that has written nothing.
func newDelivery(w http.ResponseWriter, q *request) *delivery {
	d := &delivery{w: w, control: http.NewResponseController(w), pace: newPace(q), onBegun: func() {}, onLate: func() {}, held: q.held, deadline: q.deadline}
	if q.route.Stream {
		d.splicer = eventstream.NewSplicer(q.resumeAfter)
	}
	return d
}

// prepareAttempt makes the next attempt continue where the last one ended.
func (d *delivery) prepareAttempt() {
	d.skip, d.base = d.offset, 0
	d.attemptBegun = false
	if d.splicer != nil {
		d.skip, d.base = 0, d.offset
		d.splicer.DiscardPartial()
	}
}

// prepareResume makes the present attempt continue at responseOffset. Bytes that are still to
// be dropped remain so.
func (d *delivery) prepareResume() {
	if d.splicer != nil {
		d.splicer.DiscardPartial()
	}
}

// responseOffset returns the offset in the response of the present attempt up to which it
// was delivered or dropped.
func (d *delivery) responseOffset() int64 { return d.offset - d.base - d.skip }

// lastEventID returns the id of the last event that the caller has; zero for none, or if
// the response is no event stream.
func (d *delivery) lastEventID() eventstream.ID {
	if d.splicer == nil {
		return eventstream.ID{}
	}
	return d.splicer.LastID()
}

// forward writes the exchange to the caller until it ends.
func (d *delivery) forward(ctx context.Context, x transport.Exchange) deliveryResult {
	defer x.Close()
	for {
		e, err := x.Next(ctx)
		if err != nil {
			return transportBroken{timedOut: true}
		}
		switch k := e.(type) {
		case transport.Head:
			d.writeHead(k)
		case transport.Data:
			if r := d.writeData(k, x); r != nil {
				d.held.EndWait()
				return r
			}
		case transport.End:
			return d.complete(k, x)
		case transport.Failed:
			return endpointFailure{response: k}
		case transport.Refused:
			return refused{reason: k.Reason, mayHaveRun: k.MayHaveRun}
		case transport.Broken:
			return transportBroken{cause: k.Cause}
		}
		d.flush(x)
		d.held.EndWait()
	}
}

// writeHead writes the status and header fields of the first attempt that has
// them. A response with a status other than 200 is not an event stream.
func (d *delivery) writeHead(e transport.Head) {
	if d.headSent {
		return
	}
	if e.Status != http.StatusOK {
		d.splicer = nil
	}
	h := d.w.Header()
	for name, values := range e.Header {
		if !hopByHopHeaders[name] || (name == "Content-Length" && d.splicer == nil) {
			h[name] = values
		}
	}
	length, err := strconv.Atoi(h.Get("Content-Length"))
	d.smallBody = err == nil && length <= smallBodyBytes
	d.status = e.Status
	d.w.WriteHeader(e.Status)
	d.headSent = true
}

// writeData writes the bytes that the caller does not have yet. It returns nil
// while the delivery can continue.
func (d *delivery) writeData(e transport.Data, x transport.Exchange) deliveryResult {
	payload, cause := d.undelivered(e.Payload)
	if len(payload) > 0 {
		if !d.attemptBegun {
			d.attemptBegun = true
			d.onBegun()
		}
		if d.firstByte.IsZero() {
			d.firstByte = time.Now()
		}
		if d.pace.advance(time.Now()) {
			d.onLate()
		}
		if !d.write(payload) {
			return callerGone{}
		}
	}
	if cause != nil {
		return outOfOrder{cause: cause}
	}
	if d.offset-d.acknowledged >= acknowledgeBytes {
		d.acknowledged = d.offset
		x.Acknowledge(d.responseOffset())
	}
	return nil
}

// write writes the payload in parts, so that a caller that reads slowly is known from one
// that has stopped. It returns false if the caller is gone.
func (d *delivery) write(payload []byte) bool {
	d.held.BeginWait()
	for part := range slices.Chunk(payload, writeBytes) {
		// A response that is late is delivered as long as the caller reads.
		if now := time.Now(); now.After(d.deadline) {
			_ = d.control.SetWriteDeadline(now.Add(writeGrace))
		}
		if _, err := d.w.Write(part); err != nil {
			return false
		}
		d.offset += int64(len(part))
		d.held.Moved(len(part))
	}
	return true
}

// undelivered returns the part of the payload that the caller does not have.
func (d *delivery) undelivered(payload []byte) ([]byte, error) {
	if d.splicer != nil {
		return d.splicer.Write(payload)
	}
	drop := min(d.skip, int64(len(payload)))
	d.skip -= drop
	return payload[drop:], nil
}

// complete handles the end of a response. A stream that ends within an event
// counts as broken.
func (d *delivery) complete(e transport.End, x transport.Exchange) deliveryResult {
	if d.splicer != nil && d.splicer.HasPartial() {
		return transportBroken{cause: &PartialEventError{}}
	}
	x.Acknowledge(e.Length)
	return completed{}
}

// writeFailure writes the buffered error response of an endpoint.
func (d *delivery) writeFailure(f transport.Failed) {
	d.splicer = nil
	d.writeHead(f.Head)
	_, _ = d.w.Write(f.Body)
}

// flush sends the written bytes to the caller if no more are ready.
func (d *delivery) flush(x transport.Exchange) {
	if d.headSent && !d.smallBody && x.Idle() {
		_ = d.control.Flush()
	}
}
