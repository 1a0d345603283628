package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is what is sent to an endpoint.
type Request struct {
	Method        string
	RequestTarget string // as it stands in the request line, byte for byte
	Host          string
	Header        http.Header // without those that concern one connection; Host and Content-Length are left out
	Body          []byte      // whole
	ID            string      // the answer must carry it in X-Request-Id
	GiveUpAt      time.Time   // the exchange fails with Silence then; the zero time: never
}

// The headers that the pool deals with.
const (
	headerRequestID     = "X-Request-Id"
	headerKeepAlive     = "Keep-Alive"
	headerHost          = "Host"
	headerContentLength = "Content-Length"
)

// announcesLength tells of the methods whose requests say how long their body is, even when it is empty.
func announcesLength(method string) bool {
	switch method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return true
	}
	return false
}

// appendHead appends the request's head, the empty line included.
func (r *Request) appendHead(out []byte) []byte {
	out = append(out, r.Method...)
	out = append(out, ' ')
	out = append(out, r.RequestTarget...)
	out = append(out, " HTTP/1.1\r\n"...)
	out = appendField(out, headerHost, r.Host)
	for name, values := range r.Header {
		if name == headerHost || name == headerContentLength {
			continue
		}
		for _, value := range values {
			out = appendField(out, name, value)
		}
	}
	if len(r.Body) > 0 || announcesLength(r.Method) {
		out = append(out, headerContentLength...)
		out = append(out, ": "...)
		out = strconv.AppendInt(out, int64(len(r.Body)), 10)
		out = append(out, "\r\n"...)
	}
	return append(out, "\r\n"...)
}

func appendField(out []byte, name, value string) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = append(out, value...)
	return append(out, "\r\n"...)
}

// valid tells whether the head would hold the request and nothing else: no line break or blank can end a part of it early.
func (r *Request) valid() bool {
	if !clean(r.Method) || !clean(r.RequestTarget) || r.Method == "" || r.RequestTarget == "" || !inLine(r.Host) {
		return false
	}
	for name, values := range r.Header {
		if !clean(name) {
			return false
		}
		for _, value := range values {
			if !inLine(value) {
				return false
			}
		}
	}
	return true
}

func clean(text string) bool { return !strings.ContainsAny(text, " \t\r\n\x00") }

func inLine(text string) bool { return !strings.ContainsAny(text, "\r\n\x00") }
