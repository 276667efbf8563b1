package caller

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/request/balancer"
	"github.com/cicadareel/cicadareel/internal/request/claim"
	"github.com/cicadareel/cicadareel/pkg/bundle"
)

// prefixBytes is the length of the start of a body that decides affinity.
const prefixBytes = 256

// anonymous is the client account of requests on routes that need no token.
var anonymous = &bundle.ClientAccount{Weight: 1}

// InvalidRequestError reports a request that never reaches an endpoint.
type InvalidRequestError struct {
	Reason outcome.Reason
	Detail string
}

func (e *InvalidRequestError) Error() string { return string(e.Reason) + ": " + e.Detail }

// request is a caller's request after all checks.
type request struct {
	id      string
	account *bundle.ClientAccount
	route   *bundle.Route
	group   *bundle.Group
	// version is that of the bundle that the request was checked against.
	version  uint64
	started  time.Time
	deadline time.Time
	// age is how long the caller has waited already, in earlier requests.
	age    time.Duration
	method string
	host   string
	target string
	// header holds the fields that are forwarded.
	header http.Header
	body   []byte
	// key is the claim's table key; empty without an idempotency key.
	key string
	// resumeAfter is the id of the last event that the caller has.
	resumeAfter uint64
}

// readRequest checks a request against the bundle and reads its body.
func readRequest(w http.ResponseWriter, r *http.Request, b *bundle.Bundle, d Dialect, now time.Time) (*request, error) {
	asked, err := d.ParseRequest(r)
	q := &request{id: asked.RequestID, version: b.Version, started: now, method: r.Method, host: r.Host, target: r.RequestURI}
	if err != nil {
		return q, err
	}
	if err := q.findRoute(b, r.URL.Path, asked.Token); err != nil {
		return q, err
	}
	q.deadline = now.Add(q.route.Timeout)
	if asked.Timeout > 0 {
		q.deadline = now.Add(min(asked.Timeout, q.route.Timeout))
		q.age = max(0, q.route.Timeout-asked.Timeout)
	}
	if q.body, err = readBody(w, r, q.route); err != nil {
		return q, err
	}
	q.header = forwardedHeader(r.Header, asked.PrivateHeaders)
	q.resumeAfter = asked.ResumeAfter
	if asked.IdempotencyKey != "" && !q.route.Idempotent {
		q.key = claim.Key(q.account.Name, asked.IdempotencyKey)
	}
	return q, nil
}

// findRoute sets route, account and group.
func (q *request) findRoute(b *bundle.Bundle, path, token string) error {
	q.route = b.Route(q.host, path)
	q.account = b.Account(token)
	if q.route != nil && q.route.Anonymous && q.account == nil {
		q.account = anonymous
	}
	if q.account == nil {
		return &InvalidRequestError{outcome.Unauthorized, "send a token of a client account"}
	}
	if q.route == nil {
		return &InvalidRequestError{outcome.NoRoute, "no route of the bundle matches this host and path"}
	}
	q.group = b.Group(q.route.GroupFor(rand.Float64()))
	if q.group == nil {
		return &InvalidRequestError{outcome.NoEndpoint, "the route leads to no group"}
	}
	return nil
}

func readBody(w http.ResponseWriter, r *http.Request, route *bundle.Route) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, route.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &InvalidRequestError{outcome.TooLarge, "the body exceeds the route's maxBodyBytes"}
	}
	if err != nil {
		return nil, &InvalidRequestError{outcome.Malformed, "the body could not be read whole"}
	}
	return body, nil
}

// dropped are the header fields that concern one connection only.
var dropped = map[string]bool{
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

// forwardedHeader copies the fields that concern the endpoint.
func forwardedHeader(h http.Header, private []string) http.Header {
	out := h.Clone()
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for name := range dropped {
		out.Del(name)
	}
	for _, name := range private {
		out.Del(name)
	}
	return out
}

// query prepares the choice of an endpoint. Model requests with the same start
// go to the same endpoint, whose prefix cache may hold it; where endpoints keep
// no prefixes, load alone decides.
func (q *request) query() *balancer.Query {
	c := &balancer.Query{}
	switch {
	case q.group.NoPrefixCache:
		c.LeastLoaded = true
	case q.group.Kind == bundle.KindModel && len(q.body) > 0:
		c.HasPrefix = true
		c.PrefixHash = balancer.HashPrefix(q.body[:min(len(q.body), prefixBytes)])
	}
	return c
}

const (
	// lateUrgency and brokenUrgency are added to the urgency of requests that
	// cannot meet their objective any more, and of streams to be continued.
	lateUrgency   = 4
	brokenUrgency = 2
	leastUrgent   = 9
)

// urgency orders the request among those that wait at an endpoint, 0 first.
// Requests that are late already make room for those that can still be on time.
func (q *request) urgency(continued bool) int {
	u := leastUrgent - q.priority()
	late := q.route.Objective > 0 && q.age+time.Since(q.started) > q.route.Objective
	switch {
	case continued:
		u += brokenUrgency
	case late:
		u += lateUrgency
	}
	return min(u, leastUrgent)
}

// priority is that of the client account, if it has one, else the route's.
func (q *request) priority() int {
	if q.account.Priority != nil {
		return *q.account.Priority
	}
	return q.route.Priority
}

func (q *request) remaining() time.Duration { return time.Until(q.deadline) }
