package caller

import (
	"context"
	"strings"
	"time"

	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/request/retry"
)

// checkRetry returns the final outcome if no further attempt is allowed, else
// nil. reason is why the last attempt failed.
func (d *dispatch) checkRetry(ctx context.Context, reason outcome.Reason) outcome.Outcome {
	if ctx.Err() != nil {
		return d.finalOutcome(reason)
	}
	if reason == outcome.NoEndpoint {
		return nil
	}
	cost := retry.CostOf(reason)
	if cost == retry.CostAttempt {
		d.possibleRuns++
	}
	if d.possibleRuns >= d.maxAttempts() || d.tries >= maxTries {
		return d.finalOutcome(reason)
	}
	d.retryDue = d.retryDue || cost != retry.CostNone
	d.service.Metrics.CountRetry(reason)
	d.service.log(d.request, events.RequestRetried, events.Fields{"reason": reason, "endpoints": strings.Join(d.endpoints, ","), "tries": d.tries})
	return nil
}

// maxAttempts returns the number of attempts that may put load on an endpoint.
func (d *dispatch) maxAttempts() int {
	if n := d.request.route.MaxAttempts; n > 0 {
		return n
	}
	return retry.MaxAttempts
}

// finalOutcome returns the outcome of a request that gets no further attempt.
// If an endpoint sent an error response and nothing was written yet, it writes
// that response to the caller.
func (d *dispatch) finalOutcome(reason outcome.Reason) outcome.Outcome {
	if d.failedResponse != nil && !d.delivery.headSent {
		d.delivery.writeFailure(*d.failedResponse)
		return outcome.Answered{}
	}
	if d.mayHaveRun {
		return outcome.Unknown{Reason: reason}
	}
	return outcome.NotRun{Reason: reason}
}

// spendRetry takes the retry that the next attempt costs from the group's
// budget and reports whether the budget allowed it. It is called once an
// endpoint is chosen, so that waiting for one costs nothing.
func (d *dispatch) spendRetry() bool {
	if !d.retryDue {
		return true
	}
	d.retryDue = false
	return d.service.Budgets.ForGroup(d.request.group.Name).Spend()
}

// waitForEndpoint waits a short time for an eligible endpoint, up to maxWait
// in total. Endpoints that were tried before may then be chosen again.
func (d *dispatch) waitForEndpoint(ctx context.Context) nextStep {
	waiters := &d.service.waiters
	defer waiters.Add(-1)
	if waiters.Add(1) > maxWaiters || d.waited >= d.maxWait() {
		return finish{outcome: d.finalOutcome(outcome.NoEndpoint)}
	}
	d.query = d.request.query()
	sleep(ctx, endpointPollInterval)
	d.waited += endpointPollInterval
	return tryAgain{reason: outcome.NoEndpoint}
}

// maxWait returns how long the request may wait for an eligible endpoint. A
// caller on a route with a latency objective is refused early, since its retry
// is served sooner than it would be here. A caller whose stream has begun would
// lose the stream.
func (d *dispatch) maxWait() time.Duration {
	objective := d.request.route.LatencyObjective
	switch {
	case objective == 0:
		return maxEndpointWait
	case d.delivery.headSent:
		return maxResumeWait
	}
	return objective / objectiveDivisor
}

// replay repeats a request whose attempt may have run, if mayReplay allows it,
// else it ends the dispatch with the outcome Unknown.
func (d *dispatch) replay(reason outcome.Reason) nextStep {
	if !d.mayReplay() {
		return finish{outcome: outcome.Unknown{Reason: reason}}
	}
	d.mayHaveRun = true
	return tryAgain{reason: reason}
}

// mayReplay reports whether the request is idempotent and either none of its
// response was written or the route allows splicing.
func (d *dispatch) mayReplay() bool {
	route := d.request.route
	return route.Idempotent && (!d.delivery.headSent || route.Splice)
}
