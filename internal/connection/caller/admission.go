package caller

import (
	"net/http"
	"time"

	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/request/admission"
)

const (
	// returnShare is the largest part of the time that a caller has left that a
	// Retry-After may take, so that the request can be served afterwards.
	returnShare = 0.25
	// turnShare is that part for callers that are turned away by urgency, which may come
	// back at different times.
	turnShare = 0.33
	// maxCost bounds the cost of one request as a multiple of the usual one's.
	maxCost = 8
	// minReturnWait is the time after which a request counts as one that comes back as
	// told. Callers that repeat at once come sooner.
	minReturnWait = time.Second
)

// admit decides whether the request is served. If not, it writes the refusal. A stream
// that the caller resumes is always served.
func (s *Service) admit(w http.ResponseWriter, q *request) bool {
	if s.Admission == nil {
		return true
	}
	r := admission.Request{
		Account:  q.account.Name,
		Cost:     q.relativeCost(),
		Returned: !q.resumeAfter.IsZero() || q.priorWait >= minReturnWait,
		Resumes:  !q.resumeAfter.IsZero(),
		Level:    q.level,
		Levels:   q.levels,
	}
	decision, ticket := s.Admission.Admit(q.group.Name, r)
	q.ticket, q.overShare = ticket, decision.OverShare
	if decision.Admitted {
		return true
	}
	if decision.LessUrgent {
		s.turnAway(w, q, r, decision)
		return false
	}
	after := min(jitter(decision.RetryAfter), time.Duration(float64(q.remaining())*returnShare))
	s.log(q, events.RequestRefused, events.Fields{
		"reason": outcome.AccountLimited, "group": q.group.Name, "inFlight": decision.InFlight,
		"limit": decision.Limit, "planAgeMs": decision.PlanAge.Milliseconds(), "returned": r.Returned, "retryAfterMs": after.Milliseconds(),
	})
	s.refuse(w, Refusal{Outcome: outcome.NotRun{Reason: outcome.AccountLimited}, Detail: "the client account asks for more than its share", RequestID: q.id, RetryAfter: after})
	return false
}

// turnAway refuses a request to keep room for more urgent ones.
func (s *Service) turnAway(w http.ResponseWriter, q *request, r admission.Request, d admission.Decision) {
	after := min(jitter(d.RetryAfter), time.Duration(float64(q.remaining())*turnShare))
	s.log(q, events.RequestRefused, events.Fields{
		"reason": outcome.LessUrgent, "group": q.group.Name, "urgency": r.Level, "inProgress": d.InProgress, "room": d.Room,
		"planAgeMs": d.PlanAge.Milliseconds(), "returned": r.Returned, "retryAfterMs": after.Milliseconds(),
	})
	s.refuse(w, Refusal{Outcome: outcome.NotRun{Reason: outcome.LessUrgent}, Detail: "the endpoints keep room for more urgent requests", RequestID: q.id, RetryAfter: after})
}

// relativeCost returns the work that the request needs as a multiple of the group's
// usual request, or 1 if it is not known.
func (q *request) relativeCost() float64 {
	if q.cost == 0 || q.group.UsualCost == 0 {
		return 1
	}
	return min(q.cost/q.group.UsualCost, maxCost)
}

// recordTimeliness records once whether the request missed or kept its objectives. One
// that went to several endpoints, or of a limited account, says nothing about the load
// that others meet.
func (d *dispatch) recordTimeliness(late bool) {
	if d.timed || d.tries > 1 || d.request.overShare {
		return
	}
	d.timed = true
	d.request.ticket.RecordTimeliness(late)
}
