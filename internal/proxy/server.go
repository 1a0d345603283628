package proxy

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"wallflow/internal/config"
	"wallflow/internal/registry"
	"wallflow/internal/upstream"
)

const (
	defaultBodyMemory = 64 << 20
	defaultMaxClients = 2400
	defaultGrace      = 8 * time.Second

	// Limits until the first configuration is received, and for those that it does not set.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second

	// sweepInterval is the time between two removals of expired idle connections to endpoints.
	sweepInterval = time.Second
)

// Options are the settings and dependencies of a Server.
type Options struct {
	Config   func() *config.Compiled // returns the current configuration, or nil if none has been received yet
	Chooser  Chooser
	Lock     sync.Locker                       // guards the Chooser, in this package and in its other users
	Pool     *upstream.Pool                    // connections to endpoints; closed by Server.Close
	IsReady  func() bool                       // whether clients should use this relay; nil: always
	IsLocal  func(*registry.Instance) bool     // whether an instance is in this relay's region; nil: all are
	MaxConns func(service *config.Backend) int // this relay's share of the connections to an endpoint; nil: service.MaxConns

	BodyMemory  int64            // bytes for all request bodies that exceed 16 KiB or have no length; 0: 64 MiB
	MaxClients  int              // maximum number of client connections; 0: 2,400
	GracePeriod time.Duration    // time from the stop signal to the end of the process; 0: 8 s
	Now         func() time.Time // nil: time.Now
	Log         *slog.Logger     // nil: no log
}

// withDefaults returns the options with defaults for those that are not set.
func (o Options) withDefaults() Options {
	if o.BodyMemory <= 0 {
		o.BodyMemory = defaultBodyMemory
	}
	if o.MaxClients <= 0 {
		o.MaxClients = defaultMaxClients
	}
	if o.GracePeriod <= 0 {
		o.GracePeriod = defaultGrace
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.IsLocal == nil {
		o.IsLocal = func(*registry.Instance) bool { return true }
	}
	if o.MaxConns == nil {
		o.MaxConns = func(service *config.Backend) int { return service.MaxConns }
	}
	return o
}

// Server accepts client requests and forwards them to endpoints. Use New to create one.
type Server struct {
	options     Options
	chooser     lockedChooser
	bodies      memoryBudget
	acceptor    *acceptor
	counters    counters
	causeCounts causeCounters
	warnings    warningLog

	mu                sync.Mutex
	active            *timedServer // gets new connections
	closingSuperseded bool         // closeSuperseded runs

	draining      atomic.Bool
	refuseWaiting chan struct{}             // closed when requests that still wait for an endpoint are to be refused
	drainDeadline atomic.Pointer[time.Time] // set while draining: latest deadline of any request
}

// New returns a server. It accepts connections once Serve is called.
func New(options Options) *Server {
	options = options.withDefaults()
	s := &Server{
		options:       options,
		chooser:       lockedChooser{lock: options.Lock, chooser: options.Chooser, now: options.Now},
		bodies:        memoryBudget{limit: options.BodyMemory},
		acceptor:      newAcceptor(options.MaxClients),
		warnings:      warningLog{log: options.Log},
		refuseWaiting: make(chan struct{}),
	}
	s.ApplyLimits(config.Limits{})
	return s
}

// Listen opens a TCP listener for clients.
func Listen(address string) (net.Listener, error) {
	var options net.ListenConfig
	options.SetMultipathTCP(false)
	listener, err := options.Listen(context.Background(), "tcp4", address)
	return listener, trace.ConvertSystemError(err)
}

// Serve accepts client connections until Drain or Close is called. It may be called once only.
func (s *Server) Serve(listener net.Listener) error {
	if !s.acceptor.setListener(listener) {
		return trace.Wrap(listener.Close())
	}
	stop := make(chan struct{})
	defer close(stop)
	go s.sweep(stop)
	for {
		conn, err := s.acceptor.accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return trace.Wrap(err)
		}
		s.dispatch(conn)
	}
}

// dispatch passes a connection to the http.Server with the current timeouts.
func (s *Server) dispatch(c *client) {
	for assigned := s.assign(c); !assigned.handOff(c); {
		next := s.assign(c)
		if next == assigned { // not replaced but closed: the Server is closing
			c.Close()
			return
		}
		assigned = next
	}
}

// sweep regularly removes expired idle connections to endpoints.
func (s *Server) sweep(stop <-chan struct{}) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.options.Pool.Sweep()
		case <-stop:
			return
		}
	}
}

// activeServer returns the server for new connections.
func (s *Server) activeServer() *timedServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// Close closes all connections at once. Unfinished requests get no response.
func (s *Server) Close() {
	s.acceptor.closeAll()
	s.activeServer().Close()
	s.options.Pool.Close()
}

// ServeHTTP implements http.Handler: it serves one client request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.counters.requests.Add(1)
	markHeadRead(r)
	e := exchange{server: s, w: w, r: r, arrived: s.options.Now()}
	defer e.release()
	result := e.serve()
	e.recordIfLate(result)
	if result == responseAborted {
		markResponseAborted(r)
		panic(http.ErrAbortHandler) // net/http closes the connection, so that the client sees that the response is incomplete
	}
}
