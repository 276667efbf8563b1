package caller

import (
	"maps"
	"slices"
	"time"

	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/request/admission"
	"github.com/cicadareel/cicadareel/internal/request/balancer"
)

// Preview is what would be decided on a request, and from what.
type Preview struct {
	BundleVersion uint64 `json:"bundleVersion"`
	// Route and Group are empty if the request would be refused before they are known.
	Route   string `json:"route,omitempty"`
	Path    string `json:"path,omitempty"`
	Group   string `json:"group,omitempty"`
	Account string `json:"account,omitempty"`
	// Priority is that of the client account or route, and Urgency the request's place
	// among those that wait at an endpoint: 0 is served first.
	Priority int `json:"priority"`
	Urgency  int `json:"urgency"`
	// Cost is a multiple of the group's usual request.
	Cost        float64  `json:"cost,omitempty"`
	SharedParts []string `json:"sharedParts,omitempty"`
	// Admission is nil if nothing is decided there.
	Admission  *AdmissionPreview `json:"admission,omitempty"`
	Candidates []Candidate       `json:"candidates,omitempty"`
	// Choice is the endpoint to which the request would go; empty if it would be refused.
	// Among equal endpoints, and among the groups of a divided route, it is random.
	Choice  string          `json:"choice,omitempty"`
	Refusal *RefusalPreview `json:"refusal,omitempty"`
}

// AdmissionPreview is a decision of the admission with the plan that it is from.
type AdmissionPreview struct {
	Admitted bool `json:"admitted"`
	// OverShare is true if the account asks for more than its fair share.
	OverShare bool `json:"overShare"`
	// InFlight is the number of the account's requests in progress at this entry, and Limit
	// how many there may be; both are 0 if the account is not limited.
	InFlight int     `json:"inFlight"`
	Limit    float64 `json:"limit"`
	// PlanAgeMs is the age of the plan in force; 0 without one.
	PlanAgeMs       int64    `json:"planAgeMs"`
	LimitedAccounts []string `json:"limitedAccounts,omitempty"`
	// GroupInFlight is the number of requests in progress at all entries, GroupTarget how
	// many there should be at most, and Entries the number of entries whose loads are
	// known; 0 if another entry made the plan.
	GroupInFlight float64 `json:"groupInFlight"`
	GroupTarget   float64 `json:"groupTarget"`
	Entries       int     `json:"entries"`
	// LessUrgent is true if urgency refuses the request. Room is the number of requests in
	// progress at all entries up to which it is admitted, and InProgress that number; 0 if
	// urgency does not decide.
	LessUrgent bool    `json:"lessUrgent,omitempty"`
	Room       float64 `json:"room,omitempty"`
	InProgress float64 `json:"inProgress,omitempty"`
}

func admissionOf(d admission.Decision, p admission.Plan, age time.Duration) *AdmissionPreview {
	return &AdmissionPreview{
		Admitted: d.Admitted, OverShare: d.OverShare, InFlight: d.InFlight, Limit: d.Limit, PlanAgeMs: age.Milliseconds(),
		LimitedAccounts: slices.Sorted(maps.Keys(p.Limits)),
		GroupInFlight:   p.Basis.InFlight, GroupTarget: p.Basis.Target, Entries: p.Basis.Entries,
		LessUrgent: d.LessUrgent, Room: d.Room, InProgress: d.InProgress,
	}
}

// Candidate is an endpoint of the group.
type Candidate struct {
	Endpoint      string `json:"endpoint"`
	FailureDomain string `json:"failureDomain"`
	Eligible      bool   `json:"eligible"`
	// Obstacles are what keeps requests from the endpoint; empty if it is eligible.
	Obstacles []string `json:"obstacles,omitempty"`
	// Load is the load by which endpoints are compared: lower is better.
	Load float64 `json:"load"`
	// Limit is the number of requests that the endpoint runs at the same time, Own the
	// number of this entry's there, and Others that of other entries some time ago.
	Limit       int     `json:"limit"`
	Own         int     `json:"own"`
	Others      int     `json:"others"`
	OthersAgeMs int64   `json:"othersAgeMs"`
	PausedForMs int64   `json:"pausedForMs"`
	ColdForMs   int64   `json:"coldForMs"`
	Slowness    float64 `json:"slowness"`
}

func candidateOf(s balancer.State) Candidate {
	c := Candidate{
		Endpoint: s.Name, FailureDomain: s.FailureDomain, Eligible: s.Eligible, Load: s.Load,
		Limit: s.Limit, Own: s.Own, Others: s.Others, OthersAgeMs: s.OthersAge.Milliseconds(),
		PausedForMs: s.PausedFor.Milliseconds(), ColdForMs: s.ColdFor.Milliseconds(), Slowness: s.Slowness,
	}
	for _, o := range []struct {
		present bool
		text    string
	}{
		{!s.Open, "takes no new work"}, {!s.Up, "unreachable"}, {s.Held, "held by an operator"}, {s.DependsOnBroken, "rank group broken"},
		{s.PausedFor > 0, "paused"}, {s.ColdFull, "cold and full"}, {s.RateFull, "at the limit that it names"},
	} {
		if o.present {
			c.Obstacles = append(c.Obstacles, o.text)
		}
	}
	return c
}

// RefusalPreview is the response that a caller would get.
type RefusalPreview struct {
	Status int            `json:"status"`
	Reason outcome.Reason `json:"reason"`
	Detail string         `json:"detail,omitempty"`
	// RetryAfter is the header field of the response. It varies from request to request.
	RetryAfter string `json:"retryAfter,omitempty"`
	// Part is the suspected part of the prompt because of which it is refused.
	Part string `json:"part,omitempty"`
}

// describe sets what the checks before the first attempt have found.
func (p *Preview) describe(q *request) {
	p.BundleVersion = q.version
	p.SharedParts = q.sharedParts
	if q.route != nil {
		p.Route, p.Path = q.route.Name, q.route.Path
	}
	if q.account != nil {
		p.Account = q.account.Name
	}
	if q.group != nil && q.route != nil && q.account != nil {
		p.Group, p.Priority, p.Cost = q.group.Name, q.priority(), q.relativeCost()
	}
}
