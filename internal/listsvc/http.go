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
	bodyMost     = 1 << 20 // of a write
	watchesMost  = 8192
	lineEach     = 2 * time.Second // a watch has a line at least so often
	gatherFor    = 20 * time.Millisecond
	slowFor      = 3 * time.Second // a watcher that takes nothing for so long is ended
	applyFor     = 5 * time.Second
	retryAfter   = "1" // seconds, where nobody leads
	forwardedBy  = "X-Forwarded-By"
	contentsType = "application/json"
)

// ErrNoLeader tells that a write or a consistent read cannot be had now: it was not taken on, or it is not known whether it was.
var ErrNoLeader = errors.New("no server leads")

// Replica is a server of the cluster, as its HTTP face sees it.
type Replica interface {
	// Write has the leader's log take a write on. With ErrNoLeader another server may lead.
	Write(ctx context.Context, w catalog.Write) (catalog.Result, error)
	// Confirm returns once this server's list holds all that was acknowledged before the call.
	Confirm(ctx context.Context) error
	// Leader is the HTTP address of the server that leads; empty: not known, or this one.
	Leader() string
	// Age is how long ago this server's list was as new as the leader's, as far as it knows.
	Age() time.Duration
}

// Face is the HTTP face of a list server.
type Face struct {
	name    string
	machine *Machine
	replica Replica
	log     *slog.Logger
	forward *http.Client
	over    context.Context // ends the watches with the server
	watches atomic.Int64
}

// NewFace returns the face of a server. Watches end with ctx.
func NewFace(ctx context.Context, name string, m *Machine, r Replica, log *slog.Logger) *Face {
	return &Face{name: name, machine: m, replica: r, log: log, over: ctx,
		forward: &http.Client{Timeout: applyFor, Transport: &http.Transport{MaxConnsPerHost: 16, MaxIdleConnsPerHost: 16, DisableCompression: true}}}
}

// Handler serves the catalog.
func (f *Face) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", f.read)
	mux.HandleFunc("POST /catalog/members", f.post)
	mux.HandleFunc("PUT /catalog/members/{id}", f.put)
	mux.HandleFunc("DELETE /catalog/members/{id}", f.remove)
	return mux
}

// problem is the body of an answer that is no list.
type problem struct {
	Error string `json:"error"`
	Entry string `json:"entry,omitempty"`
	Field string `json:"field,omitempty"`
}

func (f *Face) fail(w http.ResponseWriter, status int, err error) {
	p := problem{Error: err.Error()}
	var field *catalog.FieldError
	if errors.As(err, &field) {
		p.Entry, p.Field = field.Entry, field.Field
	}
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfter)
	}
	w.Header().Set("Content-Type", contentsType)
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(p)
}

// unknown answers a write of which nobody can say whether it was taken on.
func (f *Face) unknown(w http.ResponseWriter, err error) {
	w.Header().Set("X-Outcome", "unknown")
	f.fail(w, http.StatusServiceUnavailable, err)
}

// stand tells with an answer what it was answered from.
func (f *Face) stand(w http.ResponseWriter, s Status) {
	h := w.Header()
	h.Set("Content-Type", contentsType)
	h.Set("X-Catalog-Version", strconv.FormatInt(s.Version, 10))
	h.Set("X-Catalog-Cluster", s.Cluster)
	h.Set("X-Catalog-Age-Ms", strconv.FormatInt(f.replica.Age().Milliseconds(), 10))
	h.Set("X-Catalog-Server", f.name)
}

