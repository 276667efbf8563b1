package caller

import (
	"context"
	"net/http"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/cicadareel/cicadareel/internal/connection/sidecar"
	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/outcome"
)

// frame describes an attempt that goes through a gate.
func (d *dispatch) frame(a attempt) *wire.Begin {
	q := d.request
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
		Headers:       headersToWire(q.header),
		Body:          q.body,
	}
}

// askGate asks a sidecar what became of an attempt. One that does not say is
// asked until the deadline, unless the request can be repeated at another
// endpoint.
func (d *dispatch) askGate(ctx context.Context, a attempt, link *sidecar.Link) next {
	for {
		reply, err := link.Seal(ctx, a.id, a.remote, false)
		if err == nil {
			return d.afterSeal(ctx, a, link, reply)
		}
		if d.mayReplay() {
			d.query.Exclude(a.target.Member)
			return d.replay(outcome.SealUnanswered)
		}
		pause(ctx, lookInterval)
		if ctx.Err() != nil {
			return done{outcome: outcome.Unknown{Reason: outcome.SealUnanswered}}
		}
	}
}

func (d *dispatch) afterSeal(ctx context.Context, a attempt, link *sidecar.Link, reply *wire.SealReply) next {
	switch reply.GetState() {
	case wire.SealState_SEAL_STATE_NEVER_ADMITTED:
		d.query.Exclude(a.target.Member)
		return again{reason: outcome.Sealed}
	case wire.SealState_SEAL_STATE_RUNNING, wire.SealState_SEAL_STATE_ANSWER_KEPT:
		return d.resume(ctx, a, link)
	}
	d.query.Exclude(a.target.Member)
	return d.replay(outcome.ConnectionLost)
}

// resume reads the rest of an answer over the link's next stream.
func (d *dispatch) resume(ctx context.Context, a attempt, link *sidecar.Link) next {
	for range resumeTries {
		x, err := link.Resume(ctx, a.id, a.remote.Incarnation, d.delivery.offset)
		if err == nil {
			d.delivery.skip = 0
			return d.after(ctx, a, x, d.read(ctx, x))
		}
		pause(ctx, lookInterval)
	}
	if ctx.Err() != nil {
		return done{outcome: outcome.Unknown{Reason: outcome.ConnectionLost}}
	}
	return d.settle(ctx, a)
}

func headersToWire(h http.Header) []*wire.Header {
	out := make([]*wire.Header, 0, len(h))
	for name, values := range h {
		out = append(out, &wire.Header{Name: name, Values: values})
	}
	return out
}
