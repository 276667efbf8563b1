package caller

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/request/eventstream"
	"github.com/cicadareel/cicadareel/internal/request/transport"
)

const (
	// ackBytes is the number of delivered bytes after which the sidecar is
	// told.
	ackBytes = 64 << 10
	// smallBody is the length up to which an answer of known length is
	// written in one piece.
	smallBody = 4 << 10
)

// result is how the reading of one exchange ended: whole, failed, refused,
// broken, disordered or gone.
type result interface{ isResult() }

// whole says that the caller has the whole answer.
type whole struct{}

// failed says that the endpoint ran the request and failed.
type failed struct{ answer transport.Failed }

// refused says that the transport will not deliver.
type refused struct {
	reason     outcome.Reason
	mayHaveRun bool
}

// broken says that the transport broke or the deadline passed.
type broken struct{ timedOut bool }

// disordered says that the endpoint sent events that do not follow each other.
type disordered struct{ cause error }

// gone says that the caller went away.
type gone struct{}

func (whole) isResult()      {}
func (failed) isResult()     {}
func (refused) isResult()    {}
func (broken) isResult()     {}
func (disordered) isResult() {}
func (gone) isResult()       {}

// delivery writes one answer to the caller, across attempts.
type delivery struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// headSent is true once the status went out.
	headSent bool
	status   int
	// firstByte is the time of the first byte of the body written.
	firstByte time.Time
	// offset counts the bytes of the answer written to the caller.
	offset int64
	// skip counts the bytes to drop of an attempt that replays from offset 0.
	skip int64
	// small is true if the answer needs no flush before its end.
	small bool
	acked int64
	// events joins the runs of an event stream; nil for other answers.
	events *eventstream.Splicer
}

// newDelivery prepares the answer to a request.
func newDelivery(w http.ResponseWriter, q *request) *delivery {
	d := &delivery{w: w, control: http.NewResponseController(w)}
	if q.route.Stream {
		d.events = eventstream.NewSplicer(q.resumeAfter)
	}
	return d
}

// restart prepares for another attempt.
func (d *delivery) restart() {
	d.skip = d.offset
	if d.events != nil {
		d.skip = 0
		d.events.DiscardPartial()
	}
}

// read delivers the exchange's events until it ends.
func (d *delivery) read(ctx context.Context, x transport.Exchange) result {
	defer x.Close()
	for {
		e, err := x.Next(ctx)
		if err != nil {
			return broken{timedOut: true}
		}
		switch k := e.(type) {
		case transport.Head:
			d.head(k)
		case transport.Data:
			if r := d.data(k, x); r != nil {
				return r
			}
		case transport.End:
			return d.end(k, x)
		case transport.Failed:
			return failed{answer: k}
		case transport.Refused:
			return refused{reason: k.Reason, mayHaveRun: k.MayHaveRun}
		case transport.Broken:
			return broken{}
		}
		d.flush(x)
	}
}

// head writes the status and fields. Only the first answer to a request has
// them; an answer that is no success is not an event stream.
func (d *delivery) head(e transport.Head) {
	if d.headSent {
		return
	}
	if e.Status != http.StatusOK {
		d.events = nil
	}
	h := d.w.Header()
	for name, values := range e.Header {
		if !dropped[name] || (name == "Content-Length" && d.events == nil) {
			h[name] = values
		}
	}
	length, err := strconv.Atoi(h.Get("Content-Length"))
	d.small = err == nil && length <= smallBody
	d.status = e.Status
	d.w.WriteHeader(e.Status)
	d.headSent = true
}

// data writes what the caller does not have yet. It returns nil while the
// answer can go on.
func (d *delivery) data(e transport.Data, x transport.Exchange) result {
	payload, cause := d.fresh(e.Payload)
	if len(payload) > 0 {
		if d.firstByte.IsZero() {
			d.firstByte = time.Now()
		}
		if _, err := d.w.Write(payload); err != nil {
			return gone{}
		}
		d.offset += int64(len(payload))
	}
	if cause != nil {
		return disordered{cause: cause}
	}
	if d.offset-d.acked >= ackBytes {
		d.acked = d.offset
		x.Acknowledge(d.offset)
	}
	return nil
}

// fresh returns the bytes to write.
func (d *delivery) fresh(payload []byte) ([]byte, error) {
	if d.events != nil {
		return d.events.Write(payload)
	}
	drop := min(d.skip, int64(len(payload)))
	d.skip -= drop
	return payload[drop:], nil
}

// end accepts the end of an answer; a stream that ends within an event broke.
func (d *delivery) end(e transport.End, x transport.Exchange) result {
	if d.events != nil && d.events.HasPartial() {
		return broken{}
	}
	x.Acknowledge(e.Length)
	return whole{}
}

// whole writes an answer that is there in full.
func (d *delivery) whole(a transport.Failed) {
	d.events = nil
	d.head(a.Head)
	_, _ = d.w.Write(a.Body)
}

func (d *delivery) flush(x transport.Exchange) {
	if d.headSent && !d.small && x.Idle() {
		_ = d.control.Flush()
	}
}
