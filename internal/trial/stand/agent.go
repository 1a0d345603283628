package stand

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
	"slices"
	"strconv"
	"sync"
	"time"

	"wallflow/internal/trial/history"
	"wallflow/internal/trial/load"
)

const (
	noticesMost = 1 << 20                 // bytes of one request
	oldCloses   = 1500 * time.Millisecond // open connections to an address that discovery has left
	changesKept = 256
)

// Entry is one of the list.
type Entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// List is a list in discovery's form, whole or the changes to one.
type List struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Agent is the platform's discovery as one relay sees it: what it has was sent to it some time after it happened.
type Agent struct {
	relay   string
	rec     *history.Recorder
	renewal time.Duration
	delay   load.Span

	mu      sync.Mutex
	rng     *rand.Rand
	lastDue time.Time
	version int64
	entries map[string]Entry
	changes []change // the last of them
	cut     int64    // changes up to this version are not kept any more
	changed chan struct{}
	silent  bool
	toldBy  map[string]Entry // what the relay was told last
	toldVer int64
	server  *http.Server
	addr    string
	closed  bool
	timers  []*time.Timer
	wg      sync.WaitGroup
	notice  func(id, end string, again time.Duration)
}

type change struct {
	version int64
	entry   Entry
}

// NewAgent starts an agent. notice is called for each message that the relay ends.
func NewAgent(relay string, rec *history.Recorder, l *load.Load, seed uint64, notice func(id, end string, again time.Duration)) (*Agent, error) {
	a := &Agent{relay: relay, rec: rec, renewal: l.Agent.Renewal.Duration, delay: l.Agent.Notice, rng: rand.New(rand.NewPCG(seed, 0x616765)),
		entries: map[string]Entry{}, toldBy: map[string]Entry{}, changed: make(chan struct{}), notice: notice}
	if err := a.listen(); err != nil {
		return nil, err
	}
	return a, nil
}

func (a *Agent) listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("agent of %s: %w", a.relay, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", a.members)
	mux.HandleFunc("POST /v2/finals", a.finals)
	s := &http.Server{Handler: mux, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
	a.mu.Lock()
	a.server, a.addr = s, l.Addr().String()
	a.mu.Unlock()
	a.wg.Go(func() { s.Serve(l) })
	return nil
}

// Addr is where the relay asks now.
func (a *Agent) Addr() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.addr
}

// Move has the agent answer at another address; the old one takes no new connections and closes its open ones later.
func (a *Agent) Move() error {
	a.mu.Lock()
	old := a.server
	a.mu.Unlock()
	if err := a.listen(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), oldCloses)
	a.wg.Go(func() {
		defer cancel()
		if old.Shutdown(ctx) != nil {
			old.Close()
		}
	})
	return nil
}

// Close ends the agent.
func (a *Agent) Close() {
	a.mu.Lock()
	a.closed = true
	for _, t := range a.timers {
		t.Stop()
	}
	s := a.server
	a.mu.Unlock()
	s.Close()
	a.wg.Wait()
}

// Silence has the agent say nothing of the list, or go on. Notices are answered all the while.
func (a *Agent) Silence(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = on
	a.wake()
}

func (a *Agent) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Hear has the agent learn of a change, some time from now: changes come in their order.
func (a *Agent) Hear(version int64, entries ...Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	due := time.Now().Add(within(a.rng, a.delay))
	if due.Before(a.lastDue) {
		due = a.lastDue.Add(time.Microsecond)
	}
	a.lastDue = due
	a.timers = append(a.timers, time.AfterFunc(time.Until(due), func() { a.Have(version, entries...) }))
}

// Have has the agent learn of a change now.
func (a *Agent) Have(version int64, entries ...Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || version <= a.version {
		return
	}
	a.version = version
	for _, e := range entries {
		if e.State == "gone" {
			delete(a.entries, e.ID)
		} else {
			a.entries[e.ID] = e
		}
		a.changes = append(a.changes, change{version, e})
	}
	if more := len(a.changes) - changesKept; more > 0 {
		a.cut = a.changes[more-1].version
		a.changes = a.changes[more:]
	}
	a.wake()
}

// Known is the list as the relay holds it: what it was told last.
func (a *Agent) Known() List {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := List{Version: a.toldVer, Full: true, Servers: []Entry{}}
	for _, e := range a.toldBy {
		l.Servers = append(l.Servers, e)
	}
	slices.SortFunc(l.Servers, func(x, y Entry) int { return cmpString(x.ID, y.ID) })
	return l
}

func cmpString(a, b string) int {
	if a < b {
		return -1
	} else if a > b {
		return 1
	}
	return 0
}

