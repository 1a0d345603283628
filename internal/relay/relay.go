// Package relay carries out the decisions of package policy on real sockets: it accepts messages from clients, calls
// hosts, follows the host list of the discovery service, and keeps unfinished messages in a write-ahead log. It makes
// no delivery decisions itself.
//
// One goroutine, the event loop, owns the decision module (policy.Sender) and the log. Everything that happens reaches
// it as an event, so that no attempt starts from a decision that is older than what the loop knows.
//
// A message is submitted by a client. The relay delivers it by attempts; an attempt is the part of one message in a
// call, and a call is one HTTP request to a host. A message that cannot be delivered ends with a notice to the
// platform. A running process can hand the relay over to a successor process: see takeover.go.
package relay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"wallflow/internal/accord"
	"wallflow/internal/wal"
	"wallflow/policy"
)

const (
	eventQueueCapacity = 1024
	maxBatch           = 512 // events in a step

	// clockOffset is what the decision module's clock starts at: the module takes a time of 0 for "never".
	clockOffset = time.Second

	// listWaitTimeout is how long a process without a host list waits for one before it reports itself ready anyway.
	// Discovery may be down; accepted messages are held until a list arrives.
	listWaitTimeout = 3 * time.Second

	lastAnswersTimeout = 200 * time.Millisecond // time to answer requests that were complete just before the end

	idleCheckInterval = 20 * time.Millisecond // how often a relay that is stopping checks whether anything is left
)

// The events of the loop. It also receives policy.EventKind values, which are passed on as they are.
type (
	// submission is a message from a client.
	submission struct {
		msg   *wal.Message
		class *class
		reply chan answer // buffered for one answer
	}
	// withdrawal says that a client disconnected before its message was answered.
	withdrawal struct{ id uint32 }
	// callEnd carries the results of a finished call, one for each attempt.
	callEnd struct {
		call    *call
		results []result
	}
	// attemptTimeout says that one attempt timed out while its call goes on for other messages.
	attemptTimeout struct{ attempt *attempt }
	// clearanceRequest asks which attempts of a call that was held up may still be sent.
	clearanceRequest struct {
		call  *call
		reply chan []*attempt
	}
	noticesAccepted struct{ ids []uint32 } // messages whose final notices the platform confirmed
	stepRequest     struct{}               // asks for a step without an event of its own
	idleCheck       struct{}               // the same, scheduled by exitIfIdle
)

// message is a message that the relay has not finished with.
type message struct {
	*wal.Message
	sends    int  // attempts that the decision module has asked for
	inFlight int  // attempts without an outcome
	ended    bool // the decision module has finished with it

	resubmitted bool // a later connection was told that the message is accepted
	withdrawn   bool // its client disconnected before any answer

	recovered  bool // accepted by a previous process and found in the log
	mayHaveRun bool // a recovered message that a host may already have handled
	attempted  bool // this process has started an attempt

	class    *class // nil: its terms are lost, and the strictest apply
	counters *classCounters
	counted  bool // its end is in the metrics
}

// Relay accepts messages from clients and delivers them to hosts. Create it with Start or New, then call Run.
type Relay struct {
	cfg            Config
	log            *slog.Logger
	hosts          *hostPool
	notices        *noticeSender
	agentClient    *http.Client
	events         chan any
	discoveryMoves chan string           // new address of discovery
	dutyRequests   chan policy.EventKind // Standby or Active, whichever an operator requested last
	loopDone       chan struct{}         // closed when the loop has ended
	exit           chan struct{}         // closed when Run may return: nothing is left to wait for
	hasList        atomic.Bool           // it has a host list, or has waited long enough for one
	serving        atomic.Bool           // client connections are accepted
	handedOver     atomic.Bool           // a successor process took over the relay
	successorLost  atomic.Bool           // that successor process is gone
	restart        atomic.Bool           // Run returns ErrSuccessorGone
	ending         atomic.Bool           // SIGTERM was received, or Run is returning
	listenerState  atomic.Pointer[policy.ListenerState]
	runningCalls   sync.WaitGroup
	clients        *clientListener // nil until the relay serves

	metrics metrics
	names   atomic.Pointer[clientNames]
	inForce Config // the configuration that a new one is checked against; used by Reload alone

	// Owned by the loop.
	callCtx        context.Context
	clockZero      time.Time // zero of the decision module's clock
	sender         *policy.Sender
	wal            *wal.Log
	lock           *wal.Lock    // nil while another process has the relay
	walRecovery    wal.Recovery // what Open found in the log, until resume or inherit uses it
	msgs           map[uint32]*message
	byTrace        map[string]*message // by the client's id of the message, X-Trace-Id
	routes         map[string]listedHost
	held           int // messages that have not ended
	callsInFlight  int
	lastID         uint32
	wakeAt         time.Time      // when the decision module asked for a step; zero: not asked for
	deferredEvents []policy.Event // for the next step
	walFull        bool           // the log refused the last new message

	badEntryLoggedAt time.Time // when an unreadable host list entry was last logged
	badEntries       int       // unreadable entries since then

	recoveryCounts recoveryCounts // recovered messages and how they ended

	sendsStopped, exiting bool // no more attempts are started; exit is closed
	idleCheckPending      bool // an idleCheck event is scheduled

	liveCalls    map[*call]struct{} // calls of this process that are in flight
	lastCallID   int
	listVersion  int64              // of the last host list passed to the decision module
	predecessor  *predecessor       // the process that handed the relay over and still runs; nil: there is none
	forwarder    *forwarder         // set once a successor has taken over; nil: this process decides
	stopDeciding context.CancelFunc // stops the tasks of the deciding process: discovery, notices, waiting for successors

	fleet          *fleetClient     // nil: the relay does not belong to a fleet
	policyNumber   int64            // fleet policy under which messages are accepted; -1: not known yet
	policyDocument *accord.Document // of that policy; nil: it has none
	baseConfig     Config           // the configuration without the fleet policy
}

