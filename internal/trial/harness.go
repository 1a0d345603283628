// Package trial runs system tests, called trials. It starts the real programs on loopback addresses, in folders of their
// own, surrounds them with fakes and faulty links, injects the faults of a plan, and checks the recorded history against
// the fleet's invariants.
//
// A trial ends in one of three ways: all invariants held, one was violated, or the trial could not be run as intended. A
// slow machine, a missing program or a plan with unknown targets belong to the third: they say nothing about the relays
// and never count as one of the two verdicts.
package trial

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io/fs"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"wallflow/internal/trial/check"
	"wallflow/internal/trial/fault"
	"wallflow/internal/trial/history"
	"wallflow/internal/trial/load"
	"wallflow/internal/trial/proc"
	"wallflow/internal/trial/report"
	"wallflow/internal/trial/stand"
	"wallflow/internal/units"
)

const (
	sampleInterval      = 250 * time.Millisecond
	progressInterval    = time.Second
	closeDelay          = 300 * time.Millisecond // until closed connections are gone at both ends
	maxConcurrentStarts = 12                     // relays that start at the same time
	lagInterval         = 2 * time.Millisecond
	lagThreshold        = 15 * time.Millisecond
	maxLag              = 400 * time.Millisecond // longest single delay
	maxLagShare         = 0.05                   // share of the trial's time with delays over lagThreshold
)

// Options are the parameters of a trial.
type Options struct {
	Load         *load.Load
	Seed         uint64
	LoadDuration time.Duration // length of the load
	Relay        string        // path of the relay program
	Program      string        // path of the wallflow program, for list servers and agents
	Dir          string        // for folders, logs and the history; empty: a temporary folder
	Plan         *Plan         // replaces the scenario's plan; may be nil
	Keeper       func() *exec.Cmd
	Log          *slog.Logger
	Progress     func(Progress) // called once a second; may be nil

	freeAddr func(host string) (addr string, err error) // replaces the function freeAddr in tests
}

// Progress describes the state of a running trial.
type Progress struct {
	Time      time.Duration
	Total     time.Duration
	Submitted int // messages submitted
	Finished  int // messages that have ended
	Running   int // relays that serve clients
	LastFault string
}

// Result is the result of a trial.
type Result struct {
	Scenario string
	Plan     *Plan
	Verdict  check.Verdict
	Metrics  report.Metrics
	Lag      Lag
	Dir      string // folder with the trial's files; empty: removed
}

// ErrNoVerdict means that a trial could not be run as intended and has no verdict.
var ErrNoVerdict = errors.New("not played")

// Harness is one running trial.
type Harness struct {
	opts        Options
	load        *load.Load
	recorder    *history.Recorder
	keeper      *proc.Keeper
	environment *stand.Environment
	relays      []*Relay
	links       map[string]*fault.Link // by name, such as n3>s-01a
	background  sync.WaitGroup         // goroutines of the trial

	listService  *listService // nil: the scenario has no list servers
	usesPolicy   bool         // relays follow the fleet policy
	linkRng      *rand.Rand
	clients      []*stand.Client
	relaysByName map[string]*Relay

	failureMu sync.Mutex
	failure   error // first failure of the harness itself

	mu              sync.Mutex
	listVersion     int64
	reachedEndpoint map[string]bool // by message id
	eventsScanned   int             // number of events that reachedEndpoint covers
}

