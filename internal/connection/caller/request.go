package caller

import (
	"crypto/rand"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/request/choice"
	"github.com/cicadareel/cicadareel/internal/request/claim"
	"github.com/cicadareel/cicadareel/internal/request/outcome"
	"github.com/cicadareel/cicadareel/pkg/bundle"
)

const (
	// prefixBytes is the length of the start of a body that decides affinity.
	prefixBytes = 256
	// keyLimit bounds an idempotency key, in bytes.
	keyLimit = 256
)

// InvalidRequestError reports a request that never reaches an endpoint.
type InvalidRequestError struct {
	Reason outcome.Reason
	Detail string
}

func (e *InvalidRequestError) Error() string { return string(e.Reason) + ": " + e.Detail }

// request is a caller's request after all checks.
type request struct {
	id       string
	account  *bundle.ClientAccount
	route    *bundle.Route
	kind     bundle.Kind
	version  uint64
	deadline time.Time
	method   string
	target   string
	headers  []*wire.Header
	body     []byte
	// key is the claim's table key; empty without an idempotency key.
	key string
}

// readRequest checks a request against the bundle and reads its body.
func readRequest(w http.ResponseWriter, r *http.Request, b *bundle.Bundle, now time.Time) (*request, error) {
	account := b.Account(bearer(r))
	if account == nil {
		return nil, &InvalidRequestError{outcome.Unauthorized, "send Authorization: Bearer with a token of a client account"}
	}
	route := b.Route(r.URL.Path)
	if route == nil {
		return nil, &InvalidRequestError{outcome.NoRoute, "no route of the bundle matches this path"}
	}
	timeout, err := readTimeout(r, route)
	if err != nil {
		return nil, err
	}
	key := r.Header.Get(IdempotencyKeyHeader)
	if len(key) > keyLimit {
		return nil, &InvalidRequestError{outcome.Malformed, "Idempotency-Key is longer than 256 bytes"}
	}
	body, err := readBody(w, r, route)
	if err != nil {
		return nil, err
	}
	q := &request{
		id:       rand.Text(),
		account:  account,
		route:    route,
		kind:     b.Group(route.Group).Kind,
		version:  b.Version,
		deadline: now.Add(timeout),
		method:   r.Method,
		target:   r.URL.RequestURI(),
		headers:  forwardedHeaders(r.Header),
		body:     body,
	}
	if key != "" && !route.Idempotent {
		q.key = claim.Key(account.Name, key)
	}
	return q, nil
}

func bearer(r *http.Request) string {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return token
}

func readTimeout(r *http.Request, route *bundle.Route) (time.Duration, error) {
	text := r.Header.Get(TimeoutHeader)
	if text == "" {
		return route.Timeout, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 {
		return 0, &InvalidRequestError{outcome.Malformed, "Cicadareel-Timeout must be a positive duration such as 1.5s"}
	}
	return min(timeout, route.Timeout), nil
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

// dropped are the header fields that end at this hop or are not the
// endpoint's business.
var dropped = map[string]bool{
	"Authorization":       true,
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
	TimeoutHeader:         true,
	RequestIDHeader:       true,
}

func forwardedHeaders(h http.Header) []*wire.Header {
	named := map[string]bool{}
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	out := make([]*wire.Header, 0, len(h))
	for name, values := range h {
		if !dropped[name] && !named[name] {
			out = append(out, &wire.Header{Name: name, Values: values})
		}
	}
	return out
}

// query prepares the choice of an endpoint. Model requests with the same
// start go to the same endpoint, whose prefix cache may hold it.
func (q *request) query() *choice.Query {
	c := &choice.Query{}
	if q.kind == bundle.KindModel && len(q.body) > 0 {
		c.HasPrefix = true
		c.Prefix = choice.Prefix(q.body[:min(len(q.body), prefixBytes)])
	}
	return c
}

func (q *request) remaining() time.Duration { return time.Until(q.deadline) }
