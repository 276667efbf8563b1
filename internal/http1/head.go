package http1

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// lastStatus is the highest status code of HTTP (RFC 9110, section 15).
const lastStatus = 599

// InvalidResponseError reports a response that is not valid HTTP.
type InvalidResponseError struct{ Problem string }

func (e *InvalidResponseError) Error() string { return "invalid response: " + e.Problem }

// CheckHead returns an *InvalidResponseError if a final response must not have the status or
// one of the header fields (RFC 9110, section 5). 101 is not final, since a gateway asks for no
// other protocol.
func CheckHead(status int, h http.Header) error {
	if status < http.StatusOK || status > lastStatus {
		return &InvalidResponseError{Problem: fmt.Sprintf("invalid status %d", status)}
	}
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return &InvalidResponseError{Problem: fmt.Sprintf("invalid field name %q", name)}
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return &InvalidResponseError{Problem: fmt.Sprintf("invalid value %q of field %s", v, name)}
			}
		}
	}
	return nil
}