// read answers with the list as this server has it, or follows it.
func (f *Face) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	for name := range q {
		if name != "stream" && name != "index" && name != "cluster" && name != "consistent" {
			f.fail(w, http.StatusBadRequest, fmt.Errorf("query %q is unknown: wanted are stream, index, cluster and consistent", name))
			return
		}
	}
	index := int64(0)
	if text := q.Get("index"); text != "" {
		var err error
		if index, err = strconv.ParseInt(text, 10, 64); err != nil || index < 0 {
			f.fail(w, http.StatusBadRequest, fmt.Errorf("index %q is no version", text))
			return
		}
	}
	if q.Get("consistent") == "1" && q.Get("stream") == "1" {
		f.fail(w, http.StatusBadRequest, errors.New("a watch begins with what its server has: read consistent first, and watch from that index"))
		return
	}
	if q.Get("consistent") == "1" {
		ctx, cancel := context.WithTimeout(r.Context(), applyFor)
		err := f.replica.Confirm(ctx)
		cancel()
		if err != nil {
			f.elsewhere(w, r, nil, err)
			return
		}
	}
	if q.Get("stream") == "1" {
		// Who does not name a cluster speaks the platform's protocol, and means the one that it followed before.
		cluster := q.Get("cluster")
		if !q.Has("cluster") {
			cluster = f.machine.Status().Cluster
		}
		f.watch(w, r, cluster, index)
		return
	}
	l, cluster := f.machine.Whole()
	f.stand(w, Status{Cluster: cluster, Version: l.Version})
	json.NewEncoder(w).Encode(l)
}

// watch writes what changes, as it changes, a line at a time.
func (f *Face) watch(w http.ResponseWriter, r *http.Request, cluster string, version int64) {
	defer f.watches.Add(-1)
	if f.watches.Add(1) > watchesMost {
		f.fail(w, http.StatusServiceUnavailable, fmt.Errorf("this server has its %d watches", watchesMost))
		return
	}
	f.stand(w, f.machine.Status())
	err := Stream(w, r, f.over, func() (catalog.List, bool, <-chan struct{}) {
		l, changed, next := f.machine.Since(cluster, version)
		if changed {
			cluster, version = f.machine.clusterOf(l, cluster), l.Version
		}
		return l, changed, next
	})
	if err != nil {
		f.log.Info("watch ended", "watcher", r.RemoteAddr, "version", version, "err", err)
	}
}

// Stream answers a watch until the watcher goes, takes nothing for a while, or over ends: a line for what since returns as
// changed, then for each change, and an empty one where there was none for long. What since returns last is closed once there may be more.
func Stream(w http.ResponseWriter, r *http.Request, over context.Context, since func() (l catalog.List, changed bool, next <-chan struct{})) error {
	out := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	tick := time.NewTimer(lineEach)
	defer tick.Stop()
	for first := true; ; first = false {
		l, changed, next := since()
		out.SetWriteDeadline(time.Now().Add(slowFor))
		var err error
		switch {
		case changed:
			err = enc.Encode(l) // with its line's end
		case !first:
			_, err = io.WriteString(w, "\n")
		}
		if err == nil {
			err = out.Flush()
		}
		if err != nil {
			return err
		}
		tick.Reset(lineEach)
		select {
		case <-next:
			// What changes together travels together: a burst is a few lines, not one for each change.
			if !pause(r.Context(), over, gatherFor) {
				return nil
			}
		case <-tick.C:
		case <-r.Context().Done():
			return nil
		case <-over.Done():
			return nil
		}
	}
}

// pause waits; false if either context ends first.
func pause(a, b context.Context, d time.Duration) bool {
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

// clusterOf is the cluster that a list belongs to which was read a moment ago.
func (m *Machine) clusterOf(l catalog.List, before string) string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if l.Full && m.cat != nil {
		return m.cat.Cluster()
	}
	return before
}

// body reads a request's body into v, strictly.
func body(w http.ResponseWriter, r *http.Request, v any) ([]byte, int, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyMost))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("body over %d bytes", bodyMost)
	case err != nil:
		return nil, http.StatusBadRequest, fmt.Errorf("body unreadable: %w", err)
	}
	if err := json.Unmarshal(data, v); err != nil {
		return nil, http.StatusBadRequest, fmt.Errorf("body: %w", err)
	}
	return data, 0, nil
}

// put writes one entry.
func (f *Face) put(w http.ResponseWriter, r *http.Request) {
	var e catalog.Entry
	data, status, err := body(w, r, &e)
	if err != nil {
		f.fail(w, status, err)
		return
	}
	if id := r.PathValue("id"); e.ID == "" {
		e.ID = id
	} else if e.ID != id {
		f.fail(w, http.StatusBadRequest, &catalog.FieldError{Entry: strconv.Quote(id), Field: "id", Why: fmt.Sprintf("%q stands in the body", e.ID)})
		return
	}
	f.write(w, r, data, catalog.Change{Entry: e})
}

