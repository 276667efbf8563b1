// Package endpoint is the client of an endpoint: a model engine or a
// plain service. It sends requests, probes load and controls expert maps.
package endpoint

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/samber/oops"

	"github.com/cicadareel/cicadareel/internal/http1"
	"github.com/cicadareel/cicadareel/pkg/bundle"
)

const (
	// probeTimeout bounds the request for one load report.
	probeTimeout = time.Second
	// maxIdleConnections bounds the idle connections to the endpoint.
	maxIdleConnections = 256
	// maxHeadBytes bounds the status line and the header fields of a response, together
	// with those of interim responses before it.
	maxHeadBytes = 64 << 10
	// maxProbeBytes bounds a load report.
	maxProbeBytes = 64 << 10
	// RequestIDHeader carries the request id.
	RequestIDHeader = "Cicadareel-Request-Id"
	// PriorityHeader carries the request's priority.
	PriorityHeader = "Cicadareel-Priority"
)

// Call is one HTTP request to the endpoint.
type Call struct {
	Method string
	// Host is the caller's Host header field; empty for the endpoint's address.
	Host string
	// Target is the path and query, escaped as the caller sent them; CanSend holds for it.
	Target string
	Header http.Header
	Body   []byte
	// Idempotent allows net/http to repeat the request on a broken connection.
	Idempotent bool
}

// CallError reports a call that got no response.
type CallError struct {
	// NeverSent is true if no byte was sent to the endpoint.
	NeverSent bool
	Cause     error
}

func (e *CallError) Error() string { return "endpoint call: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// Load is an endpoint's load report.
type Load struct {
	// Boot is an id that changes with each start of the endpoint; empty if not
	// reported.
	Boot string `json:"boot"`
	// Running is the number of requests at the endpoint.
	Running int `json:"running"`
	// Leaving is true once the endpoint has begun to shut down.
	Leaving bool `json:"leaving"`
}

// StatusError reports an endpoint's response with an unexpected HTTP status.
type StatusError struct{ Status int }

func (e *StatusError) Error() string {
	return "endpoint returned status " + http.StatusText(e.Status)
}

// Client sends HTTP requests to one endpoint.
type Client struct {
	address netip.AddrPort
	dial    DialFunc
	// pooled sends idempotent calls over kept-alive connections.
	pooled *http.Client
	// unpooled opens a connection for each call. The transport of net/http
	// silently repeats a request if a kept-alive connection broke, which must
	// not happen to a request that is not idempotent.
	unpooled *http.Client
}

// DialFunc opens a TCP connection to the endpoint.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client of the endpoint at the address.
func NewClient(at netip.AddrPort) *Client {
	var d net.Dialer
	return NewClientWithDialer(at, d.DialContext)
}

// NewClientWithDialer returns a client that opens its connections with dial.
func NewClientWithDialer(at netip.AddrPort, dial DialFunc) *Client {
	return &Client{
		address:  at,
		dial:     dial,
		pooled:   &http.Client{Transport: newTransport(dial, false), CheckRedirect: noRedirect},
		unpooled: &http.Client{Transport: newTransport(dial, true), CheckRedirect: noRedirect},
	}
}

func newTransport(dial DialFunc, unpooled bool) *http1.Transport {
	return http1.NewTransport(&http.Transport{
		DialContext:         dial,
		DisableKeepAlives:   unpooled,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConnections,

		MaxResponseHeaderBytes: maxHeadBytes,
	})
}

// noRedirect makes a client return redirects instead of following them.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Refuses reports whether the endpoint's machine refuses connections to its address, as
// it does when the endpoint has ended.
func (c *Client) Refuses(ctx context.Context) bool {
	conn, err := c.dial(ctx, "tcp", c.address.String())
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

// Do sends the call and returns the response, whose body the caller closes.
func (c *Client) Do(ctx context.Context, call Call) (*http.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	target, ok := requestURL(c.address, call.Target)
	if !ok {
		return nil, &CallError{NeverSent: true, Cause: &InvalidTargetError{Target: call.Target}}
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+c.address.String()+"/", newBody(call.Body))
	if err != nil {
		return nil, &CallError{NeverSent: true, Cause: err}
	}
	req.URL = target
	req.Host = call.Host
	req.Header = call.Header
	req.ContentLength = int64(len(call.Body))
	client := c.unpooled
	if call.Idempotent {
		client = c.pooled
	}
	resp, err := client.Transport.RoundTrip(req)
	if err != nil {
		return nil, &CallError{NeverSent: !connected.Load(), Cause: err}
	}
	return resp, nil
}

// Probe requests the load report of a model engine. Plain services have
// none; Probe checks their health instead.
func (c *Client) Probe(ctx context.Context, kind bundle.Kind) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	target := "/load"
	if kind == bundle.KindApplication {
		target = "/healthz"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address.String()+target, http.NoBody)
	if err != nil {
		return Load{}, oops.In("endpoint").Wrap(err)
	}
	resp, err := c.pooled.Do(req)
	if err != nil {
		return Load{}, oops.In("endpoint").Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxProbeBytes))
	if err != nil {
		return Load{}, oops.In("endpoint").Wrap(err)
	}
	return readProbe(resp.StatusCode, kind, content)
}

// readProbe decodes the response to a probe.
func readProbe(status int, kind bundle.Kind, content []byte) (Load, error) {
	if status == http.StatusServiceUnavailable && kind == bundle.KindApplication {
		return Load{Leaving: true}, nil
	}
	if status != http.StatusOK {
		return Load{}, &StatusError{Status: status}
	}
	load := Load{}
	if kind == bundle.KindModel {
		if err := json.Unmarshal(content, &load); err != nil {
			return Load{}, oops.In("endpoint").Wrap(err)
		}
	}
	return load, nil
}

// opaqueBody hides the type of its reader from net/http, so that net/http cannot
// rewind the body and repeat the request on its own.
type opaqueBody struct{ io.Reader }

func newBody(content []byte) io.Reader {
	if len(content) == 0 {
		return http.NoBody
	}
	return opaqueBody{Reader: &sliceReader{rest: content}}
}

// sliceReader reads from a slice of bytes.
type sliceReader struct{ rest []byte }

func (r *sliceReader) Read(p []byte) (int, error) {
	if len(r.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// isNeverSent reports whether a call failed before any byte of it was sent.
func isNeverSent(err error) bool {
	var call *CallError
	return errors.As(err, &call) && call.NeverSent
}
