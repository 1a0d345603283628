package trial

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"wallflow/internal/trial/history"
	"wallflow/internal/trial/load"
	"wallflow/internal/trial/proc"
	"wallflow/internal/trial/stand"
)

const (
	readyTimeout        = 10 * time.Second // a process that is not ready by then counts as failed
	readyPollInterval   = 5 * time.Millisecond
	requestTimeout      = 500 * time.Millisecond
	maxPortAttempts     = 5
	takeoverStepTimeout = 5 * time.Second
	shutdownTimeout     = 4 * time.Second // between SIGTERM and SIGKILL
)

// relayProcess is one process of a relay.
type relayProcess struct {
	*proc.Process
	number         int
	managementAddr string

	mu          sync.Mutex
	clientAddr  string // address for clients; empty until it serves
	lineWatches []lineWatch
}

// lineWatch waits for a line of a process's log.
type lineWatch struct {
	text string
	seen chan struct{}
}

// handleLine is called with each line of output.
func (l *relayProcess) handleLine(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if strings.Contains(line, "msg=serving ") || strings.Contains(line, " INFO serving ") {
		if _, rest, ok := strings.Cut(line, "listen="); ok {
			l.clientAddr, _, _ = strings.Cut(rest, " ")
		}
	}
	for i := 0; i < len(l.lineWatches); i++ {
		if strings.Contains(line, l.lineWatches[i].text) {
			close(l.lineWatches[i].seen)
			l.lineWatches = append(l.lineWatches[:i], l.lineWatches[i+1:]...)
			i--
		}
	}
}

// waitForLine returns a channel that is closed when a line that contains text appears.
func (l *relayProcess) waitForLine(text string) <-chan struct{} {
	seen := make(chan struct{})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lineWatches = append(l.lineWatches, lineWatch{text, seen})
	return seen
}

func (l *relayProcess) servingAddr() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clientAddr
}

// Relay is one relay of the trial. It keeps its name and folder over all its processes.
type Relay struct {
	Name         string
	Zone         string
	index        int
	harness      *Harness
	dir          string // configuration, state and logs
	host         string // loopback address of its machine
	agent        *stand.Agent
	agentProcess *agentProcess     // real agent in place of the fake one; nil: none
	links        map[string]string // address of the link to each endpoint

	mu          sync.Mutex
	processes   []*relayProcess
	current     *relayProcess // process that clients connect to; nil: none
	configCount uint64
}

// addr returns the address that clients connect to; empty if there is none.
func (r *Relay) addr() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == nil {
		return ""
	}
	return r.current.servingAddr()
}

// discoveryAddr returns the address that the relay gets its list from.
func (r *Relay) discoveryAddr() string {
	if r.agentProcess != nil {
		return r.agentProcess.link.Addr()
	}
	return r.agent.Addr()
}

func (r *Relay) stateDir() string { return filepath.Join(r.dir, "state") }

// configure writes the relay's configuration: the settings in the platform's form, and the list as the relay last knew
// it.
func (r *Relay) configure() error {
	r.configCount++
	config := map[string]any{
		"name": r.Name, "seed": fmt.Sprintf("%016x", r.harness.opts.Seed<<20+uint64(r.index)<<8+r.configCount), "discovery": r.discoveryAddr(),
		"limits": map[string]any{
			"cores": r.harness.load.Relay.Cores, "memory_mb": float64(r.harness.load.Relay.Memory.N) / 1e6, "sockets": r.harness.load.Relay.Sockets,
			"disk_mb": float64(r.harness.load.Relay.Disk.N) / 1e6,
		},
		"known": r.agent.RelayList(), "settings": relaySettings(r.harness.load),
	}
	if r.harness.usesPolicy {
		config["fleet"] = map[string]any{"agent": r.discoveryAddr()}
	}
	data, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return fmt.Errorf("%s: configuration: %w", r.Name, err)
	}
	path := filepath.Join(r.dir, "config.json")
	if err := os.WriteFile(path+".new", data, 0o600); err != nil {
		return fmt.Errorf("%s: %w", r.Name, err)
	}
	return os.Rename(path+".new", path)
}

