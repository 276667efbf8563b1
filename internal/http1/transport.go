// Package http1 is the client side of HTTP/1.1. It adds to net/http what a gateway needs to
// tell a complete response from a broken one.
package http1

import (
	"context"
	"net"
	"net/http"
)

// NewTransport makes t report a response without a length as broken if its connection was
// reset, and returns t.
func NewTransport(t *http.Transport) http.RoundTripper {
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
	return t
}

// NewDefaultTransport returns a transport with the settings of http.DefaultTransport.
func NewDefaultTransport() http.RoundTripper {
	t, ok := http.DefaultTransport.(*http.Transport)
	if !ok {
		return NewTransport(&http.Transport{})
	}
	return NewTransport(t.Clone())
}
