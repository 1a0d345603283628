package proxy

import (
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"wallflow/internal/config"
)

// serverLimits are the limits of one http.Server.
type serverLimits struct {
	headerBytes   int
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

// serverLimitsFrom returns the configured limits, with defaults for those that are not set.
func serverLimitsFrom(limits config.Limits) serverLimits {
	result := serverLimits{
		headerBytes:   limits.MaxHeaderBytes,
		headerTimeout: fromMilliseconds(limits.HeaderTimeoutMs),
		idleTimeout:   fromMilliseconds(limits.IdleTimeoutMs),
	}
	if result.headerBytes <= 0 {
		result.headerBytes = defaultHeaderBytes
	}
	if result.headerTimeout <= 0 {
		result.headerTimeout = defaultHeaderTimeout
	}
	if result.idleTimeout <= 0 {
		result.idleTimeout = defaultIdleTimeout
	}
	return result
}

// fromMilliseconds converts a number of milliseconds to a duration.
func fromMilliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

// limitedServer is an http.Server with the limits of one configuration. net/http may read the limits at any time, so they cannot be
// changed in place: when they change, new connections go to a new server. It implements net.Listener for that http.Server.
type limitedServer struct {
	limits    serverLimits
	server    *http.Server
	conns     chan net.Conn // accepted connections for server
	closed    chan struct{} // closed by Close
	closeOnce sync.Once
}

// newLimitedServer starts an http.Server that serves the connections passed to handOff.
func newLimitedServer(limits serverLimits, s *Server) *limitedServer {
	l := &limitedServer{limits: limits, conns: make(chan net.Conn), closed: make(chan struct{})}
	l.server = &http.Server{
		Handler:                      s,
		ReadHeaderTimeout:            limits.headerTimeout,
		IdleTimeout:                  limits.idleTimeout,
		MaxHeaderBytes:               limits.headerBytes,
		DisableGeneralOptionsHandler: true, // all paths belong to the clients
		ConnState:                    s.acceptor.connStateChanged,
		ConnContext:                  withClient,
		ErrorLog:                     slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug), // clients could flood the log
	}
	go l.server.Serve(l)
	return l
}

// handOff passes a connection to the http.Server. It returns false if the server no longer accepts connections.
func (l *limitedServer) handOff(conn net.Conn) bool {
	select {
	case l.conns <- conn:
		return true
	case <-l.closed:
		return false
	}
}

// Accept implements net.Listener: it returns the next connection passed to handOff.
func (l *limitedServer) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener: it ends Accept. Open connections are not affected.
func (l *limitedServer) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener. The address is not used.
func (l *limitedServer) Addr() net.Addr { return &net.TCPAddr{} }
