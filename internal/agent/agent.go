package agent

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"wallflow/internal/catalog"
	"wallflow/internal/durable"
	"wallflow/internal/listsvc"
	"wallflow/internal/wal"
)

const (
	listFormat      = "wallflow agent list 1"
	listFile        = "list"
	maxLineBytes    = 64 << 20        // limit of a line of the service's watch, which can hold the whole list
	silenceTimeout  = 5 * time.Second // a watch without a line or heartbeat for this long is closed
	minRetryPause   = 250 * time.Millisecond
	maxRetryPause   = 2 * time.Second
	saveInterval    = 200 * time.Millisecond
	startSpread     = time.Second // random delay of the first watch, so that agents started together do not connect at once
	maxBodyBytes    = 1 << 20     // limit of request and answer bodies
	maxForwardBytes = 64 << 10    // bytes of notices in one forwarding request
	forwardTimeout  = 5 * time.Second
	minForwardPause = 50 * time.Millisecond
	maxForwardPause = 2 * time.Second
	headerTimeout   = 5 * time.Second
	maxHeaderBytes  = 16 << 10
	shutdownTimeout = 2 * time.Second
	addressFile     = "addresses.json"
)

// Options configure an agent. The zero value of a field selects its default.
type Options struct {
	Dir           string            // data folder
	Listen        string            // address on which the agent serves the relay
	Servers       []string          // HTTP addresses of list servers
	NoticeAddr    string            // address to which notices are forwarded; empty: they stay in the spool
	MaxSpoolBytes int64             // maximum size of the notice spool, in bytes
	AddrOverrides map[string]string // maps addresses of list entries to the addresses that the relay gets instead
	ForceList     string            // id of a list to accept even if it is much shorter than the current one
	Seed          uint64            // seed of random delays; 0: a random seed
	Name          string            // name under which the agent registers with the fleet; empty: it does not register and has no policy
	Zone          string            // zone of the machine
	Build         string            // build of the program
	Log           *slog.Logger
}

// Agent follows the list service for one relay, and forwards the relay's notices.
type Agent struct {
	options       Options
	log           *slog.Logger
	lock          *wal.Lock // lock of the data folder
	spool         *spool
	listen        net.Listener
	httpServer    *http.Server
	watchClient   *http.Client // for watches; without a request timeout
	forwardClient *http.Client
	runCtx        context.Context
	cancelRun     context.CancelFunc
	goroutines    sync.WaitGroup

	currentServer atomic.Pointer[string] // server that is being watched; nil: none
	lastLineAt    atomic.Int64           // arrival of the last line, in Unix ns; for the status report only
	forwarded     atomic.Int64           // notice records forwarded
	watchCount    atomic.Int64           // open watches of relays

	mu            sync.Mutex
	mirror        *Mirror
	changed       chan struct{} // closed and replaced on each change of the mirror
	saveRequested chan struct{} // holds a value while the list on disk is outdated
	lastRefusal   string        // why the last line was rejected; empty if it was applied

	rngMu sync.Mutex
	rng   *rand.Rand // guarded by rngMu

	fleet *fleet // nil: the agent does not register with the fleet
}