// Run runs a scenario.
func Run(ctx context.Context, sc *Scenario, opts Options) (res *Result, err error) {
	if _, err := exec.LookPath(opts.Relay); err != nil {
		return nil, fmt.Errorf("%w: the relay's program: %w", ErrNoVerdict, err)
	}
	if _, err := exec.LookPath(opts.Program); sc.Lists > 0 && err != nil {
		return nil, fmt.Errorf("%w: the list servers' program: %w", ErrNoVerdict, err)
	}
	if opts.freeAddr == nil {
		opts.freeAddr = freeAddr
	}
	res = &Result{Scenario: sc.Name, Dir: opts.Dir}
	dir := opts.Dir
	h := &Harness{opts: opts, load: opts.Load, links: map[string]*fault.Link{}, relaysByName: map[string]*Relay{},
		reachedEndpoint: map[string]bool{}}
	if opts.Keeper != nil {
		if h.keeper, err = proc.StartKeeper(opts.Keeper()); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNoVerdict, err)
		}
		defer func() { err = errors.Join(err, h.keeper.Done()) }()
	}
	if dir == "" {
		if dir, err = os.MkdirTemp("", "wallflow-trial-"); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNoVerdict, err)
		}
		defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
		if h.keeper != nil {
			if err := h.keeper.AddFolder(dir); err != nil {
				return nil, fmt.Errorf("%w: %w", ErrNoVerdict, err)
			}
		}
	} else if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoVerdict, err)
	}
	file, err := os.OpenFile(filepath.Join(dir, "history.jsonl"), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if errors.Is(err, fs.ErrExist) {
		return nil, fmt.Errorf("%w: folder %s already contains a trial, and programs would continue from its files", ErrNoVerdict, dir)
	} else if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoVerdict, err)
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return res, h.runTrial(ctx, sc, res, dir, file)
}

// runTrial builds the fleet, runs load and plan, ends all processes, and checks the history.
func (h *Harness) runTrial(ctx context.Context, sc *Scenario, res *Result, dir string, file *os.File) (err error) {
	header := history.Header{Scenario: sc.Name, Load: h.load.Name, Seed: h.opts.Seed}
	for i := range h.load.Relays {
		header.Relays = append(header.Relays, fmt.Sprintf("n%d", i))
	}
	// The recorder's header needs the environment, and the callback of the environment needs the recorder.
	var recorder *history.Recorder
	h.usesPolicy = sc.Policy
	h.environment = stand.NewEnvironment(h.load, h.opts.Seed, h.opts.LoadDuration, func(p *stand.Partner) {
		recorder.Add(history.Event{Kind: history.Fault, Dest: p.Cell, Note: "fell over"})
	})
	defer h.environment.Close()
	header.Rules = historyRules(h.load, h.environment)
	h.recorder = history.NewRecorder(file, header)
	recorder = h.recorder
	h.environment.SetRecorder(h.recorder)
	defer func() { err = errors.Join(err, h.recorder.Flush()) }()
	ctx, stop := context.WithCancel(ctx)
	defer h.background.Wait()
	defer stop()
	lag := h.measureLag(ctx)
	defer h.closeLinks()
	defer h.endRelays()
	if err := h.build(ctx, dir); err != nil {
		return fmt.Errorf("%w: %w", ErrNoVerdict, err)
	}
	if sc.Lists > 0 {
		defer h.endLists()
		if err := h.buildLists(dir, sc.Lists, rand.New(rand.NewPCG(h.opts.Seed, 0x6c697374))); err != nil {
			return fmt.Errorf("%w: %w", ErrNoVerdict, err)
		}
	}
	plan := h.opts.Plan
	if plan == nil {
		plan = &Plan{Scenario: sc.Name, Load: h.load.Name, Seed: h.opts.Seed, For: units.Duration{Duration: h.opts.LoadDuration}}
		plan.Steps = sc.Steps(rand.New(rand.NewPCG(h.opts.Seed, seedFromName(sc.Name))), h, h.opts.LoadDuration)
	}
	res.Plan = plan
	if err := h.checkTargets(plan); err != nil {
		return fmt.Errorf("%w: %w", ErrNoVerdict, err)
	}
	if err := plan.Write(filepath.Join(dir, "plan.toml")); err != nil {
		return fmt.Errorf("%w: %w", ErrNoVerdict, err)
	}
	if h.listService != nil {
		if err := h.startLists(ctx); err != nil {
			return fmt.Errorf("%w: %w", ErrNoVerdict, err)
		}
	}
	if err := h.startRelays(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrNoVerdict, err)
	}
	h.sampleAll("before")
	cpuBefore := report.ProcessCPUTime()
	began := time.Now()
	h.recorder.Add(history.Event{Kind: history.Fault, Note: report.LoadBegins})
	err = h.runLoadAndPlan(ctx, plan, began)
	if cause := context.Cause(ctx); err == nil && cause != nil {
		err = cause
	}
	if err != nil {
		// A relay that crashes or does not start again violates an invariant; the trial has a verdict.
		if v := check.Check(header.Rules, h.recorder.Events()); ctx.Err() == nil && v.Violated(check.StaysUp) {
			res.Verdict, res.Metrics = v, report.Summarize(header, h.recorder.Events())
			return nil
		}
		return fmt.Errorf("%w: %w", ErrNoVerdict, err)
	}
	h.closeIdleConnections()
	h.sampleAll("after")
	if err := h.firstFailure(); err != nil {
		return fmt.Errorf("%w: %w", ErrNoVerdict, err)
	}
	res.Lag = lag.result()
	cpuUsed := report.ProcessCPUTime() - cpuBefore
	h.endRelays()
	if h.listService != nil {
		h.endLists()
	}
	events := h.recorder.Events()
	res.Verdict = check.Check(header.Rules, events)
	res.Metrics = report.Summarize(header, events)
	res.Metrics.HarnessCPU, res.Metrics.LagP99, res.Metrics.LagMax = cpuUsed.Seconds(), res.Lag.P99.Seconds(), res.Lag.Max.Seconds()
	if reason := res.Lag.excess(); reason != "" {
		return fmt.Errorf("%w: the machine is too slow: %s", ErrNoVerdict, reason)
	}
	return nil
}

