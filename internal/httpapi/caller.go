package httpapi

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"

	"wallflow/internal/socket"
)

// connection is an accepted connection. It notes which requests were sent ahead of the answer to the one before (pipelining).
type connection struct {
	net.Conn
	raw syscall.RawConn // nil if the connection is not a socket

	mu              sync.Mutex
	answered        bool // a request was answered
	handling        bool // a request without a body is being handled
	readSinceAnswer bool // bytes were read since the last answer
	pipelined       bool // a request was sent ahead of the answer to the one before
}

// connectionKey is the context key for the connection of a request.
type connectionKey struct{}

func connectionOf(r *http.Request) *connection {
	c, _ := r.Context().Value(connectionKey{}).(*connection)
	return c
}

// trackedListener is a listener whose connections are of type *connection.
type trackedListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, raw: socket.Raw(conn)}, nil
}

// connContext is the http.Server ConnContext hook.
func (o Options) connContext(ctx context.Context, conn net.Conn) context.Context {
	ctx = context.WithValue(ctx, connectionKey{}, conn)
	if o.OnAccept != nil {
		ctx = o.OnAccept(ctx)
	}
	return ctx
}

// serveHTTP passes a request to the handler, and records what happens to its connection meanwhile.
func (o Options) serveHTTP(w http.ResponseWriter, r *http.Request) {
	if c := connectionOf(r); c != nil {
		c.begin(r.Body == http.NoBody)
		defer c.end()
	}
	o.Handler.ServeHTTP(w, r)
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.noteRead()
	}
	return n, err
}

// CloseWrite closes the sending side, so that the peer can still read the answer. net/http uses it.
func (c *connection) CloseWrite() error {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return halfCloser.CloseWrite()
	}
	return nil
}

// noteRead records that bytes were read. While a request without a body is handled, they belong to the next one.
func (c *connection) noteRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readSinceAnswer = true
	c.pipelined = c.pipelined || c.handling
}

// begin records that the handling of a request begins. If nothing was read since the last answer, the request was read before it.
func (c *connection) begin(withoutBody bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pipelined = c.pipelined || c.answered && !c.readSinceAnswer
	c.handling = withoutBody
}

// end records that a request has been handled, and that its answer is on its way.
func (c *connection) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered, c.handling, c.readSinceAnswer = true, false, false
}

// IsPipelined reports whether the request, or an earlier one on its connection, was sent ahead of the answer to the one before it. Other
// requests were sent after that answer.
func IsPipelined(r *http.Request) bool {
	c := connectionOf(r)
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pipelined
}

// CallerGone reports whether the caller of a request has disconnected, as far as the kernel knows at this moment. The context of the
// request says so only later: net/http cancels it in another goroutine, which may run after the handler. The difference matters after
// this process stood still, when requests wait in the sockets whose callers have disconnected long ago.
func CallerGone(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	c := connectionOf(r)
	return c != nil && socket.Look(c.raw) == socket.Closed
}
