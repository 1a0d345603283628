package proxy

import (
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"wallflow/internal/config"
)

// laneLimits are the limits that a lane's connections have.
type laneLimits struct {
	headerBytes   int
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

func laneLimitsOf(limits config.Limits) laneLimits {
	wanted := laneLimits{
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

// lane is the library's server with the limits of one configuration. The library reads limits at any time, so they can't be
// changed in place: when they change, new connections go to a new lane.
type lane struct {
	limits laneLimits
	server *http.Server
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newLane(limits laneLimits, s *Server) *lane {
	l := &lane{limits: limits, conns: make(chan net.Conn), closed: make(chan struct{})}
	l.server = &http.Server{
		Handler:                      s,
		ReadHeaderTimeout:            limits.headerTimeout,
		IdleTimeout:                  limits.idleTimeout,
		MaxHeaderBytes:               limits.headerBytes,
		DisableGeneralOptionsHandler: true, // any path is the clients'
		ConnState:                    s.door.note,
		ConnContext:                  withClient,
		ErrorLog:                     slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug), // clients' errors, without bound
	}
	go l.server.Serve(l)
	return l
}

// serve hands a connection to the lane. False: the lane takes no more.
func (l *lane) serve(conn net.Conn) bool {
	select {
	case l.conns <- conn:
		return true
	case <-l.closed:
		return false
	}
}

// Accept hands the lane's next connection to the library.
func (l *lane) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *lane) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr is the library's.
func (l *lane) Addr() net.Addr { return &net.TCPAddr{} }
