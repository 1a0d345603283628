package listsvc

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"wallflow/internal/catalog"
)

// fakeReplica is a Replica that applies writes to its machine, unless leader names another server.
type fakeReplica struct {
	machine *Machine
	mu      sync.Mutex
	leader  string // address of another leader; "none": there is no leader; empty: this replica leads
}

func (a *fakeReplica) Write(_ context.Context, w catalog.Write) (catalog.Result, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leader != "" {
		return catalog.Result{}, ErrNoLeader
	}
	data, err := json.Marshal(command{Kind: cmdWrite, Write: &w})
	if err != nil {
		return catalog.Result{}, err
	}
	o := a.machine.Apply(&raft.Log{Data: data}).(commandResult)
	return o.result, o.err
}

func (a *fakeReplica) Confirm(context.Context) error {
	if a.Leader() != "" || a.leader == "none" {
		return ErrNoLeader
	}
	return nil
}

func (a *fakeReplica) Leader() string {
	if a.leader == "none" {
		return ""
	}
	return a.leader
}

func (a *fakeReplica) Age() time.Duration { return 0 }

// messageHandler is a slog.Handler that calls handle with each message.
type messageHandler struct{ handle func(text string) }

func (h messageHandler) Enabled(context.Context, slog.Level) bool { return true }
func (h messageHandler) WithAttrs([]slog.Attr) slog.Handler       { return h }
func (h messageHandler) WithGroup(string) slog.Handler            { return h }
func (h messageHandler) Handle(_ context.Context, r slog.Record) error {
	h.handle(r.Message)
	return nil
}

func newTestAPI(t *testing.T, name, leader string) (*httptest.Server, *fakeReplica) {
	return newTestAPIWithLog(t, name, leader, slog.New(slog.DiscardHandler))
}

func newTestAPIWithLog(t *testing.T, name, leader string, log *slog.Logger) (*httptest.Server, *fakeReplica) {
	t.Helper()
	m := NewMachine(4)
	m.Apply(&raft.Log{Data: encode(t, command{Kind: cmdFound, Cluster: "c1"})})
	a := &fakeReplica{machine: m, leader: leader}
	ctx, cancel := context.WithCancel(context.Background())
	s := httptest.NewServer(NewAPI(ctx, name, m, a, log).Handler())
	t.Cleanup(func() { cancel(); s.Close() })
	return s, a
}

