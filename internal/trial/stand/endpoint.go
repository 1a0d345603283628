package stand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"wallflow/internal/trial/history"
	"wallflow/internal/trial/load"
)

const (
	bodyMost   = 64 << 10
	bundleMost = 1 << 20
	queueLook  = 5 * time.Millisecond
	workSpread = 0.5 // of the logarithm of a message's work
)

// Mode is what an endpoint does beside its work.
type Mode struct {
	Hung     bool      // takes calls and does not answer
	Slow     float64   // times as long; 0: as usual
	Errors   float64   // share of calls answered 500, beside the usual ones
	Shut     time.Time // refuses until then
	Reset    bool      // breaks the connection once the last byte has come
	Nonsense bool      // answers what cannot be read
}

// Endpoint is one endpoint of a partner.
type Endpoint struct {
	ID, Zone string
	Cell     int
	Kind     *load.Kind

	gate   *gate
	rec    *history.Recorder
	number func() int // of calls, over all endpoints
	work   time.Duration
	weight float64
	door   *door
	server *http.Server
	served sync.WaitGroup
	fell   func() // called once, when its partner falls over

	mu   sync.Mutex
	mode Mode
	open int
	rng  *rand.Rand
}

// newEndpoint starts an endpoint.
func newEndpoint(e *Endpoint, seed uint64) *Endpoint {
	e.rng = rand.New(rand.NewPCG(seed, 0x656e64))
	e.door = newDoor()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /events", e.single)
	mux.HandleFunc("POST /events/bundle", e.bundle)
	e.server = &http.Server{Handler: mux, ConnContext: connContext, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
	e.served.Go(func() { e.server.Serve(e.door) })
	return e
}

// Dial opens a connection from a relay.
func (e *Endpoint) Dial(relay string) func(ctx context.Context) (net.Conn, error) {
	return func(ctx context.Context) (net.Conn, error) {
		e.mu.Lock()
		e.open++
		over := e.Kind.Conns > 0 && e.open > e.Kind.Conns
		e.mu.Unlock()
		c, err := e.door.dial(ctx, &wire{relay: relay, over: over}, e.left)
		if err != nil {
			e.left()
		}
		return c, err
	}
}

func (e *Endpoint) left() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.open--
}

// Set changes what the endpoint does.
func (e *Endpoint) Set(edit func(*Mode)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	edit(&e.mode)
}

// Returned has the endpoint start cold, after an outage.
func (e *Endpoint) Returned() { e.gate.cold(time.Now()) }

// Lower sets its limit, or its partner's, to a share of the usual.
func (e *Endpoint) Lower(share float64) { e.gate.lower(share) }

// Weight is the limit that the list tells, in calls a second.
func (e *Endpoint) Weight() float64 { return e.weight }

// Close ends the endpoint and its connections.
func (e *Endpoint) Close() {
	e.server.Close()
	e.served.Wait()
}

func (e *Endpoint) now() (Mode, float64, float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mode, e.rng.Float64(), e.rng.NormFloat64()
}

// single is a call with one message.
func (e *Endpoint) single(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyMost)); err != nil {
		http.Error(w, "body unreadable", http.StatusBadRequest)
		return
	}
	id := r.Header.Get("X-Trace-Id")
	if id == "" {
		http.Error(w, "no X-Trace-Id", http.StatusBadRequest)
		return
	}
	e.call(w, r, []string{id}, false)
}