// listedHost is a host of discovery's list with its address.
type listedHost struct {
	policy.Listing
	addr string
}

// New returns a relay that has read what a previous process left in the log. It fails with wal.ErrLocked if that
// process is still running.
func New(cfg Config, log *slog.Logger) (*Relay, error) {
	lock, err := wal.Acquire(cfg.StateDir)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r, err := openRelay(cfg, log, lock)
	if err != nil {
		return nil, errors.Join(err, lock.Release())
	}
	return r, nil
}

// openRelay returns a relay that has read the log. The caller holds the log's lock.
func openRelay(cfg Config, log *slog.Logger, lock *wal.Lock) (*Relay, error) {
	sender, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	w, recovered, err := wal.Open(cfg.StateDir, int64(cfg.Limits.DiskMB*1e6))
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{
		cfg: cfg, log: log, hosts: newHostPool(cfg), agentClient: newAgentClient(),
		events: make(chan any, eventQueueCapacity), discoveryMoves: make(chan string, 1), dutyRequests: make(chan policy.EventKind, 1),
		loopDone: make(chan struct{}), exit: make(chan struct{}),
		clockZero: time.Now().Add(-clockOffset), sender: sender, wal: w, lock: lock, liveCalls: map[*call]struct{}{},
		msgs: map[uint32]*message{}, byTrace: map[string]*message{}, routes: map[string]listedHost{},
	}
	r.hosts.log = log
	if r.baseConfig = cfg; cfg.FleetAgent != "" {
		r.policyNumber = -1
		if r.fleet, err = newFleetClient(cfg, log, func() { r.post(stepRequest{}) }); err != nil {
			return nil, errors.Join(fmt.Errorf("relay: fleet: %w", err), w.Close())
		}
	}
	r.notices = newNoticeSender(log, r.agentClient, cfg.Discovery, func(ids []uint32) { r.post(noticesAccepted{ids}) })
	r.walRecovery = recovered
	r.listenerState.Store(&policy.ListenerState{Ready: true, KeepAlive: true, IdleTimeout: -1, Listen: true, Send: true})
	r.inForce = cfg
	if err := r.installClasses(cfg); err != nil {
		return nil, errors.Join(fmt.Errorf("relay: %w", err), w.Close())
	}
	return r, nil
}

// Run serves until ctx ends, and then shuts down in the stages that the decision module sets. It returns ErrSuccessorGone if the
// process has to start the relay again from the log.
func (r *Relay) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Join(err, r.closeLog()) }()
	workCtx, stop := context.WithCancel(context.Background())
	defer stop()
	var tasks sync.WaitGroup // goroutines that end with the work context
	listener, err := r.listen()
	if err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	if err := r.startMgmt(workCtx, &tasks); err != nil {
		return errors.Join(err, listener.Close())
	}
	successors, err := listenLink(r.cfg.StateDir)
	if err != nil { // it can serve, but a successor has to wait for it to exit
		r.log.Warn("no successor can take over", "err", err)
	}
	callCtx, stopCalls := context.WithCancel(context.Background())
	defer stopCalls()
	r.callCtx = callCtx
	decidingCtx, stopDeciding := context.WithCancel(workCtx)
	r.stopDeciding = stopDeciding
	server := r.newServer()
	r.clients = newClientListener(listener, r.log, connLimitsFor(r.cfg.Limits.Sockets).clients)
	r.clients.trackServer(server)
	r.resume() // before the health check reports the relay as ready
	go r.loop(workCtx)
	tasks.Go(func() { r.notices.run(decidingCtx) })
	if r.fleet != nil {
		tasks.Go(func() { r.fleet.run(workCtx) })
	}
	list := discoveryFollower{
		watcher: watcher{log: r.log, client: r.agentClient, addr: r.cfg.Discovery, timing: watchTimingFor(r.cfg.Settings),
			onList: func(l HostList) { r.post(l) }, rng: rand.New(rand.NewPCG(r.cfg.Seed, 0))},
		version: r.cfg.KnownHosts.Version,
	}
	if len(r.cfg.KnownHosts.Entries) > 0 {
		list.maxStartPause = list.timing.startPause
	}
	list.watchAt(decidingCtx, r.cfg.Discovery)
	tasks.Go(func() { r.followDiscovery(decidingCtx, &list) })
	if successors != nil {
		tasks.Go(func() { r.awaitSuccessors(decidingCtx, successors) })
	}

	listTimer := time.AfterFunc(listWaitTimeout, func() {
		if !r.hasList.Swap(true) {
			r.log.Warn("ready without a host list: discovery has sent none", "discovery", r.cfg.Discovery)
		}
	})
	defer listTimer.Stop()
	served := make(chan error, 1)
	go func() { served <- server.Serve(r.clients) }()
	r.serving.Store(true)
	r.log.Info("serving", "name", r.cfg.Name, "listen", listener.Addr().String(), "after", time.Since(r.clockZero)-clockOffset)
	err = r.waitForExit(ctx, served)
	r.ending.Store(true)
	r.clients.finish(lastAnswersTimeout)
	server.Close() // closes connections without a complete request
	stopCalls()
	r.runningCalls.Wait() // so that their outcomes reach the log
	stop()
	<-r.loopDone
	tasks.Wait()
	r.hosts.close()
	if r.restart.Load() {
		err = errors.Join(err, ErrSuccessorGone)
	}
	return err
}

