package caller

import (
	"context"
	"net/http"
	"strconv"

	"github.com/cicadareel/cicadareel/internal/connection/sidecar"
	"github.com/cicadareel/cicadareel/internal/request/outcome"
)

const (
	// ackBytes is the number of delivered bytes after which the sidecar is
	// told.
	ackBytes = 64 << 10
	// smallBody is the length up to which an answer of known length is
	// written in one piece.
	smallBody = 4 << 10
)

// result is how the reading of one exchange ended: whole, refused, broken or
// gone.
type result interface{ isResult() }

// whole says that the caller has the whole answer.
type whole struct{}

// refused says that the sidecar will not deliver.
type refused struct {
	reason     outcome.Reason
	mayHaveRun bool
}

// broken says that the link broke or the deadline passed.
type broken struct{ timedOut bool }

// gone says that the caller went away.
type gone struct{}

func (whole) isResult()   {}
func (refused) isResult() {}
func (broken) isResult()  {}
func (gone) isResult()    {}

// delivery writes one answer to the caller, across attempts.
type delivery struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// headSent is true once the status went out.
	headSent bool
	// offset counts the bytes of the answer written to the caller.
	offset int64
	// skip counts the bytes to drop of an attempt that replays from offset 0.
	skip int64
	// small is true if the answer needs no flush before its end.
	small bool
	acked int64
}

func newDelivery(w http.ResponseWriter) *delivery {
	return &delivery{w: w, control: http.NewResponseController(w)}
}

// read delivers the exchange's events until it ends.
func (d *delivery) read(ctx context.Context, x *sidecar.Exchange) result {
	defer x.Close()
	for {
		e, err := x.Next(ctx)
		if err != nil {
			return broken{timedOut: true}
		}
		switch k := e.(type) {
		case sidecar.HeadEvent:
			d.head(k)
		case sidecar.DataEvent:
			if !d.data(k, x) {
				return gone{}
			}
		case sidecar.EndEvent:
			x.Acknowledge(k.Length)
			return whole{}
		case sidecar.RefusedEvent:
			return refused{reason: k.Reason, mayHaveRun: k.MayHaveRun}
		case sidecar.BrokenEvent:
			return broken{}
		}
		d.flush(x)
	}
}

func (d *delivery) head(e sidecar.HeadEvent) {
	if d.headSent {
		return
	}
	h := d.w.Header()
	for name, values := range e.Header {
		if !dropped[name] || name == "Content-Length" {
			h[name] = values
		}
	}
	length, err := strconv.Atoi(h.Get("Content-Length"))
	d.small = err == nil && length <= smallBody
	d.w.WriteHeader(e.Status)
	d.headSent = true
}

// data writes what the caller does not have yet. It reports false if the
// caller is gone.
func (d *delivery) data(e sidecar.DataEvent, x *sidecar.Exchange) bool {
	payload := e.Payload
	drop := min(d.skip, int64(len(payload)))
	d.skip -= drop
	payload = payload[drop:]
	if len(payload) == 0 {
		return true
	}
	if _, err := d.w.Write(payload); err != nil {
		return false
	}
	d.offset += int64(len(payload))
	if d.offset-d.acked >= ackBytes {
		d.acked = d.offset
		x.Acknowledge(d.offset)
	}
	return true
}

func (d *delivery) flush(x *sidecar.Exchange) {
	if d.headSent && !d.small && x.Idle() {
		_ = d.control.Flush()
	}
}
