// Package http1 is the client side of HTTP/1.1. It adds to net/http what a gateway needs to
// tell a valid, complete response from a broken one.
package http1

import (
	"context"
	"net"
	"net/http"
)

// Transport is an http.RoundTripper that returns valid responses only. The body of a
// response that breaks off ends with an error.
type Transport struct{ inner *http.Transport }

// NewTransport returns a transport that sends its requests through t, which it changes.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(c), nil
	}
	return &Transport{inner: t}
}

// NewDefaultTransport returns a transport with the settings of http.DefaultTransport.
func NewDefaultTransport() *Transport {
	t, ok := http.DefaultTransport.(*http.Transport)
	if !ok {
		return NewTransport(&http.Transport{})
	}
	return NewTransport(t.Clone())
}

// RoundTrip implements http.RoundTripper. The error is an *InvalidResponseError if there is a
// response that is not valid; else it is that of net/http.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.inner.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp.StatusCode, resp.Header); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}
