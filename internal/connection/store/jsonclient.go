package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
)

// UnavailableError reports a call to the platform that got no usable response.
// If the call was a write, it may have taken effect.
type UnavailableError struct {
	Call  string
	Cause error
}

func (e *UnavailableError) Error() string { return "platform " + e.Call + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// StatusError reports a response with an HTTP status other than 200.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// JSONClient sends HTTP requests with JSON bodies. It is safe for concurrent use.
type JSONClient struct{ http *http.Client }

// NewJSONClient returns a client that sends its requests through c.
func NewJSONClient(c *http.Client) JSONClient { return JSONClient{http: c} }

// Call sends one request. A *[]byte result receives the raw response body, any
// other non-nil result the decoded JSON. Errors are of type *UnavailableError. The
// header fields of the response are returned whatever its status; nil without one.
func (c JSONClient) Call(ctx context.Context, method string, at netip.AddrPort, target string, body []byte, result any) (http.Header, error) {
	header, content, err := c.roundTrip(ctx, method, at, target, body)
	if err == nil {
		err = decode(content, result)
	}
	if err != nil {
		return header, &UnavailableError{Call: target, Cause: err}
	}
	return header, nil
}

// roundTrip sends one request and returns the header fields and the body of the
// response. Any status other than 200 is an error.
func (c JSONClient) roundTrip(ctx context.Context, method string, at netip.AddrPort, target string, body []byte) (http.Header, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at.String()+target, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = &StatusError{Status: resp.StatusCode}
	}
	return resp.Header, content, err
}

// decode stores the response body in result: raw in a *[]byte, decoded otherwise.
func decode(content []byte, result any) error {
	switch r := result.(type) {
	case nil:
		return nil
	case *[]byte:
		*r = content
		return nil
	default:
		return json.Unmarshal(content, r)
	}
}
