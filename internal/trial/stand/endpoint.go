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
	maxBodyBytes      = 64 << 10
	maxBundleBytes    = 1 << 20
	queuePollInterval = 5 * time.Millisecond
	workLogSpread     = 0.5 // standard deviation of the logarithm of the processing time
)

// Mode is the faulty behavior of an endpoint.
type Mode struct {
	Hang             bool      // accepts calls and does not answer
	SlowFactor       float64   // multiplies the processing time; 0: as usual
	ErrorShare       float64   // share of calls answered 500, on top of the usual share
	UnavailableUntil time.Time // refuses all calls until then
	ResetConnections bool      // resets the connection after the last byte of a request
	Malformed        bool      // answers with a body that cannot be parsed
}

// Endpoint is one endpoint of a partner.
type Endpoint struct {
	ID, Zone string
	Cell     int
	Kind     *load.Kind

	limiter        *limiter
	recorder       *history.Recorder
	nextCallNumber func() int // numbers calls over all endpoints
	work           time.Duration
	weight         float64
	listener       *pipeListener
	server         *http.Server
	served         sync.WaitGroup
	onCollapse     func() // called when its partner collapses under overload

	mu        sync.Mutex
	mode      Mode
	openConns int
	rng       *rand.Rand
}

// newEndpoint starts an endpoint.
func newEndpoint(e *Endpoint, seed uint64) *Endpoint {
	e.rng = rand.New(rand.NewPCG(seed, 0x656e64))
	e.listener = newPipeListener()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /events", e.handleSingle)
	mux.HandleFunc("POST /events/bundle", e.handleBundle)
	e.server = &http.Server{Handler: mux, ConnContext: connContext, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
	e.served.Go(func() { e.server.Serve(e.listener) })
	return e
}

// Dial returns the function by which the link of a relay connects to the endpoint.
func (e *Endpoint) Dial(relay string) func(ctx context.Context) (net.Conn, error) {
	return func(ctx context.Context) (net.Conn, error) {
		e.mu.Lock()
		e.openConns++
		overLimit := e.Kind.Conns > 0 && e.openConns > e.Kind.Conns
		e.mu.Unlock()
		c, err := e.listener.dial(ctx, &relayConn{relay: relay, overLimit: overLimit}, e.connectionClosed)
		if err != nil {
			e.connectionClosed()
		}
		return c, err
	}
}

func (e *Endpoint) connectionClosed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.openConns--
}

// Set changes the endpoint's mode.
func (e *Endpoint) Set(edit func(*Mode)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	edit(&e.mode)
}

// StartCold makes the endpoint's capacity start low, as after an outage.
func (e *Endpoint) StartCold() { e.limiter.startCold(time.Now()) }

// LowerLimit sets the rate limit of the endpoint, or of its partner if they share one, to a share of the usual.
func (e *Endpoint) LowerLimit(share float64) { e.limiter.setLimitShare(share) }

// Weight returns the limit that the list announces, in calls per second.
func (e *Endpoint) Weight() float64 { return e.weight }

// Close stops the endpoint and closes its connections.
func (e *Endpoint) Close() {
	e.server.Close()
	e.served.Wait()
}

func (e *Endpoint) drawBehavior() (Mode, float64, float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mode, e.rng.Float64(), e.rng.NormFloat64()
}

// handleSingle handles a call with one message.
func (e *Endpoint) handleSingle(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
		http.Error(w, "body unreadable", http.StatusBadRequest)
		return
	}
	id := r.Header.Get("X-Trace-Id")
	if id == "" {
		http.Error(w, "no X-Trace-Id", http.StatusBadRequest)
		return
	}
	e.handleCall(w, r, []string{id}, false)
}