// recordFailure records that the harness itself failed to do something. If a cut that did not happen went unnoticed,
// relays would look better than they are.
func (h *Harness) recordFailure(err error) {
	h.failureMu.Lock()
	defer h.failureMu.Unlock()
	if h.failure == nil {
		h.failure = err
	}
}

// firstFailure returns the first failure of the harness or of a link; nil if there was none.
func (h *Harness) firstFailure() error {
	for _, link := range h.links {
		if err := link.Err(); err != nil {
			return err
		}
	}
	h.failureMu.Lock()
	defer h.failureMu.Unlock()
	return h.failure
}

func seedFromName(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// historyRules returns the settings that the invariants depend on.
func historyRules(l *load.Load, w *stand.Environment) history.Rules {
	r := history.Rules{Classes: map[string]history.Class{}, Cells: map[string]int{}, Separate: map[string]bool{},
		DiskLimit: l.Relay.Disk.N, MemoryLimit: l.Relay.Memory.N, Descriptors: l.Relay.Sockets}
	for _, c := range l.Classes {
		r.Classes[c.Name] = history.Class{Unsafe: c.Effect == "unsafe", GroupAll: c.Group == "all" || c.Effect == "safe",
			Window: repeatWindow(c).Microseconds(), Target: c.Aim.Microseconds(), GiveUp: c.GiveUp.Microseconds(), Value: c.Worth,
			LateValue: c.LateWorth}
	}
	for _, p := range w.Partners {
		for _, e := range p.Endpoints {
			r.Cells[e.ID], r.Separate[e.ID] = e.Cell, e.Kind.Separate
		}
	}
	return r
}

// repeatWindow returns for how long repeats of a message of the class are harmless.
func repeatWindow(c load.Class) time.Duration {
	if c.Effect == "safe" {
		return 24 * time.Hour
	}
	return c.Window.Duration
}

// build creates agents, links, clients and folders. It starts no process.
func (h *Harness) build(ctx context.Context, dir string) error {
	rng := rand.New(rand.NewPCG(h.opts.Seed, 0x67726f756e64))
	// Each trial uses a part of the loopback range by its process id, so that parallel trials do not share addresses.
	octet := 1 + os.Getpid()%254
	for i := range h.load.Relays {
		r := &Relay{Name: fmt.Sprintf("n%d", i), Zone: h.load.Zones[i%len(h.load.Zones)], index: i, harness: h,
			dir:  filepath.Join(dir, fmt.Sprintf("n%d", i)),
			host: fmt.Sprintf("127.%d.%d.%d", 64+i/250, octet, 1+i%250), links: map[string]string{}}
		if err := os.MkdirAll(r.stateDir(), 0o700); err != nil {
			return err
		}
		var c *stand.Client
		a, err := stand.NewAgent(r.Name, h.recorder, h.load, rng.Uint64(), func(id, end string, retryAfter time.Duration) {
			c.HandleNotice(ctx, id, end, retryAfter)
		})
		if err != nil {
			return err
		}
		r.agent = a
		h.relays, h.relaysByName[r.Name] = append(h.relays, r), r
		c = stand.NewClient(r.Name, h.load, h.recorder, rng.Uint64(), r.addr, h.mayHaveRun)
		h.clients = append(h.clients, c)
		for _, p := range h.environment.Partners {
			for _, e := range p.Endpoints {
				span := h.load.Network.Cross
				if e.Zone == r.Zone {
					span = h.load.Network.Same
				}
				d := span.Low.Duration + time.Duration(rng.Float64()*float64(span.High.Duration-span.Low.Duration))
				direction := fault.Direction{Delay: d, Jitter: h.load.Network.Jitter.Of1}
				name := r.Name + ">" + e.ID
				k, err := fault.NewLink(name, "127.0.0.1", rng.Uint64(), fault.Faults{To: direction, From: direction}, e.Dial(r.Name))
				if err != nil {
					return err
				}
				h.links[name], r.links[e.ID] = k, k.Addr()
			}
		}
	}
	var endpoints []*stand.Endpoint
	for _, p := range h.environment.Partners {
		endpoints = append(endpoints, p.Endpoints...)
	}
	h.listVersion = 1
	for _, r := range h.relays {
		entries := make([]stand.Entry, len(endpoints))
		for i, e := range endpoints {
			entries[i] = r.entry(e, "ready")
		}
		r.agent.Receive(h.listVersion, entries...)
		r.agent.RecordInitialList()
	}
	return nil
}

// entry returns the list entry by which a relay reaches an endpoint.
func (r *Relay) entry(e *stand.Endpoint, state string) stand.Entry {
	return stand.Entry{ID: e.ID, Addr: r.links[e.ID], Zone: e.Zone, Kind: e.Kind.Name, Cell: e.Cell, State: state, Weight: e.Weight()}
}

// announceState changes an endpoint's state in the list. Each relay's agent learns of it after its own delay.
func (h *Harness) announceState(id, state string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listVersion++
	for _, r := range h.relays {
		r.agent.ReceiveLater(h.listVersion, r.entry(h.environment.Endpoint(id), state))
	}
}

func (h *Harness) relay(name string) *Relay { return h.relaysByName[name] }

// linksTo returns the links by which relays reach an endpoint.
func (h *Harness) linksTo(id string) (all []*fault.Link) {
	for _, r := range h.relays {
		all = append(all, h.links[r.Name+">"+id])
	}
	return all
}

// mayHaveRun reports whether the message with an id has reached an endpoint.
func (h *Harness) mayHaveRun(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	events := h.recorder.Events()
	for _, e := range events[h.eventsScanned:] {
		if e.Kind == history.Call {
			h.reachedEndpoint[e.ID] = true
		}
	}
	h.eventsScanned = len(events)
	return h.reachedEndpoint[id]
}

func (h *Harness) startRelays(ctx context.Context) error {
	slots := make(chan struct{}, maxConcurrentStarts)
	errs := make([]error, len(h.relays))
	var wg sync.WaitGroup
	for i, r := range h.relays {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			errs[i] = r.Start(ctx)
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

// endRelays kills all processes of relays, whatever state they are in.
func (h *Harness) endRelays() {
	for _, r := range h.relays {
		r.mu.Lock()
		all := append([]*relayProcess(nil), r.processes...)
		r.current = nil
		r.mu.Unlock()
		for _, l := range all {
			if l.Running() {
				h.recorder.Add(history.Event{Kind: history.ProcessState, Relay: r.Name, Incarnation: l.number, Note: history.Kill})
			}
			l.End()
		}
	}
}

func (h *Harness) closeLinks() {
	var wg sync.WaitGroup
	for _, k := range h.links {
		wg.Go(k.Close)
	}
	wg.Wait()
	for _, r := range h.relays {
		r.agent.Close()
	}
}

// runLoadAndPlan runs the load and the plan, and returns once both have finished and no message is unfinished.
func (h *Harness) runLoadAndPlan(ctx context.Context, plan *Plan, began time.Time) error {
	loading, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	sampling, stopSamples := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	watchers.Go(func() { h.sampleLoop(sampling) })
	watchers.Go(func() { h.progressLoop(sampling, began) })
	defer watchers.Wait()
	defer stopSamples()
	if h.listService != nil {
		h.startListUsers(ctx)
	}
	planned := make(chan error, 1)
	go func() { planned <- h.runPlan(ctx, plan, began) }()
	for _, a := range h.environment.Arrivals {
		if !sleepUntil(ctx, began.Add(a.At)) {
			break
		}
		h.clients[a.Relay].Submit(loading, a)
	}
	sleepUntil(ctx, began.Add(h.opts.LoadDuration))
	h.recorder.Add(history.Event{Kind: history.Fault, Note: report.LoadEnds})
	err := <-planned // runPlan returns after its steps, also if ctx is canceled
	if h.listService != nil {
		h.stopListUsers(ctx)
	}
	if h.usesPolicy {
		h.recordPolicyOutcomes(ctx)
	}
	unfinished := report.NewUnfinishedTracker()
	end := time.Now().Add(h.load.LongestGiveUp().Duration + 400*time.Millisecond)
	for ctx.Err() == nil && time.Now().Before(end) {
		if unfinished.Update(h.recorder.Events()) == 0 {
			break
		}
		sleep(ctx, 50*time.Millisecond)
	}
	stopLoad()
	for _, c := range h.clients {
		c.Wait()
	}
	if h.listService != nil {
		h.recordForwardedNotices(ctx)
	}
	return err
}

// closeIdleConnections resets the connections between relays and fakes, so that the final sample shows only what relays
// hold themselves.
func (h *Harness) closeIdleConnections() {
	for _, k := range h.links {
		k.Reset()
	}
	time.Sleep(closeDelay)
}

func (h *Harness) sampleAll(note string) {
	for _, r := range h.relays {
		r.sample(note)
	}
}

func (h *Harness) sampleLoop(ctx context.Context) {
	for sleep(ctx, sampleInterval) {
		h.sampleAll("")
	}
}

func (h *Harness) progressLoop(ctx context.Context, began time.Time) {
	if h.opts.Progress == nil {
		return
	}
	tracker := report.NewUnfinishedTracker()
	for sleep(ctx, progressInterval) {
		unfinished := tracker.Update(h.recorder.Events())
		p := Progress{Time: time.Since(began), Total: h.opts.LoadDuration, Submitted: tracker.Submitted, Finished: tracker.Submitted - unfinished,
			LastFault: tracker.LastFault}
		for _, r := range h.relays {
			if l := r.currentProcess(); l != nil && l.Running() && l.servingAddr() != "" {
				p.Running++
			}
		}
		h.opts.Progress(p)
	}
}
