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
	does   atomic.Pointer[policy.Door]
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
	r.does.Store(&policy.Door{Ready: true, Keep: true, IdleFor: -1, Listen: true, Send: true})
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

// resume hands the module the known list and what an earlier process left, in one step.
func (r *Relay) resume() {
	if r.inherited != nil {
		r.resumeInherited()
		return
	}
	found := r.found
	r.found = wal.Recovery{}
	var evs []policy.Event
	if len(r.cfg.Known.Entries) > 0 {
		known := r.cfg.Known
		known.Full = true
		evs = append(evs, r.list(known))
	}
	if len(found.Doubts) > 0 {
		evs = append(evs, r.recalled(found.Doubts))
	}
	for _, w := range found.Messages {
		m := r.newMessage(w, r.classOf(w))
		m.sends = w.Attempts
		r.msgs[m.ID], r.traces[m.Trace] = m, m
		r.lastID = max(r.lastID, m.ID)
		switch {
		case w.Final != nil:
			m.ended, m.counted = true, true // by the process that decided it
			r.notify(m)
		case found.Damaged:
			// What it has sent may be missing from the log: nothing can be promised.
			m.ended = true
			m.count(failed)
			r.wal.Decide(w, wal.Final{})
			r.notify(m)
		default:
			r.held++
			m.found, m.foundRan = true, len(m.MayRun) > 0
			if r.recovered.found++; !m.foundRan {
				r.recovered.untried++
			}
			evs = append(evs, r.resumed(m))
		}
	}
	if found.Unreadable > 0 {
		r.log.Warn("a part of the journal was unreadable and is passed over", "bytes", found.Unreadable)
	}
	if len(found.Messages) > 0 || found.Damaged {
		r.log.Info("recovered", "messages", len(found.Messages), "owed_a_try", r.recovered.untried, "may_have_run",
			r.recovered.found-r.recovered.untried, "damaged", found.Damaged)
	}
	r.carryOut(r.sender.Step(r.now(), evs), nil)
}

// noteDoubts has the log know what the module knows of outages, for the next process.
func (r *Relay) noteDoubts() {
	var now []wal.Doubt
	for _, d := range r.sender.Doubts() {
		x := wal.Doubt{Host: d.Route, Slight: d.Slight}
		if d.Back > 0 {
			x.Back = time.Now().Add(-d.Back)
		}
		now = append(now, x)
	}
	r.wal.Doubt(now)
}

// recalled tells the module what the process before knew of outages.
func (r *Relay) recalled(found []wal.Doubt) policy.Event {
	e := policy.Event{Kind: policy.Recalled}
	for _, d := range found {
		x := policy.Doubt{Route: d.Host, Slight: d.Slight}
		if !d.Back.IsZero() {
			x.Back = max(1, time.Since(d.Back))
		}
		e.Doubts = append(e.Doubts, x)
	}
	return e
}

// newMessage is a message of a class, nil where its terms are lost.
func (r *Relay) newMessage(w *wal.Message, c *class) *message {
	m := &message{Message: w, class: c}
	if c != nil {
		m.tally = c.tally
	}
	return m
}

// resumed tells the module of a message of an earlier process, in the module's own time.
func (r *Relay) resumed(m *message) policy.Event {
	e := r.taken(m)
	e.Resumed = &policy.Resumed{Attempts: m.Attempts}
	if len(m.MayRun) > 0 {
		first := m.MayRun[0]
		e.Resumed.Ran, e.Resumed.RanZone = true, first.Zone
		e.Resumed.RanAgo = max(0, time.Since(first.At))
	}
	return e
}

func (r *Relay) taken(m *message) policy.Event {
	e := policy.Event{
		Kind: policy.Taken, ID: m.ID, Key: m.Order, Class: -1, Customer: m.Customer, Destination: m.Dest,
		Left: time.Until(m.Deadline),
	}
	if m.class != nil {
		e.Terms = &m.class.terms
	}
	return e
}

// loop is the one goroutine that decides. A step takes what has come in since the last one, no more often than
// the settings' tick: what comes together can then travel together.
func (r *Relay) loop(ctx context.Context) {
	defer close(r.over)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var batch []any
	var last time.Time
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			r.drain()
			return
		case e := <-r.events:
			batch = append(batch, e)
		case k := <-r.wishes:
			batch = append(batch, k)
		case <-timer.C:
		}
		if rest := r.cfg.Tick - time.Since(last); rest > 0 {
			time.Sleep(rest)
		}
	more:
		for len(batch) < batchMost {
			select {
			case e := <-r.events:
				batch = append(batch, e)
			default:
				break more
			}
		}
		last = time.Now()
		r.stepOrPass(batch)
		clear(batch)
		if !r.wakeAt.IsZero() {
			timer.Reset(time.Until(r.wakeAt))
		}
	}
}

