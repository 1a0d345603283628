package proxy

import (
	"fmt"
	"math"
	"net/http"
	"os"
	"sync/atomic"
)

const (
	// headReadAhead is how far beyond a request head net/http may read: the size of its buffer. Those bytes are not counted as a part
	// of the head.
	headReadAhead = 4 << 10
	// unlimitedHeadBytes leaves the limit on request heads to the connections.
	unlimitedHeadBytes = math.MaxInt32
)

// headLimit bounds the size of the request heads that are read from a connection. Unlike the limit of net/http, which holds for the life of
// a connection, it is always that of the newest configuration. It is guarded by the lock of the client.
type headLimit struct {
	maxBytes  *atomic.Int64 // of the newest configuration
	readBytes int64         // read since the last response
	complete  bool          // the head was read: what follows is the body
}

// add counts bytes that were read, and reports whether the head exceeds the limit.
func (h *headLimit) add(count int) (exceeded bool) {
	if h.complete || h.maxBytes == nil {
		return false
	}
	h.readBytes += int64(count)
	return h.readBytes > h.maxBytes.Load()+headReadAhead
}

// reset begins the head of the next request.
func (h *headLimit) reset() { h.readBytes, h.complete = 0, false }

// markHeadRead records that the head of a request was read.
func markHeadRead(r *http.Request) {
	c := clientOf(r.Context())
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.complete = true
}

// rejectHead responds that a request head is too large, as net/http would. The error makes net/http close the connection without a response
// of its own.
func (c *client) rejectHead() error {
	const status = http.StatusRequestHeaderFieldsTooLarge
	text := fmt.Sprintf("%d %s", status, http.StatusText(status))
	fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		text, len(text), text)
	return os.ErrDeadlineExceeded
}
