package caller

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/request/quarantine"
)

// suspects returns what of the request may crash endpoints. Repeats of it have the same key
// at each entry, whichever events they ask for; requests of other client accounts have others.
func (q *request) suspects() []string {
	fields := [][]byte{[]byte(q.method), []byte(q.host), []byte(q.target), []byte(q.account.Name), q.body}
	for _, name := range q.workHeaders {
		fields = append(fields, []byte(strings.Join(q.header.Values(name), ",")))
	}
	return append(slices.Clone(q.sharedParts), quarantine.RequestKey(fields))
}

// promptAllowed reports whether the request may be sent to an endpoint, as far as the
// parts of its prompt are concerned. chosen is true once there is an endpoint for it.
func (d *dispatch) promptAllowed(chosen bool) bool {
	if d.service.Quarantine == nil || d.onTrial {
		return true
	}
	decide := d.service.Quarantine.Decide
	if chosen {
		decide = d.service.Quarantine.BeginTrial
	}
	decision := decide(d.suspects)
	d.onTrial = decision.Trial && chosen
	if !decision.Allowed {
		d.quarantined = decision
	}
	return decision.Allowed
}

// waitForBegin makes a suspicion of the request's prompt cancel the attempt, until the
// endpoint begins to write its response. The function that it returns ends that and reports
// whether the attempt was canceled.
func (d *dispatch) waitForBegin(cancel context.CancelFunc) (recalled func() bool) {
	if d.service.Quarantine == nil {
		return func() bool { return false }
	}
	var canceled atomic.Bool
	waiting := d.service.Quarantine.Wait(d.suspects, func() {
		canceled.Store(true)
		cancel()
	})
	d.delivery.onBegun = func() {
		waiting.End()
		if d.delivery.status == http.StatusOK {
			d.service.Quarantine.RecordAnswer(d.suspects)
		}
	}
	return func() bool {
		waiting.End()
		return canceled.Load()
	}
}

// recordResponse records that an endpoint responded to the whole request. Any response shows
// that it does not crash endpoints; of the parts of its prompt only a begun success does.
func (d *dispatch) recordResponse(r deliveryResult) {
	if len(d.suspects) == 0 || (d.delivery.attemptBegun && d.delivery.status == http.StatusOK) {
		return
	}
	switch r.(type) {
	case completed, endpointFailure:
		d.service.Quarantine.RecordAnswer(d.suspects[len(d.suspects)-1:])
	}
}

// verdictPollInterval is the time between two questions whether the request is still
// suspected.
const verdictPollInterval = 5 * time.Millisecond

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 16

// partsForLog returns the ids of parts, separated by commas: the last ones after "..." if
// there are many, since those are likelier to be new.
func partsForLog(parts []string) string {
	if len(parts) <= maxLoggedParts {
		return strings.Join(parts, ",")
	}
	return "...," + strings.Join(parts[len(parts)-maxLoggedParts:], ",")
}

// recordBroken logs an attempt whose connection to the endpoint broke. If the endpoint
// crashed before it began to write its response, the request may be the cause.
func (d *dispatch) recordBroken(ctx context.Context, a attempt, cause error) {
	begun, waited := d.delivery.attemptBegun, time.Since(a.begun)
	fields := events.Fields{
		"endpoint": a.target.Member.Name, "begun": begun, "tookMs": waited.Milliseconds(),
		"sharedParts": partsForLog(d.request.sharedParts),
	}
	if cause != nil {
		fields["error"] = cause.Error()
	}
	d.service.log(d.request, events.AttemptBroken, fields)
	if begun || d.service.Quarantine == nil {
		return
	}
	if d.service.Fleet.HasCrashed(ctx, a.target.Member.Name) {
		d.onTrial = false
		d.service.Quarantine.RecordCrash(quarantine.Crash{Endpoint: a.target.Member.Name, Parts: d.suspects, Waited: waited})
		d.awaitVerdict(ctx)
	}
}

// awaitVerdict waits until other entries have told what they know of the crash that the
// request may have caused, or until it is known not to be suspected.
func (d *dispatch) awaitVerdict(ctx context.Context) {
	for ctx.Err() == nil {
		decision := d.service.Quarantine.Decide(d.suspects)
		if decision.Allowed || decision.Undecided <= 0 {
			return
		}
		sleep(ctx, min(decision.Undecided, verdictPollInterval))
	}
}

// retryAfter returns when the caller of the refused request should come back.
func (d *dispatch) retryAfter() time.Duration {
	if d.quarantined.Part != "" {
		return d.quarantined.RetryAfter
	}
	return jitter(d.service.Fleet.RetryAfter(d.request.group.Name))
}
