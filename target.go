package waxwingseam

import (
	"net/http"
	"strings"

	"github.com/gravitational/trace"
)

// RequestTarget returns a request's target in the origin form of RFC 9112, section 3.2.1: the
// path and the query, byte for byte as the caller sent them. Nothing may decode and encode
// them anew, as net/url does: a route or a backend server would take the result for another
// path. Of a target in the absolute form, the scheme and the authority are left out.
func RequestTarget(r *http.Request) (string, error) {
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = withoutAuthority(target)
	}
	if !ValidTarget(target) {
		return "", trace.BadParameter("the request target %q is invalid", r.RequestURI)
	}
	return target, nil
}

// withoutAuthority returns a target of the absolute form without scheme and authority; empty
// for another form.
func withoutAuthority(target string) string {
	_, rest, ok := strings.Cut(target, "://")
	if !ok {
		return ""
	}
	rest = rest[strings.IndexAny(rest+"/", "/?"):]
	if !strings.HasPrefix(rest, "/") {
		return "/" + rest
	}
	return rest
}

// ValidTarget reports whether a target begins with a slash and can be written in a request
// line.
func ValidTarget(target string) bool {
	if !strings.HasPrefix(target, "/") {
		return false
	}
	for i := range len(target) {
		if target[i] <= ' ' || target[i] == 0x7f {
			return false
		}
	}
	return true
}

// TargetPath returns the path of a target, which is the part before the query.
func TargetPath(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}