// handleBundle handles a call with several messages.
func (e *Endpoint) handleBundle(w http.ResponseWriter, r *http.Request) {
	var items []struct {
		ID   string `json:"id"`
		Key  string `json:"key"`
		Body []byte `json:"body"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBundleBytes)).Decode(&items); err != nil || len(items) == 0 {
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
	e.handleCall(w, r, ids, true)
}

// handleCall processes one call. It records each message of the call when it arrives and again with its outcome.
func (e *Endpoint) handleCall(w http.ResponseWriter, r *http.Request, ids []string, bundled bool) {
	c := connOf(r)
	began, sent := c.requestTimes()
	n := e.nextCallNumber()
	events := make([]history.Event, len(ids))
	for i, id := range ids {
		events[i] = history.Event{Kind: history.Call, Relay: c.relay, ID: id, Number: n, Endpoint: e.ID, Zone: e.Zone,
			Began: e.recorder.Stamp(began), Sent: e.recorder.Stamp(sent)}
	}
	e.recorder.AddAll(events)
	recordReply := func(outcome string, wait time.Duration) {
		for i := range events {
			x := &events[i]
			x.Kind, x.Outcome, x.Wait = history.Reply, outcome, wait.Microseconds()
		}
		e.recorder.AddAll(events)
		if wait > 0 {
			delivered := events[0]
			delivered.Kind, delivered.ID, delivered.Outcome = history.WaitDelivered, "", ""
			c.onDelivered(func(ago time.Duration) {
				delivered.Duration = ago.Microseconds()
				e.recorder.Add(delivered)
			})
		}
	}
	if c.overLimit {
		w.Header().Set("Connection", "close")
		e.writeAnswer(w, http.StatusServiceUnavailable, 0, nil, recordReply)
		return
	}
	mode, uniform, normal := e.drawBehavior()
	if mode.ResetConnections {
		c.mu.Lock()
		c.reset = true
		c.mu.Unlock()
		recordReply(history.ConnectionLost, 0)
		panic(http.ErrAbortHandler)
	}
	if mode.Hang {
		<-r.Context().Done()
		recordReply(history.ConnectionLost, 0)
		return
	}
	now := time.Now()
	if now.Before(mode.UnavailableUntil) {
		if uniform < e.Kind.Tells.Of1 {
			e.writeAnswer(w, http.StatusTooManyRequests, mode.UnavailableUntil.Sub(now), nil, recordReply)
		} else {
			e.writeAnswer(w, http.StatusServiceUnavailable, 0, nil, recordReply)
		}
		return
	}
	if ok, wait := e.limiter.admit(now); !ok {
		status := http.StatusServiceUnavailable
		if wait > 0 {
			status = http.StatusTooManyRequests
		}
		e.writeAnswer(w, status, wait, nil, recordReply)
		return
	}
	ok, queued, collapsed := e.limiter.acquire(now)
	if collapsed {
		e.onCollapse()
	}
	if !ok {
		e.writeAnswer(w, http.StatusServiceUnavailable, 0, nil, recordReply)
		return
	}
	for queued && !e.limiter.startQueued(time.Now()) {
		select {
		case <-time.After(queuePollInterval):
		case <-r.Context().Done():
			e.limiter.leaveQueue()
			recordReply(history.ConnectionLost, 0)
			return
		}
	}
	work := float64(e.work) * math.Exp(workLogSpread*normal-workLogSpread*workLogSpread/2) * (1 + e.Kind.Item.Of1*float64(len(ids)-1))
	if mode.SlowFactor > 0 {
		work *= mode.SlowFactor
	}
	select {
	case <-time.After(time.Duration(work)):
		e.limiter.release()
	case <-r.Context().Done(): // a canceled call is still processed
		remaining := time.Duration(work) - time.Since(now)
		time.AfterFunc(max(0, remaining), e.limiter.release)
		recordReply(history.ConnectionLost, 0)
		return
	}
	switch {
	case uniform < e.Kind.Errors.Of1+mode.ErrorShare:
		e.writeAnswer(w, http.StatusInternalServerError, 0, nil, recordReply)
	case mode.Malformed && bundled:
		e.writeAnswer(w, http.StatusOK, 0, []byte(`[{"id":"`), func(string, time.Duration) { recordReply(history.Error, 0) })
	case bundled:
		body, _ := json.Marshal(bundleStates(ids)) // cannot fail: only strings
		e.writeAnswer(w, http.StatusOK, 0, body, recordReply)
	default:
		e.writeAnswer(w, http.StatusOK, 0, []byte("ok"), recordReply)
	}
}

type bundleState struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

func bundleStates(ids []string) []bundleState {
	all := make([]bundleState, len(ids))
	for i, id := range ids {
		all[i] = bundleState{id, "ok"}
	}
	return all
}

// writeAnswer writes an answer and then records the outcome.
func (e *Endpoint) writeAnswer(w http.ResponseWriter, status int, wait time.Duration, body []byte,
	recordReply func(string, time.Duration)) {
	remaining, limit := e.limiter.reportedLoad()
	w.Header().Set("Endpoint-Load-Metrics", fmt.Sprintf("TEXT x0=%.3f, x1=%.3f", remaining, limit))
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
		outcome, wait = history.ConnectionLost, 0
	case status == http.StatusOK:
		outcome = history.OK
	case status == http.StatusInternalServerError:
		outcome = history.Error
	}
	recordReply(outcome, wait)
}
