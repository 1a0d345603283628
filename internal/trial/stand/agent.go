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
	maxNoticeBytes  = 1 << 20                 // bytes of one request
	oldAddressGrace = 1500 * time.Millisecond // how long open connections stay at an address that the agent has left
	maxKeptChanges  = 256
)

// Entry is one endpoint of the list.
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

// List is a list in the discovery format: the whole list or the changes since a version.
type List struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Agent is a fake of the platform's discovery agent of one relay. It learns of changes with a delay.
type Agent struct {
	relay    string
	recorder *history.Recorder
	renewal  time.Duration
	delay    load.Span

	mu             sync.Mutex
	rng            *rand.Rand
	lastDue        time.Time
	version        int64
	entries        map[string]Entry
	changes        []change // the most recent ones
	trimmedVersion int64    // changes up to this version are dropped
	changed        chan struct{}
	silent         bool
	relayEntries   map[string]Entry // the list as the relay was last told
	relayVersion   int64
	server         *http.Server
	addr           string
	closed         bool
	timers         []*time.Timer
	wg             sync.WaitGroup
	onNotice       func(id, end string, retryAfter time.Duration)
}

type change struct {
	version int64
	entry   Entry
}

// NewAgent starts an agent. onNotice is called for each message that the relay ends by a notice.
func NewAgent(relay string, recorder *history.Recorder, l *load.Load, seed uint64,
	onNotice func(id, end string, retryAfter time.Duration)) (*Agent, error) {
	a := &Agent{relay: relay, recorder: recorder, renewal: l.Agent.Renewal.Duration, delay: l.Agent.Notice,
		rng:     rand.New(rand.NewPCG(seed, 0x616765)),
		entries: map[string]Entry{}, relayEntries: map[string]Entry{}, changed: make(chan struct{}), onNotice: onNotice}
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
	mux.HandleFunc("GET /catalog/members", a.handleMembers)
	mux.HandleFunc("POST /v2/finals", a.handleNotices)
	s := &http.Server{Handler: mux, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
	a.mu.Lock()
	a.server, a.addr = s, l.Addr().String()
	a.mu.Unlock()
	a.wg.Go(func() { s.Serve(l) })
	return nil
}

// Addr returns the address that the relay is to connect to.
func (a *Agent) Addr() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.addr
}

// Move makes the agent listen at another address. The old address accepts no new connections and closes the open ones
// later.
func (a *Agent) Move() error {
	a.mu.Lock()
	old := a.server
	a.mu.Unlock()
	if err := a.listen(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), oldAddressGrace)
	a.wg.Go(func() {
		defer cancel()
		if old.Shutdown(ctx) != nil {
			old.Close()
		}
	})
	return nil
}

// Close stops the agent.
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

// SetSilent stops or resumes answers about the list. Notices are acknowledged all the time.
func (a *Agent) SetSilent(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = on
	a.notifyWatchers()
}

func (a *Agent) notifyWatchers() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// ReceiveLater applies a change after a random delay. Changes are applied in their order.
func (a *Agent) ReceiveLater(version int64, entries ...Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	due := time.Now().Add(drawSpan(a.rng, a.delay))
	if due.Before(a.lastDue) {
		due = a.lastDue.Add(time.Microsecond)
	}
	a.lastDue = due
	a.timers = append(a.timers, time.AfterFunc(time.Until(due), func() { a.Receive(version, entries...) }))
}

// Receive applies a change now.
func (a *Agent) Receive(version int64, entries ...Entry) {
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
	if excess := len(a.changes) - maxKeptChanges; excess > 0 {
		a.trimmedVersion = a.changes[excess-1].version
		a.changes = a.changes[excess:]
	}
	a.notifyWatchers()
}

// RelayList returns the list as the relay was last told.
func (a *Agent) RelayList() List {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := List{Version: a.relayVersion, Full: true, Servers: []Entry{}}
	for _, e := range a.relayEntries {
		l.Servers = append(l.Servers, e)
	}
	slices.SortFunc(l.Servers, func(x, y Entry) int { return compareStrings(x.ID, y.ID) })
	return l
}

func compareStrings(a, b string) int {
	if a < b {
		return -1
	} else if a > b {
		return 1
	}
	return 0
}