// listen opens the address for clients, or returns the listener that the predecessor process handed over.
func (r *Relay) listen() (net.Listener, error) {
	if r.predecessor != nil {
		return r.predecessor.listener, nil
	}
	return net.Listen("tcp", r.cfg.Listen)
}

// closeLog closes the log and releases its lock for another process.
func (r *Relay) closeLog() error {
	if r.lock == nil {
		return nil // another process has it, and this one has closed its file already
	}
	return errors.Join(r.wal.Close(), r.lock.Release())
}

// startMgmt serves the management address until ctx ends, if the configuration has one.
func (r *Relay) startMgmt(ctx context.Context, tasks *sync.WaitGroup) error {
	if r.cfg.Mgmt == "" {
		return nil
	}
	l, err := net.Listen("tcp", r.cfg.Mgmt)
	if err != nil {
		return fmt.Errorf("relay: management address: %w", err)
	}
	m := &mgmtServer{listener: l, log: r.log, maxConns: connLimitsFor(r.cfg.Limits.Sockets).mgmt, answer: r.handleCommand}
	tasks.Go(func() { m.run(ctx) })
	return nil
}

// waitForExit returns when the relay has to stop: the shutdown that ctx's end started is complete, the relay exits for a
// restart, or the server failed.
func (r *Relay) waitForExit(ctx context.Context, served <-chan error) error {
	terminated := ctx.Done()
	for {
		select {
		case <-terminated:
			terminated = nil
			r.ending.Store(true)
			r.post(policy.Ending)
		case err := <-served:
			if r.listenerState.Load().Listen {
				return fmt.Errorf("relay: serve: %w", err)
			}
			served = nil // the listener was closed on purpose; open connections are still served
		case <-r.exit:
			return nil
		}
	}
}

// ready reports whether clients should be sent to this relay. After a handover the answer stands for the successor
// process, which listens at the same address.
func (r *Relay) ready() bool {
	if r.handedOver.Load() {
		return !r.successorLost.Load()
	}
	return r.hasList.Load() && !r.ending.Load() && r.listenerState.Load().Ready && (r.fleet == nil || r.fleet.ready())
}

// Reconfigure applies a checked configuration, including a new address of discovery.
func (r *Relay) Reconfigure(cfg Config) {
	r.post(reconfigured{cfg})
	for {
		select {
		case r.discoveryMoves <- cfg.Discovery:
			return
		default:
		}
		select {
		case <-r.discoveryMoves: // replace an address that has not been read yet
		default:
		}
	}
}

// followDiscovery moves the watch and the notices to each new address of discovery until ctx ends.
func (r *Relay) followDiscovery(ctx context.Context, list *discoveryFollower) {
	defer list.stopWatch()
	current := list.addr
	for {
		select {
		case <-ctx.Done():
			return
		case addr := <-r.discoveryMoves:
			if addr == current {
				continue
			}
			r.log.Info("discovery moved", "from", current, "to", addr)
			current = addr
			r.notices.setAddr(addr)
			list.watchAt(ctx, addr)
			r.agentClient.CloseIdleConnections() // to the old address
		}
	}
}

// post sends an event to the loop. It returns false if the loop has ended.
func (r *Relay) post(e any) bool {
	select {
	case r.events <- e:
		return true
	case <-r.loopDone:
		return false
	}
}

// now returns the time of the decision module's clock.
func (r *Relay) now() time.Duration { return time.Since(r.clockZero) }