// Open opens the agent's data folder and listens on its address. A damaged list file is renamed, and the agent then requests the
// whole list from the service.
func Open(options Options) (a *Agent, err error) {
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	if options.MaxSpoolBytes <= 0 {
		options.MaxSpoolBytes = 16 << 20
	}
	if options.Seed == 0 {
		options.Seed = rand.Uint64()
	}
	switch {
	case options.Dir == "":
		return nil, errors.New("dir: is missing")
	case len(options.Servers) == 0:
		return nil, errors.New("server: no list server is named")
	}
	if err := os.MkdirAll(options.Dir, 0o700); err != nil {
		return nil, err
	}
	lock, err := wal.Acquire(options.Dir)
	if errors.Is(err, wal.ErrLocked) {
		return nil, fmt.Errorf("folder %s: another agent has it", options.Dir)
	} else if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			lock.Release()
		}
	}()
	a = &Agent{options: options, lock: lock, log: options.Log, mirror: NewMirror(), changed: make(chan struct{}),
		saveRequested: make(chan struct{}, 1), rng: rand.New(rand.NewPCG(options.Seed, 0x6167656e74)),
		watchClient:   &http.Client{Transport: &http.Transport{DisableCompression: true, ResponseHeaderTimeout: silenceTimeout}},
		forwardClient: &http.Client{Timeout: forwardTimeout, Transport: &http.Transport{MaxConnsPerHost: 1}}}
	if err := a.loadList(); err != nil {
		return nil, err
	}
	if a.spool, err = openSpool(options.Dir, options.MaxSpoolBytes, a.log); err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	if options.Name != "" {
		if a.fleet, err = openFleet(options, a.log); err != nil {
			return nil, errors.Join(err, a.spool.close())
		}
	}
	if a.listen, err = net.Listen("tcp", options.Listen); err != nil {
		return nil, errors.Join(fmt.Errorf("listen: %w", err), a.spool.close())
	}
	a.runCtx, a.cancelRun = context.WithCancel(context.Background())
	a.httpServer = &http.Server{Handler: a.handler(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(a.log.Handler(), slog.LevelDebug)}
	if err := a.writeAddressFile(); err != nil {
		a.cancelRun()
		return nil, errors.Join(err, a.listen.Close(), a.spool.close(), lock.Release())
	}
	return a, nil
}

func (a *Agent) listPath() string { return filepath.Join(a.options.Dir, listFile) }

// loadList loads the list from disk.
func (a *Agent) loadList() error {
	data, err := durable.ReadFile(a.listPath(), listFormat)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	var s savedList
	if err == nil {
		err = json.Unmarshal(data, &s)
	}
	if err == nil {
		err = a.mirror.load(s)
	}
	if err == nil {
		a.log.Info("loaded the list from disk", "list", s.List, "version", s.Version, "entries", len(s.Entries))
		return nil
	}
	damagedPath := fmt.Sprintf("%s.damaged-%d", a.listPath(), time.Now().UnixMilli())
	a.log.Error("the list on disk is damaged and was renamed; requesting the whole list", "err", err, "aside", damagedPath)
	return os.Rename(a.listPath(), damagedPath)
}

// writeAddressFile writes the listen address to a file, since the system may choose the port.
func (a *Agent) writeAddressFile() error {
	data, err := json.Marshal(map[string]any{"http": a.Addr(), "pid": os.Getpid()})
	if err != nil {
		return err
	}
	path := filepath.Join(a.options.Dir, addressFile)
	if err := os.WriteFile(path+".new", append(data, '\n'), 0o644); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// Addr returns the address on which the agent serves.
func (a *Agent) Addr() string { return a.listen.Addr().String() }

// Run runs the agent until ctx ends, its server fails or its session ends.
func (a *Agent) Run(ctx context.Context) error {
	served := make(chan error, 1)
	a.goroutines.Go(func() { served <- a.httpServer.Serve(a.listen) })
	a.goroutines.Go(a.followService)
	a.goroutines.Go(a.saveLoop)
	a.goroutines.Go(a.forwardNotices)
	ended := make(chan error, 1)
	if a.fleet != nil {
		a.goroutines.Go(func() { a.registerLoop(ended) })
	}
	a.log.Info("serving", "listen", a.Addr(), "servers", a.options.Servers, "dir", a.options.Dir)
	var err error
	select {
	case <-ctx.Done():
		a.leave()
	case err = <-ended:
	case err = <-served:
		err = fmt.Errorf("http: %w", err)
	}
	a.cancelRun()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if a.httpServer.Shutdown(shutdownCtx) != nil {
		a.httpServer.Close()
	}
	a.goroutines.Wait()
	return errors.Join(err, a.save(), a.spool.close(), a.lock.Release())
}

// randomDuration returns a random duration below d.
func (a *Agent) randomDuration(d time.Duration) time.Duration {
	a.rngMu.Lock()
	defer a.rngMu.Unlock()
	return time.Duration(a.rng.Int64N(int64(d)))
}

// sleep waits for d. It returns false if the agent stops first.
func (a *Agent) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-a.runCtx.Done():
		return false
	}
}

