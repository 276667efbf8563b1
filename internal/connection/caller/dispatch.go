package caller

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/endpoint"
	"github.com/cicadareel/cicadareel/internal/connection/sidecar"
	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/request/balancer"
	"github.com/cicadareel/cicadareel/internal/request/transport"
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
	// resumeWait bounds the time that a stream which has begun waits: callers
	// give a stream up after two seconds without an event.
	resumeWait = 2 * time.Second
	// objectiveShare is the part of the objective that a request may wait
	// before it is refused.
	objectiveShare = 8
	// waitersLimit bounds the requests of an entry that wait like this.
	waitersLimit = 2048
)

// dispatch takes one request through its attempts.
type dispatch struct {
	service  *Service
	request  *request
	delivery *delivery
	query    *balancer.Query
	// attempt is the number of the last attempt begun or claimed.
	attempt uint32
	// tries counts the attempts of this entry, sends those that may have put
	// load on an endpoint.
	tries, sends int
	// owes is true if the next attempt costs a retry of the budget.
	owes bool
	// waited is the time spent waiting for an eligible endpoint.
	waited time.Duration
	// revision of the claim's row; 0 while there is none.
	revision uint64
	// mayHaveRun is true once an attempt may have reached an endpoint; from
	// then on the outcome cannot be "not run".
	mayHaveRun bool
	// failure is the answer of an endpoint that failed, for want of a better.
	failure *transport.Failed
	// endpoints are the names of those tried, in order.
	endpoints []string
}

// attempt is one attempt at one endpoint.
type attempt struct {
	target Target
	id     *wire.AttemptId
	// remote is the sidecar's process; zero without one.
	remote sidecar.Remote
}

func newDispatch(s *Service, q *request, w *delivery) *dispatch {
	return &dispatch{service: s, request: q, delivery: w, query: q.query()}
}

// firstByteAfter is the time from the request to the first byte of its answer.
func (d *dispatch) firstByteAfter() time.Duration {
	if d.delivery.firstByte.IsZero() {
		return time.Since(d.request.started)
	}
	return d.delivery.firstByte.Sub(d.request.started)
}