// drain answers and notes what came before the end, without deciding anything more.
func (r *Relay) drain() {
	r.noSends = true
	for {
		select {
		case e := <-r.events:
			r.stepOrPass([]any{e})
		default:
			return
		}
	}
}

// stepOrPass is a step of the process that decides, or of one that is another's hands.
func (r *Relay) stepOrPass(batch []any) {
	if r.hands != nil {
		r.pass(batch)
		return
	}
	r.step(batch)
}

// step takes a batch of events to the module and carries out what it decides.
func (r *Relay) step(batch []any) {
	now := r.now()
	if !r.wakeAt.IsZero() && !time.Now().Before(r.wakeAt) {
		r.wakeAt = time.Time{}
	}
	evs := append([]policy.Event(nil), r.later...)
	r.later = r.later[:0]
	var asked []clearance
	var ins []*handIn
	var successor *handOver
	for _, e := range batch {
		switch e := e.(type) {
		case *handIn:
			ins = append(ins, e)
		case withdrawal:
			evs = r.clientLeft(evs, e.id)
		case *callEnd:
			evs = r.callEnded(evs, e)
		case cutOff:
			evs = r.attemptEnded(evs, e.a, result{outcome: policy.Timeout})
		case List:
			evs = append(evs, r.list(e))
		case clearance:
			asked = append(asked, e)
		case confirmed:
			for _, id := range e.ids {
				if m := r.msgs[id]; m != nil {
					r.wal.End(m.Message)
					r.retire(m)
				}
			}
		case linkFrame:
			evs, ins = r.fromElder(evs, ins, e.frame)
		case linkDown:
			evs = r.elderGone(evs)
		case *handOver:
			if successor != nil {
				successor.conn.Close()
				close(successor.done)
			}
			successor = e
		case look:
			r.looking = false
		case reconfigured:
			evs = append(evs, r.reconfigure(e.cfg)...)
		case policy.EventKind:
			evs = append(evs, policy.Event{Kind: e})
		}
	}
	evs = append(evs, r.turnPolicy()...)
	fresh := r.accept(ins)
	if !r.noSends {
		for _, in := range fresh {
			evs = append(evs, r.taken(r.msgs[in.m.ID]))
		}
		acts := r.sender.Step(now, evs)
		r.noteDoubts()
		r.carryOut(acts, fresh)
	} else {
		r.carryOut(nil, fresh)
	}
	for _, c := range asked {
		c.reply <- r.mayLeave(c.call)
	}
	r.figures.active.Store(int64(r.held))
	r.figures.poolSize.Store(int64(len(r.routes)))
	r.figures.poolEjected.Store(int64(r.sender.Avoided()))
	r.endIfIdle()
	if successor != nil {
		r.handRelayOver(successor)
	}
}

// endIfIdle tells Run where the module has ended the relay, or has closed its door and nothing is left to wait for.
func (r *Relay) endIfIdle() {
	does := r.does.Load()
	if r.idled || does.Listen && !does.Over {
		return
	}
	done := len(r.msgs) == 0 || !does.Send && r.out == 0
	if r.hands != nil { // it stays for the other's sake until it is told to end
		done = r.ending.Load() && r.out == 0 && len(r.hands.pending) == 0
	}
	if does.Over || done && r.entry.count() == 0 {
		r.idled = true
		close(r.idle)
		return
	}
	if !r.looking {
		r.looking = true
		time.AfterFunc(endingStep, func() { r.post(look{}) })
	}
}

// attend has the client side do what the module decided.
func (r *Relay) attend(does policy.Door) {
	r.log.Info("door", "ready", does.Ready, "keep", does.Keep, "listen", does.Listen, "send", does.Send, "over", does.Over)
	r.does.Store(&does)
	if r.entry != nil {
		r.entry.attend(does)
	}
}

