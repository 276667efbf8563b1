package caller

import "strings"

// originForm returns the path and query of a request's target, escaped as the caller sent
// them. Callers may send the target with scheme and host before it, which the endpoint
// must not see: it is not the host of that name. A target without a path remains as it is
// and matches no route.
func originForm(target string) string {
	if strings.HasPrefix(target, "/") {
		return target
	}
	_, rest, _ := strings.Cut(target, ":")
	rest, absolute := strings.CutPrefix(rest, "//")
	if !absolute {
		return target
	}
	switch i := strings.IndexAny(rest, "/?"); {
	case i < 0:
		return "/"
	case rest[i] == '?':
		return "/" + rest[i:]
	default:
		return rest[i:]
	}
}
