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
	// pollInterval is the time between two queries for the state of an attempt.
	pollInterval = 100 * time.Millisecond
	// lookOnlyPolls is the number of first queries that do not seal the attempt.
	// They give the entry that holds the claim time to send it.
	lookOnlyPolls = 5
)

// takeClaim records the attempt as the only one that may run the request with
// this idempotency key. It returns nil if the attempt may be sent.
func (d *dispatch) takeClaim(ctx context.Context, a attempt) nextStep {
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
		return finish{outcome: d.finalOutcome(outcome.ClaimStoreDown)}
	}
	d.revision = held.Revision
	if held.Claim == mine {
		return nil
	}
	if held.Claim.BodyDigest != mine.BodyDigest {
		return finish{outcome: outcome.NotRun{Reason: outcome.KeyReused}}
	}
	return d.followClaim(ctx, held.Claim)
}

// followClaim delivers the outcome of the attempt that holds the claim, which
// another entry may have sent.
func (d *dispatch) followClaim(ctx context.Context, c claim.Claim) nextStep {
	d.request.id = c.RequestID
	d.service.Dialect.SetRequestID(d.delivery.w.Header(), c.RequestID)
	d.attempt = c.Attempt
	for poll := 0; ctx.Err() == nil; poll++ {
		link, ok := d.service.Fleet.FindLink(c.Endpoint)
		if !ok {
			sleep(ctx, pollInterval)
			continue
		}
		a := attempt{
			target: Target{Transport: SidecarTransport{Link: link}},
			remote: sidecar.Remote{Incarnation: c.Incarnation, Epoch: c.Epoch},
			id:     &wire.AttemptId{RequestId: c.RequestID, Number: c.Attempt},
		}
		reply, err := link.Seal(ctx, a.id, a.remote, poll < lookOnlyPolls)
		if err == nil && reply.GetState() != wire.SealState_SEAL_STATE_NOT_SEEN {
			return d.handleSealReply(ctx, a, link, reply)
		}
		sleep(ctx, pollInterval)
	}
	return finish{outcome: outcome.Unknown{Reason: outcome.SealUnanswered}}
}
