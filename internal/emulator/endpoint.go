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

// Options describe a stand-in endpoint.
type Options struct {
	ID         string // of this life
	Backend    string // its service
	Listen     string // ip:port; port 0 stands for any free one
	Zone       string
	Generation string
	HealthPath string
	MaxConns   int           // more are reset; 0: no bound
	Warmup     time.Duration // for which it says that it is cold
	ReportLag  time.Duration // how old its reports are

	Engine      *EngineOptions // nil: a plain service
	Model       string         // that the engine serves
	Version     int            // of the model's weights
	Shop        ShopOptions    // of a plain service
	Work        time.Duration  // of one request of a plain service
	AnswerBytes int            // of an answer of a plain service

	Control   []string // addresses that take heartbeats; none: it tells nobody of itself
	Heartbeat time.Duration
	Log       *slog.Logger // nil: nothing is logged
}

const (
	defaultHealthPath = "/healthz"
	defaultHeartbeat  = 1200 * time.Millisecond
	defaultReportLag  = 300 * time.Millisecond
	defaultShopSlots  = 6
	defaultShopQueue  = 12
	headerTimeout     = 5 * time.Second
	idleTimeout       = 30 * time.Second
)

func (o Options) withDefaults() Options {
	o.Listen = cmp.Or(o.Listen, "127.0.0.1:0")
	o.HealthPath = cmp.Or(o.HealthPath, defaultHealthPath)
	o.Generation = cmp.Or(o.Generation, "v1")
	o.Model = cmp.Or(o.Model, "m")
	o.Version = cmp.Or(o.Version, 1)
	o.ReportLag = cmp.Or(o.ReportLag, defaultReportLag)
	o.Heartbeat = cmp.Or(o.Heartbeat, defaultHeartbeat)
	o.Shop.Slots = cmp.Or(o.Shop.Slots, defaultShopSlots)
	o.Shop.Queue = cmp.Or(o.Shop.Queue, defaultShopQueue)
	if o.Engine != nil {
		engine := o.Engine.WithDefaults()
		o.Engine = &engine
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return o
}

// slots is how many requests the endpoint works on at once.
func (o *Options) slots() int {
	if o.Engine != nil {
		return o.Engine.Slots
	}
	return o.Shop.Slots
}

// Counts are what an endpoint has done since its start.
type Counts struct {
	Run         uint64 // requests that work was begun on
	Full        uint64 // sent away for want of a place
	Misdirected uint64 // meant for another endpoint or other weights
	Cut         uint64 // ended by their deadline, or by a caller that went away
}

// Endpoint is a stand-in endpoint that serves on a socket.
type Endpoint struct {
	options  Options
	driver   *driver
	listener net.Listener
	server   *http.Server
	beats    *heartbeats
	started  time.Time
	draining atomic.Bool
	ends     atomic.Pointer[time.Time] // set when it is taken away at short notice

	run, full, misdirected, cut atomic.Uint64
}

// Start opens an endpoint. It tells the control processes of itself from then on; Close ends it.
func Start(options Options) (*Endpoint, error) {
	options = options.withDefaults()
	listener, err := net.Listen("tcp4", options.Listen)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	e := &Endpoint{options: options, listener: listener, started: time.Now()}
	e.driver = newDriver(options.model(), options.ReportLag)
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	go e.serve()
	e.beats = newHeartbeats(e)
	return e, nil
}

// model builds what the endpoint works with.
func (o *Options) model() Model {
	if o.Engine != nil {
		return NewEngine(*o.Engine)
	}
	return NewShop(o.Shop)
}

func (e *Endpoint) serve() {
	listener := e.listener
	if e.options.MaxConns > 0 {
		listener = &boundedListener{Listener: listener, most: int64(e.options.MaxConns)}
	}
	if err := e.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		e.options.Log.Error("stand-in endpoint stopped", "id", e.options.ID, "error", err)
	}
}

// Address is where the endpoint serves.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// ID names this life of the endpoint.
func (e *Endpoint) ID() string { return e.options.ID }

// Counts returns what the endpoint has done.
func (e *Endpoint) Counts() Counts {
	return Counts{
		Run:         e.run.Load(),
		Full:        e.full.Load(),
		Misdirected: e.misdirected.Load(),
		Cut:         e.cut.Load(),
	}
}

// Close ends the endpoint at once, as a crash does.
func (e *Endpoint) Close() {
	e.beats.close()
	_ = e.server.Close() // what is under way breaks off
	e.driver.close()
}

// warmupLeft is how much longer the endpoint says that it is cold.
func (e *Endpoint) warmupLeft() time.Duration {
	return max(0, e.options.Warmup-time.Since(e.started))
}
