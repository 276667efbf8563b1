package caller

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/endpoint"
	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/request/admission"
	"github.com/cicadareel/cicadareel/internal/request/balancer"
	"github.com/cicadareel/cicadareel/internal/request/claim"
	"github.com/cicadareel/cicadareel/internal/request/eventstream"
	"github.com/cicadareel/cicadareel/internal/request/memory"
	"github.com/cicadareel/cicadareel/pkg/bundle"
)

// affinityPrefixBytes is the length of the body prefix that is hashed for
// prefix-cache affinity.
const affinityPrefixBytes = 256

// anonymous is the client account of requests without a token on routes that
// need none.
var anonymous = &bundle.ClientAccount{Weight: 1}

// InvalidRequestError reports a request that was refused by the checks before
// the first attempt.
type InvalidRequestError struct {
	Reason outcome.Reason
	Detail string
}

func (e *InvalidRequestError) Error() string { return string(e.Reason) + ": " + e.Detail }

// request is a caller's request that passed all checks.
type request struct {
	id      string
	account *bundle.ClientAccount
	route   *bundle.Route
	group   *bundle.Group
	// version is that of the bundle against which the request was checked.
	version uint64
	// level is the request's urgency among those to its group, 0 for the most urgent, and
	// levels the number of these.
	level, levels int
	started       time.Time
	deadline      time.Time
	// priorWait estimates the time that the caller has spent on earlier requests:
	// the route's timeout minus the caller's own.
	priorWait time.Duration
	method    string
	host      string
	// target is the path and query, escaped as the caller sent them.
	target string
	// header holds the fields to be forwarded.
	header http.Header
	body   []byte
	// held is what the request holds of the process's budget of bytes; nil until its
	// route is known.
	held *memory.Holder
	// key is the table key of the claim; empty without an idempotency key.
	key string
	// resumeAfter is the id of the last event that the caller has; zero for none.
	resumeAfter eventstream.ID
	// cost is the work that the request needs, in the dialect's unit; 0 if not known.
	cost float64
	// sharedParts are the ids of the parts of the prompt that other requests may
	// have as well.
	sharedParts []string
	// workHeaders are the header fields that determine, beside the body, the work of an
	// endpoint.
	workHeaders []string
	// ticket is empty if the request needs no admission.
	ticket admission.Ticket
	// overShare is true if the client account asks for more than its fair share.
	overShare bool
}

// readRequest checks a request against the bundle and reads its body. The
// request that it returns with an error is incomplete but has its id. The caller ends
// its holder, if it has one.
func (s *Service) readRequest(w http.ResponseWriter, r *http.Request, b *bundle.Bundle, now time.Time) (*request, error) {
	metadata, err := s.Dialect.ParseRequest(r)
	q := &request{id: metadata.RequestID, version: b.Version, started: now, method: r.Method, host: r.Host, target: originForm(r.RequestURI)}
	if err != nil {
		return q, err
	}
	if err := q.findRoute(b, metadata.Token); err != nil {
		return q, err
	}
	if !endpoint.CanSend(q.target) {
		return q, &InvalidRequestError{outcome.Malformed, "escape the characters of the path"}
	}
	q.deadline = now.Add(q.route.Timeout)
	if metadata.Timeout > 0 {
		q.deadline = now.Add(min(metadata.Timeout, q.route.Timeout))
		q.priorWait = max(0, q.route.Timeout-metadata.Timeout)
	}
	control := http.NewResponseController(w)
	if err = s.hold(r.Context(), q, r.Header, control); err != nil {
		return q, err
	}
	if err = q.readBody(w, r, control); err != nil {
		return q, err
	}
	q.header = forwardedHeader(r.Header, metadata.PrivateHeaders)
	q.resumeAfter, q.cost = metadata.ResumeAfter, metadata.Cost
	q.sharedParts, q.workHeaders = metadata.SharedParts, metadata.WorkHeaders
	if metadata.IdempotencyKey != "" && !q.route.Idempotent {
		q.key = claim.Key(q.account.Name, metadata.IdempotencyKey)
	}
	return q, nil
}

// findRoute sets the request's route, client account and group.
func (q *request) findRoute(b *bundle.Bundle, token string) error {
	path, _, _ := strings.Cut(q.target, "?")
	q.route = b.Route(q.host, path)
	q.account = b.AccountByToken(token)
	if q.route != nil && q.route.Anonymous && q.account == nil {
		q.account = anonymous
	}
	if q.account == nil {
		return &InvalidRequestError{outcome.Unauthorized, "send a token of a client account"}
	}
	if q.route == nil {
		return &InvalidRequestError{outcome.NoRoute, "no route of the bundle matches this host and path"}
	}
	q.group = b.Group(q.route.PickGroup(rand.Float64()))
	if q.group == nil {
		return &InvalidRequestError{outcome.NoEndpoint, "the route leads to no group"}
	}
	q.level, q.levels = b.Level(q.group.Name, q.account, q.route)
	return nil
}

// hopByHopHeaders are the header fields that concern one connection only.
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Content-Length":      true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Expect":              true,
}

// forwardedHeader returns a copy of h without hop-by-hop and private fields.
func forwardedHeader(h http.Header, private []string) http.Header {
	out := h.Clone()
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for name := range hopByHopHeaders {
		out.Del(name)
	}
	for _, name := range private {
		out.Del(name)
	}
	return out
}

// query returns the criteria for the choice of an endpoint. Model requests with
// the same prefix go to the same endpoint, whose prefix cache may hold it. In
// groups without a prefix cache the choice depends on load alone.
func (q *request) query() *balancer.Query {
	query := &balancer.Query{}
	switch {
	case q.group.NoPrefixCache:
		query.LeastLoaded = true
	case q.group.Kind == bundle.KindModel && len(q.body) > 0:
		query.HasPrefix = true
		query.PrefixHash = balancer.HashPrefix(q.body[:min(len(q.body), affinityPrefixBytes)])
	}
	return query
}

const (
	// latePenalty is added to the urgency of requests that can no longer meet
	// their latency objective, resumePenalty to that of streams to be resumed.
	latePenalty   = 4
	resumePenalty = 2
	// overSharePenalty is added to that of requests of a client account that asks for
	// more than its fair share, so that they wait behind those of others.
	overSharePenalty = 3
	leastUrgent      = 9
)

// urgency returns the request's place among those that wait at an endpoint:
// 0 is served first, leastUrgent last. Requests that are already late yield to
// those that can still meet their objective. resumed is true for streams that
// continue at another endpoint.
func (q *request) urgency(resumed bool) int {
	u := leastUrgent - q.priority()
	if q.levels > 1 {
		// The least urgent levels share a place, so that requests that are on time go before
		// those that are late.
		u = min(q.level, latePenalty-1)
	}
	late := q.route.LatencyObjective > 0 && q.priorWait+time.Since(q.started) > q.route.LatencyObjective
	switch {
	case resumed:
		u += resumePenalty
	case late:
		u += latePenalty
	case q.overShare:
		u += overSharePenalty
	}
	return min(u, leastUrgent)
}

// priority returns that of the client account, if it has one, else the route's.
func (q *request) priority() int {
	if q.account.Priority != nil {
		return *q.account.Priority
	}
	return q.route.Priority
}

// remaining returns the time left until the deadline.
func (q *request) remaining() time.Duration { return time.Until(q.deadline) }
