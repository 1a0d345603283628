package listsvc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"wallflow/internal/catalog"
)

const (
	maxBodyBytes      = 1 << 20               // size of a request body in bytes
	maxWatches        = 8192                  // watches at a time
	keepaliveInterval = 2 * time.Second       // a watch gets an empty line after this time without a change
	coalesceDelay     = 20 * time.Millisecond // changes within this time are sent as one line
	watchWriteTimeout = 3 * time.Second       // a watch is ended if a write to its connection takes longer
	applyTimeout      = 5 * time.Second       // for a request that the leader must confirm or commit
	retryAfterSeconds = "1"                   // while there is no leader
	forwardedByHeader = "X-Forwarded-By"
	contentTypeJSON   = "application/json"
)

// ErrNoLeader reports that this server cannot serve a write or a consistent read because it is not an established leader. A
// write that fails with it was not applied; see ErrOutcomeUnknown.
var ErrNoLeader = errors.New("no server leads")

// Replica is the interface of the HTTP API to the replicated list.
type Replica interface {
	// Write commits and applies a write. On ErrNoLeader another server may be the leader.
	Write(ctx context.Context, w catalog.Write) (catalog.Result, error)
	// Confirm returns nil once this server's list contains every write acknowledged before the call.
	Confirm(ctx context.Context) error
	// Leader returns the HTTP address of the leader, or "" if it is unknown or this server.
	Leader() string
	// Age returns how stale this server's list may be: the time since it was last known to be as new as the leader's.
	Age() time.Duration
}

// API serves the list over HTTP.
type API struct {
	name          string
	machine       *Machine
	replica       Replica
	log           *slog.Logger
	forwardClient *http.Client
	ctx           context.Context // its end ends all watches
	watches       atomic.Int64
}

// NewAPI returns the HTTP API of a server. Watches end when ctx ends.
func NewAPI(ctx context.Context, name string, m *Machine, r Replica, log *slog.Logger) *API {
	return &API{name: name, machine: m, replica: r, log: log, ctx: ctx,
		forwardClient: &http.Client{Timeout: applyTimeout, Transport: &http.Transport{MaxConnsPerHost: 16, MaxIdleConnsPerHost: 16, DisableCompression: true}}}
}

// Handler returns the handler for the paths below /catalog/.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", a.handleGet)
	mux.HandleFunc("POST /catalog/members", a.handlePost)
	mux.HandleFunc("PUT /catalog/members/{id}", a.handlePut)
	mux.HandleFunc("DELETE /catalog/members/{id}", a.handleDelete)
	return mux
}

// errorResponse is the body of an error response.
type errorResponse struct {
	Error string `json:"error"`
	Entry string `json:"entry,omitempty"`
	Field string `json:"field,omitempty"`
}

// writeError sends an error response.
func (a *API) writeError(w http.ResponseWriter, status int, err error) {
	p := errorResponse{Error: err.Error()}
	var field *catalog.FieldError
	if errors.As(err, &field) {
		p.Entry, p.Field = field.Entry, field.Field
	}
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	w.Header().Set("Content-Type", contentTypeJSON)
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(p)
}

// writeOutcomeUnknown answers a write that may or may not have been applied.
func (a *API) writeOutcomeUnknown(w http.ResponseWriter, err error) {
	w.Header().Set("X-Outcome", "unknown")
	a.writeError(w, http.StatusServiceUnavailable, err)
}

// setCatalogHeaders sets the headers that describe the list from which a request is answered.
func (a *API) setCatalogHeaders(w http.ResponseWriter, s Status) {
	h := w.Header()
	h.Set("Content-Type", contentTypeJSON)
	h.Set("X-Catalog-Version", strconv.FormatInt(s.Version, 10))
	h.Set("X-Catalog-Cluster", s.Cluster)
	h.Set("X-Catalog-Age-Ms", strconv.FormatInt(a.replica.Age().Milliseconds(), 10))
	h.Set("X-Catalog-Server", a.name)
}

