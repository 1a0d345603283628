package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"wallflow/internal/socket"
)

const (
	// lingerTimeout bounds how long, and maxLingerBytes how much, is read from a connection that is being closed after a response
	// while the client still sends: closing it with unread bytes would reset it, and the client could lose the response.
	lingerTimeout  = 300 * time.Millisecond
	maxLingerBytes = 1 << 20
)

// client is a client connection. It tracks whether any part of an unanswered request was read, so that it is closed as idle only
// when no request is pending on it.
type client struct {
	net.Conn
	raw syscall.RawConn // nil if the connection is not a socket

	mu              sync.Mutex
	server          *timedServer // serves the connection; nil: none yet
	head            headLimit    // of the request that is being read
	state           http.ConnState
	stateSince      time.Time // when state was entered
	requestStarted  bool      // a part of the current request was read
	requestComplete bool      // the current request was read completely
	nextStarted     bool      // a part of the next request was read before the current response was complete
	responseStarted bool      // a part of a response was written
	expired         bool      // expireIfIdle has set a read deadline in the past
	resetOnClose    bool      // closing in order would make a partial response look complete
	readDeadline    time.Time // the read deadline that net/http has set
}

// clientContextKey is the context key for the client connection of a request.
type clientContextKey struct{}

// withClient is the http.Server ConnContext hook.
func withClient(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, clientContextKey{}, conn)
}

// clientOf returns the client connection of a request, or nil if the request did not come through a Server.
func clientOf(ctx context.Context) *client {
	c, _ := ctx.Value(clientContextKey{}).(*client)
	return c
}

// markRequestRead records that the request was read completely: further bytes belong to the next request.
func markRequestRead(ctx context.Context) {
	c := clientOf(ctx)
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestComplete = true
}

// markResponseAborted makes the connection of an HTTP/1.0 client end with a reset: without chunks the end of the connection is the
// end of a body without a length, and an orderly one would make the aborted response look complete.
func markResponseAborted(r *http.Request) {
	c := clientOf(r.Context())
	if c == nil || r.ProtoAtLeast(1, 1) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resetOnClose = c.responseStarted
}

// Read implements net.Conn. Bytes that arrive cancel the expiry of the connection. A request head that is too large ends it.
func (c *client) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.cancelExpiry() {
		n, err = c.Conn.Read(p)
	}
	if n > 0 && c.noteRead(n) {
		return 0, c.rejectHead()
	}
	return n, err
}

// cancelExpiry restores the read deadline if bytes of a request arrived while the connection was being expired.
func (c *client) cancelExpiry() bool {
	if !c.hasUnread() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.expired {
		return false
	}
	c.expired = false
	return c.Conn.SetReadDeadline(c.readDeadline) == nil
}

// noteRead records that bytes were read, and reports whether the request head has become too large.
func (c *client) noteRead(count int) (headTooLarge bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	headTooLarge = c.head.add(count)
	if c.requestComplete {
		c.nextStarted = true
	} else {
		c.requestStarted = true
	}
	if c.expired {
		c.expired = false
		c.Conn.SetReadDeadline(c.readDeadline)
	}
	return headTooLarge
}

// Write implements net.Conn. It records that a response has started.
func (c *client) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.responseStarted = true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// SetReadDeadline implements net.Conn for net/http. It does not extend the deadline of an expired connection.
func (c *client) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = at
	if c.expired {
		return nil
	}
	return c.Conn.SetReadDeadline(at)
}

// setState records the connection state that net/http reports.
func (c *client) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.stateSince = state, time.Now()
	if state == http.StateIdle {
		c.requestStarted, c.nextStarted, c.requestComplete = c.nextStarted, false, false
		c.head.reset()
	}
}

// idleSince reports whether no part of a pending request was read, and since when the connection has been in its state. A new
// connection counts as idle after newConnIdleTimeout.
func (c *client) idleSince(now time.Time) (idle bool, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.requestStarted || c.expired:
		return false, c.stateSince
	case c.state == http.StateIdle:
		return true, c.stateSince
	}
	return c.state == http.StateNew && now.Sub(c.stateSince) >= newConnIdleTimeout, c.stateSince
}

// expireIfIdle makes net/http close the connection if no part of a request has arrived, by setting a read deadline in the past.
// If bytes arrive at the same time, Read returns them and the request is served. It returns false if the connection is left alone.
func (c *client) expireIfIdle() bool {
	if c.hasUnread() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestStarted || c.expired || c.state == http.StateActive {
		return false
	}
	c.expired = true
	c.Conn.SetReadDeadline(time.Unix(1, 0))
	return true
}

// hasUnread reports whether bytes have arrived that were not read yet.
func (c *client) hasUnread() bool {
	return socket.Look(c.raw) == socket.Readable
}

// Close closes the connection. If it closes after a response while bytes are unread, it first closes the sending side and discards
// what still arrives, within bounds. An idle connection is closed at once: a request that arrives at that moment must not be read
// and discarded.
func (c *client) Close() error {
	c.mu.Lock()
	reset := c.resetOnClose
	linger := c.responseStarted && c.state == http.StateActive && !c.expired && !reset
	c.mu.Unlock()
	if lingerer, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok && reset {
		lingerer.SetLinger(0)
	}
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok && linger && c.hasUnread() && halfCloser.CloseWrite() == nil {
		c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		io.Copy(io.Discard, io.LimitReader(c.Conn, maxLingerBytes)) // the connection is closed whatever the result
	}
	return c.Conn.Close()
}

// CloseWrite closes the sending side if the connection supports that, so that the peer can still read the response.
func (c *client) CloseWrite() error {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return halfCloser.CloseWrite()
	}
	return nil
}
