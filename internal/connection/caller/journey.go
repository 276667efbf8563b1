package caller

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/cicadareel/cicadareel/internal/connection/sidecar"
	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/request/choice"
	"github.com/cicadareel/cicadareel/internal/request/claim"
	"github.com/cicadareel/cicadareel/internal/request/outcome"
	"github.com/cicadareel/cicadareel/internal/request/retry"
	"github.com/cicadareel/cicadareel/pkg/bundle"
)

const (
	// lookInterval is the time between two questions after a request that
	// another entry is about to send.
	lookInterval = 100 * time.Millisecond
	// patientLooks is the number of questions before the attempt is sealed.
	patientLooks = 5
	// freeAttempts bounds the attempts if none of them put load on an endpoint.
	freeAttempts = 6
	// answerGrace is how long after the deadline the sidecar's own refusal or
	// the rest of an answer is awaited before the attempt is sealed.
	answerGrace = 100 * time.Millisecond
	// resumeTries bounds the waiting for a new stream before the attempt's
	// state is asked for again.
	resumeTries = 20
	// endpointPoll is the time between two looks for an eligible endpoint.
	endpointPoll = 20 * time.Millisecond
	// endpointWait bounds the time that one request waits for an eligible
	// endpoint. It covers the replacement of a silent or cut connection.
	endpointWait = 4 * time.Second
	// waitersLimit bounds the requests of an entry that wait like this.
	waitersLimit = 2048
)

// journey takes one request through its attempts.
type journey struct {
	service  *Service
	request  *request
	delivery *delivery
	query    *choice.Query
	// attempt is the number of the last attempt begun or claimed.
	attempt uint32
	// tries counts the attempts of this entry.
	tries int
	// waited is the time spent waiting for an eligible endpoint.
	waited time.Duration
	// revision of the claim's row; 0 while there is none.
	revision uint64
	// mayHaveRun is true once an attempt may have reached an endpoint; from
	// then on the outcome cannot be "not run".
	mayHaveRun bool
}

// place is one attempt at one sidecar.
type place struct {
	target Target
	remote sidecar.Remote
	id     *wire.AttemptId
}

func newJourney(s *Service, q *request, d *delivery) *journey {
	return &journey{service: s, request: q, delivery: d, query: q.query()}
}

// next says how to go on after an attempt: done or again.
type next interface{ isNext() }

// done ends the journey.
type done struct{ outcome outcome.Outcome }

// again asks for another attempt because of the reason.
type again struct{ reason outcome.Reason }

func (done) isNext()  {}
func (again) isNext() {}

// run makes attempts until the outcome is known.
func (j *journey) run(ctx context.Context) outcome.Outcome {
	ctx, cancel := context.WithDeadline(ctx, j.request.deadline)
	defer cancel()
	for {
		step := j.try(ctx)
		switch k := step.(type) {
		case done:
			return k.outcome
		case again:
			if o := j.mayRetry(ctx, k.reason); o != nil {
				return o
			}
		}
	}
}

// mayRetry returns the final outcome if another attempt is not allowed, else
// nil.
func (j *journey) mayRetry(ctx context.Context, reason outcome.Reason) outcome.Outcome {
	s := j.service
	if ctx.Err() != nil {
		return j.unfinished(reason)
	}
	if reason == outcome.NoEndpoint {
		return nil
	}
	free := retry.Free(reason)
	if j.tries >= retry.MaxAttempts && (!free || j.tries >= freeAttempts) {
		return j.unfinished(reason)
	}
	if !free && !s.budget.Spend() {
		return j.unfinished(outcome.RetryBudgetSpent)
	}
	s.metrics.Retried(reason)
	return nil
}

// unfinished is the honest outcome when no further attempt follows.
func (j *journey) unfinished(reason outcome.Reason) outcome.Outcome {
	if j.mayHaveRun {
		return outcome.Unknown{Reason: reason}
	}
	return outcome.NotRun{Reason: reason}
}

// try makes one attempt.
func (j *journey) try(ctx context.Context) next {
	target, ok := j.service.fleet.Choose(j.request.route.Group, j.query)
	if !ok {
		return j.waitForEndpoint(ctx)
	}
	remote, err := target.Link.Remote()
	if err != nil {
		j.query.Avoid(target.Member)
		j.tries++
		return again{reason: outcome.EndpointUnreachable}
	}
	p := j.nextPlace(target, remote)
	if j.request.key != "" {
		if step := j.claim(ctx, p); step != nil {
			return step
		}
	}
	return j.attemptAt(ctx, p)
}

