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

// alone is a replica that leads by itself, or knows who does.
type alone struct {
	m      *Machine
	mu     sync.Mutex
	leader string // another server leads; "none": nobody
}

func (a *alone) Write(_ context.Context, w catalog.Write) (catalog.Result, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leader != "" {
		return catalog.Result{}, ErrNoLeader
	}
	data, err := json.Marshal(command{Kind: cmdWrite, Write: &w})
	if err != nil {
		return catalog.Result{}, err
	}
	o := a.m.Apply(&raft.Log{Data: data}).(outcome)
	return o.result, o.err
}

func (a *alone) Confirm(context.Context) error {
	if a.Leader() != "" || a.leader == "none" {
		return ErrNoLeader
	}
	return nil
}

func (a *alone) Leader() string {
	if a.leader == "none" {
		return ""
	}
	return a.leader
}

func (a *alone) Age() time.Duration { return 0 }

// hook is a log that passes each message on.
type hook struct{ say func(text string) }

func (h hook) Enabled(context.Context, slog.Level) bool { return true }
func (h hook) WithAttrs([]slog.Attr) slog.Handler       { return h }
func (h hook) WithGroup(string) slog.Handler            { return h }
func (h hook) Handle(_ context.Context, r slog.Record) error {
	h.say(r.Message)
	return nil
}

func face(t *testing.T, name, leader string) (*httptest.Server, *alone) {
	return faceWith(t, name, leader, slog.New(slog.DiscardHandler))
}

