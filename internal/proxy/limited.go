package proxy

import (
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"wallflow/internal/config"
)

// serverLimits are the limits that a server's connections have.
type serverLimits struct {
	headerBytes   int
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

func serverLimitsOf(limits config.Limits) serverLimits {
	wanted := serverLimits{
		headerBytes:   limits.MaxHeaderBytes,
		headerTimeout: fromMilliseconds(limits.HeaderTimeoutMs),
		idleTimeout:   fromMilliseconds(limits.IdleTimeoutMs),
	}
	if wanted.headerBytes <= 0 {
		wanted.headerBytes = defaultHeaderBytes
	}
	if wanted.headerTimeout <= 0 {
		wanted.headerTimeout = defaultHeaderTimeout
	}
	if wanted.idleTimeout <= 0 {
		wanted.idleTimeout = defaultIdleTimeout
	}
	return wanted
}

func fromMilliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

// limitedServer is the library's server with the limits of one configuration. The library reads limits at any time, so they can't be
// changed in place: when they change, new connections go to a new server.
type limitedServer struct {
	limits serverLimits
	server *http.Server
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newLimitedServer(limits serverLimits, s *Server) *limitedServer {
	l := &limitedServer{limits: limits, conns: make(chan net.Conn), closed: make(chan struct{})}
	l.server = &http.Server{
		Handler:                      s,
		ReadHeaderTimeout:            limits.headerTimeout,
		IdleTimeout:                  limits.idleTimeout,
		MaxHeaderBytes:               limits.headerBytes,
		DisableGeneralOptionsHandler: true, // any path is the clients'
		ConnState:                    s.acceptor.note,
		ConnContext:                  withClient,
		ErrorLog:                     slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug), // clients' errors, without bound
	}
	go l.server.Serve(l)
	return l
}

// serve hands a connection to the server. False: the server takes no more.
func (l *limitedServer) serve(conn net.Conn) bool {
	select {
	case l.conns <- conn:
		return true
	case <-l.closed:
		return false
	}
}

// Accept hands the server's next connection to the library.
func (l *limitedServer) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *limitedServer) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr is the library's.
func (l *limitedServer) Addr() net.Addr { return &net.TCPAddr{} }
