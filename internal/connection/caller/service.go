// Package caller serves the callers' HTTP requests in the entry process. It
// checks a request, sends it to an endpoint, retries it where that is safe, and
// returns one complete response or a refusal that says whether the request may
// have run.
package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/endpoint"
	"github.com/cicadareel/cicadareel/internal/connection/sidecar"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/metrics"
	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/request/admission"
	"github.com/cicadareel/cicadareel/internal/request/balancer"
	"github.com/cicadareel/cicadareel/internal/request/claim"
	"github.com/cicadareel/cicadareel/internal/request/memory"
	"github.com/cicadareel/cicadareel/internal/request/quarantine"
	"github.com/cicadareel/cicadareel/internal/request/retry"
	"github.com/cicadareel/cicadareel/pkg/bundle"
)

// maxRequests bounds the requests in progress at one entry. What they hold is bounded by
// its budget of bytes.
const maxRequests = 8192

// Transport is how an attempt reaches an endpoint: SidecarTransport or
// DirectTransport.
type Transport interface{ isTransport() }

// SidecarTransport sends attempts to the endpoint's sidecar, whose gate admits
// them to the endpoint.
type SidecarTransport struct{ Link *sidecar.Link }

// DirectTransport sends attempts directly to the endpoint.
type DirectTransport struct{ Endpoint *endpoint.DirectClient }

func (SidecarTransport) isTransport() {}
func (DirectTransport) isTransport()  {}

// Target is an endpoint chosen for an attempt.
type Target struct {
	Member    *balancer.Member
	Transport Transport
}

// Fleet selects endpoints and holds the links to their sidecars.
type Fleet interface {
	// Choose returns an eligible endpoint of the group, or false if there is none.
	Choose(group string, q *balancer.Query) (Target, bool)
	// FindLink returns the link to the sidecar of the endpoint with the name,
	// even if it takes no new work.
	FindLink(endpoint string) (*sidecar.Link, bool)
	// HasCrashed reports whether an endpoint whose connection broke accepts no
	// connections any more.
	HasCrashed(ctx context.Context, endpoint string) bool
	// RetryAfter returns the time after which the group is expected to take new
	// work again; 0 if unknown.
	RetryAfter(group string) time.Duration
}

// Claims decides which attempt may run a request with an idempotency key.
type Claims interface {
	// Acquire writes the claim if the row of the key has the expected revision, and
	// returns the claim that the row holds then.
	Acquire(ctx context.Context, key string, c claim.Claim, expect uint64) (claim.Record, error)
}

// Admission decides which requests are served.
type Admission interface {
	// Admit decides on a request to the group. The ticket is empty if it is refused.
	Admit(group string, r admission.Request) (admission.Decision, admission.Ticket)
}

// BundleSource returns the configuration bundle in force, or nil if there is
// none yet.
type BundleSource func() *bundle.Bundle

// Dependencies are the components that a Service uses.
type Dependencies struct {
	CurrentBundle BundleSource
	Fleet         Fleet
	// Claims is nil if the dialect has no idempotency keys.
	Claims  Claims
	Dialect Dialect
	// Admission is nil if the endpoints' gates alone decide what is admitted.
	Admission Admission
	// Quarantine is nil if requests are not checked for crashes of endpoints.
	Quarantine *quarantine.Tracker
	Budgets    *retry.Budgets
	// Memory is the number of bytes that the process may hold for callers.
	Memory  *memory.Budget
	Log     *events.Log
	Metrics *metrics.Metrics
}

// Service is the HTTP handler for callers' requests.
type Service struct {
	Dependencies
	// inProgress counts the requests that are being served.
	inProgress atomic.Int64
	// waiters counts the requests that wait for an eligible endpoint.
	waiters atomic.Int64
}

