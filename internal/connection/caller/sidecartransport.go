package caller

import (
	"context"
	"net/http"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/cicadareel/cicadareel/internal/connection/sidecar"
	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/outcome"
)

// lastEventIDHeader names the event after which a stream goes on. It belongs to the format
// text/event-stream.
const lastEventIDHeader = "Last-Event-Id"

// beginFrame returns the frame that sends the attempt to a sidecar.
func (d *dispatch) beginFrame(a attempt) *wire.Begin {
	q := d.request
	header := q.header
	if id := d.delivery.lastEventID(); !id.IsZero() {
		header = header.Clone()
		header.Set(lastEventIDHeader, id.String())
	}
	return &wire.Begin{
		Id:            a.id,
		Account:       q.account.Name,
		Weight:        q.account.Weight,
		Idempotent:    q.route.Idempotent,
		KeepAnswer:    q.key != "",
		Priority:      int32(q.priority()),
		Remaining:     durationpb.New(q.remaining()),
		BundleVersion: q.version,
		Incarnation:   a.remote.Incarnation,
		Epoch:         a.remote.Epoch,
		Method:        q.method,
		Target:        q.target,
		Headers:       headersToWire(header),
		Body:          q.body,
	}
}

// sealAttempt seals the attempt at its sidecar and returns the next step for
// the state that the sidecar reports. A sidecar that does not reply is asked
// again until the deadline, unless the request may be repeated at another
// endpoint.
func (d *dispatch) sealAttempt(ctx context.Context, a attempt, link *sidecar.Link) nextStep {
	for {
		reply, err := link.Seal(ctx, a.id, a.remote, false)
		if err == nil {
			return d.handleSealReply(ctx, a, link, reply)
		}
		if d.mayReplay() {
			d.query.Exclude(a.target.Member)
			return d.replay(outcome.SealUnanswered)
		}
		sleep(ctx, pollInterval)
		if ctx.Err() != nil {
			return finish{outcome: outcome.Unknown{Reason: outcome.SealUnanswered}}
		}
	}
}

// handleSealReply returns the next step for the state of an attempt: an attempt
// that was never admitted is repeated, the response of one that is running or
// whose response is kept is resumed, and any other is replayed if allowed.
func (d *dispatch) handleSealReply(ctx context.Context, a attempt, link *sidecar.Link, reply *wire.SealReply) nextStep {
	switch reply.GetState() {
	case wire.SealState_SEAL_STATE_NEVER_ADMITTED:
		d.query.Exclude(a.target.Member)
		return tryAgain{reason: outcome.Sealed}
	case wire.SealState_SEAL_STATE_RUNNING, wire.SealState_SEAL_STATE_ANSWER_KEPT:
		return d.resume(ctx, a, link)
	}
	d.query.Exclude(a.target.Member)
	return d.replay(outcome.ConnectionLost)
}

// resume delivers the rest of a response over the link's next stream.
func (d *dispatch) resume(ctx context.Context, a attempt, link *sidecar.Link) nextStep {
	for range resumeTries {
		x, err := link.Resume(ctx, a.id, a.remote.Incarnation, d.delivery.responseOffset())
		if err == nil {
			d.delivery.prepareResume()
			return d.handleResult(ctx, a, x, d.deliver(ctx, x))
		}
		sleep(ctx, pollInterval)
	}
	if ctx.Err() != nil {
		return finish{outcome: outcome.Unknown{Reason: outcome.ConnectionLost}}
	}
	return d.resolveBroken(ctx, a, nil)
}

func headersToWire(h http.Header) []*wire.Header {
	out := make([]*wire.Header, 0, len(h))
	for name, values := range h {
		out = append(out, &wire.Header{Name: name, Values: values})
	}
	return out
}
