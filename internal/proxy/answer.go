package proxy

import (
	"net/http"
	"strconv"
	"time"
)

const contentTypeJSON = "application/json"

// heldAnswer is a whole answer of an endpoint.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

// reject answers that a request isn't proper.
func (f *exchange) reject(status int, text string) ending {
	f.server.counters.badRequest.Add(1)
	return f.answerError(status, text)
}

// refuse promises that the request did not run and never will, and tells when to come back.
func (f *exchange) refuse(after time.Duration, text string) ending {
	f.server.counters.refused.Add(1)
	f.w.Header()[headerRetryAfter] = []string{seconds(max(after, retryAfterLeast))}
	return f.answerError(http.StatusServiceUnavailable, text)
}

// answerError answers with a status of our own.
func (f *exchange) answerError(status int, text string) ending {
	body := append(strconv.AppendQuote([]byte(`{"error":`), text), '}')
	header := f.w.Header()
	header[headerContentType] = []string{contentTypeJSON}
	if id := f.r.Header[headerRequestID]; len(id) > 0 {
		header[headerRequestID] = id
	}
	return f.write(status, body)
}

// write answers with a whole body.
func (f *exchange) write(status int, body []byte) ending {
	f.announceEnd()
	if status != http.StatusNoContent && status != http.StatusNotModified && f.r.Method != http.MethodHead {
		f.w.Header()[headerContentLength] = []string{strconv.Itoa(len(body))}
	}
	f.w.WriteHeader(status)
	if len(body) == 0 || f.r.Method == http.MethodHead {
		return answered
	}
	if _, err := f.w.Write(body); err != nil {
		return f.breakOff()
	}
	return answered
}

// passHeld passes an endpoint's whole answer on.
func (f *exchange) passHeld(held *heldAnswer) ending {
	f.copyHead(held.header)
	if length := held.header[headerContentLength]; f.r.Method == http.MethodHead && len(length) > 0 {
		f.w.Header()[headerContentLength] = length
	}
	return f.write(held.status, held.body)
}

// copyHead passes an endpoint's headers on, and keeps the library from adding its own.
func (f *exchange) copyHead(from http.Header) {
	header := f.w.Header()
	passed(header, from)
	for _, name := range [...]string{headerDate, headerContentType} {
		if _, there := header[name]; !there {
			header[name] = nil
		}
	}
}

// announceEnd tells the client, while the relay stops, that the connection ends with this answer.
func (f *exchange) announceEnd() {
	if f.server.draining.Load() {
		f.closeAfter()
	}
}

func (f *exchange) closeAfter() { f.w.Header()[headerConnection] = []string{"close"} }
