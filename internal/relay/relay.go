// Package relay carries out on real sockets what package policy decides: it takes messages from clients, calls
// hosts, follows discovery's list, and keeps what it owes in a write-ahead log. It decides nothing itself.
//
// One goroutine, the loop, owns the decision module and the log. Everything that happens comes to it as an
// event, so that no send leaves on a decision older than what the loop has learned.
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
	eventRoom = 1024
	batchMost = 512 // events in a step

	// clockStart keeps the module's clock away from 0, which it takes for never.
	clockStart = time.Second

	// readyUnlisted is how long a process that knows no host waits to hear of some before it says that it is ready: discovery may
	// be away, and what is taken on is held until it tells.
	readyUnlisted = 3 * time.Second

	lastAnswers = 200 * time.Millisecond // for what came whole just before the end

	endingStep = 20 * time.Millisecond // how often a relay that ends looks whether anything is left
)

// The events of the loop, besides policy's own.
type (
	handIn struct {
		m     *wal.Message
		class *class
		reply chan answer // takes one without waiting
	}
	withdrawal struct{ id uint32 }
	callEnd    struct {
		c       *call
		results []result
	}
	cutOff    struct{ a *attempt }
	clearance struct {
		call  *call
		reply chan []*attempt
	}
	confirmed struct{ ids []uint32 } // their notices were taken
	nudge     struct{}               // asks for a step
	look      struct{}               // the same, to see whether anything is left
)

// message is a message that the relay has not done with.
type message struct {
	*wal.Message
	sends int  // as the module counts them
	out   int  // attempts without an outcome
	ended bool // the module has done with it

	again     bool // a further connection was told that it is taken on
	withdrawn bool // its client left before any answer

	found    bool // an earlier process took it on
	foundRan bool // and it may have run by then
	called   bool // a call of it has left in this process

	class   *class // nil: its terms are lost, and the strictest hold
	tally   *tally
	counted bool // its end is in the figures
}

// Relay is one relay.
type Relay struct {
	cfg    Config
	log    *slog.Logger
	hosts  *hosts
	finals *finals
	agent  *http.Client
	events chan any
	moves  chan string           // where discovery is now, if it moved
	wishes chan policy.EventKind // standby or active, the last that was asked for
	over   chan struct{}         // closed when the loop has ended
	idle   chan struct{}         // closed when the relay is stopping and nothing is left to wait for
	listed atomic.Bool           // it has recovered and holds a list
	served atomic.Bool           // clients are let in
	handed atomic.Bool           // another process has the relay,
	alone  atomic.Bool           // or had it, and is gone
	back   atomic.Bool           // the process is to start over
	ending atomic.Bool           // SIGTERM came
	does   atomic.Pointer[policy.ListenerState]
	calls  sync.WaitGroup
	entry  *door // nil until the relay serves

	figures figures
	names   atomic.Pointer[names]
	force   Config // the one that a new one is checked against; Reload's

	// Owned by the loop.
	callCtx context.Context
	started time.Time
	sender  *policy.Sender
	wal     *wal.Log
	lock    *wal.Lock    // nil while another process has the relay
	found   wal.Recovery // until it is taken up
	msgs    map[uint32]*message
	traces  map[string]*message
	routes  map[string]target
	held    int // messages that the module has not done with
	out     int // calls
	lastID  uint32
	wakeAt  time.Time      // zero: none asked for
	later   []policy.Event // for the next step
	full    bool           // the log took no new work last

	oddEntryAt time.Time // when an entry that cannot be read was logged last
	oddEntries int       // and how many came since

	recovered recovery // what this process found, and what came of it

	noSends, idled bool
	looking        bool // a look is to come

	live        map[*call]struct{} // calls of this process that are out
	lastCall    int
	listVersion int64              // of the list that the module was told last
	inherited   *inherits          // nil: this process replaces none that is still there
	hands       *handing           // nil: the relay is this process's
	letGo       context.CancelFunc // ends what only the process that decides does

	fleet    *fleetLink       // nil: this relay is of no fleet
	follows  int64            // the policy that it takes messages on under; -1: of a fleet, and none is known
	document *accord.Document // of that policy; nil: it has none
	base     Config           // the configuration without it
}

