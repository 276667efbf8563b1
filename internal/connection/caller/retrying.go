package caller

import (
	"context"
	"strings"
	"time"

	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/request/retry"
)

// mayRetry returns the final outcome if another attempt is not allowed, else
// nil.
func (d *dispatch) mayRetry(ctx context.Context, reason outcome.Reason) outcome.Outcome {
	if ctx.Err() != nil {
		return d.unfinished(reason)
	}
	if reason == outcome.NoEndpoint {
		return nil
	}
	cost := retry.CostOf(reason)
	if cost == retry.CostAttempt {
		d.sends++
	}
	if d.sends >= d.maxAttempts() || d.tries >= freeAttempts {
		return d.unfinished(reason)
	}
	d.owes = d.owes || cost != retry.CostNone
	d.service.Metrics.Retried(reason)
	d.service.log(d.request, events.RequestRetried, events.Fields{"reason": reason, "endpoints": strings.Join(d.endpoints, ","), "tries": d.tries})
	return nil
}

func (d *dispatch) maxAttempts() int {
	if n := d.request.route.MaxAttempts; n > 0 {
		return n
	}
	return retry.MaxAttempts
}

// unfinished is the honest outcome when no further attempt follows. The answer
// of an endpoint that failed is better than none.
func (d *dispatch) unfinished(reason outcome.Reason) outcome.Outcome {
	if d.failure != nil && !d.delivery.headSent {
		d.delivery.whole(*d.failure)
		return outcome.Answered{}
	}
	if d.mayHaveRun {
		return outcome.Unknown{Reason: reason}
	}
	return outcome.NotRun{Reason: reason}
}

// pay takes the retry that the next attempt costs from the budget, now that it
// has an endpoint, and reports whether there was one.
func (d *dispatch) pay() bool {
	if !d.owes {
		return true
	}
	d.owes = false
	return d.service.Budgets.ForGroup(d.request.group.Name).Spend()
}

// waitForEndpoint gives endpoints a moment to open before refusing. Then all
// of them may be tried again.
func (d *dispatch) waitForEndpoint(ctx context.Context) next {
	waiters := &d.service.waiters
	defer waiters.Add(-1)
	if waiters.Add(1) > waitersLimit || d.waited >= d.patience() {
		return done{outcome: d.unfinished(outcome.NoEndpoint)}
	}
	d.query = d.request.query()
	pause(ctx, endpointPoll)
	d.waited += endpointPoll
	return again{reason: outcome.NoEndpoint}
}

// patience bounds the time that the request waits for an eligible endpoint. A
// caller with an objective comes back sooner than it would be served here; one
// whose stream has begun would lose it.
func (d *dispatch) patience() time.Duration {
	objective := d.request.route.Objective
	switch {
	case objective == 0:
		return endpointWait
	case d.delivery.headSent:
		return resumeWait
	}
	return objective / objectiveShare
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
