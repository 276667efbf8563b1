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
	"github.com/cicadareel/cicadareel/internal/request/quarantine"
	"github.com/cicadareel/cicadareel/internal/request/transport"
)

const (
	// maxTries bounds the attempts at one request, including those that put no
	// load on an endpoint.
	maxTries = balancer.MaxExcluded + 1
	// deadlineGrace is how long after the deadline the entry waits for the
	// sidecar's own refusal or the rest of a response before it seals the attempt.
	deadlineGrace = 100 * time.Millisecond
	// resumeTries bounds the attempts to resume a response before the state of
	// the attempt is queried again.
	resumeTries = 20
	// endpointPollInterval is the time between two searches for an eligible
	// endpoint.
	endpointPollInterval = 20 * time.Millisecond
	// maxEndpointWait bounds the time that one request waits for an eligible
	// endpoint. It is long enough to replace a silent or broken connection.
	maxEndpointWait = 4 * time.Second
	// maxResumeWait bounds the time that a partly delivered stream waits for an
	// eligible endpoint: callers abandon a stream after two seconds without an
	// event.
	maxResumeWait = 2 * time.Second
	// objectiveDivisor bounds the wait of a request on a route with a latency
	// objective to 1/8 of the objective.
	objectiveDivisor = 8
	// maxWaiters bounds the requests of one entry that wait for an eligible
	// endpoint.
	maxWaiters = 2048
)

// dispatch makes attempts at one request until its outcome is known.
type dispatch struct {
	service  *Service
	request  *request
	delivery *delivery
	query    *balancer.Query
	// attempt is the number of the last attempt begun, or of the attempt that
	// holds the claim.
	attempt uint32
	// tries counts the attempts of this entry, possibleRuns those that may have
	// put load on an endpoint.
	tries, possibleRuns int
	// retryDue is true if the next attempt must spend a retry of the budget.
	retryDue bool
	// waited is the time spent waiting for an eligible endpoint.
	waited time.Duration
	// revision is that of the claim's row in the table; 0 if there is none.
	revision uint64
	// mayHaveRun is true once an attempt may have run; from then on the outcome
	// cannot be NotRun.
	mayHaveRun bool
	// failedResponse is the last error response of an endpoint. The caller gets
	// it if no attempt succeeds.
	failedResponse *transport.Failed
	// endpoints are the names of the endpoints tried, in order.
	endpoints []string
	// onTrial is true once the request may be sent although a part of its prompt is
	// suspected.
	onTrial bool
	// suspects are what may crash endpoints: the shared parts of the prompt and the key of
	// the whole request.
	suspects []string
	// quarantined is the decision that refused the request; zero if none did.
	quarantined quarantine.Decision
	// late is true once the response missed an objective of its route, and timed once
	// that or the opposite was recorded.
	late, timed bool
}

// attempt is one attempt at one endpoint.
type attempt struct {
	// target has no Member if the attempt is another entry's, which a claim names.
	target Target
	id     *wire.AttemptId
	// remote identifies the sidecar process; zero for a direct attempt.
	remote sidecar.Remote
	// begun is when the attempt was sent.
	begun time.Time
}

// endpointName returns the name of the attempt's endpoint; empty if it is another
// entry's attempt.
func (a attempt) endpointName() string {
	if a.target.Member == nil {
		return ""
	}
	return a.target.Member.Name
}

func newDispatch(s *Service, q *request, w *delivery) *dispatch {
	d := &dispatch{service: s, request: q, delivery: w, query: q.query()}
	if s.Quarantine != nil {
		d.suspects = q.suspects()
	}
	w.onLate = func() {
		d.late = true
		d.recordTimeliness(true)
	}
	return d
}

// timeToFirstByte returns the time from the receipt of the request to the first
// byte of the response body, or until now if none was written.
func (d *dispatch) timeToFirstByte() time.Duration {
	if d.delivery.firstByte.IsZero() {
		return time.Since(d.request.started)
	}
	return d.delivery.firstByte.Sub(d.request.started)
}

// logFields returns the fields that describe the dispatch in log events.
func (d *dispatch) logFields() events.Fields {
	return events.Fields{
		"status":      d.delivery.status,
		"tookMs":      time.Since(d.request.started).Milliseconds(),
		"firstByteMs": d.timeToFirstByte().Milliseconds(),
		"endpoints":   strings.Join(d.endpoints, ","),
		"waitedMs":    d.waited.Milliseconds(),
		"late":        d.late,
		"overShare":   d.request.overShare,
		"sharedParts": partsForLog(d.request.sharedParts),
	}
}