// changesSince returns what a relay with a list of the given version lacks; nil if nothing.
func (a *Agent) changesSince(version int64) *List {
	if version == a.version {
		return nil
	}
	l := &List{Version: a.version, Servers: []Entry{}}
	if version < a.trimmedVersion || version > a.version || version == 0 {
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
	slices.SortFunc(l.Servers, func(x, y Entry) int { return compareStrings(x.ID, y.ID) })
	return l
}

// recordList records that the relay was told a list, or, if nothing was sent, that it holds one from its configuration.
func (a *Agent) recordList(l *List) {
	events := make([]history.Event, 0, len(l.Servers))
	a.mu.Lock()
	if l.Full {
		present := map[string]bool{}
		for _, e := range l.Servers {
			present[e.ID] = true
		}
		for id, e := range a.relayEntries {
			if !present[id] {
				events = append(events, history.Event{Kind: history.ListUpdate, Relay: a.relay, Endpoint: id, Dest: e.Cell, State: "gone",
					Version: l.Version})
				delete(a.relayEntries, id)
			}
		}
	}
	for _, e := range l.Servers {
		if e.State == "gone" {
			delete(a.relayEntries, e.ID)
		} else {
			a.relayEntries[e.ID] = e
		}
		events = append(events, history.Event{Kind: history.ListUpdate, Relay: a.relay, Endpoint: e.ID, Dest: e.Cell, State: e.State,
			Version: l.Version})
	}
	a.relayVersion = max(a.relayVersion, l.Version)
	a.mu.Unlock()
	a.recorder.AddAll(events)
}

// RecordList records a list that a real agent sent to the relay in place of this one, which then only does the
// bookkeeping.
func (a *Agent) RecordList(l *List) { a.recordList(l) }

// RecordNotices records notices that a real agent acknowledged in place of this one.
func (a *Agent) RecordNotices(body []byte) {
	if notices, err := parseNotices(body); err == nil {
		a.recordNotices(notices)
	}
}

// RecordInitialList records that the relay holds the agent's present list, from its configuration.
func (a *Agent) RecordInitialList() {
	a.mu.Lock()
	l := a.changesSince(0)
	a.mu.Unlock()
	if l != nil {
		a.recordList(l)
	}
}

// handleMembers serves the list, once or as a stream of changes.
func (a *Agent) handleMembers(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	version, err := strconv.ParseInt(q.Get("index"), 10, 64)
	if q.Get("index") != "" && err != nil {
		http.Error(w, "bad index", http.StatusBadRequest)
		return
	}
	controller := http.NewResponseController(w)
	watch := q.Get("stream") == "1"
	if !watch {
		version = -1
	}
	first := true
	for {
		a.mu.Lock()
		l, silent, changed := a.changesSince(version), a.silent, a.changed
		if l != nil && !watch && !l.Full {
			l = a.changesSince(0)
		}
		a.mu.Unlock()
		if !silent {
			var line []byte
			if l != nil {
				line, _ = json.Marshal(l) // cannot fail: only plain values
			}
			// The list counts as received by the relay from when it was written.
			if l != nil || !first {
				if _, err := w.Write(append(line, '\n')); err != nil {
					return
				}
			}
			if controller.Flush() != nil {
				return
			}
			if l != nil {
				version = l.Version
				a.recordList(l)
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

// noticeLine is a notice, one line of a request body.
type noticeLine struct {
	ID      string   `json:"id"`
	Status  string   `json:"status"`
	AgainMS *float64 `json:"again_ms"`
}

func parseNotices(body []byte) (all []noticeLine, err error) {
	for rows := bufio.NewScanner(bytes.NewReader(body)); rows.Scan(); {
		var x noticeLine
		if err := json.Unmarshal(rows.Bytes(), &x); err != nil || x.ID == "" || (x.Status != "undeliverable" && x.Status != "deferred") {
			return nil, errors.New("malformed notice")
		}
		all = append(all, x)
	}
	return all, nil
}

// recordNotices records notices that were acknowledged and reports them to the client.
func (a *Agent) recordNotices(notices []noticeLine) {
	events := make([]history.Event, len(notices))
	for i, x := range notices {
		events[i] = history.Event{Kind: history.Notice, Relay: a.relay, ID: x.ID, End: x.Status}
		if x.AgainMS != nil {
			events[i].RetryAfter = int64(*x.AgainMS * 1000)
		}
	}
	a.recorder.AddAll(events)
	for i, x := range notices {
		a.onNotice(x.ID, x.Status, time.Duration(events[i].RetryAfter)*time.Microsecond)
	}
}

// handleNotices accepts notices from the relay.
func (a *Agent) handleNotices(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxNoticeBytes))
	var notices []noticeLine
	if err == nil {
		notices, err = parseNotices(body)
	}
	if err != nil {
		http.Error(w, "unreadable", http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
	if err := http.NewResponseController(w).Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return
	}
	a.recordNotices(notices)
}
