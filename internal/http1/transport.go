// Package http1 is the client side of HTTP/1.1. It adds to net/http what a gateway needs to
// tell a valid, complete response from a broken one.
package http1

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
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
	var used *conn
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*conn); ok {
			c.record()
			used = c
		}
	}})
	resp, err := t.inner.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := check(resp, used); err != nil {
		_ = resp.Body.Close()
		if used != nil {
			_ = used.Close()
		}
		return nil, err
	}
	return resp, nil
}

// check returns an *InvalidResponseError if the head of a response is not valid. used is nil
// if the connection has no conn at its end, but TLS.
func check(resp *http.Response, used *conn) error {
	if err := CheckHead(resp.StatusCode, resp.Header); err != nil || used == nil {
		return err
	}
	head := finalHead(used.takeReceived())
	if len(head) == 0 || !bytes.HasPrefix(head[0], []byte(resp.Proto+" ")) {
		return &InvalidResponseError{Problem: "received before its request was sent"}
	}
	return checkFraming(resp, head)
}