// nextStep is what follows an attempt: finish or tryAgain.
type nextStep interface{ isNextStep() }

// finish ends the dispatch with the outcome.
type finish struct{ outcome outcome.Outcome }

// tryAgain asks for another attempt; reason is why the last one failed.
type tryAgain struct{ reason outcome.Reason }

func (finish) isNextStep()   {}
func (tryAgain) isNextStep() {}

// run makes attempts until the outcome is known.
func (d *dispatch) run(ctx context.Context) outcome.Outcome {
	ctx, cancel := context.WithDeadline(ctx, d.request.deadline)
	defer cancel()
	for {
		step := d.tryEndpoint(ctx)
		switch k := step.(type) {
		case finish:
			return k.outcome
		case tryAgain:
			if o := d.checkRetry(ctx, k.reason); o != nil {
				return o
			}
		}
	}
}

// tryEndpoint chooses an endpoint and makes one attempt, or waits for an eligible
// endpoint.
func (d *dispatch) tryEndpoint(ctx context.Context) nextStep {
	if !d.promptAllowed(false) {
		return finish{outcome: d.finalOutcome(outcome.PromptQuarantined)}
	}
	target, ok := d.service.Fleet.Choose(d.request.group.Name, d.query)
	if !ok {
		return d.waitForEndpoint(ctx)
	}
	a := attempt{target: target}
	if t, ok := target.Transport.(SidecarTransport); ok {
		remote, err := t.Link.Remote()
		if err != nil {
			d.query.Exclude(target.Member)
			d.tries++
			return tryAgain{reason: outcome.EndpointUnreachable}
		}
		a.remote = remote
	}
	if !d.promptAllowed(true) {
		return finish{outcome: d.finalOutcome(outcome.PromptQuarantined)}
	}
	if !d.spendRetry() {
		return finish{outcome: d.finalOutcome(outcome.RetryBudgetSpent)}
	}
	d.assignNumber(&a)
	if d.request.key != "" {
		if step := d.takeClaim(ctx, a); step != nil {
			return step
		}
	}
	return d.sendAttempt(ctx, a)
}

// assignNumber gives the attempt the request's next number.
func (d *dispatch) assignNumber(a *attempt) {
	d.attempt++
	d.tries++
	a.id = &wire.AttemptId{RequestId: d.request.id, Number: d.attempt}
	d.endpoints = append(d.endpoints, a.target.Member.Name)
}

// sendAttempt sends the attempt and delivers its response.
func (d *dispatch) sendAttempt(ctx context.Context, a attempt) nextStep {
	a.begun = time.Now()
	a.target.Member.BeginRequest()
	defer a.target.Member.EndRequest()
	x, err := d.beginExchange(ctx, a)
	if err != nil {
		d.query.Exclude(a.target.Member)
		return tryAgain{reason: outcome.EndpointUnreachable}
	}
	d.delivery.prepareAttempt()
	return d.handleResult(ctx, a, x, d.deliver(ctx, x))
}

// beginExchange starts the exchange of the attempt over the target's transport.
func (d *dispatch) beginExchange(ctx context.Context, a attempt) (transport.Exchange, error) {
	switch t := a.target.Transport.(type) {
	case SidecarTransport:
		return t.Link.Begin(ctx, d.beginFrame(a))
	case DirectTransport:
		// WithoutCancel drops the deadline of ctx: deliver accepts the response
		// until deadlineGrace after it.
		return t.Endpoint.Begin(context.WithoutCancel(ctx), d.directAttempt()), nil
	}
	return nil, &UnknownTransportError{Endpoint: a.target.Member.Name}
}

// UnknownTransportError reports a target whose transport is of no known type.
type UnknownTransportError struct{ Endpoint string }

func (e *UnknownTransportError) Error() string { return "unknown transport to endpoint " + e.Endpoint }

// directAttempt describes an attempt that is sent directly to an endpoint.
func (d *dispatch) directAttempt() endpoint.Attempt {
	q := d.request
	a := endpoint.Attempt{
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
		Room:        responseRoom{held: q.held},
	}
	if id := d.delivery.lastEventID(); !id.IsZero() {
		a.ResumeAfter = id
	}
	return a
}

