package listsvc

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
	"github.com/hashicorp/raft"

	"wallflow/internal/catalog"
	"wallflow/internal/trial/fault"
)

// place is where a server is, whichever process or folder it has just then: others reach it through links, whose addresses stay.
type place struct {
	name       string
	web, raft  *fault.Link
	addr       [2]atomic.Value // where it listens now
	dir        string
	server     *Server
	stop       context.CancelFunc
	done       chan error
	fs         vfs.FS
	join       []string
	firstNames []First
}

func newPlace(t *testing.T, name string) *place {
	t.Helper()
	p := &place{name: name, dir: filepath.Join(t.TempDir(), name)}
	link := func(i int) *fault.Link {
		k, err := fault.NewLink(name, "127.0.0.1", 1, fault.Faults{}, func(ctx context.Context) (net.Conn, error) {
			addr, _ := p.addr[i].Load().(string)
			if addr == "" {
				return nil, errors.New("not there")
			}
			return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(k.Close)
		return k
	}
	p.web, p.raft = link(0), link(1)
	return p
}

func (p *place) start(t *testing.T) {
	t.Helper()
	s, err := Open(Options{Name: p.name, Dir: p.dir, Listen: "127.0.0.1:0", Raft: "127.0.0.1:0", AdvertiseHTTP: p.web.Addr(), AdvertiseRaft: p.raft.Addr(),
		Servers: p.firstNames, Join: p.join, Keep: 64, Beat: 300 * time.Millisecond, SnapshotEach: 64, FS: p.fs})
	if err != nil {
		t.Fatal(err)
	}
	p.server = s
	p.addr[0].Store(s.http.Addr().String())
	p.addr[1].Store(s.wire.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	p.stop, p.done = cancel, make(chan error, 1)
	go func() { p.done <- s.Run(ctx) }()
	t.Cleanup(func() { p.end(t) })
}

// end ends the server, if it runs, and returns how it ended.
func (p *place) end(t *testing.T) (err error) {
	t.Helper()
	if p.stop == nil {
		return nil
	}
	p.stop()
	select {
	case err = <-p.done:
	case <-time.After(20 * time.Second):
		t.Fatalf("server %s does not end", p.name)
	}
	p.stop, p.server = nil, nil
	p.addr[0].Store("")
	p.addr[1].Store("")
	p.web.Reset()
	p.raft.Reset()
	return err
}

// fleet starts servers that know of each other.
func fleet(t *testing.T, n int) []*place {
	t.Helper()
	var all []*place
	for i := range n {
		all = append(all, newPlace(t, fmt.Sprintf("l%d", i)))
	}
	for _, p := range all {
		for _, q := range all {
			p.firstNames = append(p.firstNames, First{q.name, q.web.Addr()})
		}
	}
	for i := range all {
		all[len(all)-1-i].start(t) // the founder last
	}
	return all
}

// eventually waits for what is to come about; how long it takes proves nothing.
func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: " + what)
		}
	}
}

