package trial

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"wallflow/internal/trial/fault"
	"wallflow/internal/trial/history"
	"wallflow/internal/trial/proc"
	"wallflow/internal/trial/stand"
)

const (
	heartbeatTimeout    = 400 * time.Millisecond // without contact with the leader, a server starts an election
	snapshotInterval    = 200                    // in commands; low, so that returning servers need a snapshot
	keptListChanges     = 100                    // number of changes; low, so that returning clients need the whole list
	listReadyTimeout    = 10 * time.Second
	listShutdownTimeout = 12 * time.Second // after SIGTERM
	listWriteTimeout    = 10 * time.Second // for a write; if it fails, the invariants show it
	listSettleTimeout   = 4 * time.Second  // for all followers to reach the last version
	leaderTarget        = "leader"         // in a plan: the server that leads when the step begins
)

// listServer is one list server of the trial. It keeps its name over all its processes and folders.
type listServer struct {
	name    string
	harness *Harness
	dir     string

	stepMu sync.Mutex // held during a step, so that steps on the server run one after the other

	mu         sync.Mutex
	process    *proc.Process
	starts     int
	generation int
	joining    bool
	addrs      listAddresses // where its process listens; empty: nowhere
}

type listAddresses struct {
	HTTP string `json:"http"`
	Raft string `json:"raft"`
	Pid  int    `json:"pid"`
}

// listService holds the list servers of a trial, the links between them, and their users.
type listService struct {
	servers       []*listServer
	users         *stand.ListUsers
	noticeSink    *noticeSink
	stopActive    context.CancelFunc // stops writers and readers
	stopFollowing context.CancelFunc // stops followers

	replacing sync.Mutex // held while a server is replaced

	mu   sync.Mutex
	cuts map[string][2]int // by link: number of steps that cut it, in each direction
}

// webName and raftName are the addresses that a server advertises. Every other server reaches them over its own link.
func (s *listServer) webName() string  { return s.name + ".web:1" }
func (s *listServer) raftName() string { return s.name + ".raft:1" }

func (s *listServer) stateDir() string {
	return filepath.Join(s.dir, fmt.Sprintf("state.%d", s.generation))
}

