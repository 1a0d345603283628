package proxy

import (
	"net/http"
	"strings"
)

// requestTarget is the target of a request as it is sent on: byte for byte what the client sent, but for scheme and host of the
// absolute form, which an endpoint gets in Host.
type requestTarget struct {
	raw  string
	path string // up to the question mark, not decoded
}

// parseTarget finds the target of a request. False: the request names no path.
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

// originForm cuts scheme and host off an absolute target.
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