// accept puts new messages in the log and returns those that the module is to be told of. The others have
// their answers.
func (r *Relay) accept(ins []*handIn) []*handIn {
	var fresh []*handIn
	var ms []*wal.Message
	// Under which policy is asked of the clock now: a process that stood still meanwhile must not go by what held before.
	takes := r.fleet == nil || r.fleet.takesUnder(r.follows, time.Now())
	for _, in := range ins {
		c := r.current(in.class)
		switch {
		case r.traces[in.m.Trace] != nil:
			in.reply <- r.handedInAgain(r.traces[in.m.Trace])
		case c == nil || r.cfg.Settings.MaxHeld > 0 && r.held >= r.cfg.Settings.MaxHeld:
			in.class.tally.count(handedBack)
			in.reply <- answer{status: http.StatusServiceUnavailable, again: policy.RetryAdvice}
		case !takes:
			in.class.tally.count(handedBack)
			in.reply <- answer{status: http.StatusServiceUnavailable, again: policy.RetryAdvice}
		default:
			r.lastID++
			in.m.ID, in.m.Terms, in.m.Policy = r.lastID, c.wal, max(0, r.follows)
			if r.fleet != nil {
				r.fleet.stamped(in.m.Policy)
			}
			m := r.newMessage(in.m, c)
			r.msgs[m.ID], r.traces[m.Trace] = m, m
			r.held++
			fresh, ms = append(fresh, in), append(ms, in.m)
		}
	}
	if len(ms) == 0 {
		return nil
	}
	if err := r.wal.Accept(ms...); err != nil {
		// A full disk is no reason to die: what is held goes on, new work is refused.
		if !r.full {
			r.log.Warn("refusing new messages", "err", err)
		}
		r.full = true
		for _, in := range fresh {
			r.held--
			delete(r.msgs, in.m.ID)
			delete(r.traces, in.m.Trace)
			in.class.tally.count(handedBack)
			in.reply <- answer{status: http.StatusServiceUnavailable, again: policy.RetryAdvice}
		}
		return nil
	}
	r.full = false
	return fresh
}

// handedInAgain answers a message that came once more under its id: its answer was lost on the way, or its
// connection was closed crosswise. From then on it is owed to the connection it came on last, whatever becomes
// of the one before.
func (r *Relay) handedInAgain(m *message) answer {
	if m.withdrawn {
		return answer{status: http.StatusServiceUnavailable, again: policy.RetryAdvice} // over, and an attempt of it still out
	}
	m.again = true
	return answer{status: http.StatusAccepted, policy: m.Policy}
}

// clientLeft ends a message whose client has left before its answer, unless it has come again meanwhile.
func (r *Relay) clientLeft(evs []policy.Event, id uint32) []policy.Event {
	m := r.msgs[id]
	if m == nil || m.again {
		return evs
	}
	m.withdrawn = true
	m.count(withdrawn)
	return r.withdraw(evs, id)
}

// withdraw ends a message that needs no further attempt.
func (r *Relay) withdraw(evs []policy.Event, id uint32) []policy.Event {
	m := r.msgs[id]
	if m == nil {
		return evs
	}
	r.done(m)
	r.wal.End(m.Message)
	r.retire(m)
	return append(evs, policy.Event{Kind: policy.Withdrawn, ID: id})
}

// callEnded takes the end of a call.
func (r *Relay) callEnded(evs []policy.Event, e *callEnd) []policy.Event {
	r.out--
	delete(r.live, e.c)
	for i, a := range e.c.attempts {
		evs = r.attemptEnded(evs, a, e.results[i])
	}
	return evs
}

// attemptEnded takes the outcome of an attempt: in the log, and for the module.
func (r *Relay) attemptEnded(evs []policy.Event, a *attempt, res result) []policy.Event {
	m := a.m
	ok := res.outcome == policy.OK
	if a.over {
		// It was cut off, and its call went on for others. A delivery still ends the message.
		if ok {
			m.count(delivered)
			evs = r.withdraw(evs, m.ID)
		}
		return evs
	}
	a.over = true
	if a.timer != nil {
		a.timer.Stop()
	}
	m.out--
	switch res.outcome {
	case policy.Full, policy.ConnectFailed, policy.Moot:
		r.wal.NeverRan(m.Message, a.n)
	}
	if ok || res.gone {
		if res.gone {
			m.count(failed)
		} else {
			m.count(delivered)
		}
		r.done(m)
		r.wal.End(m.Message)
	}
	r.retire(m)
	return append(evs, policy.Event{
		Kind: policy.Finished, ID: m.ID, Attempt: a.n, Route: a.route, Outcome: res.outcome, Took: time.Since(a.sent),
		Ended: ok || res.gone, Wait: res.wait, Report: res.report,
	})
}