// NewService returns a service with no requests in progress.
// Without a budget of bytes, callers may hold any number.
func NewService(d Dependencies) *Service {
	if d.Memory == nil {
		d.Memory = memory.NewBudget(0)
	}
	return &Service{Dependencies: d}
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	b := s.CurrentBundle()
	if b == nil {
		limitDrain(w, r)
		s.refuse(w, Refusal{Outcome: outcome.NotRun{Reason: outcome.NoBundle}, Detail: "no bundle is in force yet", RetryAfter: jitter(startupRetryAfter)})
		return
	}
	defer s.inProgress.Add(-1)
	if s.inProgress.Add(1) > maxRequests {
		limitDrain(w, r)
		s.refuse(w, Refusal{Outcome: outcome.NotRun{Reason: outcome.Overloaded}, Detail: "the entry carries as many requests as it may"})
		return
	}
	q, err := s.readRequest(w, r, b, now)
	if q.held != nil {
		defer q.held.End()
	}
	s.Dialect.SetRequestID(w.Header(), q.id)
	if err != nil {
		s.refuseUnread(w, r, q, err)
		return
	}
	s.Budgets.ForGroup(q.group.Name).Earn()
	if !s.admit(w, q) {
		return
	}
	defer q.ticket.End()
	d := newDispatch(s, q, newDelivery(w, q))
	s.finishRequest(d, d.run(r.Context()))
}

// finishRequest logs the outcome and writes the refusal if there is no response.
// It aborts a response that has begun and cannot be completed, so that the
// caller sees a broken connection.
func (s *Service) finishRequest(d *dispatch, o outcome.Outcome) {
	q := d.request
	if _, ok := o.(outcome.Answered); ok {
		s.Metrics.RecordAnswered(time.Since(q.started), d.timeToFirstByte())
		s.log(q, events.RequestAnswered, d.logFields())
		return
	}
	fields := d.logFields()
	fields["reason"] = reasonOf(o)
	if d.delivery.headSent {
		s.countRefusal(o)
		s.log(q, events.ResponseAborted, fields)
		panic(http.ErrAbortHandler)
	}
	event := events.RequestRefused
	if _, ok := o.(outcome.Unknown); ok {
		event = events.RequestOutcomeUnknown
	}
	refusal := Refusal{Outcome: o, RequestID: q.id, RetryAfter: d.retryAfter()}
	if d.quarantined.Part != "" {
		fields["part"] = d.quarantined.Part
	}
	fields["retryAfterMs"] = refusal.RetryAfter.Milliseconds()
	s.log(q, event, fields)
	s.refuse(d.delivery.w, refusal)
}

// startupRetryAfter is the Retry-After of a process that has no bundle yet. It
// gets one from its peers at once, or from the store, whose outages last seconds.
const startupRetryAfter = 2 * time.Second

// retryAfterJitter is the fraction by which a Retry-After varies up and down, so
// that callers that were refused together do not return together.
const retryAfterJitter = 0.25

// jitter returns d varied at random by up to retryAfterJitter.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - retryAfterJitter + 2*retryAfterJitter*rand.Float64()))
}

// log writes a log event about a request, with the version of the bundle
// against which it was checked.
func (s *Service) log(q *request, e events.Event, fields events.Fields) {
	fields["request"] = q.id
	fields["bundleVersion"] = q.version
	if q.route != nil {
		fields["route"] = q.route.Name
	}
	if q.account != nil {
		fields["account"] = q.account.Name
	}
	s.Log.Info(e, fields)
}

// refuse counts the refusal and writes it to the caller.
func (s *Service) refuse(w http.ResponseWriter, r Refusal) {
	s.countRefusal(r.Outcome)
	s.Dialect.WriteRefusal(w, r)
}

func (s *Service) countRefusal(o outcome.Outcome) { s.Metrics.CountRefusal(reasonOf(o)) }

// reasonOf returns the reason of an outcome, "" for Answered.
func reasonOf(o outcome.Outcome) outcome.Reason {
	switch k := o.(type) {
	case outcome.NotRun:
		return k.Reason
	case outcome.Unknown:
		return k.Reason
	}
	return ""
}