// fields describes the dispatch in logs.
func (d *dispatch) fields() events.Fields {
	return events.Fields{
		"status":      d.delivery.status,
		"tookMs":      time.Since(d.request.started).Milliseconds(),
		"firstByteMs": d.firstByteAfter().Milliseconds(),
		"endpoints":   strings.Join(d.endpoints, ","),
		"waitedMs":    d.waited.Milliseconds(),
	}
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

// try makes one attempt.
func (d *dispatch) try(ctx context.Context) next {
	target, ok := d.service.Fleet.Choose(d.request.group.Name, d.query)
	if !ok {
		return d.waitForEndpoint(ctx)
	}
	a := attempt{target: target}
	if w, ok := target.Transport.(SidecarTransport); ok {
		remote, err := w.Link.Remote()
		if err != nil {
			d.query.Exclude(target.Member)
			d.tries++
			return again{reason: outcome.EndpointUnreachable}
		}
		a.remote = remote
	}
	if !d.pay() {
		return done{outcome: d.unfinished(outcome.RetryBudgetSpent)}
	}
	d.number(&a)
	if d.request.key != "" {
		if step := d.claim(ctx, a); step != nil {
			return step
		}
	}
	return d.attemptAt(ctx, a)
}

// number gives the attempt its number.
func (d *dispatch) number(a *attempt) {
	d.attempt++
	d.tries++
	a.id = &wire.AttemptId{RequestId: d.request.id, Number: d.attempt}
	d.endpoints = append(d.endpoints, a.target.Member.Name)
}

// attemptAt sends the attempt and delivers its answer.
func (d *dispatch) attemptAt(ctx context.Context, a attempt) next {
	a.target.Member.Begin()
	defer a.target.Member.End()
	x, err := d.begin(ctx, a)
	if err != nil {
		d.query.Exclude(a.target.Member)
		return again{reason: outcome.EndpointUnreachable}
	}
	d.delivery.restart()
	return d.after(ctx, a, x, d.read(ctx, x))
}

// begin sends the attempt on its way.
func (d *dispatch) begin(ctx context.Context, a attempt) (transport.Exchange, error) {
	switch w := a.target.Transport.(type) {
	case SidecarTransport:
		return w.Link.Begin(ctx, d.frame(a))
	case DirectTransport:
		// The endpoint may answer until a little after the deadline.
		return w.Endpoint.Begin(context.WithoutCancel(ctx), d.call()), nil
	}
	return nil, &UnknownTransportError{Endpoint: a.target.Member.Name}
}

// UnknownTransportError reports a target that cannot be reached in any known way.
type UnknownTransportError struct{ Endpoint string }

func (e *UnknownTransportError) Error() string { return "no way to endpoint " + e.Endpoint }

// call describes an attempt that goes straight to an endpoint.
func (d *dispatch) call() endpoint.Attempt {
	q := d.request
	c := endpoint.Attempt{
		Call: endpoint.Call{
			Method: q.method,
			Host:   q.host,
			Target: q.target,
			Header: q.header.Clone(),
			Body:   q.body,
		},
		RequestID:   q.id,
		Account:     q.account.Name,
		Deadline:    q.deadline,
		ResumeAfter: q.resumeAfter,
		Urgency:     q.urgency(d.delivery.headSent),
		Stream:      q.route.Stream,
		Idempotent:  q.route.Idempotent,
	}
	if d.delivery.events != nil {
		c.ResumeAfter = d.delivery.events.LastID()
	}
	return c
}

// read delivers an exchange until a little after the deadline, or until the
// caller goes away.
func (d *dispatch) read(ctx context.Context, x transport.Exchange) result {
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

// after decides what follows from how an exchange ended.
func (d *dispatch) after(ctx context.Context, a attempt, x transport.Exchange, r result) next {
	switch k := r.(type) {
	case whole:
		return done{outcome: outcome.Answered{}}
	case gone:
		x.Cancel()
		return done{outcome: outcome.Unknown{Reason: outcome.Canceled}}
	case failed:
		return d.afterFailure(a, k)
	case refused:
		return d.afterRefusal(ctx, a, k)
	case disordered:
		x.Cancel()
		d.service.log(d.request, events.EventsDisordered, events.Fields{"endpoint": a.target.Member.Name, "error": k.cause.Error()})
		return done{outcome: outcome.Unknown{Reason: outcome.EventsOutOfOrder}}
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
	if w, ok := a.target.Transport.(SidecarTransport); ok && r.reason == outcome.AlreadyAdmitted {
		return d.resume(ctx, a, w.Link)
	}
	d.query.Exclude(a.target.Member)
	if !r.mayHaveRun {
		return again{reason: r.reason}
	}
	return d.replay(r.reason)
}

// afterFailure tries another endpoint if the request may be repeated, else it
// delivers the failure.
func (d *dispatch) afterFailure(a attempt, f failed) next {
	d.query.Exclude(a.target.Member)
	d.failure = &f.answer
	d.mayHaveRun = true
	if d.request.route.Idempotent {
		return again{reason: outcome.EndpointFailed}
	}
	return done{outcome: d.unfinished(outcome.EndpointFailed)}
}

// afterTimeout settles an attempt that is out of time: what its gate never
// admitted did not run.
func (d *dispatch) afterTimeout(a attempt) next {
	if w, ok := a.target.Transport.(SidecarTransport); ok {
		reply, err := w.Link.Seal(context.Background(), a.id, a.remote, false)
		if err == nil && reply.GetState() == wire.SealState_SEAL_STATE_NEVER_ADMITTED {
			return done{outcome: d.unfinished(outcome.DeadlineTooShort)}
		}
	}
	return done{outcome: outcome.Unknown{Reason: outcome.DeadlineTooShort}}
}

// settle finds out what became of an attempt whose transport broke and takes
// the matching next step. Without a gate nobody can say whether it ran.
func (d *dispatch) settle(ctx context.Context, a attempt) next {
	switch w := a.target.Transport.(type) {
	case SidecarTransport:
		return d.askGate(ctx, a, w.Link)
	default:
		d.query.Exclude(a.target.Member)
		return d.replay(outcome.ConnectionLost)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