func (s *listServer) dial(addr func(listAddresses) string) fault.DialFunc {
	return func(ctx context.Context) (net.Conn, error) {
		s.mu.Lock()
		to := addr(s.addrs)
		s.mu.Unlock()
		if to == "" {
			return nil, errors.New("no process")
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", to)
	}
}

// buildLists creates folders and links. It starts no process.
func (h *Harness) buildLists(dir string, n int, rng *rand.Rand) error {
	l := &listService{cuts: map[string][2]int{}}
	h.listService = l
	for i := range n {
		s := &listServer{name: fmt.Sprintf("l%d", i), harness: h}
		s.dir = filepath.Join(dir, s.name)
		if err := os.MkdirAll(s.dir, 0o700); err != nil {
			return err
		}
		l.servers = append(l.servers, s)
	}
	h.linkRng = rng
	var err error
	if l.noticeSink, err = newNoticeSink(); err != nil {
		return err
	}
	users := map[string]string{}
	for _, to := range l.servers {
		k, err := h.listLink("users>"+to.name, to.dial(httpAddr))
		if err != nil {
			return err
		}
		users[to.name] = k.Addr()
		for _, from := range l.servers {
			if from == to {
				continue
			}
			if _, err := h.listLink(from.name+">"+to.name, to.dial(func(a listAddresses) string { return a.Raft })); err != nil {
				return err
			}
			if _, err := h.listLink(from.name+">"+to.name+".web", to.dial(httpAddr)); err != nil {
				return err
			}
		}
	}
	l.users = stand.NewListUsers(h.recorder, rng.Uint64(), users)
	return h.buildAgents()
}

func httpAddr(a listAddresses) string { return a.HTTP }

// listLink creates a link with the delay between machines of one zone.
func (h *Harness) listLink(name string, dial fault.DialFunc) (*fault.Link, error) {
	way := fault.Direction{Delay: h.load.Network.Same.Low.Duration, Jitter: h.load.Network.Jitter.Of1}
	k, err := fault.NewLink(name, "127.0.0.1", h.linkRng.Uint64(), fault.Faults{To: way, From: way}, dial)
	if err == nil {
		h.links[name] = k
	}
	return k, err
}

// configure writes a server's configuration.
func (s *listServer) configure() (string, error) {
	type first struct {
		Name string `toml:"name"`
		HTTP string `toml:"http"`
	}
	var c struct {
		Serve struct {
			Name          string            `toml:"name"`
			Dir           string            `toml:"dir"`
			Listen        string            `toml:"listen"`
			Raft          string            `toml:"raft"`
			AdvertiseHTTP string            `toml:"advertise_http"`
			AdvertiseRaft string            `toml:"advertise_raft"`
			Join          []string          `toml:"join,omitempty"`
			Beat          string            `toml:"beat"`
			Keep          int               `toml:"keep"`
			SnapshotEach  uint64            `toml:"snapshot_each"`
			Lease         string            `toml:"lease"`
			Via           map[string]string `toml:"via"`
			Servers       []first           `toml:"servers,omitempty"`
		} `toml:"serve"`
	}
	v := &c.Serve
	v.Name, v.Dir, v.Listen, v.Raft, v.AdvertiseHTTP, v.AdvertiseRaft = s.name, s.stateDir(), "127.0.0.1:0", "127.0.0.1:0", s.webName(),
		s.raftName()
	v.Beat, v.Keep, v.SnapshotEach, v.Lease, v.Via = heartbeatTimeout.String(), keptListChanges, snapshotInterval, fleetLease.String(),
		map[string]string{}
	for _, to := range s.harness.listService.servers {
		if !s.joining {
			v.Servers = append(v.Servers, first{to.name, to.webName()})
		}
		if to == s {
			continue
		}
		if s.joining {
			v.Join = append(v.Join, to.webName())
		}
		v.Via[to.webName()] = s.harness.links[s.name+">"+to.name+".web"].Addr()
		v.Via[to.raftName()] = s.harness.links[s.name+">"+to.name].Addr()
	}
	data, err := toml.Marshal(c)
	if err != nil {
		return "", err
	}
	path := filepath.Join(s.dir, fmt.Sprintf("serve.%d.toml", s.starts))
	return path, os.WriteFile(path, data, 0o600)
}

// start starts the server's process and waits until it listens.
func (s *listServer) start(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts++
	incarnation := s.starts
	config, err := s.configure()
	if err != nil {
		return fmt.Errorf("%s: %w", s.name, err)
	}
	s.process, err = s.harness.startListening(ctx, s.name, incarnation, s.dir, s.stateDir(), []string{"serve", "--config", config},
		func(a listAddresses) { s.addrs = a })
	return err
}

// startListening starts a process of the wallflow program and waits until it has written its addresses to its folder.
func (h *Harness) startListening(ctx context.Context, name string, incarnation int, dir, state string, args []string,
	onListening func(listAddresses)) (*proc.Process, error) {
	addressFile := filepath.Join(state, "addresses.json")
	if err := os.Remove(addressFile); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	log := filepath.Join(dir, fmt.Sprintf("log.%d", incarnation))
	h.recorder.Add(history.Event{Kind: history.ProcessState, Relay: name, Incarnation: incarnation, Note: history.Started})
	p, err := proc.Start(proc.Spec{Path: h.opts.Program, Args: args, Env: append(os.Environ(), "TMPDIR="+dir, panicOnInvariantEnv), Dir: dir,
		Log: log}, h.keeper)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	h.background.Go(func() {
		<-p.Done()
		code, reason := p.Exit()
		h.recorder.Add(history.Event{Kind: history.ProcessState, Relay: name, Incarnation: incarnation, Note: history.Ended, Status: code,
			State: reason})
	})
	for end := time.Now().Add(listReadyTimeout); ; {
		var a listAddresses
		if data, err := os.ReadFile(addressFile); err == nil && json.Unmarshal(data, &a) == nil && a.Pid == p.Pid() {
			onListening(a)
			return p, nil
		}
		if !p.Running() || time.Now().After(end) || !sleep(ctx, readyPollInterval) {
			return p, fmt.Errorf("%s: process %d does not listen: %w", name, incarnation, errors.Join(ctx.Err(), lastLogLine(log)))
		}
	}
}

// lastLogLine returns the last line of a log as an error.
func lastLogLine(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return errors.New(lines[len(lines)-1])
}

// signal records and sends a signal to the server's process.
func (s *listServer) signal(sig syscall.Signal, note string) (*proc.Process, error) {
	s.mu.Lock()
	process, incarnation := s.process, s.starts
	s.mu.Unlock()
	if process == nil || !process.Running() {
		return nil, nil
	}
	s.harness.recorder.Add(history.Event{Kind: history.ProcessState, Relay: s.name, Incarnation: incarnation, Note: note})
	return process, process.Signal(sig)
}

// clearAddresses resets the connections of a server whose process has ended, and clears its addresses.
func (s *listServer) clearAddresses() {
	s.mu.Lock()
	s.addrs = listAddresses{}
	s.mu.Unlock()
	for name, k := range s.harness.links {
		if from, to, ok := strings.Cut(name, ">"); ok && (from == s.name || strings.TrimSuffix(to, ".web") == s.name) {
			k.Reset()
		}
	}
}

func (s *listServer) kill() error {
	p, err := s.signal(syscall.SIGKILL, history.Kill)
	if p != nil && err == nil {
		<-p.Done()
		s.clearAddresses()
	}
	return err
}

func (s *listServer) term(ctx context.Context) error {
	p, err := s.signal(syscall.SIGTERM, history.Term)
	if p == nil || err != nil {
		return err
	}
	select {
	case <-p.Done():
		s.clearAddresses()
		return nil
	case <-time.After(listShutdownTimeout):
		return fmt.Errorf("%s: does not end within %v of SIGTERM", s.name, listShutdownTimeout)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// listServer returns a list server by name; leaderTarget names the present leader.
func (h *Harness) listServer(name string) *listServer {
	if h.listService == nil {
		return nil
	}
	if name == leaderTarget {
		if s := h.currentLeader(); s != nil {
			return s
		}
		name = h.listService.servers[0].name // there is no leader at present
	}
	i := slices.IndexFunc(h.listService.servers, func(s *listServer) bool { return s.name == name })
	if i < 0 {
		return nil
	}
	return h.listService.servers[i]
}

var statusClient = &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

func (h *Harness) currentLeader() *listServer {
	var leader *listServer
	highestTerm := uint64(0)
	for _, s := range h.listService.servers {
		s.mu.Lock()
		addr := s.addrs.HTTP
		s.mu.Unlock()
		if addr == "" {
			continue
		}
		res, err := statusClient.Get("http://" + addr + "/cluster/status") // direct, not over a link
		if err != nil {
			continue
		}
		var r struct {
			Role string `json:"role"`
			Term uint64 `json:"term"`
		}
		err = json.NewDecoder(res.Body).Decode(&r)
		res.Body.Close()
		if err == nil && r.Role == "leader" && r.Term >= highestTerm {
			leader, highestTerm = s, r.Term
		}
	}
	return leader
}

// startLists starts the servers and agents and waits until a server leads and all agents have the list.
func (h *Harness) startLists(ctx context.Context) error {
	errs := make([]error, len(h.listService.servers))
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i, s := range h.listService.servers {
		wg.Go(func() { errs[i] = s.start(ctx) })
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	for end := time.Now().Add(listReadyTimeout); h.currentLeader() == nil; {
		if time.Now().After(end) || !sleep(ctx, 20*time.Millisecond) {
			return fmt.Errorf("no list server leads within %v", listReadyTimeout)
		}
	}
	for _, s := range h.listService.servers {
		h.recorder.Add(history.Event{Kind: history.ProcessState, Relay: s.name, Incarnation: 1, Note: history.Ready})
	}
	version, err := h.writeAllEndpoints(ctx)
	if err != nil {
		return err
	}
	for i, r := range h.relays {
		wg.Go(func() {
			err := r.agentProcess.start(ctx)
			if err == nil {
				err = r.agentProcess.waitForVersion(ctx, version)
			}
			r.agentProcess.recordReady()
			mu.Lock()
			defer mu.Unlock()
			errs[i%len(errs)] = errors.Join(errs[i%len(errs)], err)
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

// startListUsers starts the users of the list servers.
func (h *Harness) startListUsers(ctx context.Context) {
	writing, stop := context.WithCancel(ctx)
	following, leave := context.WithCancel(ctx)
	h.listService.stopActive, h.listService.stopFollowing = stop, leave
	h.listService.users.Start(writing, following)
}

// stopListUsers stops the writers and readers, waits for the followers to converge, and stops them.
func (h *Harness) stopListUsers(ctx context.Context) {
	h.listService.stopActive()
	relays := map[string]func() stand.List{}
	for _, r := range h.relays {
		relays[r.Name] = r.agent.RelayList
	}
	h.listService.users.AwaitConvergence(ctx, listSettleTimeout, relays)
	h.listService.stopFollowing()
	h.listService.users.Wait()
}

// endLists kills all processes of agents and list servers, whatever state they are in.
func (h *Harness) endLists() {
	if h.listService.stopActive != nil {
		h.listService.stopActive()
		h.listService.stopFollowing()
		h.listService.users.Wait()
	}
	kill := func(name string, p *proc.Process, incarnation int) {
		if p == nil {
			return
		}
		if p.Running() {
			h.recorder.Add(history.Event{Kind: history.ProcessState, Relay: name, Incarnation: incarnation, Note: history.Kill})
		}
		p.End()
	}
	for _, r := range h.relays {
		if agent := r.agentProcess; agent != nil {
			agent.mu.Lock()
			p, incarnation := agent.process, agent.starts
			agent.mu.Unlock()
			kill(agent.name(), p, incarnation)
		}
	}
	for _, s := range h.listService.servers {
		s.mu.Lock()
		p, incarnation := s.process, s.starts
		s.mu.Unlock()
		kill(s.name, p, incarnation)
	}
	if h.listService.noticeSink != nil {
		h.listService.noticeSink.close()
	}
}

// onListServer runs a step on a list server, after earlier steps on the same server.
func onListServer(do func(ctx context.Context, h *Harness, st Step, s *listServer) error) func(context.Context, *Harness, Step,
	string) error {
	return func(ctx context.Context, h *Harness, st Step, on string) error {
		s := h.listServer(on)
		s.stepMu.Lock()
		defer s.stepMu.Unlock()
		if on == leaderTarget {
			h.recorder.Add(history.Event{Kind: history.Fault, Endpoint: s.name, Note: st.Do + ": it leads"})
		}
		return do(ctx, h, st, s)
	}
}

func doListKill(ctx context.Context, _ *Harness, st Step, s *listServer) error {
	if err := s.kill(); err != nil || !sleep(ctx, st.For.Duration) {
		return err
	}
	return s.start(ctx)
}

func doListRestart(ctx context.Context, _ *Harness, st Step, s *listServer) error {
	if err := s.term(ctx); err != nil || !sleep(ctx, st.For.Duration) {
		return err
	}
	return s.start(ctx)
}

func doListFreeze(ctx context.Context, _ *Harness, st Step, s *listServer) error {
	if _, err := s.signal(syscall.SIGSTOP, history.Stop); err != nil {
		return err
	}
	sleep(ctx, st.For.Duration)
	_, err := s.signal(syscall.SIGCONT, history.Cont)
	return err
}

// doListReplace replaces a server by one with the same name and an empty folder, which joins the cluster.
func doListReplace(ctx context.Context, h *Harness, st Step, s *listServer) error {
	// Wait until the server has a vote before the next one is replaced: without the folders of two servers of three,
	// there is no majority.
	h.listService.replacing.Lock()
	defer h.listService.replacing.Unlock()
	if err := s.kill(); err != nil || !sleep(ctx, st.For.Duration) {
		return err
	}
	s.mu.Lock()
	s.generation++
	s.joining = true
	s.mu.Unlock()
	if err := s.start(ctx); err != nil {
		return err
	}
	for end := time.Now().Add(listWriteTimeout); time.Now().Before(end) && sleep(ctx, 50*time.Millisecond); {
		if h.votersAgree() {
			return nil
		}
	}
	return nil
}

// votersAgree reports whether all servers name exactly the running servers as voters. A server that does not know of a
// new voter refuses its vote requests, and the two could elect nobody. No further server may be lost before all know it.
func (h *Harness) votersAgree() bool {
	var ids, views []string
	for _, s := range h.listService.servers {
		s.mu.Lock()
		addr := s.addrs.HTTP
		s.mu.Unlock()
		var r struct {
			ID      string
			Members []struct {
				ID    string
				Voter bool
			}
		}
		res, err := statusClient.Get("http://" + addr + "/cluster/status")
		if err == nil {
			err = json.NewDecoder(res.Body).Decode(&r)
			res.Body.Close()
		}
		if err != nil {
			return false
		}
		var voters []string
		for _, m := range r.Members {
			if m.Voter {
				voters = append(voters, m.ID)
			}
		}
		slices.Sort(voters)
		ids, views = append(ids, r.ID), append(views, strings.Join(voters, " "))
	}
	slices.Sort(ids)
	return !slices.ContainsFunc(views, func(v string) bool { return v != strings.Join(ids, " ") })
}

// doListPart cuts a server off from the other servers. Users and agents still reach it.
func doListPart(ctx context.Context, h *Harness, st Step, s *listServer) error {
	addCut := func(by int) {
		h.listService.mu.Lock()
		defer h.listService.mu.Unlock()
		for name, k := range h.links {
			from, to, _ := strings.Cut(name, ">")
			to = strings.TrimSuffix(to, ".web")
			if from != s.name && to != s.name || !strings.HasPrefix(from, "l") {
				continue
			}
			// Outbound traffic comes from the server, inbound goes to it. On a connection that the server has opened, the
			// To direction is outbound; on one that was opened to it, the From direction is.
			cutTo, cutFrom := st.Note != "in", st.Note != "out"
			if to == s.name {
				cutTo, cutFrom = cutFrom, cutTo
			}
			n := h.listService.cuts[name]
			if cutTo {
				n[0] += by
			}
			if cutFrom {
				n[1] += by
			}
			h.listService.cuts[name] = n
			k.Change(func(f *fault.Faults) { f.To.Cut, f.From.Cut = n[0] > 0, n[1] > 0 })
		}
	}
	addCut(1)
	sleep(ctx, st.For.Duration)
	addCut(-1)
	return nil
}

// withTraffic adds steps for which relays need the list and notices: endpoints that drain and a partner that hangs. It
// uses a random generator of its own, so that all scenarios with the same seed get the same steps and can be compared.
func (h *Harness) withTraffic(length time.Duration, steps []Step) []Step {
	rng := rand.New(rand.NewPCG(h.opts.Seed, 0x74726166))
	n := 0
	for _, i := range rng.Perm(len(h.environment.Partners)) { // one endpoint of some partners, never the last one
		if p := h.environment.Partners[i]; len(p.Endpoints) > 1 && n < 3 {
			n++
			steps = append(steps, Step{At: roundToMillis(drawTime(rng, length, 0.1, 0.6)), Do: "drain",
				On: []string{p.Endpoints[rng.IntN(len(p.Endpoints))].ID}, For: roundToMillis(length / 10)})
		}
	}
	return sortSteps(append(steps, Step{At: roundToMillis(drawTime(rng, length, 0.2, 0.4)), Do: "hang", On: h.drawPartnerEndpoints(rng),
		For: roundToMillis(length / 4)}))
}

// Scenarios of the list servers. Their faults end after at most four fifths of the trial, which leaves time to recover.

func listCalmSteps(_ *rand.Rand, h *Harness, length time.Duration) []Step {
	return h.withTraffic(length, nil)
}

func listLeaderKillSteps(rng *rand.Rand, h *Harness, length time.Duration) (steps []Step) {
	n := max(2, int(length.Seconds()/4))
	for i := range n {
		from := 0.05 + 0.7*float64(i)/float64(n)
		do := "list-kill"
		if i%3 == 1 {
			do = "list-restart" // an orderly shutdown with a transfer of leadership
		}
		steps = append(steps, Step{At: roundToMillis(drawTime(rng, length, from, from+0.1/float64(n))), Do: do, On: []string{leaderTarget},
			For: roundToMillis(drawDuration(rng, 50*time.Millisecond, 1200*time.Millisecond))})
	}
	return h.withTraffic(length, steps)
}

func listMinoritySteps(rng *rand.Rand, h *Harness, length time.Duration) (steps []Step) {
	for i, from := range []float64{0.08, 0.33, 0.58} {
		on := leaderTarget // a leader that users still reach
		if i > 0 && rng.IntN(2) == 0 {
			on = h.listService.servers[rng.IntN(len(h.listService.servers))].name
		}
		steps = append(steps, Step{At: roundToMillis(drawTime(rng, length, from, from+0.05)), Do: "list-part", On: []string{on},
			For: roundToMillis(length * 15 / 100)})
	}
	return h.withTraffic(length, steps)
}

func listMajorityCutSteps(rng *rand.Rand, h *Harness, length time.Duration) (steps []Step) {
	for _, from := range []float64{0.1, 0.5} {
		var on []string
		for _, i := range rng.Perm(len(h.listService.servers))[:len(h.listService.servers)/2+1] {
			on = append(on, h.listService.servers[i].name)
		}
		steps = append(steps, Step{At: roundToMillis(drawTime(rng, length, from, from+0.08)), Do: "list-part", On: on,
			For: roundToMillis(length * 15 / 100)})
	}
	return h.withTraffic(length, steps)
}

func listOneWaySteps(rng *rand.Rand, h *Harness, length time.Duration) (steps []Step) {
	notes := []string{"in", "out"}
	for _, from := range []float64{0.08, 0.33, 0.58} {
		on := leaderTarget
		if rng.IntN(3) == 0 {
			on = h.listService.servers[rng.IntN(len(h.listService.servers))].name
		}
		steps = append(steps, Step{At: roundToMillis(drawTime(rng, length, from, from+0.05)), Do: "list-part", On: []string{on},
			For: roundToMillis(length * 15 / 100), Note: notes[rng.IntN(2)]})
	}
	return h.withTraffic(length, steps)
}

func listFreezeSteps(rng *rand.Rand, h *Harness, length time.Duration) (steps []Step) {
	for _, from := range []float64{0.06, 0.3, 0.55} {
		steps = append(steps, Step{At: roundToMillis(drawTime(rng, length, from, from+0.05)), Do: "list-freeze", On: []string{leaderTarget},
			For: roundToMillis(drawDuration(rng, 300*time.Millisecond, max(400*time.Millisecond, length*2/10)))})
	}
	other := h.listService.servers[rng.IntN(len(h.listService.servers))].name
	return h.withTraffic(length, append(steps, Step{At: roundToMillis(drawTime(rng, length, 0.1, 0.6)), Do: "list-freeze",
		On: []string{other}, For: roundToMillis(drawDuration(rng, 100*time.Millisecond, time.Second))}))
}

func listRollingReplaceSteps(rng *rand.Rand, h *Harness, length time.Duration) (steps []Step) {
	for i, k := range rng.Perm(len(h.listService.servers)) {
		from := 0.06 + 0.72*float64(i)/float64(len(h.listService.servers))
		steps = append(steps, Step{At: roundToMillis(drawTime(rng, length, from, from+0.03)), Do: "list-replace",
			On:  []string{h.listService.servers[k].name},
			For: roundToMillis(drawDuration(rng, 50*time.Millisecond, 300*time.Millisecond))})
	}
	return h.withTraffic(length, steps)
}

func listAllDeadSteps(rng *rand.Rand, h *Harness, length time.Duration) (steps []Step) {
	var all []string
	for _, s := range h.listService.servers {
		all = append(all, s.name)
	}
	for _, from := range []float64{0.15, 0.5} {
		when := roundToMillis(drawTime(rng, length, from, from+0.1))
		// Meanwhile agents and relays restart from their disks alone, and an endpoint drains.
		later := roundToMillis(when.Duration + length/20)
		steps = append(steps, Step{At: later, Do: "agent-kill", On: h.drawRelays(rng, 0.5),
			For: roundToMillis(drawDuration(rng, 50*time.Millisecond, 300*time.Millisecond))},
			Step{At: later, Do: "kill", On: h.drawRelays(rng, 0.4),
				For: roundToMillis(drawDuration(rng, 50*time.Millisecond, 300*time.Millisecond))})
		for _, name := range all { // killed at the same time, restarted at different times
			steps = append(steps, Step{At: when, Do: "list-kill", On: []string{name},
				For: roundToMillis(drawDuration(rng, 200*time.Millisecond, length*15/100))})
		}
	}
	return h.withTraffic(length, steps)
}