// ask asks until a server says yes or no.
func (p *place) ask(t *testing.T, method, path, body string, header ...string) (status int, text string, h http.Header) {
	t.Helper()
	eventually(t, method+" "+path+" at "+p.name, func() bool {
		req, err := http.NewRequest(method, "http://"+p.web.Addr()+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		for i := 0; i < len(header); i += 2 {
			req.Header.Set(header[i], header[i+1])
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return false
		}
		defer res.Body.Close()
		data, err := io.ReadAll(res.Body)
		status, text, h = res.StatusCode, strings.TrimSpace(string(data)), res.Header
		return err == nil && status != http.StatusServiceUnavailable
	})
	return status, text, h
}

func (p *place) put(t *testing.T, id string) {
	t.Helper()
	if status, text, _ := p.ask(t, "PUT", "/catalog/members/"+id, one, "Idempotency-Key", id); status != 200 {
		t.Fatalf("%s at %s: %d %s", id, p.name, status, text)
	}
}

func (p *place) ids(t *testing.T, query string) (ids []string) {
	t.Helper()
	_, text, _ := p.ask(t, "GET", "/catalog/members"+query, "")
	var l catalog.List
	if err := json.Unmarshal([]byte(text), &l); err != nil {
		t.Fatal(err)
	}
	for _, e := range l.Servers {
		ids = append(ids, e.ID)
	}
	return ids
}

func leaderOf(all []*place) *place {
	for _, p := range all {
		if p.server != nil && p.server.ready.Load() != 0 && p.server.Report().Role == "leader" {
			return p
		}
	}
	return nil
}

// Three that start together are one cluster; what is written at any of them is on all, and in a confirmed read at once.
func TestThreeFoundOneCluster(t *testing.T) {
	all := fleet(t, 3)
	for i, p := range all {
		id := fmt.Sprintf("s-%d", i)
		p.put(t, id)
		for _, q := range all {
			if got := q.ids(t, "?consistent=1"); !slices.Contains(got, id) {
				t.Errorf("%s was written at %s, and a confirmed read at %s has %v", id, p.name, q.name, got)
			}
		}
	}
	for _, p := range all {
		eventually(t, "the whole list at "+p.name, func() bool { return len(p.ids(t, "")) == 3 })
		if r := p.server.Report(); r.Cluster != all[0].server.Report().Cluster || r.Cluster == "" || len(r.Members) != 3 || r.List != r.Cluster {
			t.Errorf("%+v", r)
		}
	}
}

// A server that ends hands leadership over first, and comes back to its place.
func TestAServerThatEndsHandsOver(t *testing.T) {
	all := fleet(t, 3)
	var written []string
	for round := range 3 {
		id := fmt.Sprintf("s-%d", round)
		all[round].put(t, id)
		written = append(written, id)
		var l *place
		eventually(t, "a leader", func() bool { l = leaderOf(all); return l != nil })
		term := l.server.raft.CurrentTerm()
		if err := l.end(t); err != nil {
			t.Fatalf("%s: %v", l.name, err)
		}
		eventually(t, "another leader", func() bool { n := leaderOf(all); return n != nil && n.server.raft.CurrentTerm() > term })
		l.start(t)
	}
	for _, p := range all {
		if got := p.ids(t, "?consistent=1"); !slices.Equal(got, written) {
			t.Errorf("at %s: %v, written were %v", p.name, got, written)
		}
	}
}

// A server whose folder was lost is no part of its cluster; taken in again it is another one, which replaces the first.
func TestALostFolderIsReplaced(t *testing.T) {
	all := fleet(t, 3)
	for i := range 200 { // more than the log keeps: the new one needs a snapshot
		all[i%3].put(t, fmt.Sprintf("s-%03d", i))
	}
	lost := all[2]
	old := lost.server.Report().ID
	lost.end(t)
	if err := os.RemoveAll(lost.dir); err != nil {
		t.Fatal(err)
	}
	lost.start(t)
	if err := <-lost.done; !errors.Is(err, ErrClusterThere) {
		t.Fatalf("with an empty folder it ended with: %v", err)
	}
	lost.done <- nil
	lost.end(t)
	lost.firstNames, lost.join = nil, []string{all[0].web.Addr(), all[1].web.Addr()}
	lost.start(t)
	eventually(t, "its vote", func() bool {
		r := lost.server.Report()
		return slices.ContainsFunc(r.Members, func(m Member) bool { return m.ID == r.ID && m.Voter && m.Name == "l2" })
	})
	r := lost.server.Report()
	if r.ID == old || len(r.Members) != 3 || slices.ContainsFunc(r.Members, func(m Member) bool { return m.ID == old }) {
		t.Errorf("it was %s, and is %+v", old, r)
	}
	if got := lost.ids(t, "?consistent=1"); len(got) != 200 {
		t.Errorf("%d entries", len(got))
	}
	// Two under one name: the second is told why, and the first stays.
	twin := newPlace(t, "l2")
	twin.join = lost.join
	twin.start(t)
	body, _ := json.Marshal(twin.server.peer()) // strings alone
	if status, text, _ := all[0].ask(t, "POST", "/cluster/servers", string(body)); status != 409 || !strings.Contains(text, `a server named \"l2\" is running`) {
		t.Errorf("%d %s", status, text)
	}
	if got := lost.server.Report(); got.ID != r.ID || len(got.Members) != 3 {
		t.Errorf("%+v", got)
	}
}

// A server that is removed asks whoever may know of it, also where the list's records name nobody yet: it was removed before they came.
func TestARemovedServerAsksTheAddressesOfItsSettings(t *testing.T) {
	own := Peer{ID: "i", Name: "l2", HTTP: "10.0.0.2:80"}
	first := []First{{"l0", "10.0.0.0:80"}, {"l1", "10.0.0.1:80"}, {"l2", "10.0.0.2:80"}}
	got := otherAddresses(own, []Peer{own}, first, []string{"10.0.0.9:80"})
	if !slices.Equal(got, []string{"10.0.0.0:80", "10.0.0.1:80", "10.0.0.9:80"}) {
		t.Errorf("%v", got)
	}
	got = otherAddresses(own, []Peer{own, {ID: "j", HTTP: "10.0.0.1:80"}, {ID: "k"}}, first, nil)
	if !slices.Equal(got, []string{"10.0.0.1:80", "10.0.0.0:80"}) {
		t.Errorf("%v", got)
	}
}

// A server of whose cluster the list's records name nobody learns by the addresses of its settings that it was removed, and by nobody
// else: not by another cluster, nor by one that has no leader or lags, nor where it is still a member.
func TestRemovalIsFoundThroughTheSettings(t *testing.T) {
	var told atomic.Pointer[Report]
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(told.Load()) }))
	defer other.Close()
	p := newPlace(t, "l2")
	p.firstNames = []First{{"l0", other.Listener.Addr().String()}, {"l1", "127.0.0.1:1"}, {"l2", p.web.Addr()}}
	told.Store(&Report{Name: "l0", Role: RoleNew}) // nothing is founded meanwhile
	p.start(t)
	if err := p.server.keep(func(i *identity) error { i.Cluster = "c1"; return nil }); err != nil {
		t.Fatal(err)
	}
	own := p.server.peer()
	for name, c := range map[string]struct {
		report  Report
		removed bool
	}{
		"removed":         {Report{Name: "l0", Role: RoleNew, Cluster: "c1", Leader: "x", Commit: 9}, true},
		"still a member":  {Report{Name: "l0", Role: RoleNew, Cluster: "c1", Leader: "x", Commit: 9, Members: []Member{{Peer: own}}}, false},
		"another cluster": {Report{Name: "l0", Role: RoleNew, Cluster: "c2", Leader: "x", Commit: 9}, false},
		"nobody leads":    {Report{Name: "l0", Role: RoleNew, Cluster: "c1", Commit: 9}, false},
	} {
		told.Store(&c.report)
		if err := p.server.findRemoval(t.Context(), own); errors.Is(err, ErrRemoved) != c.removed {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A server that is removed ends by itself, and the others go on.
func TestARemovedServerEnds(t *testing.T) {
	all := fleet(t, 3)
	all[0].put(t, "s-1")
	var gone *place
	eventually(t, "a follower", func() bool {
		l := leaderOf(all)
		for _, p := range all {
			if l != nil && p != l {
				gone = p
			}
		}
		return gone != nil
	})
	rest := slices.DeleteFunc(slices.Clone(all), func(p *place) bool { return p == gone })
	eventually(t, "the removal", func() bool {
		status, _, _ := rest[0].ask(t, "DELETE", "/cluster/servers/"+gone.name, "")
		return status == 200 || status == 404
	})
	if err := <-gone.done; !errors.Is(err, ErrRemoved) {
		t.Errorf("it ended with: %v", err)
	}
	gone.done <- nil
	rest[0].put(t, "s-2")
	if got := rest[1].ids(t, "?consistent=1"); len(got) != 2 {
		t.Errorf("%v", got)
	}
	if status, _, _ := rest[0].ask(t, "DELETE", "/cluster/servers/l9", ""); status != 404 {
		t.Errorf("a server that is none: %d", status)
	}
}

// A leader whose disk fails takes nothing on any more, says so and answers reads; what it had acknowledged stays, and others lead.
func TestADiskThatFails(t *testing.T) {
	var fails atomic.Bool
	all := []*place{newPlace(t, "l0"), newPlace(t, "l1"), newPlace(t, "l2")}
	for _, p := range all {
		for _, q := range all {
			p.firstNames = append(p.firstNames, First{q.name, q.web.Addr()})
		}
		p.fs = vfs.NewMem()
	}
	bad := all[0]
	bad.fs = errorfs.Wrap(vfs.NewMem(), errorfs.InjectorFunc(func(op errorfs.Op) error {
		if fails.Load() && op.Kind.ReadOrWrite() == errorfs.OpIsWrite {
			return errors.New("no space left on device")
		}
		return nil
	}))
	for _, p := range all {
		p.start(t)
	}
	all[1].put(t, "s-1")
	eventually(t, "the list at l0", func() bool { return len(bad.ids(t, "")) == 1 })
	fails.Store(true)
	all[1].put(t, "s-2")
	all[2].put(t, "s-3")
	eventually(t, "its word", func() bool { return bad.server.Report().Role == RoleFailed })
	if r := bad.server.Report(); !strings.Contains(r.Failure, "no space left on device") {
		t.Errorf("%+v", r)
	}
	if got := bad.ids(t, ""); len(got) == 0 {
		t.Errorf("it answers reads with %v", got)
	}
	res, err := http.Get("http://" + bad.web.Addr() + "/catalog/members?consistent=1")
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" {
		t.Errorf("a confirmed read: %d %v", res.StatusCode, res.Header)
	}
	for _, p := range all[1:] {
		if got := p.ids(t, "?consistent=1"); !slices.Equal(got, []string{"s-1", "s-2", "s-3"}) {
			t.Errorf("at %s: %v", p.name, got)
		}
	}
}

// A backup in the place of the list is another list: who followed the old one gets it whole.
func TestABackupIsAnotherList(t *testing.T) {
	p := newPlace(t, "l0")
	p.start(t)
	p.put(t, "s-1")
	p.put(t, "s-2")
	_, backup, h := p.ask(t, "GET", "/cluster/snapshot", "")
	was := h.Get("X-Catalog-Cluster")
	p.put(t, "s-3")
	for name, damage := range map[string]string{"cut": backup[:len(backup)-9], "flipped": strings.Replace(backup, "s-1", "s-7", 1), "none": "", "another": "wallflow list backup 9 2 00\n{}"} {
		if status, text, _ := p.ask(t, "PUT", "/cluster/snapshot?replace="+was, damage); status != 400 || !strings.Contains(text, "backup") {
			t.Errorf("%s: %d %s", name, status, text)
		}
	}
	if status, text, _ := p.ask(t, "PUT", "/cluster/snapshot?replace=other", backup); status != 412 || !strings.Contains(text, was) {
		t.Errorf("%d %s", status, text)
	}
	if got := p.ids(t, ""); len(got) != 3 {
		t.Fatalf("a restore that was turned down left %v", got)
	}
	res, err := http.Get("http://" + p.web.Addr() + "/catalog/members?stream=1&index=3&cluster=" + was)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	lines := json.NewDecoder(res.Body)
	if status, text, _ := p.ask(t, "PUT", "/cluster/snapshot?replace="+was, backup); status != 200 {
		t.Fatalf("%d %s", status, text)
	}
	var l catalog.List
	if err := lines.Decode(&l); err != nil || !l.Full || len(l.Servers) != 2 || l.Version <= 3 {
		t.Errorf("who followed got %+v, %v", l, err)
	}
	if st := p.server.m.Status(); st.Cluster == was || st.Version != l.Version {
		t.Errorf("%+v", st)
	}
	p.end(t)
	p.start(t)
	if got := p.ids(t, "?consistent=1"); !slices.Equal(got, []string{"s-1", "s-2"}) {
		t.Errorf("after a restart: %v", got)
	}
}

func TestAPromiseIsForGood(t *testing.T) {
	servers := []Peer{{"a", "l0", "h0", "r0"}, {"b", "l1", "h1", "r1"}, {"c", "l2", "h2", "r2"}}
	first := &Founding{Cluster: "x", Founder: "a", Round: 1, Servers: servers}
	names := []string{"l0", "l1", "l2"}
	own := identity{ID: "b", Name: "l1"}
	promised := identity{ID: "b", Name: "l1", Cluster: "x", Founding: first}
	with := func(edit func(*Founding)) *Founding {
		f := *first
		f.Servers = slices.Clone(servers)
		edit(&f)
		return &f
	}
	for _, c := range []struct {
		what  string
		own   identity
		f     *Founding
		names []string
		state bool
		want  string
	}{
		{"the first", own, first, names, false, ""},
		{"the same again", promised, first, names, false, ""},
		{"a later round of the founder", promised, with(func(f *Founding) { f.Round, f.Cluster = 2, "y" }), names, false, ""},
		{"another in the same round", promised, with(func(f *Founding) { f.Cluster = "y" }), names, false, "has promised itself"},
		{"another founder of the name", promised, with(func(f *Founding) { f.Founder, f.Round, f.Servers[0].ID = "z", 7, "z" }), names, false, "has promised itself"},
		{"part of a cluster", own, first, names, true, "is part of cluster"},
		{"taken into one", identity{ID: "b", Name: "l1", Cluster: "w"}, first, names, false, "is part of cluster w"},
		{"another folder", own, with(func(f *Founding) { f.Servers[1].ID = "bb" }), names, false, "its folder is another one"},
		{"other servers", own, first, []string{"l0", "l1", "l2", "l3", "l4"}, false, "was told of the servers"},
		{"without it", own, with(func(f *Founding) { f.Servers = f.Servers[:1] }), []string{"l0"}, false, "was told of the servers"},
	} {
		err := c.f.check(c.own, c.names, c.state)
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.what, err)
		}
	}
}

