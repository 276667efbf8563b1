package caller

import (
	"context"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/sidecar"
	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/request/claim"
	"github.com/cicadareel/cicadareel/pkg/bundle"
)

const (
	// lookInterval is the time between two questions after a request that
	// another entry is about to send.
	lookInterval = 100 * time.Millisecond
	// patientLooks is the number of questions before the attempt is sealed.
	patientLooks = 5
)

// claim records that the attempt is the one that runs the keyed request. It
// returns nil if the attempt may be sent.
func (d *dispatch) claim(ctx context.Context, a attempt) next {
	mine := claim.Claim{
		RequestID:   a.id.GetRequestId(),
		Attempt:     a.id.GetNumber(),
		Endpoint:    a.target.Member.Name,
		Incarnation: a.remote.Incarnation,
		Epoch:       a.remote.Epoch,
		BodyDigest:  bundle.HashToken(d.request.method + " " + d.request.target + "\n" + string(d.request.body)),
	}
	held, err := d.service.Claims.Acquire(ctx, d.request.key, mine, d.revision)
	if err != nil {
		return done{outcome: d.unfinished(outcome.ClaimStoreDown)}
	}
	d.revision = held.Revision
	if held.Claim == mine {
		return nil
	}
	if held.Claim.BodyDigest != mine.BodyDigest {
		return done{outcome: outcome.NotRun{Reason: outcome.KeyReused}}
	}
	return d.follow(ctx, held.Claim)
}

// follow gives the caller the outcome of the attempt that holds the claim.
func (d *dispatch) follow(ctx context.Context, c claim.Claim) next {
	d.request.id = c.RequestID
	d.service.Dialect.SetRequestID(d.delivery.w.Header(), c.RequestID)
	d.attempt = c.Attempt
	for look := 0; ctx.Err() == nil; look++ {
		link, ok := d.service.Fleet.FindLink(c.Endpoint)
		if !ok {
			pause(ctx, lookInterval)
			continue
		}
		a := attempt{
			target: Target{Transport: SidecarTransport{Link: link}},
			remote: sidecar.Remote{Incarnation: c.Incarnation, Epoch: c.Epoch},
			id:     &wire.AttemptId{RequestId: c.RequestID, Number: c.Attempt},
		}
		reply, err := link.Seal(ctx, a.id, a.remote, look < patientLooks)
		if err == nil && reply.GetState() != wire.SealState_SEAL_STATE_NOT_SEEN {
			return d.afterSeal(ctx, a, link, reply)
		}
		pause(ctx, lookInterval)
	}
	return done{outcome: outcome.Unknown{Reason: outcome.SealUnanswered}}
}
