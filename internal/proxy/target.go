package proxy

import (
	"net/http"
	"strings"
)

// requestTarget is the target of a request as it is forwarded: byte for byte what the client sent, except that scheme and host of
// the absolute form are removed. Endpoints get the host in the Host header.
type requestTarget struct {
	raw  string
	path string // without the query, not decoded
}

// parseTarget returns the target of a request. It returns false if the target has no path, as in "OPTIONS *".
func parseTarget(r *http.Request) (requestTarget, bool) {
	raw := r.RequestURI
	if !strings.HasPrefix(raw, "/") {
		var ok bool
		if raw, ok = originForm(raw); !ok {
			return requestTarget{}, false
		}
	}
	path, _, _ := strings.Cut(raw, "?")
	return requestTarget{raw: raw, path: path}, true
}

// originForm removes scheme and host from an absolute target. It returns false if there is no scheme.
func originForm(raw string) (string, bool) {
	_, rest, found := strings.Cut(raw, "://")
	if !found {
		return "", false
	}
	end := strings.IndexAny(rest, "/?")
	switch {
	case end < 0:
		return "/", true
	case rest[end] == '?':
		return "/" + rest[end:], true
	}
	return rest[end:], true
}