// waitForEndpoint gives endpoints a moment to open before refusing. Then all
// of them may be tried again.
func (j *journey) waitForEndpoint(ctx context.Context) next {
	waiters := &j.service.waiters
	defer waiters.Add(-1)
	if waiters.Add(1) > waitersLimit || j.waited >= endpointWait {
		return done{outcome: j.unfinished(outcome.NoEndpoint)}
	}
	j.query = j.request.query()
	pause(ctx, endpointPoll)
	j.waited += endpointPoll
	return again{reason: outcome.NoEndpoint}
}

func (j *journey) nextPlace(t Target, r sidecar.Remote) place {
	j.attempt++
	j.tries++
	return place{target: t, remote: r, id: &wire.AttemptId{RequestId: j.request.id, Number: j.attempt}}
}

// attemptAt sends the attempt and delivers its answer.
func (j *journey) attemptAt(ctx context.Context, p place) next {
	p.target.Member.Begin()
	defer p.target.Member.End()
	x, err := p.target.Link.Begin(ctx, j.begin(p))
	if err != nil {
		j.query.Avoid(p.target.Member)
		return again{reason: outcome.EndpointUnreachable}
	}
	j.delivery.skip = j.delivery.offset
	return j.after(ctx, p, x, j.read(ctx, x))
}

// read delivers an exchange until a little after the deadline, or until the
// caller goes away.
func (j *journey) read(ctx context.Context, x *sidecar.Exchange) result {
	grace, cancel := context.WithDeadline(context.WithoutCancel(ctx), j.request.deadline.Add(answerGrace))
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel()
		}
	})
	defer stop()
	r := j.delivery.read(grace, x)
	if _, ok := r.(broken); ok && errors.Is(ctx.Err(), context.Canceled) {
		return gone{}
	}
	return r
}

func (j *journey) begin(p place) *wire.Begin {
	q := j.request
	return &wire.Begin{
		Id:            p.id,
		Account:       q.account.Name,
		Weight:        q.account.Weight,
		Idempotent:    q.route.Idempotent,
		KeepAnswer:    q.key != "",
		Priority:      int32(q.route.Priority),
		Remaining:     durationpb.New(q.remaining()),
		BundleVersion: q.version,
		Incarnation:   p.remote.Incarnation,
		Epoch:         p.remote.Epoch,
		Method:        q.method,
		Target:        q.target,
		Headers:       q.headers,
		Body:          q.body,
	}
}

// after decides what follows from how an exchange ended.
func (j *journey) after(ctx context.Context, p place, x *sidecar.Exchange, r result) next {
	switch k := r.(type) {
	case whole:
		return done{outcome: outcome.Answered{}}
	case gone:
		x.Cancel()
		return done{outcome: outcome.Unknown{Reason: outcome.Canceled}}
	case refused:
		return j.afterRefusal(ctx, p, k)
	case broken:
		if k.timedOut {
			x.Cancel()
			return j.afterTimeout(p)
		}
		return j.settle(ctx, p)
	}
	return done{outcome: outcome.Unknown{Reason: outcome.ConnectionLost}}
}

func (j *journey) afterRefusal(ctx context.Context, p place, r refused) next {
	if r.reason == outcome.AlreadyAdmitted {
		return j.resume(ctx, p)
	}
	j.query.Avoid(p.target.Member)
	if !r.mayHaveRun {
		return again{reason: r.reason}
	}
	return j.replay(r.reason)
}

// replay repeats an idempotent request whose attempt may have run, if nothing
// of its answer went out or the route permits splicing.
func (j *journey) replay(reason outcome.Reason) next {
	if !j.mayReplay() {
		return done{outcome: outcome.Unknown{Reason: reason}}
	}
	j.mayHaveRun = true
	return again{reason: reason}
}

func (j *journey) mayReplay() bool {
	route := j.request.route
	return route.Idempotent && (!j.delivery.headSent || route.Splice)
}