// handleGet responds with the full list on this server, or serves a watch.
func (a *API) handleGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	for name := range q {
		if name != "stream" && name != "index" && name != "cluster" && name != "consistent" {
			a.writeError(w, http.StatusBadRequest, fmt.Errorf("query %q is unknown: wanted are stream, index, cluster and consistent", name))
			return
		}
	}
	index := int64(0)
	if text := q.Get("index"); text != "" {
		var err error
		if index, err = strconv.ParseInt(text, 10, 64); err != nil || index < 0 {
			a.writeError(w, http.StatusBadRequest, fmt.Errorf("index %q is no version", text))
			return
		}
	}
	if q.Get("consistent") == "1" && q.Get("stream") == "1" {
		a.writeError(w, http.StatusBadRequest, errors.New("a watch begins with what its server has: read consistent first, and watch from that index"))
		return
	}
	if q.Get("consistent") == "1" {
		ctx, cancel := context.WithTimeout(r.Context(), applyTimeout)
		err := a.replica.Confirm(ctx)
		cancel()
		if err != nil {
			a.forwardToLeader(w, r, nil, err)
			return
		}
	}
	if q.Get("stream") == "1" {
		// A client that does not name a cluster uses the platform's protocol, which has no cluster IDs. Its index is taken
		// to be a version of the current cluster.
		cluster := q.Get("cluster")
		if !q.Has("cluster") {
			cluster = a.machine.Status().Cluster
		}
		a.serveWatch(w, r, cluster, index)
		return
	}
	l, cluster := a.machine.FullList()
	a.setCatalogHeaders(w, Status{Cluster: cluster, Version: l.Version})
	json.NewEncoder(w).Encode(l)
}

// serveWatch streams the changes since a version, one list per line.
func (a *API) serveWatch(w http.ResponseWriter, r *http.Request, cluster string, version int64) {
	defer a.watches.Add(-1)
	if a.watches.Add(1) > maxWatches {
		a.writeError(w, http.StatusServiceUnavailable, fmt.Errorf("this server has its %d watches", maxWatches))
		return
	}
	a.setCatalogHeaders(w, a.machine.Status())
	err := ServeWatch(w, r, a.ctx, func() (catalog.List, bool, <-chan struct{}) {
		l, changed, next := a.machine.Since(cluster, version)
		if changed {
			cluster, version = a.machine.clusterOfList(l, cluster), l.Version
		}
		return l, changed, next
	})
	if err != nil {
		a.log.Info("watch ended", "watcher", r.RemoteAddr, "version", version, "err", err)
	}
}

// ServeWatch serves a watch until the client disconnects or stops reading, or done ends. It writes a line for each list that since
// reports as changed, and an empty line after keepaliveInterval without a change. since also returns a channel that is
// closed once there may be another change.
func ServeWatch(w http.ResponseWriter, r *http.Request, done context.Context, since func() (l catalog.List, changed bool, next <-chan struct{})) error {
	controller := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	tick := time.NewTimer(keepaliveInterval)
	defer tick.Stop()
	for first := true; ; first = false {
		l, changed, next := since()
		controller.SetWriteDeadline(time.Now().Add(watchWriteTimeout))
		var err error
		switch {
		case changed:
			err = enc.Encode(l) // includes the line break
		case !first:
			_, err = io.WriteString(w, "\n")
		}
		if err == nil {
			err = controller.Flush()
		}
		if err != nil {
			return err
		}
		tick.Reset(keepaliveInterval)
		select {
		case <-next:
			// Wait for further changes, so that a burst is sent in a few lines instead of one per change.
			if !sleep(r.Context(), done, coalesceDelay) {
				return nil
			}
		case <-tick.C:
		case <-r.Context().Done():
			return nil
		case <-done.Done():
			return nil
		}
	}
}

// sleep waits for d. It returns false if either context ends first.
func sleep(a, b context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-a.Done():
	case <-b.Done():
	}
	return false
}

// clusterOfList returns the cluster of a list that was just read: the current one for a full list, otherwise before.
func (m *Machine) clusterOfList(l catalog.List, before string) string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if l.Full && m.catalog != nil {
		return m.catalog.Cluster()
	}
	return before
}

// readBody decodes the JSON body of a request into v. It returns the raw body, or the HTTP status for an error.
func readBody(w http.ResponseWriter, r *http.Request, v any) ([]byte, int, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("body over %d bytes", maxBodyBytes)
	case err != nil:
		return nil, http.StatusBadRequest, fmt.Errorf("body unreadable: %w", err)
	}
	if err := json.Unmarshal(data, v); err != nil {
		return nil, http.StatusBadRequest, fmt.Errorf("body: %w", err)
	}
	return data, 0, nil
}

// handlePut sets one entry.
func (a *API) handlePut(w http.ResponseWriter, r *http.Request) {
	var e catalog.Entry
	data, status, err := readBody(w, r, &e)
	if err != nil {
		a.writeError(w, status, err)
		return
	}
	if id := r.PathValue("id"); e.ID == "" {
		e.ID = id
	} else if e.ID != id {
		a.writeError(w, http.StatusBadRequest, &catalog.FieldError{Entry: strconv.Quote(id), Field: "id", Why: fmt.Sprintf("%q stands in the body", e.ID)})
		return
	}
	a.submitWrite(w, r, data, catalog.Change{Entry: e})
}