// after is what a relay whose list has a version lacks; nil if nothing.
func (a *Agent) after(version int64) *List {
	if version == a.version {
		return nil
	}
	l := &List{Version: a.version, Servers: []Entry{}}
	if version < a.cut || version > a.version || version == 0 {
		l.Full = true
		for _, e := range a.entries {
			l.Servers = append(l.Servers, e)
		}
	} else {
		last := map[string]Entry{}
		for _, c := range a.changes {
			if c.version > version {
				last[c.entry.ID] = c.entry
			}
		}
		for _, e := range last {
			l.Servers = append(l.Servers, e)
		}
	}
	slices.SortFunc(l.Servers, func(x, y Entry) int { return cmpString(x.ID, y.ID) })
	return l
}

// told puts down that the relay was told a list, or, with nothing written, holds one from its start.
func (a *Agent) told(l *List) {
	events := make([]history.Event, 0, len(l.Servers))
	a.mu.Lock()
	if l.Full {
		in := map[string]bool{}
		for _, e := range l.Servers {
			in[e.ID] = true
		}
		for id, e := range a.toldBy {
			if !in[id] {
				events = append(events, history.Event{Kind: history.Told, Relay: a.relay, Endpoint: id, Dest: e.Cell, State: "gone", Version: l.Version})
				delete(a.toldBy, id)
			}
		}
	}
	for _, e := range l.Servers {
		if e.State == "gone" {
			delete(a.toldBy, e.ID)
		} else {
			a.toldBy[e.ID] = e
		}
		events = append(events, history.Event{Kind: history.Told, Relay: a.relay, Endpoint: e.ID, Dest: e.Cell, State: e.State, Version: l.Version})
	}
	a.toldVer = max(a.toldVer, l.Version)
	a.mu.Unlock()
	a.rec.AddAll(events)
}

// Tell puts down what a relay was told by another agent than this one, which keeps its books.
func (a *Agent) Tell(l *List) { a.told(l) }

// Overhear puts down notices that another agent took.
func (a *Agent) Overhear(body []byte) {
	if all, err := readNotices(body); err == nil {
		a.noticed(all)
	}
}

// Begin has the relay hold what the agent has, from its configuration.
func (a *Agent) Begin() {
	a.mu.Lock()
	l := a.after(0)
	a.mu.Unlock()
	if l != nil {
		a.told(l)
	}
}

// members serves the list and its watch.
func (a *Agent) members(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	version, err := strconv.ParseInt(q.Get("index"), 10, 64)
	if q.Get("index") != "" && err != nil {
		http.Error(w, "bad index", http.StatusBadRequest)
		return
	}
	out := http.NewResponseController(w)
	watch := q.Get("stream") == "1"
	if !watch {
		version = -1
	}
	first := true
	for {
		a.mu.Lock()
		l, silent, changed := a.after(version), a.silent, a.changed
		if l != nil && !watch && !l.Full {
			l = a.after(0)
		}
		a.mu.Unlock()
		if !silent {
			var line []byte
			if l != nil {
				line, _ = json.Marshal(l) // plain values alone
			}
			// A list that is on its way counts as told from when it was written.
			if l != nil || !first {
				if _, err := w.Write(append(line, '\n')); err != nil {
					return
				}
			}
			if out.Flush() != nil {
				return
			}
			if l != nil {
				version = l.Version
				a.told(l)
			}
			if !watch {
				return
			}
			first = false
		}
		select {
		case <-changed:
		case <-time.After(a.renewal):
		case <-r.Context().Done():
			return
		}
	}
}

// noticeLine is a notice.
type noticeLine struct {
	ID      string   `json:"id"`
	Status  string   `json:"status"`
	AgainMS *float64 `json:"again_ms"`
}

func readNotices(body []byte) (all []noticeLine, err error) {
	for rows := bufio.NewScanner(bytes.NewReader(body)); rows.Scan(); {
		var x noticeLine
		if err := json.Unmarshal(rows.Bytes(), &x); err != nil || x.ID == "" || (x.Status != "undeliverable" && x.Status != "deferred") {
			return nil, errors.New("unreadable")
		}
		all = append(all, x)
	}
	return all, nil
}

// noticed puts notices down that were answered for.
func (a *Agent) noticed(all []noticeLine) {
	events := make([]history.Event, len(all))
	for i, x := range all {
		events[i] = history.Event{Kind: history.Notice, Relay: a.relay, ID: x.ID, End: x.Status}
		if x.AgainMS != nil {
			events[i].Again = int64(*x.AgainMS * 1000)
		}
	}
	a.rec.AddAll(events)
	for i, x := range all {
		a.notice(x.ID, x.Status, time.Duration(events[i].Again)*time.Microsecond)
	}
}

// finals takes notices.
func (a *Agent) finals(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, noticesMost))
	var all []noticeLine
	if err == nil {
		all, err = readNotices(body)
	}
	if err != nil {
		http.Error(w, "unreadable", http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
	if err := http.NewResponseController(w).Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return
	}
	a.noticed(all)
}