// followService watches the list service and goes to the next server when a watch ends. Pauses are random, so that a fleet's agents
// do not all connect at once when they start together or lose the same server.
func (a *Agent) followService() {
	a.rngMu.Lock()
	order := a.rng.Perm(len(a.options.Servers))
	a.rngMu.Unlock()
	a.mu.Lock()
	hasList := a.mirror.List() != ""
	a.mu.Unlock()
	if hasList && !a.sleep(a.randomDuration(startSpread)) {
		return
	}
	maxPause := minRetryPause
	for i := 0; a.runCtx.Err() == nil; i++ {
		server := a.options.Servers[order[i%len(order)]]
		a.currentServer.Store(&server)
		began := time.Now()
		progressed, err := a.watch(server)
		a.currentServer.Store(nil)
		if a.runCtx.Err() != nil {
			return
		}
		if progressed && time.Since(began) > maxPause {
			maxPause = minRetryPause
		}
		wait := a.randomDuration(maxPause)
		a.log.Warn("watch ended", "server", server, "err", err, "again_in", wait)
		if !a.sleep(wait) {
			return
		}
		if (i+1)%len(order) == 0 { // no server is reachable
			maxPause = min(maxRetryPause, 2*maxPause)
		}
	}
}

// watch follows one server until the connection ends or falls silent, or a line is rejected. progressed reports whether the server
// sent at least one valid line or heartbeat.
func (a *Agent) watch(server string) (progressed bool, err error) {
	ctx, cancel := context.WithCancel(a.runCtx)
	defer cancel()
	silenceTimer := time.AfterFunc(silenceTimeout, cancel)
	defer silenceTimer.Stop()
	a.mu.Lock()
	list, version := a.mirror.List(), a.mirror.Version()
	a.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet,
		"http://"+server+"/catalog/members?stream=1&index="+strconv.FormatInt(version, 10)+"&cluster="+list, nil)
	if err != nil {
		return false, err
	}
	res, err := a.watchClient.Do(req)
	if err != nil {
		return false, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return false, fmt.Errorf("unexpected status %s", res.Status)
	}
	list = res.Header.Get("X-Catalog-Cluster")
	if list == "" {
		return false, errors.New("the server is not part of a cluster yet")
	}
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		silenceTimer.Reset(silenceTimeout)
		a.lastLineAt.Store(time.Now().UnixNano())
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			progressed = true
			continue
		}
		var l catalog.List
		if err := json.Unmarshal(line, &l); err != nil {
			return progressed, fmt.Errorf("unreadable line: %w", err)
		}
		for i, e := range l.Servers {
			if to, ok := a.options.AddrOverrides[e.Addr]; ok {
				l.Servers[i].Addr = to
			}
			if e.State == catalog.Gone {
				continue
			}
			if err := e.Check(); err != nil {
				return progressed, fmt.Errorf("unreadable line: %w", err)
			}
		}
		if err := a.applyLine(list, l); err != nil {
			return progressed, err
		}
		progressed = true
	}
	if err := lines.Err(); err != nil {
		return progressed, err
	}
	return progressed, io.ErrUnexpectedEOF
}

// applyLine applies a line of the watch to the mirror, and wakes the relay's watches and the writer.
func (a *Agent) applyLine(list string, l catalog.List) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	previousList, previousLen := a.mirror.List(), a.mirror.Len()
	changed, err := a.mirror.Apply(list, l, a.options.ForceList)
	if err != nil {
		a.lastRefusal = err.Error()
		return err
	}
	a.lastRefusal = ""
	if !changed {
		return nil
	}
	if previousList != "" && previousList != list {
		a.log.Warn("switched to another list", "list", list, "version", l.Version,
			"entries", a.mirror.Len(), "before", previousList, "entries_before", previousLen)
	}
	close(a.changed)
	a.changed = make(chan struct{})
	select {
	case a.saveRequested <- struct{}{}:
	default:
	}
	return nil
}

