package caller

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/cicadareel/cicadareel/internal/connection/sidecar"
	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/request/choice"
	"github.com/cicadareel/cicadareel/internal/request/outcome"
	"github.com/cicadareel/cicadareel/internal/request/retry"
)

const (
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

// dispatch takes one request through its attempts.
type dispatch struct {
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

// attempt is one attempt at one sidecar.
type attempt struct {
	target Target
	remote sidecar.Remote
	id     *wire.AttemptId
}

func newDispatch(s *Service, q *request, w *delivery) *dispatch {
	return &dispatch{service: s, request: q, delivery: w, query: q.query()}
}

// next says how to go on after an attempt: done or again.
type next interface{ isNext() }

// done ends the dispatch.
type done struct{ outcome outcome.Outcome }

// again asks for another attempt because of the reason.
type again struct{ reason outcome.Reason }

func (done) isNext()  {}
func (again) isNext() {}

// run makes attempts until the outcome is known.
func (d *dispatch) run(ctx context.Context) outcome.Outcome {
	ctx, cancel := context.WithDeadline(ctx, d.request.deadline)
	defer cancel()
	for {
		step := d.try(ctx)
		switch k := step.(type) {
		case done:
			return k.outcome
		case again:
			if o := d.mayRetry(ctx, k.reason); o != nil {
				return o
			}
		}
	}
}

// mayRetry returns the final outcome if another attempt is not allowed, else
// nil.
func (d *dispatch) mayRetry(ctx context.Context, reason outcome.Reason) outcome.Outcome {
	s := d.service
	if ctx.Err() != nil {
		return d.unfinished(reason)
	}
	if reason == outcome.NoEndpoint {
		return nil
	}
	free := retry.Free(reason)
	if d.tries >= retry.MaxAttempts && (!free || d.tries >= freeAttempts) {
		return d.unfinished(reason)
	}
	if !free && !s.budget.Spend() {
		return d.unfinished(outcome.RetryBudgetSpent)
	}
	s.metrics.Retried(reason)
	return nil
}

// unfinished is the honest outcome when no further attempt follows.
func (d *dispatch) unfinished(reason outcome.Reason) outcome.Outcome {
	if d.mayHaveRun {
		return outcome.Unknown{Reason: reason}
	}
	return outcome.NotRun{Reason: reason}
}

// try makes one attempt.
func (d *dispatch) try(ctx context.Context) next {
	target, ok := d.service.fleet.Choose(d.request.route.Group, d.query)
	if !ok {
		return d.waitForEndpoint(ctx)
	}
	remote, err := target.Link.Remote()
	if err != nil {
		d.query.Avoid(target.Member)
		d.tries++
		return again{reason: outcome.EndpointUnreachable}
	}
	a := d.nextAttempt(target, remote)
	if d.request.key != "" {
		if step := d.claim(ctx, a); step != nil {
			return step
		}
	}
	return d.attemptAt(ctx, a)
}

// waitForEndpoint gives endpoints a moment to open before refusing. Then all
// of them may be tried again.
func (d *dispatch) waitForEndpoint(ctx context.Context) next {
	waiters := &d.service.waiters
	defer waiters.Add(-1)
	if waiters.Add(1) > waitersLimit || d.waited >= endpointWait {
		return done{outcome: d.unfinished(outcome.NoEndpoint)}
	}
	d.query = d.request.query()
	pause(ctx, endpointPoll)
	d.waited += endpointPoll
	return again{reason: outcome.NoEndpoint}
}

func (d *dispatch) nextAttempt(t Target, r sidecar.Remote) attempt {
	d.attempt++
	d.tries++
	return attempt{target: t, remote: r, id: &wire.AttemptId{RequestId: d.request.id, Number: d.attempt}}
}

// attemptAt sends the attempt and delivers its answer.
func (d *dispatch) attemptAt(ctx context.Context, a attempt) next {
	a.target.Member.Begin()
	defer a.target.Member.End()
	x, err := a.target.Link.Begin(ctx, d.begin(a))
	if err != nil {
		d.query.Avoid(a.target.Member)
		return again{reason: outcome.EndpointUnreachable}
	}
	d.delivery.skip = d.delivery.offset
	return d.after(ctx, a, x, d.read(ctx, x))
}

// read delivers an exchange until a little after the deadline, or until the
// caller goes away.
func (d *dispatch) read(ctx context.Context, x *sidecar.Exchange) result {
	grace, cancel := context.WithDeadline(context.WithoutCancel(ctx), d.request.deadline.Add(answerGrace))
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel()
		}
	})
	defer stop()
	r := d.delivery.read(grace, x)
	if _, ok := r.(broken); ok && errors.Is(ctx.Err(), context.Canceled) {
		return gone{}
	}
	return r
}

