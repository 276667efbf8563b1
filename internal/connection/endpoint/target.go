package endpoint

import (
	"net/netip"
	"net/url"
	"strings"
)

// InvalidTargetError reports a target that cannot be sent unchanged.
type InvalidTargetError struct{ Target string }

func (e *InvalidTargetError) Error() string { return "target cannot be sent unchanged: " + e.Target }

// CanSend reports whether Do sends the target, which is in origin form, unchanged.
func CanSend(target string) bool {
	_, ok := requestURL(netip.AddrPort{}, target)
	return ok
}

// requestURL returns the URL for which net/http sends the target to the endpoint unchanged,
// and false if there is none.
func requestURL(at netip.AddrPort, target string) (*url.URL, bool) {
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Scheme: "http", Host: at.String(), Opaque: target}, strings.HasPrefix(target, "/")
	}
	// An opaque target that begins with two slashes would be sent in absolute form. As a
	// path, it is sent unchanged if all that must be escaped is.
	path, query, hasQuery := strings.Cut(target, "?")
	decoded, err := url.PathUnescape(path)
	u := &url.URL{Scheme: "http", Host: at.String(), Path: decoded, RawPath: path, RawQuery: query, ForceQuery: hasQuery}
	return u, err == nil && u.RequestURI() == target
}