// saveLoop writes the list to disk after changes, at most once per saveInterval.
func (a *Agent) saveLoop() {
	for {
		select {
		case <-a.saveRequested:
		case <-a.runCtx.Done():
			return
		}
		if err := a.save(); err != nil {
			a.log.Error("writing the list failed; after a restart without the service the relay gets an older list", "err", err)
		}
		if !a.sleep(saveInterval) {
			return
		}
	}
}

func (a *Agent) save() error {
	a.mu.Lock()
	s := a.mirror.save()
	a.mu.Unlock()
	if s.List == "" {
		return nil
	}
	data, err := json.Marshal(s)
	if err != nil {
		return err
	}
	return durable.WriteFile(a.listPath(), listFormat, data)
}

// Report is the status of an agent.
type Report struct {
	List      string `json:"list"` // id of the cluster whose list this is
	Version   int64  `json:"version"`
	Entries   int    `json:"entries"`
	Following string `json:"following,omitempty"` // server that is being watched; empty: none
	HeardMS   int64  `json:"heard_ms"`            // time since the last line; -1: none yet
	Refusal   string `json:"refusal,omitempty"`   // why the last line was rejected
	Watches   int64  `json:"watches"`             // open watches of relays
	Waiting   int    `json:"notices_waiting"`     // records in the spool
	Spooled   int64  `json:"notices_bytes"`       // size of the spool
	Handed    int64  `json:"notices_handed_on"`   // records forwarded since the start

	Fleet *FleetReport `json:"fleet,omitempty"`
}

// Report returns the status of the agent.
func (a *Agent) Report() Report {
	a.mu.Lock()
	r := Report{List: a.mirror.List(), Version: a.mirror.Version(), Entries: a.mirror.Len(),
		Refusal: a.lastRefusal, HeardMS: -1, Watches: a.watchCount.Load(), Handed: a.forwarded.Load()}
	a.mu.Unlock()
	if p := a.currentServer.Load(); p != nil {
		r.Following = *p
	}
	if at := a.lastLineAt.Load(); at > 0 {
		r.HeardMS = time.Since(time.Unix(0, at)).Milliseconds()
	}
	r.Waiting, r.Spooled = a.spool.stats()
	if a.fleet != nil {
		f := a.fleet.report()
		r.Fleet = &f
	}
	return r
}

func (a *Agent) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", a.serveMembers)
	mux.HandleFunc("POST /v2/finals", a.acceptNotices)
	if a.fleet != nil {
		mux.HandleFunc("POST /fleet/relay", a.serveRelayStatus)
	}
	mux.HandleFunc("GET /agent/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, a.Report()) })
	return mux
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, why string) {
	writeJSON(w, status, map[string]string{"error": why})
}

// serveMembers answers with the list, or streams its changes, in the platform's membership protocol.
func (a *Agent) serveMembers(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	version := int64(0)
	if text := q.Get("index"); text != "" {
		var err error
		if version, err = strconv.ParseInt(text, 10, 64); err != nil || version < 0 {
			writeError(w, http.StatusBadRequest, fmt.Sprintf("index %q is no version", text))
			return
		}
	}
	if q.Get("stream") != "1" {
		a.mu.Lock()
		l, list := a.mirror.Whole(), a.mirror.List()
		a.mu.Unlock()
		if list == "" {
			writeError(w, http.StatusServiceUnavailable, "no list yet")
			return
		}
		writeJSON(w, http.StatusOK, l)
		return
	}
	a.watchCount.Add(1)
	defer a.watchCount.Add(-1)
	w.Header().Set("Content-Type", "application/json")
	err := listsvc.ServeWatch(w, r, a.runCtx, func() (catalog.List, bool, <-chan struct{}) {
		a.mu.Lock()
		defer a.mu.Unlock()
		l, changed := a.mirror.Since(version)
		if changed {
			version = l.Version
		}
		return l, changed, a.changed
	})
	if err != nil {
		a.log.Info("a relay's watch ended", "watcher", r.RemoteAddr, "err", err)
	}
}

