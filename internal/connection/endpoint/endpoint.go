// Package endpoint is the client of the model engine or plain service beside
// a sidecar.
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
	"net/url"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/cicadareel/cicadareel/pkg/bundle"
)

const (
	// probeTimeout bounds one load report.
	probeTimeout = time.Second
	// idleConnections bounds the idle connections to the endpoint.
	idleConnections = 256
	// RequestIDHeader carries the request id to the endpoint.
	RequestIDHeader = "Cicadareel-Request-Id"
	// PriorityHeader carries the priority to the endpoint.
	PriorityHeader = "Cicadareel-Priority"
)

// Call is one request to the endpoint.
type Call struct {
	Method string
	// Host is the host that the caller named; empty for the endpoint's own.
	Host       string
	Target     string
	Header     http.Header
	Body       []byte
	Idempotent bool
}

// CallError reports a call without a whole answer.
type CallError struct {
	// NeverSent is true if no byte reached the endpoint.
	NeverSent bool
	Cause     error
}

func (e *CallError) Error() string { return "endpoint call: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// Load is an endpoint's load report.
type Load struct {
	// Boot changes with each start of the endpoint; empty if not reported.
	Boot string `json:"boot"`
	// Running counts the requests at the endpoint.
	Running int `json:"running"`
	// Leaving is true once the endpoint began to shut down.
	Leaving bool `json:"leaving"`
}

// ProbeError reports a load report that could not be had.
type ProbeError struct{ Status int }

func (e *ProbeError) Error() string { return "endpoint probe: status " + http.StatusText(e.Status) }

// Client calls one endpoint.
type Client struct {
	address netip.AddrPort
	// reused serves idempotent calls over kept connections.
	reused *http.Client
	// single opens a connection for each call. The transport of net/http
	// silently repeats a request on a kept connection that broke, which must
	// not happen to a request that is not idempotent.
	single *http.Client
}

// DialFunc opens a TCP connection to the endpoint.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client of the endpoint at the address.
func NewClient(at netip.AddrPort) *Client {
	var d net.Dialer
	return NewClientWithDialer(at, d.DialContext)
}

// NewClientWithDialer returns a client on another network.
func NewClientWithDialer(at netip.AddrPort, connect DialFunc) *Client {
	return &Client{
		address: at,
		reused:  &http.Client{Transport: newTransport(connect, false), CheckRedirect: noRedirect},
		single:  &http.Client{Transport: newTransport(connect, true), CheckRedirect: noRedirect},
	}
}

func newTransport(connect DialFunc, single bool) *http.Transport {
	return &http.Transport{
		DialContext:         connect,
		DisableKeepAlives:   single,
		DisableCompression:  true,
		MaxIdleConnsPerHost: idleConnections,
	}
}

// noRedirect passes redirects through to the caller.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Do sends the call and returns the response, whose body the caller closes.
func (c *Client) Do(ctx context.Context, call Call) (*http.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+c.address.String()+call.Target, newBody(call.Body))
	if err != nil {
		return nil, &CallError{NeverSent: true, Cause: err}
	}
	// The target goes out as the caller wrote it, escapes and all.
	req.URL = &url.URL{Scheme: req.URL.Scheme, Host: req.URL.Host, Opaque: call.Target}
	req.Host = call.Host
	req.Header = call.Header
	req.ContentLength = int64(len(call.Body))
	client := c.single
	if call.Idempotent {
		client = c.reused
	}
	resp, err := client.Transport.RoundTrip(req)
	if err != nil {
		return nil, &CallError{NeverSent: !connected.Load(), Cause: err}
	}
	return resp, nil
}

// Probe asks for the load report. Plain services give none; being healthy is
// all that they say.
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
	resp, err := c.reused.Do(req)
	if err != nil {
		return Load{}, oops.In("endpoint").Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return Load{}, oops.In("endpoint").Wrap(err)
	}
	return readProbe(resp.StatusCode, kind, content)
}

func readProbe(status int, kind bundle.Kind, content []byte) (Load, error) {
	if status == http.StatusServiceUnavailable && kind == bundle.KindApplication {
		return Load{Leaving: true}, nil
	}
	if status != http.StatusOK {
		return Load{}, &ProbeError{Status: status}
	}
	load := Load{}
	if kind == bundle.KindModel {
		if err := json.Unmarshal(content, &load); err != nil {
			return Load{}, oops.In("endpoint").Wrap(err)
		}
	}
	return load, nil
}

// body hides the kind of reader from net/http, so that it cannot rewind and
// repeat the request on its own.
type body struct{ io.Reader }

func newBody(content []byte) io.Reader {
	if len(content) == 0 {
		return http.NoBody
	}
	return body{Reader: &sliceReader{rest: content}}
}

type sliceReader struct{ rest []byte }

func (r *sliceReader) Read(p []byte) (int, error) {
	if len(r.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// neverSent reports whether a call failed before a byte of it was sent.
func neverSent(err error) bool {
	var call *CallError
	return errors.As(err, &call) && call.NeverSent
}
