package httpapi

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"

	"wallflow/internal/socket"
)

// connection is what is kept of an accepted connection in the contexts of its requests.
type connection struct {
	raw      syscall.RawConn // nil if the connection is not a socket
	answered atomic.Bool     // a request on it has been answered
}

// connectionKey is the context key for the connection of a request.
type connectionKey struct{}

func connectionOf(r *http.Request) *connection {
	c, _ := r.Context().Value(connectionKey{}).(*connection)
	return c
}

// connContext is the http.Server ConnContext hook.
func (o Options) connContext(ctx context.Context, conn net.Conn) context.Context {
	ctx = context.WithValue(ctx, connectionKey{}, &connection{raw: socket.Raw(conn)})
	if o.OnAccept != nil {
		ctx = o.OnAccept(ctx)
	}
	return ctx
}

// serveHTTP passes a request to the handler, and records that its connection has answered one.
func (o Options) serveHTTP(w http.ResponseWriter, r *http.Request) {
	if c := connectionOf(r); c != nil {
		defer c.answered.Store(true)
	}
	o.Handler.ServeHTTP(w, r)
}

// IsFirstOnConnection reports whether no earlier request on the connection of a request has been answered. It returns false for a request
// that did not come through a Server.
func IsFirstOnConnection(r *http.Request) bool {
	c := connectionOf(r)
	return c != nil && !c.answered.Load()
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
