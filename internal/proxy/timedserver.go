package proxy

import (
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"wallflow/internal/config"
)

// clientTimeouts bound how long a client may take for a request head, and how long its connection may rest.
type clientTimeouts struct {
	header time.Duration
	idle   time.Duration
}

// clientTimeoutsFrom returns the configured timeouts, with defaults for those that are not set.
func clientTimeoutsFrom(limits config.Limits) clientTimeouts {
	result := clientTimeouts{
		header: fromMilliseconds(limits.HeaderTimeoutMs),
		idle:   fromMilliseconds(limits.IdleTimeoutMs),
	}
	if result.header <= 0 {
		result.header = defaultHeaderTimeout
	}
	if result.idle <= 0 {
		result.idle = defaultIdleTimeout
	}
	return result
}

// fromMilliseconds converts a number of milliseconds to a duration.
func fromMilliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

// timedServer is an http.Server with the timeouts of one configuration. net/http may read them at any time, so they cannot be changed in
// place: when they change, new connections go to a new server, and the others are closed; see ApplyLimits. It implements net.Listener
// for that http.Server.
type timedServer struct {
	timeouts   clientTimeouts
	server     *http.Server
	conns      chan net.Conn // accepted connections for server
	closed     chan struct{} // closed by Close
	closeOnce  sync.Once
	superseded atomic.Bool // the timeouts have changed since
}

// newTimedServer starts an http.Server that serves the connections passed to handOff.
func newTimedServer(timeouts clientTimeouts, s *Server) *timedServer {
	t := &timedServer{timeouts: timeouts, conns: make(chan net.Conn), closed: make(chan struct{})}
	t.server = &http.Server{
		Handler:                      s,
		ReadHeaderTimeout:            timeouts.header,
		IdleTimeout:                  timeouts.idle,
		MaxHeaderBytes:               unlimitedHeadBytes, // see headLimit
		DisableGeneralOptionsHandler: true,               // all paths belong to the clients
		ConnState:                    s.acceptor.connStateChanged,
		ConnContext:                  withClient,
		ErrorLog:                     slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug), // clients could flood the log
	}
	go t.server.Serve(t)
	return t
}

// handOff passes a connection to the http.Server. It returns false if the server no longer accepts connections.
func (t *timedServer) handOff(conn net.Conn) bool {
	select {
	case t.conns <- conn:
		return true
	case <-t.closed:
		return false
	}
}

// Accept implements net.Listener: it returns the next connection passed to handOff.
func (t *timedServer) Accept() (net.Conn, error) {
	select {
	case conn := <-t.conns:
		return conn, nil
	case <-t.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener: it ends Accept. Open connections are not affected.
func (t *timedServer) Close() error {
	t.closeOnce.Do(func() { close(t.closed) })
	return nil
}

// Addr implements net.Listener. The address is not used.
func (t *timedServer) Addr() net.Addr { return &net.TCPAddr{} }
