// Package caller serves the callers' HTTP requests: it checks them, carries
// them to an endpoint, and answers whole and once or refuses honestly.
package caller

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/endpoint"
	"github.com/cicadareel/cicadareel/internal/connection/sidecar"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/metrics"
	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/request/balancer"
	"github.com/cicadareel/cicadareel/internal/request/claim"
	"github.com/cicadareel/cicadareel/internal/request/retry"
	"github.com/cicadareel/cicadareel/pkg/bundle"
)

// requestLimit bounds the requests in progress at one entry, so that their
// bodies fit its memory.
const requestLimit = 8192

// Transport is how an attempt reaches an endpoint: Gated or Direct.
type Transport interface{ isTransport() }

// SidecarTransport leads through the gate of the sidecar beside the endpoint.
type SidecarTransport struct{ Link *sidecar.Link }

// DirectTransport leads straight to the endpoint.
type DirectTransport struct{ Endpoint *endpoint.DirectClient }

func (SidecarTransport) isTransport() {}
func (DirectTransport) isTransport()  {}

// Target is an endpoint that may take an attempt.
type Target struct {
	Member    *balancer.Member
	Transport Transport
}

// Fleet knows the endpoints.
type Fleet interface {
	// Choose returns a target of the group, or false if none is eligible.
	Choose(group string, q *balancer.Query) (Target, bool)
	// Find returns the link to the endpoint with the name, also if it takes no
	// new work.
	FindLink(endpoint string) (*sidecar.Link, bool)
	// Backlog is the time after which the group should take new work again; 0
	// if nothing is known.
	RetryAfter(group string) time.Duration
}

// Claims settles which attempt runs a keyed request.
type Claims interface {
	Acquire(ctx context.Context, key string, c claim.Claim, expect uint64) (claim.Record, error)
}

// BundleSource returns the bundle in force, or nil.
type BundleSource func() *bundle.Bundle

// Dependencies are what the service is made of.
type Dependencies struct {
	CurrentBundle BundleSource
	Fleet         Fleet
	// Claims is nil where the dialect knows no keys.
	Claims  Claims
	Dialect Dialect
	Budgets *retry.Budgets
	Log     *events.Log
	Metrics *metrics.Metrics
}

// Service is the handler of callers' requests.
type Service struct {
	Dependencies
	// inProgress counts requests from their check to their outcome.
	inProgress atomic.Int64
	// waiters counts the requests that wait for an eligible endpoint.
	waiters atomic.Int64
}

// NewService returns a handler.
func NewService(p Dependencies) *Service { return &Service{Dependencies: p} }

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	b := s.CurrentBundle()
	if b == nil {
		s.refuse(w, Refusal{Outcome: outcome.NotRun{Reason: outcome.NoBundle}, Detail: "no bundle is in force yet", RetryAfter: spread(startTime)})
		return
	}
	defer s.inProgress.Add(-1)
	if s.inProgress.Add(1) > requestLimit {
		s.refuse(w, Refusal{Outcome: outcome.NotRun{Reason: outcome.Overloaded}, Detail: "the entry carries as many requests as it may"})
		return
	}
	q, err := readRequest(w, r, b, s.Dialect, now)
	s.Dialect.SetRequestID(w.Header(), q.id)
	var invalid *InvalidRequestError
	if errors.As(err, &invalid) {
		s.log(q, events.RequestInvalid, events.Fields{"reason": invalid.Reason, "detail": invalid.Detail})
		s.refuse(w, Refusal{Outcome: outcome.NotRun{Reason: invalid.Reason}, Detail: invalid.Detail, RequestID: q.id})
		return
	}
	s.Budgets.ForGroup(q.group.Name).Earn()
	d := newDispatch(s, q, newDelivery(w, q))
	s.conclude(d, d.run(r.Context()))
}

// conclude tells the caller the outcome. An answer that has begun and cannot
// be completed is aborted visibly.
func (s *Service) conclude(d *dispatch, o outcome.Outcome) {
	q := d.request
	if _, ok := o.(outcome.Answered); ok {
		s.Metrics.Answered(time.Since(q.started), d.firstByteAfter())
		s.log(q, events.RequestAnswered, d.fields())
		return
	}
	fields := d.fields()
	fields["reason"] = reasonOf(o)
	if d.delivery.headSent {
		s.count(o)
		s.log(q, events.RequestCut, fields)
		panic(http.ErrAbortHandler)
	}
	event := events.RequestRefused
	if _, ok := o.(outcome.Unknown); ok {
		event = events.RequestUnknown
	}
	refusal := Refusal{Outcome: o, RequestID: q.id, RetryAfter: spread(s.Fleet.RetryAfter(q.group.Name))}
	fields["retryAfterMs"] = refusal.RetryAfter.Milliseconds()
	s.log(q, event, fields)
	s.refuse(d.delivery.w, refusal)
}

// startTime is when to come back to a process that knows nothing yet. It learns
// from others at once, or from a store whose outage lasts seconds.
const startTime = 2 * time.Second

// returnSpread is the part of a Retry-After by which it varies, so that callers
// who were refused together do not come back together.
const returnSpread = 0.25

func spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - returnSpread + 2*returnSpread*rand.Float64()))
}

// log writes what was decided about a request, with the version of the bundle
// that it was checked against.
func (s *Service) log(q *request, e events.Event, fields events.Fields) {
	fields["request"] = q.id
	fields["bundleVersion"] = q.version
	if q.route != nil {
		fields["route"] = q.route.Name
	}
	s.Log.Info(e, fields)
}

func (s *Service) refuse(w http.ResponseWriter, r Refusal) {
	s.count(r.Outcome)
	s.Dialect.WriteRefusal(w, r)
}

func (s *Service) count(o outcome.Outcome) { s.Metrics.Refused(reasonOf(o)) }

func reasonOf(o outcome.Outcome) outcome.Reason {
	switch k := o.(type) {
	case outcome.NotRun:
		return k.Reason
	case outcome.Unknown:
		return k.Reason
	}
	return ""
}