// relaySettings returns the settings of the load's relays, in the platform's form.
func relaySettings(l *load.Load) map[string]any {
	kinds, perCall, separate := []string{}, []int{}, []bool{}
	var coldFrom float64
	for _, k := range l.Kinds {
		kinds, perCall, separate = append(kinds, k.Name), append(perCall, k.PerCall), append(separate, k.Separate)
		coldFrom = max(coldFrom, k.ColdFrom.Of1)
	}
	services, realms := []map[string]any{}, []map[string]any{}
	for _, c := range l.Classes {
		s := map[string]any{"name": c.Name, "goal_time_ms": c.Aim.Milliseconds(), "give_up_ms": c.GiveUp.Milliseconds(), "value": c.Worth}
		switch c.Effect {
		case "keyed":
			s["semantics"], s["group"], s["repeat_window_ms"] = "idempotency_key", c.Group, c.Window.Milliseconds()
		case "unsafe":
			s["semantics"] = "never_twice"
		case "safe":
			s["semantics"] = "read_like"
		}
		services = append(services, s)
	}
	for _, c := range l.Customers {
		realms = append(realms, map[string]any{"name": c.Name, "share": c.Share.Of1})
	}
	cold := l.Kinds[0].ColdFor.Milliseconds()
	return map[string]any{
		"fleet_size": l.Relays, "kinds": kinds, "zones": l.Zones, "tick_ms": float64(l.Relay.Tick.Microseconds()) / 1000,
		"weight_kind":     "nominal",
		"membership_mode": "push",
		"bounds": map[string]any{"cancel": true, "connect_timeout_ms": 1000, "keepalive_ms": l.Relay.KeepAlive.Milliseconds(),
			"max_retry_after_ms": 2000, "may_duplicate": false, "open_cap": l.Relay.MaxHeld, "retry_after": true, "send_cap": l.Relay.Attempts},
		"extra": map[string]any{"call_slots": l.Relay.Slots, "per_call": perCall, "separate_routes": separate},
		"rules": map[string]any{"cold_from": coldFrom, "fall_ms": stand.OverloadWindow.Milliseconds(),
			"overload_factor": stand.OverloadFactor, "warm_within_ms": cold},
		"services": services, "realms": realms, "stats": map[string]any{"how": "answers", "fields": []string{"x0", "x1"}},
	}
}

// startProcess starts a process of the relay without waiting for it.
func (r *Relay) startProcess(note string) (*relayProcess, error) {
	if err := r.configure(); err != nil {
		return nil, err
	}
	mgmt, err := r.harness.opts.freeAddr(r.host)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", r.Name, err)
	}
	r.mu.Lock()
	l := &relayProcess{number: len(r.processes) + 1, managementAddr: mgmt}
	r.mu.Unlock()
	env := []string{}
	for _, v := range os.Environ() {
		if !strings.HasPrefix(v, "ROUTER_") {
			env = append(env, v)
		}
	}
	env = append(env, "ROUTER_NAME="+r.Name, "ROUTER_LISTEN="+net.JoinHostPort(r.host, "0"), "ROUTER_DISCOVERY="+r.discoveryAddr(),
		"ROUTER_MGMT="+mgmt, "ROUTER_STATE="+r.stateDir(), "ROUTER_CONFIG="+filepath.Join(r.dir, "config.json"), "TMPDIR="+r.dir,
		panicOnInvariantEnv)
	r.harness.recorder.Add(history.Event{Kind: history.ProcessState, Relay: r.Name, Incarnation: l.number, Note: note})
	l.Process, err = proc.Start(proc.Spec{Path: r.harness.opts.Relay, Env: env, Dir: r.dir,
		Log: filepath.Join(r.dir, fmt.Sprintf("log.%d", l.number)), Line: l.handleLine},
		r.harness.keeper)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", r.Name, err)
	}
	r.mu.Lock()
	r.processes = append(r.processes, l)
	r.mu.Unlock()
	r.harness.background.Go(func() {
		<-l.Done()
		code, reason := l.Exit()
		r.harness.recorder.Add(history.Event{Kind: history.ProcessState, Relay: r.Name, Incarnation: l.number, Note: history.Ended,
			Status: code, State: reason})
	})
	return l, nil
}