// target is what the relay keeps of a listed host.
type target struct {
	policy.Listing
	addr string
}

// New returns a relay that has read what an earlier process left in the log. With wal.ErrLocked that process is
// there still.
func New(cfg Config, log *slog.Logger) (*Relay, error) {
	lock, err := wal.Acquire(cfg.StateDir)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r, err := open(cfg, log, lock)
	if err != nil {
		return nil, errors.Join(err, lock.Release())
	}
	return r, nil
}

// open returns a relay that has read the log, whose lock is held.
func open(cfg Config, log *slog.Logger, lock *wal.Lock) (*Relay, error) {
	sender, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	w, recovered, err := wal.Open(cfg.StateDir, int64(cfg.Limits.DiskMB*1e6))
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{
		cfg: cfg, log: log, hosts: newHosts(cfg), agent: newAgentClient(),
		events: make(chan any, eventRoom), moves: make(chan string, 1), wishes: make(chan policy.EventKind, 1),
		over: make(chan struct{}), idle: make(chan struct{}),
		started: time.Now().Add(-clockStart), sender: sender, wal: w, lock: lock, live: map[*call]struct{}{},
		msgs: map[uint32]*message{}, traces: map[string]*message{}, routes: map[string]target{},
	}
	r.hosts.log = log
	if r.base = cfg; cfg.FleetAgent != "" {
		r.follows = -1
		if r.fleet, err = newFleetLink(cfg, log, func() { r.post(nudge{}) }); err != nil {
			return nil, errors.Join(fmt.Errorf("relay: fleet: %w", err), w.Close())
		}
	}
	r.finals = newFinals(log, r.agent, cfg.Discovery, func(ids []uint32) { r.post(confirmed{ids}) })
	r.found = recovered
	r.does.Store(&policy.ListenerState{Ready: true, KeepAlive: true, IdleTimeout: -1, Listen: true, Send: true})
	r.force = cfg
	if err := r.install(cfg); err != nil {
		return nil, errors.Join(fmt.Errorf("relay: %w", err), w.Close())
	}
	return r, nil
}

// Run serves until ctx ends, and then ends in order, as the module has it. With ErrBack the process is to start over.
func (r *Relay) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Join(err, r.leaveLog()) }()
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var parts sync.WaitGroup // all that work's end ends
	listener, err := r.listen()
	if err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	if err := r.startMgmt(work, &parts); err != nil {
		return errors.Join(err, listener.Close())
	}
	successors, err := listenLink(r.cfg.StateDir)
	if err != nil { // it can serve, if not be replaced without a gap
		r.log.Warn("no successor can take over", "err", err)
	}
	callCtx, stopCalls := context.WithCancel(context.Background())
	defer stopCalls()
	r.callCtx = callCtx
	deciding, letGo := context.WithCancel(work)
	r.letGo = letGo
	server := r.newServer()
	r.entry = newDoor(listener, r.log, shares(r.cfg.Limits.Sockets).clients)
	r.entry.follow(server)
	r.resume() // before clients are told that the relay is ready
	go r.loop(work)
	parts.Go(func() { r.finals.run(deciding) })
	if r.fleet != nil {
		parts.Go(func() { r.fleet.run(work) })
	}
	list := follower{
		watcher: watcher{log: r.log, client: r.agent, addr: r.cfg.Discovery, clock: clockOf(r.cfg.Settings),
			told: func(l List) { r.post(l) }, rng: rand.New(rand.NewPCG(r.cfg.Seed, 0))},
		version: r.cfg.Known.Version,
	}
	if len(r.cfg.Known.Entries) > 0 {
		list.before = list.clock.start
	}
	list.move(deciding, r.cfg.Discovery)
	parts.Go(func() { r.followMoves(deciding, &list) })
	if successors != nil {
		parts.Go(func() { r.await(deciding, successors) })
	}

	unlisted := time.AfterFunc(readyUnlisted, func() {
		if !r.listed.Swap(true) {
			r.log.Warn("ready without a list: discovery has told none", "discovery", r.cfg.Discovery)
		}
	})
	defer unlisted.Stop()
	served := make(chan error, 1)
	go func() { served <- server.Serve(r.entry) }()
	r.served.Store(true)
	r.log.Info("serving", "name", r.cfg.Name, "listen", listener.Addr().String(), "after", time.Since(r.started)-clockStart)
	err = r.wait(ctx, served)
	r.ending.Store(true)
	r.entry.finish(lastAnswers)
	server.Close() // connections on which no whole request came
	stopCalls()
	r.calls.Wait() // their outcomes reach the log
	stop()
	<-r.over
	parts.Wait()
	r.hosts.close()
	if r.back.Load() {
		err = errors.Join(err, ErrBack)
	}
	return err
}

