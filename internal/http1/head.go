package http1

import (
	"fmt"
	"net/http"
)

// lastStatus is the highest status code of HTTP (RFC 9110, section 15).
const lastStatus = 599

// InvalidResponseError reports a response that is not valid HTTP.
type InvalidResponseError struct{ Problem string }

func (e *InvalidResponseError) Error() string { return "invalid response: " + e.Problem }

// CheckHead returns an *InvalidResponseError if a final response must not have the status.
// That includes 101, since a gateway asks for no other protocol.
func CheckHead(status int) error {
	if status < http.StatusOK || status > lastStatus {
		return &InvalidResponseError{Problem: fmt.Sprintf("invalid status %d", status)}
	}
	return nil
}