// handleDelete removes one entry.
func (a *API) handleDelete(w http.ResponseWriter, r *http.Request) {
	a.submitWrite(w, r, nil, catalog.Change{Entry: catalog.Entry{ID: r.PathValue("id")}, Remove: true})
}

// handlePost applies several changes atomically.
func (a *API) handlePost(w http.ResponseWriter, r *http.Request) {
	var batch struct {
		Changes []catalog.Change `json:"changes"`
	}
	data, status, err := readBody(w, r, &batch)
	if err != nil {
		a.writeError(w, status, err)
		return
	}
	if len(batch.Changes) == 0 {
		a.writeError(w, http.StatusBadRequest, errors.New(`body: no "changes"`))
		return
	}
	a.submitWrite(w, r, data, batch.Changes...)
}

// submitWrite commits a write, or forwards the request to the leader.
func (a *API) submitWrite(w http.ResponseWriter, r *http.Request, data []byte, changes ...catalog.Change) {
	write := catalog.Write{Key: r.Header.Get("Idempotency-Key"), Changes: changes}
	if text := r.Header.Get("If-Match"); text != "" {
		v, err := strconv.ParseInt(strings.Trim(text, `"`), 10, 64)
		if err != nil {
			a.writeError(w, http.StatusBadRequest, fmt.Errorf("If-Match %q is no version", text))
			return
		}
		write.IfMatch = &v
	}
	ctx, cancel := context.WithTimeout(r.Context(), applyTimeout)
	defer cancel()
	res, err := a.replica.Write(ctx, write)
	switch {
	case err == nil:
		a.setCatalogHeaders(w, a.machine.Status())
		w.Header().Set("X-Catalog-Version", strconv.FormatInt(res.Version, 10))
		json.NewEncoder(w).Encode(res)
	case errors.Is(err, ErrOutcomeUnknown):
		a.writeOutcomeUnknown(w, err)
	case errors.Is(err, ErrNoLeader):
		a.forwardToLeader(w, r, data, err)
	case errors.Is(err, catalog.ErrVersion):
		a.writeError(w, http.StatusPreconditionFailed, err)
	case errors.Is(err, catalog.ErrKeyReused):
		a.writeError(w, http.StatusUnprocessableEntity, err)
	case errors.Is(err, catalog.ErrTooMany), errors.Is(err, catalog.ErrExhausted):
		a.writeError(w, http.StatusInsufficientStorage, err)
	case errors.Is(err, ErrNotFounded):
		a.writeError(w, http.StatusServiceUnavailable, err)
	default:
		a.writeError(w, http.StatusBadRequest, err)
	}
}

// forwardToLeader forwards a request to the leader. A request that was already forwarded is not forwarded again, because two
// servers that each take the other for the leader would do so forever.
func (a *API) forwardToLeader(w http.ResponseWriter, r *http.Request, data []byte, cause error) {
	leader := a.replica.Leader()
	if leader == "" || r.Header.Get(forwardedByHeader) != "" {
		a.writeError(w, http.StatusServiceUnavailable, cause)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), applyTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+leader+r.URL.RequestURI(), strings.NewReader(string(data)))
	if err != nil {
		a.writeError(w, http.StatusServiceUnavailable, fmt.Errorf("%w: %w", cause, err))
		return
	}
	for _, name := range []string{"If-Match", "Idempotency-Key", "Content-Type"} {
		if v := r.Header.Get(name); v != "" {
			req.Header.Set(name, v)
		}
	}
	req.Header.Set(forwardedByHeader, a.name)
	res, err := a.forwardClient.Do(req)
	var opErr *net.OpError
	if err != nil && r.Method != http.MethodGet && !(errors.As(err, &opErr) && opErr.Op == "dial") {
		a.writeOutcomeUnknown(w, fmt.Errorf("%w (the leader at %s: %w)", ErrOutcomeUnknown, leader, err))
		return
	}
	if err != nil {
		a.writeError(w, http.StatusServiceUnavailable, fmt.Errorf("%w: the leader at %s: %w", cause, leader, err))
		return
	}
	defer res.Body.Close()
	for _, name := range []string{"Content-Type", "Retry-After", "X-Outcome", "X-Catalog-Version", "X-Catalog-Cluster", "X-Catalog-Age-Ms", "X-Catalog-Server"} {
		if v := res.Header.Get(name); v != "" {
			w.Header().Set(name, v)
		}
	}
	w.WriteHeader(res.StatusCode)
	if _, err := io.Copy(w, res.Body); err != nil {
		a.log.Info("response of the leader was cut short", "leader", leader, "err", err)
		panic(http.ErrAbortHandler) // the client must not take a partial response for a complete one
	}
}
