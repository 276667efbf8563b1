package caller

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/request/quarantine"
)

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
	decision := decide(d.request.sharedParts)
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
	if d.service.Quarantine == nil || len(d.request.sharedParts) == 0 {
		return func() bool { return false }
	}
	var canceled atomic.Bool
	waiting := d.service.Quarantine.Wait(d.request.sharedParts, func() {
		canceled.Store(true)
		cancel()
	})
	d.delivery.onBegun = func() {
		waiting.End()
		if d.delivery.status == http.StatusOK {
			d.service.Quarantine.RecordAnswer(d.request.sharedParts)
		}
	}
	return func() bool {
		waiting.End()
		return canceled.Load()
	}
}

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
func (d *dispatch) recordBroken(ctx context.Context, a attempt) {
	begun, waited := d.delivery.attemptBegun, time.Since(a.begun)
	d.service.log(d.request, events.AttemptBroken, events.Fields{
		"endpoint": a.target.Member.Name, "begun": begun, "tookMs": waited.Milliseconds(),
		"sharedParts": partsForLog(d.request.sharedParts),
	})
	if begun || d.service.Quarantine == nil || len(d.request.sharedParts) == 0 {
		return
	}
	if d.service.Fleet.HasCrashed(ctx, a.target.Member.Name) {
		d.service.Quarantine.RecordCrash(quarantine.Crash{Endpoint: a.target.Member.Name, Parts: d.request.sharedParts, Waited: waited})
	}
}

// retryAfter returns when the caller of the refused request should come back.
func (d *dispatch) retryAfter() time.Duration {
	if d.quarantined.Part != "" {
		return d.quarantined.RetryAfter
	}
	return jitter(d.service.Fleet.RetryAfter(d.request.group.Name))
}