// listen opens the clients' address, or goes on with the elder's listener.
func (r *Relay) listen() (net.Listener, error) {
	if r.inherited != nil {
		return r.inherited.listener, nil
	}
	return net.Listen("tcp", r.cfg.Listen)
}

// leaveLog closes the log, and lets another process have it.
func (r *Relay) leaveLog() error {
	if r.lock == nil {
		return nil // it is another's, and was left
	}
	return errors.Join(r.wal.Close(), r.lock.Release())
}

// startMgmt serves the management address, where the configuration has one, until ctx ends.
func (r *Relay) startMgmt(ctx context.Context, parts *sync.WaitGroup) error {
	if r.cfg.Mgmt == "" {
		return nil
	}
	l, err := net.Listen("tcp", r.cfg.Mgmt)
	if err != nil {
		return fmt.Errorf("relay: management address: %w", err)
	}
	g := &mgmt{listener: l, log: r.log, most: shares(r.cfg.Limits.Sockets).mgmt, answer: r.manage}
	parts.Go(func() { g.run(ctx) })
	return nil
}

// wait returns when the relay is to end: the module has ended it after ctx did, or the server failed.
func (r *Relay) wait(ctx context.Context, served <-chan error) error {
	told := ctx.Done()
	for {
		select {
		case <-told:
			told = nil
			r.ending.Store(true)
			r.post(policy.Ending)
		case err := <-served:
			if r.does.Load().Listen {
				return fmt.Errorf("relay: serve: %w", err)
			}
			served = nil // the listener is closed; connections that were let in are served still
		case <-r.idle:
			return nil
		}
	}
}

// ready tells whether clients are to be sent here. Where another process has the relay, that one is, and it has the
// same address.
func (r *Relay) ready() bool {
	if r.handed.Load() {
		return !r.alone.Load()
	}
	return r.listed.Load() && !r.ending.Load() && r.does.Load().Ready && (r.fleet == nil || r.fleet.ready())
}

// Reconfigure puts a checked configuration in force, and follows discovery to where it says.
func (r *Relay) Reconfigure(cfg Config) {
	r.post(reconfigured{cfg})
	for {
		select {
		case r.moves <- cfg.Discovery:
			return
		default:
		}
		select {
		case <-r.moves: // not taken up yet, and out of date
		default:
		}
	}
}

// followMoves follows discovery from address to address until ctx ends.
func (r *Relay) followMoves(ctx context.Context, list *follower) {
	defer list.end()
	at := list.addr
	for {
		select {
		case <-ctx.Done():
			return
		case addr := <-r.moves:
			if addr == at {
				continue
			}
			r.log.Info("discovery moved", "from", at, "to", addr)
			at = addr
			r.finals.move(addr)
			list.move(ctx, addr)
			r.agent.CloseIdleConnections() // those to the old address
		}
	}
}

// post hands an event to the loop; false if that has ended.
func (r *Relay) post(e any) bool {
	select {
	case r.events <- e:
		return true
	case <-r.over:
		return false
	}
}

func (r *Relay) now() time.Duration { return time.Since(r.started) }
