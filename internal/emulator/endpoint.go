package emulator

import (
	"cmp"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

// Options configure an emulated endpoint.
type Options struct {
	ID         string // instance ID, new for each start
	Backend    string // backend that the endpoint belongs to
	Listen     string // ip:port; port 0 picks any free port
	Zone       string
	Generation string
	HealthPath string
	MaxConns   int           // further connections are reset; 0: unlimited
	Warmup     time.Duration // time after the start during which the endpoint reports itself as cold
	ReportLag  time.Duration // age of the load that GET /report returns

	Engine        *EngineOptions      // nil: a plain service instead of an engine
	Model         string              // name of the model that the engine serves
	Version       int                 // version of the model's weights
	PlainService  PlainServiceOptions // slots and queue of a plain service
	ServiceTime   time.Duration       // processing time of one request of a plain service
	ResponseBytes int                 // response body size of a plain service

	ControlAddresses  []string      // addresses of the control processes; none: no heartbeats are sent
	HeartbeatInterval time.Duration // interval
	Log               *slog.Logger  // nil: no logging
}

const (
	defaultHealthPath   = "/healthz"
	defaultHeartbeat    = 1200 * time.Millisecond
	defaultReportLag    = 300 * time.Millisecond
	defaultServiceSlots = 6
	defaultServiceQueue = 12
	headerTimeout       = 5 * time.Second
	idleTimeout         = 30 * time.Second
)

func (o Options) withDefaults() Options {
	o.Listen = cmp.Or(o.Listen, "127.0.0.1:0")
	o.HealthPath = cmp.Or(o.HealthPath, defaultHealthPath)
	o.Generation = cmp.Or(o.Generation, "v1")
	o.Model = cmp.Or(o.Model, "m")
	o.Version = cmp.Or(o.Version, 1)
	o.ReportLag = cmp.Or(o.ReportLag, defaultReportLag)
	o.HeartbeatInterval = cmp.Or(o.HeartbeatInterval, defaultHeartbeat)
	o.PlainService.Slots = cmp.Or(o.PlainService.Slots, defaultServiceSlots)
	o.PlainService.Queue = cmp.Or(o.PlainService.Queue, defaultServiceQueue)
	if o.Engine != nil {
		engine := o.Engine.WithDefaults()
		o.Engine = &engine
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return o
}

// slots returns the number of requests that the endpoint runs at once.
func (o *Options) slots() int {
	if o.Engine != nil {
		return o.Engine.Slots
	}
	return o.PlainService.Slots
}

// Counts holds counters of requests since the endpoint started.
type Counts struct {
	Run         uint64 // requests that started to run
	Rejected    uint64 // rejected because all slots and the queue were full, or the request was too large
	Misdirected uint64 // rejected because they expected another instance or weights version
	Aborted     uint64 // ended by their deadline while running, or by a disconnected client
}

// Endpoint is an emulated endpoint that serves HTTP on a socket.
type Endpoint struct {
	options    Options
	driver     *driver
	listener   net.Listener
	server     *http.Server
	heartbeats *heartbeatSender
	startedAt  time.Time
	draining   atomic.Bool
	shutdownAt atomic.Pointer[time.Time] // set by DrainWithin; nil: no shutdown time is known

	runCount, rejectedCount, misdirectedCount, abortedCount atomic.Uint64
}

// Start starts an endpoint, which serves and sends heartbeats until Close.
func Start(options Options) (*Endpoint, error) {
	options = options.withDefaults()
	listener, err := net.Listen("tcp4", options.Listen)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	e := &Endpoint{options: options, listener: listener, startedAt: time.Now()}
	e.driver = newDriver(options.model(), options.ReportLag)
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	go e.serve()
	e.heartbeats = newHeartbeatSender(e)
	return e, nil
}

// model creates the model that runs the endpoint's requests.
func (o *Options) model() Model {
	if o.Engine != nil {
		return NewEngine(*o.Engine)
	}
	return NewPlainService(o.PlainService)
}

func (e *Endpoint) serve() {
	listener := e.listener
	if e.options.MaxConns > 0 {
		listener = &connLimitListener{Listener: listener, maxConns: int64(e.options.MaxConns)}
	}
	if err := e.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		e.options.Log.Error("emulated endpoint stopped", "id", e.options.ID, "error", err)
	}
}

// Address returns the ip:port on which the endpoint serves.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// ID returns the instance ID of the endpoint.
func (e *Endpoint) ID() string { return e.options.ID }

// Counts returns the current values of the endpoint's counters.
func (e *Endpoint) Counts() Counts {
	return Counts{
		Run:         e.runCount.Load(),
		Rejected:    e.rejectedCount.Load(),
		Misdirected: e.misdirectedCount.Load(),
		Aborted:     e.abortedCount.Load(),
	}
}

// Close stops the endpoint at once, as a crash would: it neither drains nor deregisters.
func (e *Endpoint) Close() {
	e.heartbeats.close()
	_ = e.server.Close() // requests in flight are aborted
	e.driver.close()
}

// remainingWarmup returns how much longer the endpoint reports itself as cold.
func (e *Endpoint) remainingWarmup() time.Duration {
	return max(0, e.options.Warmup-time.Since(e.startedAt))
}