// acceptNotices stores notices in the spool. It acknowledges them only once they are on disk.
func (a *Agent) acceptNotices(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, "body unreadable or too long: "+err.Error())
		return
	}
	n := 0
	for line := range bytes.Lines(body) {
		line = bytes.TrimSpace(line)
		if len(line) == 0 {
			continue
		}
		var v struct{ ID, Status string }
		if err := json.Unmarshal(line, &v); err != nil || v.ID == "" || v.Status != "undeliverable" && v.Status != "deferred" {
			writeError(w, http.StatusBadRequest, fmt.Sprintf("line %d: %.100q is no notice", n+1, line))
			return
		}
		n++
	}
	if n == 0 {
		writeError(w, http.StatusBadRequest, "no notice")
		return
	}
	if body[len(body)-1] != '\n' {
		body = append(body, '\n')
	}
	if err := a.spool.add(body); err != nil {
		writeError(w, http.StatusServiceUnavailable, err.Error()) // the relay still has the notices and retries
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// errNoticeRejected means that the receiver rejects the notices permanently, so that a retry is useless.
var errNoticeRejected = errors.New("notices rejected by the receiver")

// forwardNotices forwards the notices in order, and retries each until it is accepted or rejected permanently.
func (a *Agent) forwardNotices() {
	if a.options.NoticeAddr == "" {
		return
	}
	pause := minForwardPause
	for a.runCtx.Err() == nil {
		all := a.spool.next(maxForwardBytes)
		if len(all) == 0 {
			select {
			case <-a.spool.added:
			case <-a.runCtx.Done():
			}
			continue
		}
		err := a.postNotices(all...)
		if errors.Is(err, errNoticeRejected) && len(all) > 1 {
			all = all[:1] // retry the first one alone to find the rejected one
			err = a.postNotices(all...)
		}
		if errors.Is(err, errNoticeRejected) {
			a.log.Error("the receiver rejected a notice; saved it to the file turned-down", "err", err)
			err = a.saveRejected(all[0])
		}
		if err == nil {
			err = a.spool.acknowledge(len(all))
		}
		if err == nil {
			a.forwarded.Add(int64(len(all)))
			pause = minForwardPause
			continue
		}
		wait := pause/2 + a.randomDuration(pause)
		a.log.Warn("forwarding notices failed", "err", err, "again_in", wait)
		if !a.sleep(wait) {
			return
		}
		pause = min(maxForwardPause, 2*pause)
	}
}

// postNotices sends notices to the receiver in one request.
func (a *Agent) postNotices(all ...[]byte) error {
	req, err := http.NewRequestWithContext(a.runCtx, http.MethodPost,
		"http://"+a.options.NoticeAddr+"/v2/finals", bytes.NewReader(bytes.Join(all, nil)))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := a.forwardClient.Do(req)
	if err != nil {
		return err
	}
	io.Copy(io.Discard, io.LimitReader(res.Body, maxBodyBytes))
	res.Body.Close()
	switch {
	case res.StatusCode/100 == 2:
		return nil
	case res.StatusCode == http.StatusBadRequest, res.StatusCode == http.StatusRequestEntityTooLarge:
		return fmt.Errorf("%w: %s", errNoticeRejected, res.Status)
	}
	return fmt.Errorf("%s: unexpected status %s", a.options.NoticeAddr, res.Status)
}

// saveRejected appends a rejected notice to a file, for operators.
func (a *Agent) saveRejected(body []byte) error {
	f, err := os.OpenFile(filepath.Join(a.options.Dir, "turned-down"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(body)
	return errors.Join(err, f.Close())
}