func (d *dispatch) begin(a attempt) *wire.Begin {
	q := d.request
	return &wire.Begin{
		Id:            a.id,
		Account:       q.account.Name,
		Weight:        q.account.Weight,
		Idempotent:    q.route.Idempotent,
		KeepAnswer:    q.key != "",
		Priority:      int32(q.route.Priority),
		Remaining:     durationpb.New(q.remaining()),
		BundleVersion: q.version,
		Incarnation:   a.remote.Incarnation,
		Epoch:         a.remote.Epoch,
		Method:        q.method,
		Target:        q.target,
		Headers:       q.headers,
		Body:          q.body,
	}
}

// after decides what follows from how an exchange ended.
func (d *dispatch) after(ctx context.Context, a attempt, x *sidecar.Exchange, r result) next {
	switch k := r.(type) {
	case whole:
		return done{outcome: outcome.Answered{}}
	case gone:
		x.Cancel()
		return done{outcome: outcome.Unknown{Reason: outcome.Canceled}}
	case refused:
		return d.afterRefusal(ctx, a, k)
	case broken:
		if k.timedOut {
			x.Cancel()
			return d.afterTimeout(a)
		}
		return d.settle(ctx, a)
	}
	return done{outcome: outcome.Unknown{Reason: outcome.ConnectionLost}}
}

func (d *dispatch) afterRefusal(ctx context.Context, a attempt, r refused) next {
	if r.reason == outcome.AlreadyAdmitted {
		return d.resume(ctx, a)
	}
	d.query.Avoid(a.target.Member)
	if !r.mayHaveRun {
		return again{reason: r.reason}
	}
	return d.replay(r.reason)
}

// replay repeats an idempotent request whose attempt may have run, if nothing
// of its answer went out or the route permits splicing.
func (d *dispatch) replay(reason outcome.Reason) next {
	if !d.mayReplay() {
		return done{outcome: outcome.Unknown{Reason: reason}}
	}
	d.mayHaveRun = true
	return again{reason: reason}
}

func (d *dispatch) mayReplay() bool {
	route := d.request.route
	return route.Idempotent && (!d.delivery.headSent || route.Splice)
}

// afterTimeout seals an attempt that is out of time: what never started did
// not run.
func (d *dispatch) afterTimeout(a attempt) next {
	reply, err := a.target.Link.Seal(context.Background(), a.id, a.remote, false)
	if err == nil && reply.GetState() == wire.SealState_SEAL_STATE_NEVER_ADMITTED {
		return done{outcome: d.unfinished(outcome.DeadlineTooShort)}
	}
	return done{outcome: outcome.Unknown{Reason: outcome.DeadlineTooShort}}
}

// settle finds out what became of an attempt whose connection broke and takes
// the matching next step. A sidecar that does not say is asked until the
// deadline, unless the request can be repeated at another endpoint.
func (d *dispatch) settle(ctx context.Context, a attempt) next {
	for {
		reply, err := a.target.Link.Seal(ctx, a.id, a.remote, false)
		if err == nil {
			return d.afterSeal(ctx, a, reply)
		}
		if d.mayReplay() {
			d.query.Avoid(a.target.Member)
			return d.replay(outcome.SealUnanswered)
		}
		pause(ctx, lookInterval)
		if ctx.Err() != nil {
			return done{outcome: outcome.Unknown{Reason: outcome.SealUnanswered}}
		}
	}
}

func (d *dispatch) afterSeal(ctx context.Context, a attempt, reply *wire.SealReply) next {
	switch reply.GetState() {
	case wire.SealState_SEAL_STATE_NEVER_ADMITTED:
		d.query.Avoid(a.target.Member)
		return again{reason: outcome.Sealed}
	case wire.SealState_SEAL_STATE_RUNNING, wire.SealState_SEAL_STATE_ANSWER_KEPT:
		return d.resume(ctx, a)
	}
	d.query.Avoid(a.target.Member)
	return d.replay(outcome.ConnectionLost)
}

// resume reads the rest of an answer over the link's next stream.
func (d *dispatch) resume(ctx context.Context, a attempt) next {
	for range resumeTries {
		x, err := a.target.Link.Resume(ctx, a.id, a.remote.Incarnation, d.delivery.offset)
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

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
