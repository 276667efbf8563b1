package caller

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/metrics"
	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/request/admission"
	"github.com/cicadareel/cicadareel/internal/request/balancer"
	"github.com/cicadareel/cicadareel/internal/request/memory"
	"github.com/cicadareel/cicadareel/pkg/bundle"
)

// PreviewFleet is a fleet that tells which endpoint it would choose.
type PreviewFleet interface {
	Fleet
	// Preview returns the name of the endpoint that Choose would return, empty if there is
	// none, and the state of all endpoints of the group.
	Preview(group string, q *balancer.Query) (choice string, candidates []balancer.State)
}

// PreviewAdmission is an admission that tells what it would decide.
type PreviewAdmission interface {
	Admission
	// Preview returns what Admit would decide, and the plan in force with its age.
	Preview(group string, r admission.Request) (admission.Decision, admission.Plan, time.Duration)
}

// Question describes a request that is not sent.
type Question struct {
	// Host and Target are as in a request: Target is the path and query.
	Host, Target string
	// Account is the name of the client account; empty for a request without a token.
	Account string
	// Header has the header fields of the request, without a token.
	Header http.Header
}

// InvalidQuestionError reports a question that names no request.
type InvalidQuestionError struct{ Problem string }

func (e *InvalidQuestionError) Error() string { return e.Problem }

// Previewer decides on requests that are not sent. It goes the way of a request through the
// functions that serve it, up to the choice of an endpoint, and counts nothing.
type Previewer struct {
	// service has the dependencies of the entry's service, apart from those that count.
	service   *Service
	admission PreviewAdmission
	fleet     PreviewFleet
}

// NewPreviewer returns a previewer for the service with the dependencies. It reports false
// if the fleet or the admission cannot tell what it would decide.
func NewPreviewer(d Dependencies) (*Previewer, bool) {
	p := &Previewer{}
	var fleetTells, admissionTells bool
	p.fleet, fleetTells = d.Fleet.(PreviewFleet)
	p.admission, admissionTells = d.Admission.(PreviewAdmission)
	m, err := metrics.NewMetrics()
	if err != nil || !fleetTells || !admissionTells {
		return nil, false
	}
	d.Metrics, d.Log = m, events.NewLog("panic", "preview")
	p.service = NewService(d)
	return p, true
}

// Preview decides on a request. The error is an *InvalidQuestionError.
func (p *Previewer) Preview(question Question) (Preview, error) {
	target, err := url.ParseRequestURI(question.Target)
	if err != nil {
		return Preview{}, &InvalidQuestionError{Problem: "the path must be absolute and escaped: " + question.Target}
	}
	b := p.service.CurrentBundle()
	if b == nil {
		return Preview{}, &InvalidQuestionError{Problem: "the entry has no bundle yet"}
	}
	b, token, err := withToken(b, question.Account)
	if err != nil {
		return Preview{}, err
	}
	r := &http.Request{Method: http.MethodPost, Host: question.Host, URL: target, RequestURI: question.Target, Header: question.Header, Body: http.NoBody}
	return p.preview(r, b, token), nil
}

// withToken returns a copy of a bundle with a token of the client account, since a bundle
// has only the hashes of those that callers send.
func withToken(b *bundle.Bundle, account string) (*bundle.Bundle, string, error) {
	if account == "" {
		return b, "", nil
	}
	const token = "preview"
	for i, a := range b.ClientAccounts {
		if a.Name == account {
			a.TokenHashes = []string{bundle.HashToken(token)}
			with := *b
			// The other accounts decide how urgent this one's requests are.
			with.ClientAccounts = slices.Clone(b.ClientAccounts)
			with.ClientAccounts[i] = a
			return bundle.NewBundle(with), token, nil
		}
	}
	return nil, "", &InvalidQuestionError{Problem: "no client account of the bundle has the name " + account}
}

// preview takes the way of a request.
func (p *Previewer) preview(r *http.Request, b *bundle.Bundle, token string) Preview {
	out := Preview{}
	s := &Service{Dependencies: p.service.Dependencies}
	dialect := &previewDialect{Dialect: s.Dialect, token: token, header: http.Header{}}
	decider := &previewDecider{PreviewAdmission: p.admission}
	s.Dialect, s.Admission = dialect, decider
	// A budget of its own: a question holds nothing of what callers may, and cuts off nobody.
	s.Memory = memory.NewBudget(0)
	q, err := s.readRequest(dialect, r, b, time.Now())
	out.describe(q)
	if invalid := (*InvalidRequestError)(nil); errors.As(err, &invalid) {
		s.refuse(dialect, Refusal{Outcome: outcome.NotRun{Reason: invalid.Reason}, Detail: invalid.Detail, RequestID: q.id})
		out.Refusal = dialect.refusal
		return out
	}
	d := newDispatch(s, q, newDelivery(dialect, q))
	admitted := s.admit(dialect, q)
	out.Admission, out.Urgency = decider.preview, q.urgency(false)
	choice, candidates := p.fleet.Preview(q.group.Name, d.query)
	out.Choice = choice
	for _, c := range candidates {
		out.Candidates = append(out.Candidates, candidateOf(c))
	}
	if admitted {
		switch {
		case !d.promptAllowed(false):
			s.finishRequest(d, d.finalOutcome(outcome.PromptQuarantined))
		case out.Choice == "":
			s.finishRequest(d, d.finalOutcome(outcome.NoEndpoint))
		}
	}
	if out.Refusal = dialect.refusal; out.Refusal != nil {
		out.Choice, out.Refusal.Part = "", d.quarantined.Part
	}
	return out
}

// previewDecider is an admission that only tells what it would decide.
type previewDecider struct {
	PreviewAdmission
	preview *AdmissionPreview
}

// Admit implements Admission.
func (p *previewDecider) Admit(group string, r admission.Request) (admission.Decision, admission.Ticket) {
	d, plan, age := p.Preview(group, r)
	p.preview = admissionOf(d, plan, age)
	return d, admission.Ticket{}
}

// previewDialect reads requests with a token, and keeps the refusal that the dialect writes.
// It is also the writer of that response.
type previewDialect struct {
	Dialect
	token   string
	header  http.Header
	status  int
	refusal *RefusalPreview
}

// ParseRequest implements Dialect.
func (p *previewDialect) ParseRequest(r *http.Request) (RequestMetadata, error) {
	m, err := p.Dialect.ParseRequest(r)
	m.Token = p.token
	return m, err
}

// WriteRefusal implements Dialect.
func (p *previewDialect) WriteRefusal(_ http.ResponseWriter, r Refusal) {
	p.Dialect.WriteRefusal(p, r)
	p.refusal = &RefusalPreview{Status: p.status, Reason: reasonOf(r.Outcome), Detail: r.Detail, RetryAfter: p.header.Get("Retry-After")}
}

// Header implements http.ResponseWriter.
func (p *previewDialect) Header() http.Header { return p.header }

// Write implements http.ResponseWriter.
func (p *previewDialect) Write(content []byte) (int, error) { return len(content), nil }

// WriteHeader implements http.ResponseWriter.
func (p *previewDialect) WriteHeader(status int) { p.status = status }

// ServeHTTP answers questions: the query has host, target and account, and the header
// fields are those of the request.
func (p *Previewer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	preview, err := p.Preview(Question{Host: query.Get("host"), Target: query.Get("target"), Account: query.Get("account"), Header: r.Header})
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(preview)
}