func TestOptionsThatAreWrong(t *testing.T) {
	three := []First{{"l0", "h0"}, {"l1", "h1"}, {"l2", "h2"}}
	for _, c := range []struct {
		o    Options
		want string
	}{
		{Options{Dir: "d"}, "name: is missing"},
		{Options{Name: "l0"}, "dir: is missing"},
		{Options{Name: "l0", Dir: "d", Servers: three[:2]}, "wanted are 1, 3 or 5"},
		{Options{Name: "l9", Dir: "d", Servers: three}, `"l9", is not among them`},
		{Options{Name: "l0", Dir: "d", Servers: []First{three[0], three[0], three[1]}}, `"l0" stands there twice`},
		{Options{Name: "l0", Dir: "d", Servers: []First{three[0], three[1], {"l2", ""}}}, "number 3: name and http"},
		{Options{Name: "l0", Dir: "d", Servers: three, Join: []string{"h"}}, "join: "},
	} {
		if _, err := Open(c.o); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%+v: %v", c.o, err)
		}
	}
	// A folder has one server.
	p := newPlace(t, "l0")
	p.start(t)
	p.end(t)
	if _, err := Open(Options{Name: "l1", Dir: p.dir, Listen: "127.0.0.1:0", Raft: "127.0.0.1:0"}); err == nil || !strings.Contains(err.Error(), `that of server "l0"`) {
		t.Errorf("%v", err)
	}
}