func send(t *testing.T, s *httptest.Server, method, path, body string, header ...string) (status int, text string, h http.Header) {
	t.Helper()
	req, err := http.NewRequest(method, s.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := s.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, strings.TrimSpace(string(data)), res.Header
}

const entryJSON = `{"addr":"10.1.0.18:3000","zone":"a","kind":"m2","cell":3,"state":"ready","weight":1.0,"started_ms":0}`

func TestWritesAndReads(t *testing.T) {
	s, _ := newTestAPI(t, "l0", "")
	if status, text, h := send(t, s, "PUT", "/catalog/members/s-1", entryJSON); status != 200 || text != `{"version":1,"changed":1}` || h.Get("X-Catalog-Version") != "1" {
		t.Errorf("%d %s %v", status, text, h)
	}
	want := `{"version":1,"full":true,"servers":[{"id":"s-1","addr":"10.1.0.18:3000","zone":"a","kind":"m2","cell":3,"state":"ready","weight":1,"started_ms":0}]}`
	for _, path := range []string{"/catalog/members", "/catalog/members?consistent=1"} {
		if status, text, h := send(t, s, "GET", path, ""); status != 200 || text != want || h.Get("X-Catalog-Cluster") != "c1" || h.Get("X-Catalog-Age-Ms") != "0" ||
			h.Get("X-Catalog-Server") != "l0" {
			t.Errorf("%s: %d %s %v", path, status, text, h)
		}
	}
	many := `{"changes":[{"entry":{"id":"s-2",` + entryJSON[1:] + `},{"entry":{"id":"s-1"},"remove":true}]}`
	if status, text, _ := send(t, s, "POST", "/catalog/members", many, "If-Match", `"1"`, "Idempotency-Key", "k1"); status != 200 || text != `{"version":3,"changed":2}` {
		t.Errorf("%d %s", status, text)
	}
	if status, text, _ := send(t, s, "POST", "/catalog/members", many, "If-Match", "1", "Idempotency-Key", "k1"); status != 200 || text != `{"version":3,"changed":2,"repeated":true}` {
		t.Errorf("repeated: %d %s", status, text)
	}
	if status, text, _ := send(t, s, "DELETE", "/catalog/members/s-2", ""); status != 200 || text != `{"version":4,"changed":1}` {
		t.Errorf("%d %s", status, text)
	}
}

// An invalid request is answered with the reason and the entry and field at fault, and changes nothing.
func TestInvalidRequestsNameTheField(t *testing.T) {
	s, a := newTestAPI(t, "l0", "")
	send(t, s, "PUT", "/catalog/members/s-1", entryJSON)
	send(t, s, "PUT", "/catalog/members/s-0", entryJSON, "Idempotency-Key", "k1")
	for _, c := range []struct {
		method, path, body string
		header             []string
		status             int
		want               string
	}{
		{"PUT", "/catalog/members/s-2", strings.Replace(entryJSON, ":1.0", ":-1", 1), nil, 400, `"field":"weight"`},
		{"PUT", "/catalog/members/s-2", strings.Replace(entryJSON, ":1.0", ":NaN", 1), nil, 400, "body: invalid character"},
		{"PUT", "/catalog/members/s-2", strings.Replace(entryJSON, ":3000", "", 1), nil, 400, `"field":"addr"`},
		{"PUT", "/catalog/members/s-1", strings.Replace(entryJSON, `"cell":3`, `"cell":4`, 1), nil, 400, `"field":"cell"`},
		{"PUT", "/catalog/members/s-2", `{"id":"s-3",` + entryJSON[1:], nil, 400, `"field":"id"`},
		{"PUT", "/catalog/members/s-2", `{"cell":"x"}`, nil, 400, "body: "},
		{"PUT", "/catalog/members/s-2", strings.Repeat(" ", maxBodyBytes) + entryJSON, nil, 413, "body over"},
		{"POST", "/catalog/members", `{"changes":[]}`, nil, 400, "changes"},
		{"POST", "/catalog/members", `{"changes":[{"entry":{"id":"s-9",` + entryJSON[1:] + `},{"entry":{"id":"s-8"}}]}`, nil, 400, `"entry":"\"s-8\""`},
		{"DELETE", "/catalog/members/s-1", "", []string{"If-Match", "7"}, 412, "another version"},
		{"DELETE", "/catalog/members/s-1", "", []string{"If-Match", "x"}, 400, "If-Match"},
		{"DELETE", "/catalog/members/s-1", "", []string{"Idempotency-Key", "k1"}, 422, "idempotency key"},
		{"GET", "/catalog/members?index=x", "", nil, 400, `index \"x\"`},
		{"GET", "/catalog/members?index=-1", "", nil, 400, "index"},
		{"GET", "/catalog/members?watch=1", "", nil, 400, `query \"watch\"`},
		{"GET", "/catalog/members?stream=1&consistent=1", "", nil, 400, "a watch begins"},
	} {
		status, text, _ := send(t, s, c.method, c.path, c.body, c.header...)
		if status != c.status || !strings.Contains(text, c.want) {
			t.Errorf("%s %s: %d %.200s, want %d with %q", c.method, c.path, status, text, c.status, c.want)
		}
	}
	if v := a.machine.Status(); v.Version != 2 || v.Entries != 2 {
		t.Errorf("%+v", v)
	}
}

// A server that does not lead forwards writes to the leader, at most once. Without a leader it responds with Retry-After.
func TestWritesAreForwardedToLeader(t *testing.T) {
	leader, leaderReplica := newTestAPI(t, "l0", "")
	follower, _ := newTestAPI(t, "l1", leader.Listener.Addr().String())
	if status, text, h := send(t, follower, "PUT", "/catalog/members/s-1", entryJSON, "Idempotency-Key", "k", "If-Match", "0"); status != 200 || text != `{"version":1,"changed":1}` ||
		h.Get("X-Catalog-Server") != "l0" {
		t.Errorf("%d %s %v", status, text, h)
	}
	if status, text, _ := send(t, follower, "DELETE", "/catalog/members/s-1", "", "If-Match", "9"); status != 412 {
		t.Errorf("rejection by the leader: %d %s", status, text)
	}
	if status, text, _ := send(t, follower, "GET", "/catalog/members?consistent=1", ""); status != 200 || !strings.Contains(text, "s-1") {
		t.Errorf("a consistent read: %d %s", status, text)
	}
	leaderReplica.mu.Lock()
	leaderReplica.leader = follower.Listener.Addr().String() // each server takes the other for the leader
	leaderReplica.mu.Unlock()
	if status, _, h := send(t, follower, "PUT", "/catalog/members/s-2", entryJSON); status != 503 || h.Get("Retry-After") != "1" {
		t.Errorf("forwarding loop: %d %v", status, h)
	}
	leaderless, _ := newTestAPI(t, "l2", "none")
	for _, c := range [][2]string{{"PUT", "/catalog/members/s-2"}, {"GET", "/catalog/members?consistent=1"}} {
		if status, _, h := send(t, leaderless, c[0], c[1], entryJSON); status != 503 || h.Get("Retry-After") != "1" {
			t.Errorf("%s without a leader: %d %v", c[0], status, h)
		}
	}
	if status, _, _ := send(t, leaderless, "GET", "/catalog/members", ""); status != 200 {
		t.Errorf("read without a leader: %d", status)
	}
	if leaderReplica.machine.Status().Version != 1 {
		t.Errorf("%+v", leaderReplica.machine.Status())
	}
}

// watchReader reads the lines of a watch.
type watchReader struct {
	t   *testing.T
	in  *bufio.Scanner
	res *http.Response
}

func startWatch(t *testing.T, s *httptest.Server, query string) *watchReader {
	t.Helper()
	res, err := http.Get(s.URL + "/catalog/members?stream=1" + query)
	if err != nil || res.StatusCode != 200 {
		t.Fatal(err, res)
	}
	t.Cleanup(func() { res.Body.Close() })
	in := bufio.NewScanner(res.Body)
	in.Buffer(nil, 4<<20)
	return &watchReader{t, in, res}
}

// next returns the list in the next line that is not empty.
func (l *watchReader) next() catalog.List {
	l.t.Helper()
	for l.in.Scan() {
		if len(bytes.TrimSpace(l.in.Bytes())) == 0 {
			continue
		}
		var got catalog.List
		if err := json.Unmarshal(l.in.Bytes(), &got); err != nil {
			l.t.Fatalf("%s: %v", l.in.Text(), err)
		}
		return got
	}
	l.t.Fatalf("the watch ended: %v", l.in.Err())
	return catalog.List{}
}

// A watch that starts at any version, also one older than the history, ends with the complete current list.
func TestWatchesDeliverCompleteList(t *testing.T) {
	s, a := newTestAPI(t, "l0", "")
	first := startWatch(t, s, "&index=0")
	if l := first.next(); !l.Full || l.Version != 0 || len(l.Servers) != 0 {
		t.Errorf("%+v", l)
	}
	held := map[string]catalog.Entry{}
	version := int64(0)
	follow := func(l *watchReader, to int64) {
		t.Helper()
		for version < to {
			got := l.next()
			if got.Version <= version {
				t.Fatalf("version %d after %d", got.Version, version)
			}
			held, version = catalog.Merge(held, got), got.Version
		}
	}
	for i := range 300 { // a burst
		if _, err := a.Write(context.Background(), catalog.Write{Changes: []catalog.Change{entry(fmt.Sprintf("s-%d", i%50), i%50), {Entry: catalog.Entry{ID: fmt.Sprintf("s-%d", (i+25)%50)}, Remove: true}}}); err != nil {
			t.Fatal(err)
		}
	}
	to := a.machine.Status().Version
	follow(first, to)
	now, _ := a.machine.FullList()
	if len(held) != len(now.Servers) {
		t.Errorf("%d entries, there are %d", len(held), len(now.Servers))
	}
	// Versions that are older than the history, in the future, and of another cluster.
	for _, query := range []string{"&index=1", "&index=999999", fmt.Sprintf("&index=%d&cluster=c0", to)} {
		if l := startWatch(t, s, query).next(); !l.Full || l.Version != to || len(l.Servers) != len(now.Servers) {
			t.Errorf("%s: version %d, full %v, %d entries", query, l.Version, l.Full, len(l.Servers))
		}
	}
	late := startWatch(t, s, fmt.Sprintf("&index=%d&cluster=c1", to-1))
	if l := late.next(); l.Full || l.Version != to || len(l.Servers) != 1 {
		t.Errorf("one change behind: %+v", l)
	}
	// Without changes there is an empty line from time to time.
	if !late.in.Scan() || late.in.Text() != "" {
		t.Errorf("line %q, %v", late.in.Text(), late.in.Err())
	}
}

// pipeListener is a listener for unbuffered connections, on which a write blocks until the other side reads.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (p pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}
func (p pipeListener) Close() error   { return nil }
func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// A watch whose client reads nothing is ended, and other watches receive their changes meanwhile.
func TestSlowWatcherDoesNotBlockOthers(t *testing.T) {
	ended := make(chan struct{})
	var once sync.Once
	s, a := newTestAPIWithLog(t, "l0", "", slog.New(messageHandler{func(text string) {
		if text == "watch ended" {
			once.Do(func() { close(ended) })
		}
	}}))
	l := pipeListener{make(chan net.Conn), make(chan struct{})}
	server := &http.Server{Handler: s.Config.Handler}
	served := make(chan struct{})
	go func() {
		defer close(served)
		server.Serve(l)
	}()
	defer func() {
		close(l.done)
		server.Close()
		<-served
	}()
	slow, remote := net.Pipe()
	defer slow.Close()
	l.conns <- remote
	if _, err := fmt.Fprintf(slow, "GET /catalog/members?stream=1&index=0 HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	fast := startWatch(t, s, "&index=0")
	fast.next()
	for i := range 30 {
		if _, err := a.Write(context.Background(), catalog.Write{Changes: []catalog.Change{entry(fmt.Sprintf("s-%d", i), i)}}); err != nil {
			t.Fatal(err)
		}
		for v := int64(0); v < int64(i+1); {
			v = fast.next().Version
		}
	}
	select {
	case <-ended:
	case <-time.After(30 * time.Second):
		t.Error("a watch whose client reads nothing was not ended")
	}
}