// afterTimeout seals an attempt that is out of time: what never started did
// not run.
func (j *journey) afterTimeout(p place) next {
	reply, err := p.target.Link.Seal(context.Background(), p.id, p.remote, false)
	if err == nil && reply.GetState() == wire.SealState_SEAL_STATE_NEVER_ADMITTED {
		return done{outcome: j.unfinished(outcome.DeadlineTooShort)}
	}
	return done{outcome: outcome.Unknown{Reason: outcome.DeadlineTooShort}}
}

// settle finds out what became of an attempt whose connection broke and takes
// the matching next step. A sidecar that does not say is asked until the
// deadline, unless the request can be repeated at another endpoint.
func (j *journey) settle(ctx context.Context, p place) next {
	for {
		reply, err := p.target.Link.Seal(ctx, p.id, p.remote, false)
		if err == nil {
			return j.afterSeal(ctx, p, reply)
		}
		if j.mayReplay() {
			j.query.Avoid(p.target.Member)
			return j.replay(outcome.SealUnanswered)
		}
		pause(ctx, lookInterval)
		if ctx.Err() != nil {
			return done{outcome: outcome.Unknown{Reason: outcome.SealUnanswered}}
		}
	}
}

func (j *journey) afterSeal(ctx context.Context, p place, reply *wire.SealReply) next {
	switch reply.GetState() {
	case wire.SealState_SEAL_STATE_NEVER_ADMITTED:
		j.query.Avoid(p.target.Member)
		return again{reason: outcome.Sealed}
	case wire.SealState_SEAL_STATE_RUNNING, wire.SealState_SEAL_STATE_ANSWER_KEPT:
		return j.resume(ctx, p)
	}
	j.query.Avoid(p.target.Member)
	return j.replay(outcome.ConnectionLost)
}

// resume reads the rest of an answer over the link's next stream.
func (j *journey) resume(ctx context.Context, p place) next {
	for range resumeTries {
		x, err := p.target.Link.Resume(ctx, p.id, p.remote.Incarnation, j.delivery.offset)
		if err == nil {
			j.delivery.skip = 0
			return j.after(ctx, p, x, j.read(ctx, x))
		}
		pause(ctx, lookInterval)
	}
	if ctx.Err() != nil {
		return done{outcome: outcome.Unknown{Reason: outcome.ConnectionLost}}
	}
	return j.settle(ctx, p)
}

// claim records that the attempt is the one that runs the keyed request. It
// returns nil if the attempt may be sent.
func (j *journey) claim(ctx context.Context, p place) next {
	mine := claim.Claim{
		RequestID:   p.id.GetRequestId(),
		Attempt:     p.id.GetNumber(),
		Endpoint:    p.target.Link.Endpoint(),
		Incarnation: p.remote.Incarnation,
		Epoch:       p.remote.Epoch,
		BodyDigest:  bundle.HashToken(j.request.method + " " + j.request.target + "\n" + string(j.request.body)),
	}
	held, err := j.service.claims.Take(ctx, j.request.key, mine, j.revision)
	if err != nil {
		return done{outcome: j.unfinished(outcome.ClaimStoreDown)}
	}
	j.revision = held.Revision
	if held.Claim == mine {
		return nil
	}
	if held.Claim.BodyDigest != mine.BodyDigest {
		return done{outcome: outcome.NotRun{Reason: outcome.KeyReused}}
	}
	return j.follow(ctx, held.Claim)
}

// follow gives the caller the outcome of the attempt that holds the claim.
func (j *journey) follow(ctx context.Context, c claim.Claim) next {
	j.request.id = c.RequestID
	j.attempt = c.Attempt
	for look := 0; ctx.Err() == nil; look++ {
		target, ok := j.service.fleet.Find(c.Endpoint)
		if !ok {
			pause(ctx, lookInterval)
			continue
		}
		p := place{
			target: target,
			remote: sidecar.Remote{Incarnation: c.Incarnation, Epoch: c.Epoch},
			id:     &wire.AttemptId{RequestId: c.RequestID, Number: c.Attempt},
		}
		reply, err := target.Link.Seal(ctx, p.id, p.remote, look < patientLooks)
		if err == nil && reply.GetState() != wire.SealState_SEAL_STATE_NOT_SEEN {
			return j.afterSeal(ctx, p, reply)
		}
		pause(ctx, lookInterval)
	}
	return done{outcome: outcome.Unknown{Reason: outcome.SealUnanswered}}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