// remove removes one.
func (f *Face) remove(w http.ResponseWriter, r *http.Request) {
	f.write(w, r, nil, catalog.Change{Entry: catalog.Entry{ID: r.PathValue("id")}, Remove: true})
}

// post writes several, all or none.
func (f *Face) post(w http.ResponseWriter, r *http.Request) {
	var many struct {
		Changes []catalog.Change `json:"changes"`
	}
	data, status, err := body(w, r, &many)
	if err != nil {
		f.fail(w, status, err)
		return
	}
	if len(many.Changes) == 0 {
		f.fail(w, http.StatusBadRequest, errors.New(`body: no "changes"`))
		return
	}
	f.write(w, r, data, many.Changes...)
}

// write has the cluster take a write on, here or at the server that leads.
func (f *Face) write(w http.ResponseWriter, r *http.Request, data []byte, changes ...catalog.Change) {
	cw := catalog.Write{Key: r.Header.Get("Idempotency-Key"), Changes: changes}
	if text := r.Header.Get("If-Match"); text != "" {
		v, err := strconv.ParseInt(strings.Trim(text, `"`), 10, 64)
		if err != nil {
			f.fail(w, http.StatusBadRequest, fmt.Errorf("If-Match %q is no version", text))
			return
		}
		cw.IfMatch = &v
	}
	ctx, cancel := context.WithTimeout(r.Context(), applyFor)
	defer cancel()
	res, err := f.replica.Write(ctx, cw)
	switch {
	case err == nil:
		f.stand(w, f.machine.Status())
		w.Header().Set("X-Catalog-Version", strconv.FormatInt(res.Version, 10))
		json.NewEncoder(w).Encode(res)
	case errors.Is(err, ErrUnknown):
		f.unknown(w, err)
	case errors.Is(err, ErrNoLeader):
		f.elsewhere(w, r, data, err)
	case errors.Is(err, catalog.ErrVersion):
		f.fail(w, http.StatusPreconditionFailed, err)
	case errors.Is(err, catalog.ErrKeyReused):
		f.fail(w, http.StatusUnprocessableEntity, err)
	case errors.Is(err, catalog.ErrTooMany), errors.Is(err, catalog.ErrExhausted):
		f.fail(w, http.StatusInsufficientStorage, err)
	case errors.Is(err, ErrNotFounded):
		f.fail(w, http.StatusServiceUnavailable, err)
	default:
		f.fail(w, http.StatusBadRequest, err)
	}
}

// elsewhere passes a request on to the server that leads. One that was passed on already goes no further: two servers that
// each take the other for the leader would pass it on for ever.
func (f *Face) elsewhere(w http.ResponseWriter, r *http.Request, data []byte, why error) {
	leader := f.replica.Leader()
	if leader == "" || r.Header.Get(forwardedBy) != "" {
		f.fail(w, http.StatusServiceUnavailable, why)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), applyFor)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+leader+r.URL.RequestURI(), strings.NewReader(string(data)))
	if err != nil {
		f.fail(w, http.StatusServiceUnavailable, fmt.Errorf("%w: %w", why, err))
		return
	}
	for _, name := range []string{"If-Match", "Idempotency-Key", "Content-Type"} {
		if v := r.Header.Get(name); v != "" {
			req.Header.Set(name, v)
		}
	}
	req.Header.Set(forwardedBy, f.name)
	res, err := f.forward.Do(req)
	var dial *net.OpError
	if err != nil && r.Method != http.MethodGet && !(errors.As(err, &dial) && dial.Op == "dial") {
		f.unknown(w, fmt.Errorf("%w (the leader at %s: %w)", ErrUnknown, leader, err))
		return
	}
	if err != nil {
		f.fail(w, http.StatusServiceUnavailable, fmt.Errorf("%w: the leader at %s: %w", why, leader, err))
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
		f.log.Info("answer of the leader cut short", "leader", leader, "err", err)
		panic(http.ErrAbortHandler) // the reader must not take the half for the whole
	}
}