func faceWith(t *testing.T, name, leader string, log *slog.Logger) (*httptest.Server, *alone) {
	t.Helper()
	m := NewMachine(4)
	m.Apply(&raft.Log{Data: encode(t, command{Kind: cmdFound, Cluster: "c1"})})
	a := &alone{m: m, leader: leader}
	ctx, cancel := context.WithCancel(context.Background())
	s := httptest.NewServer(NewFace(ctx, name, m, a, log).Handler())
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

const one = `{"addr":"10.1.0.18:3000","zone":"a","kind":"m2","cell":3,"state":"ready","weight":1.0,"started_ms":0}`

func TestWritesAndReads(t *testing.T) {
	s, _ := face(t, "l0", "")
	if status, text, h := send(t, s, "PUT", "/catalog/members/s-1", one); status != 200 || text != `{"version":1,"changed":1}` || h.Get("X-Catalog-Version") != "1" {
		t.Errorf("%d %s %v", status, text, h)
	}
	want := `{"version":1,"full":true,"servers":[{"id":"s-1","addr":"10.1.0.18:3000","zone":"a","kind":"m2","cell":3,"state":"ready","weight":1,"started_ms":0}]}`
	for _, path := range []string{"/catalog/members", "/catalog/members?consistent=1"} {
		if status, text, h := send(t, s, "GET", path, ""); status != 200 || text != want || h.Get("X-Catalog-Cluster") != "c1" || h.Get("X-Catalog-Age-Ms") != "0" ||
			h.Get("X-Catalog-Server") != "l0" {
			t.Errorf("%s: %d %s %v", path, status, text, h)
		}
	}
	many := `{"changes":[{"entry":{"id":"s-2",` + one[1:] + `},{"entry":{"id":"s-1"},"remove":true}]}`
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

// Nonsense is answered with what is wrong and where, and changes nothing.
func TestNonsenseIsAnsweredWithItsPlace(t *testing.T) {
	s, a := face(t, "l0", "")
	send(t, s, "PUT", "/catalog/members/s-1", one)
	send(t, s, "PUT", "/catalog/members/s-0", one, "Idempotency-Key", "k1")
	for _, c := range []struct {
		method, path, body string
		header             []string
		status             int
		want               string
	}{
		{"PUT", "/catalog/members/s-2", strings.Replace(one, ":1.0", ":-1", 1), nil, 400, `"field":"weight"`},
		{"PUT", "/catalog/members/s-2", strings.Replace(one, ":1.0", ":NaN", 1), nil, 400, "body: invalid character"},
		{"PUT", "/catalog/members/s-2", strings.Replace(one, ":3000", "", 1), nil, 400, `"field":"addr"`},
		{"PUT", "/catalog/members/s-1", strings.Replace(one, `"cell":3`, `"cell":4`, 1), nil, 400, `"field":"cell"`},
		{"PUT", "/catalog/members/s-2", `{"id":"s-3",` + one[1:], nil, 400, `"field":"id"`},
		{"PUT", "/catalog/members/s-2", `{"cell":"x"}`, nil, 400, "body: "},
		{"PUT", "/catalog/members/s-2", strings.Repeat(" ", bodyMost) + one, nil, 413, "body over"},
		{"POST", "/catalog/members", `{"changes":[]}`, nil, 400, "changes"},
		{"POST", "/catalog/members", `{"changes":[{"entry":{"id":"s-9",` + one[1:] + `},{"entry":{"id":"s-8"}}]}`, nil, 400, `"entry":"\"s-8\""`},
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
	if v := a.m.Status(); v.Version != 2 || v.Entries != 2 {
		t.Errorf("%+v", v)
	}
}

// A server that does not lead passes writes on, once; where nobody leads it says when to come again.
func TestWritesFindTheLeader(t *testing.T) {
	leads, l := face(t, "l0", "")
	follows, _ := face(t, "l1", leads.Listener.Addr().String())
	if status, text, h := send(t, follows, "PUT", "/catalog/members/s-1", one, "Idempotency-Key", "k", "If-Match", "0"); status != 200 || text != `{"version":1,"changed":1}` ||
		h.Get("X-Catalog-Server") != "l0" {
		t.Errorf("%d %s %v", status, text, h)
	}
	if status, text, _ := send(t, follows, "DELETE", "/catalog/members/s-1", "", "If-Match", "9"); status != 412 {
		t.Errorf("the leader's refusal: %d %s", status, text)
	}
	if status, text, _ := send(t, follows, "GET", "/catalog/members?consistent=1", ""); status != 200 || !strings.Contains(text, "s-1") {
		t.Errorf("a consistent read: %d %s", status, text)
	}
	l.mu.Lock()
	l.leader = follows.Listener.Addr().String() // each takes the other for the leader
	l.mu.Unlock()
	if status, _, h := send(t, follows, "PUT", "/catalog/members/s-2", one); status != 503 || h.Get("Retry-After") != "1" {
		t.Errorf("round and round: %d %v", status, h)
	}
	none, _ := face(t, "l2", "none")
	for _, c := range [][2]string{{"PUT", "/catalog/members/s-2"}, {"GET", "/catalog/members?consistent=1"}} {
		if status, _, h := send(t, none, c[0], c[1], one); status != 503 || h.Get("Retry-After") != "1" {
			t.Errorf("%s with nobody leading: %d %v", c[0], status, h)
		}
	}
	if status, _, _ := send(t, none, "GET", "/catalog/members", ""); status != 200 {
		t.Errorf("a read with nobody leading: %d", status)
	}
	if l.m.Status().Version != 1 {
		t.Errorf("%+v", l.m.Status())
	}
}

// lines are those of a watch.
type lines struct {
	t   *testing.T
	in  *bufio.Scanner
	res *http.Response
}

func watch(t *testing.T, s *httptest.Server, query string) *lines {
	t.Helper()
	res, err := http.Get(s.URL + "/catalog/members?stream=1" + query)
	if err != nil || res.StatusCode != 200 {
		t.Fatal(err, res)
	}
	t.Cleanup(func() { res.Body.Close() })
	in := bufio.NewScanner(res.Body)
	in.Buffer(nil, 4<<20)
	return &lines{t, in, res}
}

// list reads the next line that is no empty one.
func (l *lines) list() catalog.List {
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

// A watcher that comes at any version, and one that was away beyond the history, end with the list as it is.
func TestWatchesAreWhole(t *testing.T) {
	s, a := face(t, "l0", "")
	first := watch(t, s, "&index=0")
	if l := first.list(); !l.Full || l.Version != 0 || len(l.Servers) != 0 {
		t.Errorf("%+v", l)
	}
	held := map[string]catalog.Entry{}
	version := int64(0)
	follow := func(l *lines, to int64) {
		t.Helper()
		for version < to {
			got := l.list()
			if got.Version <= version {
				t.Fatalf("version %d after %d", got.Version, version)
			}
			held, version = catalog.Follow(held, got), got.Version
		}
	}
	for i := range 300 { // a burst
		if _, err := a.Write(context.Background(), catalog.Write{Changes: []catalog.Change{entry(fmt.Sprintf("s-%d", i%50), i%50), {Entry: catalog.Entry{ID: fmt.Sprintf("s-%d", (i+25)%50)}, Remove: true}}}); err != nil {
			t.Fatal(err)
		}
	}
	to := a.m.Status().Version
	follow(first, to)
	now, _ := a.m.Whole()
	if len(held) != len(now.Servers) {
		t.Errorf("%d entries, there are %d", len(held), len(now.Servers))
	}
	for _, query := range []string{"&index=1", "&index=999999", fmt.Sprintf("&index=%d&cluster=c0", to)} { // beyond the history, not there yet, another cluster's
		if l := watch(t, s, query).list(); !l.Full || l.Version != to || len(l.Servers) != len(now.Servers) {
			t.Errorf("%s: version %d, full %v, %d entries", query, l.Version, l.Full, len(l.Servers))
		}
	}
	late := watch(t, s, fmt.Sprintf("&index=%d&cluster=c1", to-1))
	if l := late.list(); l.Full || l.Version != to || len(l.Servers) != 1 {
		t.Errorf("one change behind: %+v", l)
	}
	// With nothing new there is an empty line now and then.
	if !late.in.Scan() || late.in.Text() != "" {
		t.Errorf("line %q, %v", late.in.Text(), late.in.Err())
	}
}

// pipes is a listener whose connections hold nothing under way: what is not read is not written.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
}

func (p pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}
func (p pipes) Close() error   { return nil }
func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }

// A watcher that reads nothing is ended, and the others have their changes meanwhile.
func TestASlowWatcherHoldsNobodyUp(t *testing.T) {
	ended := make(chan struct{})
	var once sync.Once
	s, a := faceWith(t, "l0", "", slog.New(hook{func(text string) {
		if text == "watch ended" {
			once.Do(func() { close(ended) })
		}
	}}))
	l := pipes{make(chan net.Conn), make(chan struct{})}
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
	slow, far := net.Pipe()
	defer slow.Close()
	l.conns <- far
	if _, err := fmt.Fprintf(slow, "GET /catalog/members?stream=1&index=0 HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	quick := watch(t, s, "&index=0")
	quick.list()
	for i := range 30 {
		if _, err := a.Write(context.Background(), catalog.Write{Changes: []catalog.Change{entry(fmt.Sprintf("s-%d", i), i)}}); err != nil {
			t.Fatal(err)
		}
		for v := int64(0); v < int64(i+1); {
			v = quick.list().Version
		}
	}
	select {
	case <-ended:
	case <-time.After(30 * time.Second):
		t.Error("a watcher that takes nothing is waited for still")
	}
}