// done books that the module has done with a message.
func (r *Relay) done(m *message) {
	if m.ended {
		return
	}
	m.ended = true
	r.held--
	if m.found {
		r.recovered.ended(m, time.Now())
		if r.recovered.left() == 0 {
			r.log.Info("recovered messages have ended", "counts", r.recovered)
		}
	}
}

// retire forgets a message for which nothing is owed and nothing is out.
func (r *Relay) retire(m *message) {
	if m.out == 0 && m.ended && !r.wal.Owes(m.Message) {
		delete(r.msgs, m.ID)
		if r.traces[m.Trace] == m {
			delete(r.traces, m.Trace)
		}
	}
}

// list takes a list of hosts, or changes to it. An entry that cannot be read is passed over; if it names a host
// that is known, that host stays as it was.
func (r *Relay) list(l List) policy.Event {
	e := policy.Event{Kind: policy.ListChanges}
	if l.Full {
		e.Kind = policy.ListWhole
	}
	routes := map[string]target{}
	for _, raw := range l.Entries {
		entry, addr, err := r.cfg.listing(raw)
		if err != nil {
			r.oddEntry(raw, err)
			if known, ok := r.routes[entry.Route]; ok {
				routes[entry.Route] = known
				e.List = append(e.List, known.Listing)
			}
			continue
		}
		e.List = append(e.List, entry)
		if entry.Gone {
			delete(r.routes, entry.Route)
		} else {
			routes[entry.Route] = target{entry, addr}
		}
	}
	if l.Full {
		r.routes = routes
	} else {
		for id, t := range routes {
			r.routes[id] = t
		}
	}
	if len(r.routes) > 0 {
		r.listed.Store(true)
	}
	r.listVersion = l.Version
	return e
}

// oddEntry says that an entry of a list cannot be read: once in a while, with how often that came.
func (r *Relay) oddEntry(raw []byte, err error) {
	r.oddEntries++
	if time.Since(r.oddEntryAt) < oddEvery {
		return
	}
	r.log.Warn("unreadable entry of the list", "entry", string(raw[:min(len(raw), 200)]), "err", err, "times", r.oddEntries)
	r.oddEntryAt, r.oddEntries = time.Now(), 0
}

// carryOut does what the module has decided: first in the log, in one write, then on the sockets.
func (r *Relay) carryOut(acts []policy.Action, fresh []*handIn) {
	answers := make(map[uint32]answer, len(fresh))
	for _, in := range fresh {
		answers[in.m.ID] = answer{status: http.StatusAccepted, policy: in.m.Policy}
	}
	var calls []*call
	var ended []*message
	for _, a := range acts {
		m := r.msgs[a.ID]
		switch a.Kind {
		case policy.Send:
			calls = r.addSend(calls, m, a)
		case policy.Refuse, policy.Fail:
			if m == nil || m.ended {
				continue
			}
			r.done(m)
			if a.Kind == policy.Refuse {
				m.count(handedBack)
			} else {
				m.count(failed)
			}
			if _, ok := answers[a.ID]; ok {
				answers[a.ID] = answer{status: http.StatusServiceUnavailable, again: a.Delay}
				if a.Kind == policy.Fail {
					answers[a.ID] = answer{status: http.StatusInternalServerError}
				}
				r.wal.End(m.Message)
				r.retire(m)
				continue
			}
			r.wal.Decide(m.Message, wal.Final{Deferred: a.Kind == policy.Refuse, Again: a.Delay})
			ended = append(ended, m)
		case policy.Wake:
			r.wakeAt = time.Now().Add(a.Delay) // the module keeps one wake in mind, the last that it asked for
		case policy.Attend:
			r.attend(a.Door)
		case policy.CloseIdle:
			r.hosts.closeIdle(r.routes[a.Route].addr)
		}
	}
	if err := r.record(calls); err != nil {
		r.log.Warn("log not written", "calls", len(calls), "err", err)
		// A send that is not in the log must not leave: after a restart it would be made again.
		r.giveBack(calls)
		calls = nil
	}
	for _, in := range fresh {
		in.reply <- answers[in.m.ID]
	}
	for _, m := range ended {
		r.notify(m)
	}
	for _, c := range calls {
		r.launch(c)
	}
}