// An address may have gone to another server: what raft says reaches only whom it is meant for.
func TestAStreamReachesOnlyWhomItIsMeantFor(t *testing.T) {
	listen := func(cluster, id string) *stream {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := newStream(l, slog.New(slog.DiscardHandler), func() (string, string) { return cluster, id }, func(a string) string { return a })
		t.Cleanup(func() { s.Close() })
		return s
	}
	to, from := listen("x", "b"), listen("x", "a")
	dial := func(s *stream, id string) (net.Conn, error) {
		return s.Dial(target(raft.ServerID(id), raft.ServerAddress(to.Addr().String())), time.Second)
	}
	for _, c := range []struct {
		s    *stream
		id   string
		want string
	}{
		{from, "c", "this is server b, not c"}, {listen("y", "a"), "b", "part of cluster x, not of y"},
	} {
		if _, err := dial(c.s, c.id); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.id, err)
		}
	}
	quiet, err := net.Dial("tcp", to.Addr().String()) // says nothing, and holds nobody up
	if err != nil {
		t.Fatal(err)
	}
	defer quiet.Close()
	c, err := dial(from, "b")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	got, err := to.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer got.Close()
	if _, err := c.Write([]byte("raft")); err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if _, err := io.CopyN(&b, got, 4); err != nil || b.String() != "raft" {
		t.Errorf("%q %v", b.String(), err)
	}
}