// deliver writes the exchange to the caller until it ends, the caller closes
// its connection, or the deadline is exceeded by deadlineGrace.
func (d *dispatch) deliver(ctx context.Context, x transport.Exchange) deliveryResult {
	grace, cancel := context.WithDeadline(context.WithoutCancel(ctx), d.request.deadline.Add(deadlineGrace))
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel()
		}
	})
	defer stop()
	recalled := d.waitForBegin(cancel)
	r := d.delivery.forward(grace, x)
	wasRecalled := recalled()
	d.recordResponse(r)
	_, broken := r.(transportBroken)
	switch {
	case broken && wasRecalled:
		return promptSuspected{}
	case broken && errors.Is(ctx.Err(), context.Canceled):
		return callerGone{}
	}
	return r
}

// handleResult returns the next step after the delivery of an exchange.
func (d *dispatch) handleResult(ctx context.Context, a attempt, x transport.Exchange, r deliveryResult) nextStep {
	switch k := r.(type) {
	case completed:
		d.recordTimeliness(false)
		return finish{outcome: outcome.Answered{}}
	case callerGone:
		x.Cancel()
		return finish{outcome: outcome.Unknown{Reason: outcome.Canceled}}
	case promptSuspected:
		x.Cancel()
		d.onTrial = false
		d.awaitVerdict(ctx)
		return d.replay(outcome.PromptQuarantined)
	case endpointFailure:
		return d.handleEndpointFailure(a, k)
	case refused:
		return d.handleRefusal(ctx, a, k)
	case outOfOrder:
		x.Cancel()
		d.service.log(d.request, events.EventsOutOfOrder, events.Fields{"endpoint": a.endpointName(), "error": k.cause.Error()})
		return finish{outcome: outcome.Unknown{Reason: outcome.EventsOutOfOrder}}
	case transportBroken:
		if k.timedOut {
			x.Cancel()
			return d.handleTimeout(a)
		}
		return d.resolveBroken(ctx, a, k.cause)
	}
	return finish{outcome: outcome.Unknown{Reason: outcome.ConnectionLost}}
}

// handleRefusal tries another endpoint unless the refused attempt may have run
// and the request cannot be repeated. If the attempt was already admitted, it
// resumes that attempt's response instead.
func (d *dispatch) handleRefusal(ctx context.Context, a attempt, r refused) nextStep {
	if t, ok := a.target.Transport.(SidecarTransport); ok && r.reason == outcome.AlreadyAdmitted {
		return d.resume(ctx, a, t.Link)
	}
	d.query.Exclude(a.target.Member)
	if !r.mayHaveRun {
		return tryAgain{reason: r.reason}
	}
	return d.replay(r.reason)
}

// handleEndpointFailure tries another endpoint if the request is idempotent,
// else it delivers the error response.
func (d *dispatch) handleEndpointFailure(a attempt, f endpointFailure) nextStep {
	d.query.Exclude(a.target.Member)
	d.failedResponse = &f.response
	d.mayHaveRun = true
	if d.request.route.Idempotent {
		return tryAgain{reason: outcome.EndpointFailed}
	}
	return finish{outcome: d.finalOutcome(outcome.EndpointFailed)}
}

// handleTimeout ends the dispatch after the deadline. It seals an attempt sent
// through a sidecar: one that the gate never admitted did not run.
func (d *dispatch) handleTimeout(a attempt) nextStep {
	if t, ok := a.target.Transport.(SidecarTransport); ok {
		reply, err := t.Link.Seal(context.Background(), a.id, a.remote, false)
		if err == nil && reply.GetState() == wire.SealState_SEAL_STATE_NEVER_ADMITTED {
			return finish{outcome: d.finalOutcome(outcome.DeadlineTooShort)}
		}
	}
	return finish{outcome: outcome.Unknown{Reason: outcome.DeadlineTooShort}}
}

// resolveBroken returns the next step after the transport of an attempt broke.
// Only a sidecar's gate can tell whether the attempt ran.
func (d *dispatch) resolveBroken(ctx context.Context, a attempt, cause error) nextStep {
	switch t := a.target.Transport.(type) {
	case SidecarTransport:
		return d.sealAttempt(ctx, a, t.Link)
	default:
		d.recordBroken(ctx, a, cause)
		d.query.Exclude(a.target.Member)
		return d.replay(outcome.ConnectionLost)
	}
}

// sleep waits for the duration d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