// bundle is a call with several.
func (e *Endpoint) bundle(w http.ResponseWriter, r *http.Request) {
	var items []struct {
		ID   string `json:"id"`
		Key  string `json:"key"`
		Body []byte `json:"body"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, bundleMost)).Decode(&items); err != nil || len(items) == 0 {
		http.Error(w, "body unreadable or empty", http.StatusBadRequest)
		return
	}
	if len(items) > e.Kind.PerCall {
		http.Error(w, "too many messages", http.StatusRequestEntityTooLarge)
		return
	}
	seen := map[string]bool{}
	ids := make([]string, len(items))
	for i, x := range items {
		if x.ID == "" || seen[x.ID] {
			http.Error(w, "a message with no id, or twice", http.StatusBadRequest)
			return
		}
		seen[x.ID], ids[i] = true, x.ID
	}
	e.call(w, r, ids, true)
}

// call is one call: its messages are put down as it comes, and again with how it ended.
func (e *Endpoint) call(w http.ResponseWriter, r *http.Request, ids []string, many bool) {
	c := wireOf(r)
	began, sent := c.times()
	n := e.number()
	events := make([]history.Event, len(ids))
	for i, id := range ids {
		events[i] = history.Event{Kind: history.Call, Relay: c.relay, ID: id, Number: n, Endpoint: e.ID, Zone: e.Zone,
			Began: e.rec.Stamp(began), Sent: e.rec.Stamp(sent)}
	}
	e.rec.AddAll(events)
	ended := func(outcome string, wait time.Duration) {
		for i := range events {
			x := &events[i]
			x.Kind, x.Outcome, x.Wait = history.Reply, outcome, wait.Microseconds()
		}
		e.rec.AddAll(events)
		if wait > 0 {
			heard := events[0]
			heard.Kind, heard.ID, heard.Outcome = history.Heard, "", ""
			c.whenHeard(func(ago time.Duration) {
				heard.Took = ago.Microseconds()
				e.rec.Add(heard)
			})
		}
	}
	if c.over {
		w.Header().Set("Connection", "close")
		e.answer(w, http.StatusServiceUnavailable, 0, nil, ended)
		return
	}
	mode, chance, spread := e.now()
	if mode.Reset {
		c.mu.Lock()
		c.reset = true
		c.mu.Unlock()
		ended(history.Broken, 0)
		panic(http.ErrAbortHandler)
	}
	if mode.Hung {
		<-r.Context().Done()
		ended(history.Broken, 0)
		return
	}
	now := time.Now()
	if now.Before(mode.Shut) {
		if chance < e.Kind.Tells.Of1 {
			e.answer(w, http.StatusTooManyRequests, mode.Shut.Sub(now), nil, ended)
		} else {
			e.answer(w, http.StatusServiceUnavailable, 0, nil, ended)
		}
		return
	}
	if ok, wait := e.gate.admit(now); !ok {
		status := http.StatusServiceUnavailable
		if wait > 0 {
			status = http.StatusTooManyRequests
		}
		e.answer(w, status, wait, nil, ended)
		return
	}
	ok, wait, fell := e.gate.enter(now)
	if fell {
		e.fell()
	}
	if !ok {
		e.answer(w, http.StatusServiceUnavailable, 0, nil, ended)
		return
	}
	for wait && !e.gate.promote(time.Now()) {
		select {
		case <-time.After(queueLook):
		case <-r.Context().Done():
			e.gate.abandon()
			ended(history.Broken, 0)
			return
		}
	}
	work := float64(e.work) * math.Exp(workSpread*spread-workSpread*workSpread/2) * (1 + e.Kind.Item.Of1*float64(len(ids)-1))
	if mode.Slow > 0 {
		work *= mode.Slow
	}
	select {
	case <-time.After(time.Duration(work)):
		e.gate.leave()
	case <-r.Context().Done(): // it runs on: calls that are called off do
		left := time.Duration(work) - time.Since(now)
		time.AfterFunc(max(0, left), e.gate.leave)
		ended(history.Broken, 0)
		return
	}
	switch {
	case chance < e.Kind.Errors.Of1+mode.Errors:
		e.answer(w, http.StatusInternalServerError, 0, nil, ended)
	case mode.Nonsense && many:
		e.answer(w, http.StatusOK, 0, []byte(`[{"id":"`), func(string, time.Duration) { ended(history.Error, 0) })
	case many:
		body, _ := json.Marshal(states(ids)) // strings alone
		e.answer(w, http.StatusOK, 0, body, ended)
	default:
		e.answer(w, http.StatusOK, 0, []byte("ok"), ended)
	}
}

type state struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

func states(ids []string) []state {
	all := make([]state, len(ids))
	for i, id := range ids {
		all[i] = state{id, "ok"}
	}
	return all
}

// answer writes an answer and, once it is written, puts down the outcome.
func (e *Endpoint) answer(w http.ResponseWriter, status int, wait time.Duration, body []byte, ended func(string, time.Duration)) {
	left, limit := e.gate.report()
	w.Header().Set("Endpoint-Load-Metrics", fmt.Sprintf("TEXT x0=%.3f, x1=%.3f", left, limit))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if wait > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
		wait = wait.Truncate(time.Millisecond)
	}
	w.WriteHeader(status)
	_, err := w.Write(body)
	if e := http.NewResponseController(w).Flush(); err == nil {
		err = e
	}
	outcome := history.Refused
	switch {
	case err != nil:
		outcome, wait = history.Broken, 0
	case status == http.StatusOK:
		outcome = history.OK
	case status == http.StatusInternalServerError:
		outcome = history.Error
	}
	ended(outcome, wait)
}
