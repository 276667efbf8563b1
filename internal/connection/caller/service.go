// Package caller serves the callers' HTTP requests: it checks them, carries
// them to an endpoint, and answers whole and once or refuses honestly.
package caller

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/sidecar"
	"github.com/cicadareel/cicadareel/internal/process/events"
	"github.com/cicadareel/cicadareel/internal/process/metrics"
	"github.com/cicadareel/cicadareel/internal/request/choice"
	"github.com/cicadareel/cicadareel/internal/request/claim"
	"github.com/cicadareel/cicadareel/internal/request/outcome"
	"github.com/cicadareel/cicadareel/internal/request/retry"
	"github.com/cicadareel/cicadareel/pkg/bundle"
)

// requestLimit bounds the requests in progress at one entry, so that their
// bodies fit its memory.
const requestLimit = 8192

// Target is an endpoint that may take an attempt.
type Target struct {
	Member *choice.Member
	Link   *sidecar.Link
}

// Fleet knows the endpoints.
type Fleet interface {
	// Choose returns a target of the group, or false if none is eligible.
	Choose(group string, q *choice.Query) (Target, bool)
	// Find returns the target with the endpoint's name, also if it takes no
	// new work.
	Find(endpoint string) (Target, bool)
}

// Claims settles which attempt runs a keyed request.
type Claims interface {
	Take(ctx context.Context, key string, c claim.Claim, expect uint64) (claim.Held, error)
}

// Bundles returns the bundle in force, or nil.
type Bundles func() *bundle.Bundle

// Service is the handler of callers' requests.
type Service struct {
	bundles Bundles
	fleet   Fleet
	claims  Claims
	budget  *retry.Budget
	log     *events.Log
	metrics *metrics.Metrics
	// inProgress counts requests from their check to their outcome.
	inProgress atomic.Int64
	// waiters counts the requests that wait for an eligible endpoint.
	waiters atomic.Int64
}

// NewService returns a handler.
func NewService(b Bundles, f Fleet, c Claims, l *events.Log, m *metrics.Metrics) *Service {
	return &Service{bundles: b, fleet: f, claims: c, budget: retry.NewBudget(), log: l, metrics: m}
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	b := s.bundles()
	if b == nil {
		s.refuse(w, outcome.NotRun{Reason: outcome.NoBundle}, "no bundle is in force yet", "")
		return
	}
	defer s.inProgress.Add(-1)
	if s.inProgress.Add(1) > requestLimit {
		s.refuse(w, outcome.NotRun{Reason: outcome.Overloaded}, "the entry carries as many requests as it may", "")
		return
	}
	q, err := readRequest(w, r, b, now)
	var invalid *InvalidRequestError
	if errors.As(err, &invalid) {
		s.refuse(w, outcome.NotRun{Reason: invalid.Reason}, invalid.Detail, "")
		return
	}
	w.Header().Set(RequestIDHeader, q.id)
	s.budget.Earn()
	d := newDispatch(s, q, newDelivery(w))
	s.conclude(w, d, d.run(r.Context()))
}

// conclude tells the caller the outcome. An answer that has begun and cannot
// be completed is aborted visibly.
func (s *Service) conclude(w http.ResponseWriter, d *dispatch, o outcome.Outcome) {
	if _, ok := o.(outcome.Answered); ok {
		s.metrics.Answered()
		return
	}
	if d.delivery.headSent {
		s.count(o)
		s.log.Info(events.RequestCut, events.Fields{"request": d.request.id})
		panic(http.ErrAbortHandler)
	}
	if _, ok := o.(outcome.Unknown); ok {
		s.log.Info(events.RequestUnknown, events.Fields{"request": d.request.id})
	}
	s.refuse(w, o, "", d.request.id)
}

func (s *Service) refuse(w http.ResponseWriter, o outcome.Outcome, detail, requestID string) {
	s.count(o)
	newProblem(o, detail, requestID).write(w)
}

func (s *Service) count(o outcome.Outcome) {
	switch k := o.(type) {
	case outcome.NotRun:
		s.metrics.Refused(k.Reason)
	case outcome.Unknown:
		s.metrics.Refused(k.Reason)
	}
}