// Start starts the relay and waits until it is ready. If another process has taken the chosen port in the meantime, it
// tries again with another port.
func (r *Relay) Start(ctx context.Context) error {
	var err error
	for range maxPortAttempts {
		var l *relayProcess
		if l, err = r.startProcess(history.Started); err != nil {
			return err
		}
		r.mu.Lock()
		r.current = l
		r.mu.Unlock()
		if err = r.waitReady(ctx, l); err == nil {
			r.harness.recorder.Add(history.Event{Kind: history.ProcessState, Relay: r.Name, Incarnation: l.number, Note: history.Ready})
			return nil
		}
		if l.Running() || !r.logHas(l, "address already in use") {
			break
		}
		r.harness.recorder.Add(history.Event{Kind: history.ProcessState, Relay: r.Name, Incarnation: l.number, Note: history.PortTaken})
	}
	return err
}

// logHas reports whether a process's log contains text.
func (r *Relay) logHas(l *relayProcess, text string) bool {
	data, err := os.ReadFile(filepath.Join(r.dir, fmt.Sprintf("log.%d", l.number)))
	return err == nil && strings.Contains(string(data), text)
}

// waitReady waits until a process serves clients.
func (r *Relay) waitReady(ctx context.Context, l *relayProcess) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		if addr := l.servingAddr(); addr != "" && healthy(ctx, addr) {
			return nil
		}
		select {
		case <-l.Done():
			code, reason := l.Exit()
			return fmt.Errorf("%s: process %d ended before it was ready: code %d, %s", r.Name, l.number, code, reason)
		case <-ctx.Done():
			return fmt.Errorf("%s: process %d is not ready after %v", r.Name, l.number, readyTimeout)
		case <-time.After(readyPollInterval):
		}
	}
}

var healthClient = &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