// addSend puts a send into a call: those of one step to one route travel as one, up to what its kind allows.
func (r *Relay) addSend(calls []*call, m *message, a policy.Action) []*call {
	t := r.routes[a.Route]
	most := 1
	if t.Kind >= 0 && t.Kind < len(r.cfg.Settings.Kinds) {
		most = max(1, r.cfg.Settings.Kinds[t.Kind].PerCall)
	}
	var c *call
	size := itemSize(m)
	for _, x := range calls {
		// Bodies hold so much at most, and many small messages are no reason to have one large one turned away.
		if x.route == a.Route && len(x.attempts) < most && x.size+size <= bodyMost {
			c = x
		}
	}
	if c == nil {
		c = &call{route: a.Route, addr: t.addr, zone: t.Zone, sent: time.Now()}
		calls = append(calls, c)
	}
	until := r.started.Add(a.At)
	c.size += size
	if by := r.started.Add(a.Leave); a.Leave > 0 && (c.leaveBy.IsZero() || by.Before(c.leaveBy)) {
		c.leaveBy = by
	}
	c.attempts = append(c.attempts, &attempt{call: c, m: m, n: m.sends, until: until})
	m.sends++
	m.out++
	m.called = true
	if len(c.attempts) == 1 || until.After(c.until) == r.cfg.MayDuplicate {
		c.until = until // where a second copy may be out, the rest of a call outlasts one message's time-out
	}
	return calls
}

// record writes the sends of calls and all that was noted in this step. A call that has to wait for a connection is written
// once that is up: killed before, its messages have surely not run.
func (r *Relay) record(calls []*call) error {
	var going []*attempt
	for _, c := range calls {
		if r.hosts.rests(c.addr) {
			going = append(going, c.attempts...)
		}
	}
	return r.journal(going)
}

// journal writes sends that are not in the log yet, and all that was noted.
func (r *Relay) journal(going []*attempt) error {
	var sends []wal.Send
	for _, a := range going {
		if !a.journaled {
			sends = append(sends, wal.Send{
				Message: a.m.Message, Attempt: wal.Attempt{N: a.n, Host: a.route, Zone: a.zone, At: a.sent},
			})
		}
	}
	if len(sends) == 0 {
		return r.wal.Flush()
	}
	if err := r.wal.Sent(sends...); err != nil {
		return err
	}
	for _, a := range going {
		a.journaled = true
	}
	return nil
}

// giveBack ends calls that could not be recorded as never connected.
func (r *Relay) giveBack(calls []*call) {
	for _, c := range calls {
		for _, a := range c.attempts {
			r.later = r.attemptEnded(r.later, a, result{outcome: policy.ConnectFailed})
		}
	}
	// The module is told in a step of its own, soon, and not by its own wake, which must not be lost.
	time.AfterFunc(r.cfg.Tick, func() { r.post(nudge{}) })
}

// launch makes a call, away from the loop.
func (r *Relay) launch(c *call) {
	r.out++
	r.lastCall++
	c.id = r.lastCall
	r.live[c] = struct{}{}
	for _, a := range c.attempts {
		if a.until.Before(c.until) {
			a.timer = time.AfterFunc(time.Until(a.until), func() { r.post(cutOff{a}) })
		}
	}
	r.calls.Add(1)
	go func() {
		defer r.calls.Done()
		results := r.hosts.do(r.callCtx, c, r.clear)
		r.post(&callEnd{c, results})
	}()
}

// clear asks the loop which attempts of a call that was held up may leave.
func (r *Relay) clear(c *call) []*attempt {
	reply := make(chan []*attempt, 1)
	if !r.post(clearance{c, reply}) {
		return nil
	}
	select {
	case going := <-reply:
		return going
	case <-r.over:
		return nil
	}
}

// mayLeave asks the module for each of a call's messages: their terms differ, and so does what each has behind it.
func (r *Relay) mayLeave(c *call) []*attempt {
	var going []*attempt
	for _, a := range c.attempts {
		if !r.noSends && r.sender.MayStill(a.m.ID, c.route, r.now()) {
			going = append(going, a)
		}
	}
	if err := r.journal(going); err != nil {
		r.log.Warn("log not written", "calls", 1, "err", err)
		return nil
	}
	return going
}

// notify queues the notice that ends a message.
func (r *Relay) notify(m *message) {
	n := notice{id: m.ID, ID: m.Trace, Status: "undeliverable"}
	if m.Final.Deferred {
		n.Status, n.AgainMS = "deferred", m.Final.Again.Milliseconds()
	}
	r.finals.add(n)
}
