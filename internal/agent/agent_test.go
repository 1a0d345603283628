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
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wallflow/internal/catalog"
	"wallflow/internal/listsvc"
)

func entry(id string, weight float64) catalog.Entry {
	return catalog.Entry{ID: id, Addr: "127.0.0.1:9", Zone: "a", Kind: "m", Cell: 1, State: catalog.Ready, Weight: weight}
}

// Whatever the order in which the mirror follows the catalog and relays follow the mirror, over restarts of the agent, all end with
// the catalog's list.
func TestMirrorAndRelaysConvergeOnTheCatalog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cat := catalog.New("c1", 8)
		m := NewMirror()
		relays := make([]map[string]catalog.Entry, 3)
		versions := make([]int64, len(relays))
		listen := func(i int) {
			if l, changed := m.Since(versions[i]); changed {
				relays[i], versions[i] = catalog.Merge(relays[i], l), l.Version
			}
		}
		follow := func() {
			if l, changed := cat.Since(m.Version()); changed {
				if _, err := m.Apply("c1", l, ""); err != nil {
					t.Fatal(err)
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1, 2:
				id := fmt.Sprintf("s-%d", rapid.IntRange(0, 5).Draw(t, "id"))
				ch := catalog.Change{Entry: entry(id, float64(rapid.IntRange(1, 99).Draw(t, "weight")))}
				ch.Remove = rapid.Bool().Draw(t, "remove")
				if _, err := cat.Apply(catalog.Write{Changes: []catalog.Change{ch}}); err != nil {
					t.Fatal(err)
				}
			case 3:
				follow()
			case 4:
				listen(rapid.IntRange(0, len(relays)-1).Draw(t, "relay"))
			case 5: // the agent restarts from its saved list
				n := NewMirror()
				if s := m.save(); s.List != "" {
					if err := n.load(s); err != nil {
						t.Fatal(err)
					}
				}
				m = n
			}
		}
		if cat.Version() == 0 {
			return
		}
		follow()
		want := catalog.Merge(nil, cat.FullList())
		for i := range relays {
			listen(i)
			if !maps.EqualFunc(relays[i], want, catalog.Entry.Equal) || versions[i] != cat.Version() {
				t.Fatalf("relay %d has %v at version %d, want %v at %d", i, relays[i], versions[i], want, cat.Version())
			}
		}
	})
}

func TestMirrorRefusesLines(t *testing.T) {
	m := NewMirror()
	whole := func(version int64, n int) catalog.List {
		l := catalog.List{Version: version, Full: true}
		for i := range n {
			l.Servers = append(l.Servers, entry(fmt.Sprintf("s-%02d", i), 1))
		}
		return l
	}
	if _, err := m.Apply("c1", catalog.List{Version: 3}, ""); !errors.Is(err, ErrPartialList) {
		t.Errorf("changes without a list: %v", err)
	}
	if changed, err := m.Apply("c1", whole(5, 10), ""); err != nil || !changed {
		t.Fatal(changed, err)
	}
	for _, c := range []struct {
		list string
		l    catalog.List
		want error
	}{
		{"c1", whole(4, 10), ErrBehind}, {"c1", catalog.List{Version: 4}, ErrBehind}, {"c2", catalog.List{Version: 6}, ErrPartialList},
		{"c2", whole(1, 0), ErrShrunk}, {"c2", whole(99, 4), ErrShrunk},
	} {
		if _, err := m.Apply(c.list, c.l, ""); !errors.Is(err, c.want) || m.List() != "c1" || m.Version() != 5 || m.Len() != 10 {
			t.Errorf("%s %+v: %v; the mirror has version %d of %s", c.list, c.l, err, m.Version(), m.List())
		}
	}
	if changed, err := m.Apply("c2", whole(2, 5), ""); err != nil || !changed || m.List() != "c2" {
		t.Errorf("a list of half the size: %v %v", changed, err)
	}
	if l, changed := m.Since(5); !changed || !l.Full || l.Version != 2 {
		t.Errorf("a relay with another list gets %+v", l)
	}
	if changed, err := m.Apply("c3", whole(1, 0), "c3"); err != nil || !changed || m.Len() != 0 {
		t.Errorf("a forced list: %v %v", changed, err)
	}
	if changed, err := m.Apply("c3", whole(1, 0), ""); err != nil || changed {
		t.Errorf("the same line again: %v %v", changed, err)
	}
}