func healthy(ctx context.Context, addr string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/_health", nil)
	if err != nil {
		return false
	}
	res, err := healthClient.Do(req)
	if err != nil {
		return false
	}
	io.Copy(io.Discard, res.Body)
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// managementCall sends a command to the management address of a process and returns the answer.
func managementCall(addr, command string) (string, error) {
	c, err := net.DialTimeout("tcp", addr, requestTimeout)
	if err != nil {
		return "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(requestTimeout))
	if _, err := io.WriteString(c, command+"\n"); err != nil {
		return "", err
	}
	answer, err := io.ReadAll(c)
	return strings.TrimSpace(string(answer)), err
}

// currentProcess returns the process that clients connect to; nil if there is none.
func (r *Relay) currentProcess() *relayProcess {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

// signal records and sends a signal to a process.
func (r *Relay) signal(l *relayProcess, s syscall.Signal, note string) error {
	if l == nil || !l.Running() {
		return nil
	}
	r.harness.recorder.Add(history.Event{Kind: history.ProcessState, Relay: r.Name, Incarnation: l.number, Note: note})
	return l.Signal(s)
}

// Kill kills all processes of the relay.
func (r *Relay) Kill() error {
	r.mu.Lock()
	all := append([]*relayProcess(nil), r.processes...)
	r.current = nil
	r.mu.Unlock()
	var errs []error
	for _, l := range all {
		errs = append(errs, r.signal(l, syscall.SIGKILL, history.Kill))
	}
	for _, l := range all {
		<-l.Done()
	}
	return errors.Join(errs...)
}

// KillCompacting kills the relay while it compacts its journal, which starts with the creation of a file, or after the
// timeout if it does not compact.
func (r *Relay) KillCompacting(ctx context.Context, timeout time.Duration) error {
	name, err := waitForCreate(ctx, r.stateDir(), timeout)
	if err != nil {
		return err
	}
	if err := r.Kill(); err != nil {
		return err
	}
	if name != "" {
		r.harness.recorder.Add(history.Event{Kind: history.Fault, Relay: r.Name, Note: "killed while compacting into " + name})
	}
	return nil
}

// Term ends the relay with SIGTERM, and with SIGKILL if it takes too long.
func (r *Relay) Term(ctx context.Context) error {
	l := r.currentProcess()
	if l == nil {
		return nil
	}
	if err := r.signal(l, syscall.SIGTERM, history.Term); err != nil {
		return err
	}
	select {
	case <-l.Done():
	case <-time.After(shutdownTimeout):
		r.harness.recorder.Add(history.Event{Kind: history.Fault, Relay: r.Name, Note: "had not ended after SIGTERM"})
	case <-ctx.Done():
	}
	return r.Kill()
}

// Freeze stops the serving process with SIGSTOP.
func (r *Relay) Freeze() error {
	return r.signal(r.currentProcess(), syscall.SIGSTOP, history.Stop)
}

// Thaw continues a frozen relay and waits until it serves again.
func (r *Relay) Thaw(ctx context.Context) error {
	l := r.currentProcess()
	if err := r.signal(l, syscall.SIGCONT, history.Cont); err != nil || l == nil {
		return err
	}
	return r.waitServing(ctx)
}

// waitServing waits until one of the relay's processes serves, and makes it the current one.
func (r *Relay) waitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		r.mu.Lock()
		all := append([]*relayProcess(nil), r.processes...)
		r.mu.Unlock()
		for _, l := range all {
			if !l.Running() || l.servingAddr() == "" {
				continue
			}
			if answer, err := managementCall(l.managementAddr, "status"); err == nil && answer == "YES" && healthy(ctx, l.servingAddr()) {
				r.mu.Lock()
				r.current = l
				r.mu.Unlock()
				r.harness.recorder.Add(history.Event{Kind: history.ProcessState, Relay: r.Name, Incarnation: l.number, Note: history.Ready})
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: no process serves after %v", r.Name, readyTimeout)
		case <-time.After(readyPollInterval):
		}
	}
}

// Move moves the agent to another address and tells the relay as the platform does: a new configuration file, then
// SIGHUP.
func (r *Relay) Move() error {
	if err := r.agent.Move(); err != nil {
		return err
	}
	if err := r.configure(); err != nil {
		return err
	}
	return r.signal(r.currentProcess(), syscall.SIGHUP, history.Hup)
}

// freeAddr returns an address of host that is not in use.
func freeAddr(host string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// sample records the resources that the relay's processes use together.
func (r *Relay) sample(note string) {
	disk, err := proc.DiskUse(r.stateDir())
	if err != nil {
		r.harness.recordFailure(fmt.Errorf("%s: disk usage could not be read: %w", r.Name, err))
		return
	}
	e := history.Event{Kind: history.Sample, Relay: r.Name, Disk: disk, Note: note}
	r.mu.Lock()
	all := append([]*relayProcess(nil), r.processes...)
	r.mu.Unlock()
	for _, l := range all {
		if u, err := l.Usage(); err != nil {
			// A process that ended in the meantime cannot be sampled. Whether it should have ended is checked from the
			// history.
			if l.Running() && !errors.Is(err, fs.ErrNotExist) && !errors.Is(err, syscall.ESRCH) {
				r.harness.recordFailure(fmt.Errorf("%s: resource usage of a process could not be read: %w", r.Name, err))
			}
		} else {
			e.Memory += u.Memory
			e.Descriptors += u.Descriptors
			e.CPU += u.CPU.Microseconds()
			e.Incarnation = l.number
		}
	}
	if e.Incarnation > 0 {
		r.harness.recorder.Add(e)
	}
}
