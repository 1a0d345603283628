package proxy

import (
	"net/http"
	"strconv"
	"time"
)

const contentTypeJSON = "application/json"

// bufferedResponse is the complete response of an endpoint, held in memory.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// reject responds that the request is invalid.
func (e *exchange) reject(status int, text string) stepResult {
	e.server.counters.badRequest.Add(1)
	return e.writeError(status, text)
}

// refuse responds with 503, which promises that the request did not run and never will, and tells the client when to retry.
func (e *exchange) refuse(retryAfter time.Duration, text string) stepResult {
	e.server.counters.refused.Add(1)
	e.w.Header()[headerRetryAfter] = []string{formatSeconds(max(retryAfter, minRetryAfter))}
	return e.writeError(http.StatusServiceUnavailable, text)
}

// writeError responds with an error of the relay itself.
func (e *exchange) writeError(status int, text string) stepResult {
	body := append(strconv.AppendQuote([]byte(`{"error":`), text), '}')
	header := e.w.Header()
	header[headerContentType] = []string{contentTypeJSON}
	if id := e.r.Header[headerRequestID]; len(id) > 0 {
		header[headerRequestID] = id
	}
	return e.writeResponse(status, body)
}

// writeResponse writes a response with a complete body.
func (e *exchange) writeResponse(status int, body []byte) stepResult {
	e.announceClose()
	if status != http.StatusNoContent && status != http.StatusNotModified && e.r.Method != http.MethodHead {
		e.w.Header()[headerContentLength] = []string{strconv.Itoa(len(body))}
	}
	e.w.WriteHeader(status)
	if len(body) == 0 || e.r.Method == http.MethodHead {
		return responseSent
	}
	if _, err := e.w.Write(body); err != nil {
		return e.abort()
	}
	return responseSent
}

// writeBuffered forwards the complete response of an endpoint.
func (e *exchange) writeBuffered(buffered *bufferedResponse) stepResult {
	e.copyHeader(buffered.header)
	if length := buffered.header[headerContentLength]; e.r.Method == http.MethodHead && len(length) > 0 {
		e.w.Header()[headerContentLength] = length
	}
	return e.writeResponse(buffered.status, buffered.body)
}

// copyHeader copies an endpoint's headers to the response. A nil entry keeps net/http from adding a Date or Content-Type of its
// own.
func (e *exchange) copyHeader(from http.Header) {
	header := e.w.Header()
	copyForwardedHeaders(header, from)
	for _, name := range [...]string{headerDate, headerContentType} {
		if _, present := header[name]; !present {
			header[name] = nil
		}
	}
}

// announceClose tells the client that the connection closes after this response, while the relay drains and when the timeouts have
// changed since the connection was accepted.
func (e *exchange) announceClose() {
	c := clientOf(e.r.Context())
	if e.server.draining.Load() || c != nil && c.isSuperseded() {
		e.setConnectionClose()
	}
}

// setConnectionClose adds "Connection: close" to the response.
func (e *exchange) setConnectionClose() { e.w.Header()[headerConnection] = []string{"close"} }