// newService starts a list server.
func newService(t *testing.T) *listsvc.Server {
	t.Helper()
	l, err := listsvc.Open(listsvc.Options{Name: "l0", Dir: t.TempDir(), Listen: "127.0.0.1:0",
		Raft: "127.0.0.1:0", HeartbeatTimeout: 200 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return l
}

func writeEntry(t *testing.T, addr, id string, remove bool) {
	t.Helper()
	eventually(t, "a write of "+id, func() bool {
		method, body := http.MethodPut, `{"addr":"127.0.0.1:9","zone":"a","kind":"m","cell":1,"state":"ready","weight":1,"started_ms":0}`
		if remove {
			method, body = http.MethodDelete, ""
		}
		req, err := http.NewRequest(method, "http://"+addr+"/catalog/members/"+id, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: " + what)
		}
	}
}

// runningAgent is an agent that is running, with a function to stop it.
type runningAgent struct {
	*Agent
	stop func()
}

func startAgent(t *testing.T, o Options) *runningAgent {
	t.Helper()
	o.Listen = "127.0.0.1:0"
	a, err := Open(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	var once sync.Once
	stop := func() {
		once.Do(func() {
			cancel()
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
	t.Cleanup(stop)
	return &runningAgent{a, stop}
}

func listedIDs(t *testing.T, addr string) (all []string) {
	t.Helper()
	res, err := http.Get("http://" + addr + "/catalog/members")
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil
	}
	var l catalog.List
	if err := json.NewDecoder(res.Body).Decode(&l); err != nil {
		t.Fatal(err)
	}
	for _, e := range l.Servers {
		all = append(all, e.ID)
	}
	return all
}

// An agent serves the service's list, continues from disk while the service is unreachable, and streams what changed in the meantime
// once the service is back.
func TestListIsServedWithoutTheService(t *testing.T) {
	l := newService(t)
	writeEntry(t, l.Addr(), "s-1", false)
	writeEntry(t, l.Addr(), "s-2", false)
	dir := t.TempDir()
	a := startAgent(t, Options{Dir: dir, Servers: []string{"127.0.0.1:1", l.Addr()}, Seed: 1})
	eventually(t, "the list", func() bool { return len(listedIDs(t, a.Addr())) == 2 })
	a.stop()
	a = startAgent(t, Options{Dir: dir, Servers: []string{"127.0.0.1:1"}, Seed: 2}) // no server is reachable
	if got := listedIDs(t, a.Addr()); !slices.Equal(got, []string{"s-1", "s-2"}) {
		t.Errorf("list from disk: %v", got)
	}
	a.stop()
	writeEntry(t, l.Addr(), "s-1", true)
	writeEntry(t, l.Addr(), "s-3", false)
	a = startAgent(t, Options{Dir: dir, Servers: []string{l.Addr(), "127.0.0.1:1"}, Seed: 3})
	version := a.Report().Version
	res, err := http.Get(fmt.Sprintf("http://%s/catalog/members?stream=1&index=%d", a.Addr(), version))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() && strings.TrimSpace(lines.Text()) == "" {
		continue
	}
	var got catalog.List
	if err := json.Unmarshal(lines.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	states := map[string]catalog.State{}
	for _, e := range got.Servers {
		states[e.ID] = e.State
	}
	if got.Full || states["s-1"] != catalog.Gone || states["s-3"] != catalog.Ready || len(states) != 2 {
		t.Errorf("a relay with version %d received %+v", version, got)
	}
	if r := a.Report(); r.Following != l.Addr() || r.Watches != 1 || r.HeardMS < 0 {
		t.Errorf("%+v", r)
	}
}

func TestFolderIsLockedByOneAgent(t *testing.T) {
	o := Options{Dir: t.TempDir(), Servers: []string{"127.0.0.1:1"}}
	a := startAgent(t, o)
	o.Listen = "127.0.0.1:0"
	if _, err := Open(o); err == nil || !strings.Contains(err.Error(), "another agent has it") {
		t.Errorf("%v", err)
	}
	a.stop()
	startAgent(t, o).stop()
}

// A damaged list file is renamed, and the agent requests the whole list again.
func TestDamagedListIsSetAside(t *testing.T) {
	l := newService(t)
	writeEntry(t, l.Addr(), "s-1", false)
	dir := t.TempDir()
	a := startAgent(t, Options{Dir: dir, Servers: []string{l.Addr()}})
	eventually(t, "the list", func() bool { return len(listedIDs(t, a.Addr())) == 1 })
	a.stop()
	path := filepath.Join(dir, listFile)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range whole { // damage each byte in turn
		spoilt := slices.Clone(whole)
		spoilt[i] ^= 1
		if err := os.WriteFile(path, spoilt, 0o600); err != nil {
			t.Fatal(err)
		}
		b := &Agent{options: Options{Dir: dir}, log: slog.New(slog.DiscardHandler), mirror: NewMirror()}
		if err := b.loadList(); err != nil || b.mirror.List() != "" {
			t.Fatalf("byte %d: %v, and the mirror has list %q", i, err, b.mirror.List())
		}
	}
	aside, err := filepath.Glob(path + ".damaged-*")
	if err != nil || len(aside) == 0 {
		t.Fatal(aside, err)
	}
	a = startAgent(t, Options{Dir: dir, Servers: []string{l.Addr()}})
	eventually(t, "the list, whole", func() bool { return len(listedIDs(t, a.Addr())) == 1 })
}

// noticeReceiver is an HTTP server that accepts notices, or answers with the given status.
type noticeReceiver struct {
	*httptest.Server
	mu       sync.Mutex
	status   int
	rejected string // requests that contain this text are rejected
	lines    []string
}

func newNoticeReceiver(t *testing.T) *noticeReceiver {
	k := &noticeReceiver{status: http.StatusNoContent}
	k.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		k.mu.Lock()
		defer k.mu.Unlock()
		status := k.status
		if k.rejected != "" && bytes.Contains(body, []byte(k.rejected)) {
			status = http.StatusBadRequest
		}
		if err == nil && status == http.StatusNoContent {
			for line := range strings.Lines(string(body)) {
				k.lines = append(k.lines, strings.TrimSpace(line))
			}
		}
		w.WriteHeader(status)
	}))
	t.Cleanup(k.Close)
	return k
}

func (k *noticeReceiver) addr() string { return strings.TrimPrefix(k.URL, "http://") }

func (k *noticeReceiver) respondWith(status int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.status = status
}

func (k *noticeReceiver) received() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.lines)
}

func notice(i int) string { return fmt.Sprintf(`{"id":"m-%03d","status":"undeliverable"}`, i) }

func post(t *testing.T, addr, body string) int {
	t.Helper()
	res, err := http.Post("http://"+addr+"/v2/finals", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	return res.StatusCode
}

// Each acknowledged notice is forwarded in order, at least once, over outages and restarts.
func TestNoticesAreForwardedInOrder(t *testing.T) {
	k := newNoticeReceiver(t)
	k.respondWith(http.StatusServiceUnavailable)
	o := Options{Dir: t.TempDir(), Servers: []string{"127.0.0.1:1"}, NoticeAddr: k.addr()}
	a := startAgent(t, o)
	for i := range 20 {
		if status := post(t, a.Addr(), notice(i)+"\n"); status != http.StatusNoContent {
			t.Fatalf("status %d while the receiver is unavailable", status)
		}
	}
	a.stop()
	a = startAgent(t, o)
	k.respondWith(http.StatusNoContent)
	for i := range 20 {
		post(t, a.Addr(), notice(20+i))
	}
	eventually(t, "all of them", func() bool { n, _ := a.spool.stats(); return n == 0 })
	var first []string // without repetitions
	for _, line := range k.received() {
		if !slices.Contains(first, line) {
			first = append(first, line)
		}
	}
	for i := range 40 {
		if i >= len(first) || first[i] != notice(i) {
			t.Fatalf("number %d of %d: %v", i, len(first), first)
		}
	}
	if _, bytes := a.spool.stats(); bytes != 0 {
		t.Errorf("%d bytes left on disk", bytes)
	}
	for _, bad := range []string{"", "{", `{"id":"x","status":"lost"}`, `{"status":"deferred"}`, notice(1) + "\nnonsense"} {
		if status := post(t, a.Addr(), bad); status != http.StatusBadRequest {
			t.Errorf("%q: %d", bad, status)
		}
	}
}

// A notice that the receiver rejects permanently does not block the others.
func TestRejectedNoticeDoesNotBlockOthers(t *testing.T) {
	k := newNoticeReceiver(t)
	k.respondWith(http.StatusServiceUnavailable)
	k.rejected = "m-001"
	o := Options{Dir: t.TempDir(), Servers: []string{"127.0.0.1:1"}, NoticeAddr: k.addr()}
	a := startAgent(t, o)
	for i := range 4 {
		post(t, a.Addr(), notice(i))
	}
	k.respondWith(http.StatusNoContent)
	eventually(t, "the others", func() bool { n, _ := a.spool.stats(); return n == 0 })
	if received := k.received(); !slices.Equal(received, []string{notice(0), notice(2), notice(3)}) {
		t.Errorf("%v", received)
	}
	if data, err := os.ReadFile(filepath.Join(o.Dir, "turned-down")); err != nil || strings.TrimSpace(string(data)) != notice(1) {
		t.Errorf("%q %v", data, err)
	}
}

func TestFullSpoolRefusesNotices(t *testing.T) {
	o := Options{Dir: t.TempDir(), Servers: []string{"127.0.0.1:1"}, MaxSpoolBytes: 200}
	a := startAgent(t, o)
	taken := 0
	for i := range 10 {
		switch status := post(t, a.Addr(), notice(i)); status {
		case http.StatusNoContent:
			taken++
		case http.StatusServiceUnavailable:
		default:
			t.Errorf("status %d", status)
		}
	}
	if _, bytes := a.spool.stats(); taken != 4 || bytes > 200 {
		t.Errorf("%d accepted, %d bytes", taken, bytes)
	}
}

// A failed write loses only its own notice, which is not acknowledged, and does not block later notices.
func TestFailedWriteDoesNotBlockTheSpool(t *testing.T) {
	s, err := openSpool(t.TempDir(), 1<<20, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if err := s.startSegment(); err != nil {
		t.Fatal(err)
	}
	s.file.Close() // makes the next write fail
	if err := s.add([]byte(notice(0))); err == nil {
		t.Fatal("a failed write returned no error")
	}
	if err := s.add([]byte(notice(1))); err != nil {
		t.Fatal(err)
	}
	if all := s.next(1 << 20); len(all) != 1 || string(all[0]) != notice(1) {
		t.Fatalf("next returned %q", all)
	}
	if err := s.acknowledge(1); err != nil {
		t.Fatal(err)
	}
	if n, bytes := s.stats(); n != 0 || bytes != 0 {
		t.Errorf("%d records and %d bytes left", n, bytes)
	}
}

// If a segment is cut or damaged at any byte, the records before that are read and the rest is copied to another file.
func TestDamagedSegmentKeepsEarlierRecords(t *testing.T) {
	dir := t.TempDir()
	s, err := openSpool(dir, 1<<20, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		if err := s.add([]byte(notice(i))); err != nil {
			t.Fatal(err)
		}
	}
	segmentPath := s.segmentPath(1)
	if err := s.close(); err != nil {
		t.Fatal(err)
	}
	whole, err := os.ReadFile(segmentPath)
	if err != nil {
		t.Fatal(err)
	}
	size := len(whole) / 3
	for i := range whole {
		for _, data := range [][]byte{whole[:i], append(append(slices.Clone(whole[:i]), whole[i]^0x40), whole[i+1:]...)} {
			if err := os.WriteFile(segmentPath, data, 0o600); err != nil {
				t.Fatal(err)
			}
			s, err := openSpool(dir, 1<<20, slog.New(slog.DiscardHandler))
			if err != nil {
				t.Fatal(err)
			}
			all := s.next(1 << 20)
			if len(all) != i/size {
				t.Fatalf("byte %d of %d: %d records", i, len(data), len(all))
			}
			for n, r := range all {
				if string(r) != notice(n) {
					t.Fatalf("byte %d: record %d is %q", i, n, r)
				}
			}
			if err := s.add([]byte(notice(9))); err != nil { // the spool stays usable
				t.Fatal(err)
			}
			if all := s.next(1 << 20); len(all) == 0 {
				t.Fatal("next returned nothing")
			}
			if err := s.close(); err != nil {
				t.Fatal(err)
			}
			if err := os.Remove(s.segmentPath(s.segments[len(s.segments)-1].number)); err != nil {
				t.Fatal(err)
			}
			if rest := len(data) - i/size*size; rest > 0 {
				aside, err := os.ReadFile(segmentPath + ".damaged")
				if err != nil || !bytes.Equal(aside, data[i/size*size:]) {
					t.Fatalf("byte %d: copied %d bytes, %v", i, len(aside), err)
				}
			}
		}
	}
}
