package upstream

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Request is an HTTP request to an endpoint. It may be passed to Pool.Do several times, one after the other, and is then sent on another
// connection each time.
type Request struct {
	Method        string
	RequestTarget string // as in the request line, byte for byte
	Host          string
	Header        http.Header // without hop-by-hop headers; Host and Content-Length are ignored
	Body          []byte      // the complete body
	ID            string      // the response must have it in X-Request-Id
	Deadline      time.Time   // the exchange then fails with TimedOut; zero: no deadline

	sentOn []connectionNumber // the connections that were used for it
}

// wasSentOn reports whether a connection has carried this request, or as the last one a request with the same id. A delayed response to
// that attempt could be mistaken for the response to another one on the same connection, since they have the same id, however many
// other requests the connection has carried in between.
func (r *Request) wasSentOn(c *connection) bool {
	return r.ID != "" && (c.lastRequestID == r.ID || slices.Contains(r.sentOn, c.number))
}

// HTTP headers that the pool reads or sets.
const (
	headerRequestID     = "X-Request-Id"
	headerKeepAlive     = "Keep-Alive"
	headerHost          = "Host"
	headerContentLength = "Content-Length"
)

// sendsContentLength reports whether requests of a method have a Content-Length header even if the body is empty.
func sendsContentLength(method string) bool {
	switch method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return true
	}
	return false
}

// appendHead appends the head of the request, including the empty line that ends it.
func (r *Request) appendHead(dst []byte) []byte {
	dst = append(dst, r.Method...)
	dst = append(dst, ' ')
	dst = append(dst, r.RequestTarget...)
	dst = append(dst, " HTTP/1.1\r\n"...)
	dst = appendField(dst, headerHost, r.Host)
	for name, values := range r.Header {
		if name == headerHost || name == headerContentLength {
			continue
		}
		for _, value := range values {
			dst = appendField(dst, name, value)
		}
	}
	if len(r.Body) > 0 || sendsContentLength(r.Method) {
		dst = append(dst, headerContentLength...)
		dst = append(dst, ": "...)
		dst = strconv.AppendInt(dst, int64(len(r.Body)), 10)
		dst = append(dst, "\r\n"...)
	}
	return append(dst, "\r\n"...)
}

// appendField appends a header line.
func appendField(dst []byte, name, value string) []byte {
	dst = append(dst, name...)
	dst = append(dst, ": "...)
	dst = append(dst, value...)
	return append(dst, "\r\n"...)
}

// valid reports whether the head would contain this request only, so that no space or line break within one of its parts can inject
// a header or another request.
func (r *Request) valid() bool {
	if !hasNoWhitespace(r.Method) || !hasNoWhitespace(r.RequestTarget) || r.Method == "" || r.RequestTarget == "" ||
		!hasNoLineBreak(r.Host) {
		return false
	}
	for name, values := range r.Header {
		if !hasNoWhitespace(name) {
			return false
		}
		for _, value := range values {
			if !hasNoLineBreak(value) {
				return false
			}
		}
	}
	return true
}

// hasNoWhitespace reports whether text can be a part of the request line or the name of a header.
func hasNoWhitespace(text string) bool { return !strings.ContainsAny(text, " \t\r\n\x00") }

// hasNoLineBreak reports whether text can be the value of a header.
func hasNoLineBreak(text string) bool { return !strings.ContainsAny(text, "\r\n\x00") }
