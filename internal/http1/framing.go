package http1

import (
	"bytes"
	"net/http"
)

// checkFraming returns an *InvalidResponseError if a response says in contradictory ways where
// its body ends (RFC 9112, section 6). head has the lines of its head as they were received:
// net/http removes Content-Length beside chunks, and Transfer-Encoding in HTTP/1.0.
func checkFraming(resp *http.Response, head [][]byte) error {
	hasLength, hasEncoding := hasField(head, "Content-Length"), hasField(head, "Transfer-Encoding")
	switch {
	case resp.ProtoMajor != 1:
		return &InvalidResponseError{Problem: "version " + resp.Proto}
	case hasLength && hasEncoding:
		return &InvalidResponseError{Problem: "both Content-Length and Transfer-Encoding"}
	case hasEncoding && !resp.ProtoAtLeast(1, 1):
		return &InvalidResponseError{Problem: "Transfer-Encoding in " + resp.Proto}
	case resp.StatusCode == http.StatusNoContent && (hasEncoding || hasLength && resp.Header.Get("Content-Length") != "0"):
		return &InvalidResponseError{Problem: "a body with status 204"}
	}
	return nil
}

// hasField reports whether a head has a field with the name.
func hasField(head [][]byte, name string) bool {
	for _, line := range head {
		if n, _, found := bytes.Cut(line, []byte(":")); found && bytes.EqualFold(n, []byte(name)) {
			return true
		}
	}
	return false
}

// finalHead returns the lines of the first head that is not that of an interim response; nil if
// there is no complete one.
func finalHead(received []byte) [][]byte {
	head := [][]byte{}
	for {
		line, rest, found := bytes.Cut(received, []byte("\n"))
		if !found {
			return nil
		}
		received = rest
		line = bytes.TrimSuffix(line, []byte("\r"))
		switch {
		case len(line) > 0:
			head = append(head, line)
		case len(head) > 0 && isInterim(head[0]):
			head = head[:0]
		default:
			return head
		}
	}
}

// isInterim reports whether a status line is that of an interim response.
func isInterim(line []byte) bool {
	_, status, _ := bytes.Cut(line, []byte(" "))
	status = bytes.TrimLeft(status, " ")
	return bytes.HasPrefix(status, []byte("1")) && !bytes.HasPrefix(status, []byte("101"))
}
