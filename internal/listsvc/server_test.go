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

// testServer is a list server that can be stopped and restarted, also with another directory. Other servers reach it through
// links, whose addresses stay the same.
type testServer struct {
	name               string
	httpLink, raftLink *fault.Link
	addr               [2]atomic.Value // current listen addresses for HTTP and raft; empty while it is stopped
	dir                string
	server             *Server
	stop               context.CancelFunc
	done               chan error
	fs                 vfs.FS
	join               []string
	initial            []InitialServer
}

func newTestServer(t *testing.T, name string) *testServer {
	t.Helper()
	p := &testServer{name: name, dir: filepath.Join(t.TempDir(), name)}
	link := func(i int) *fault.Link {
		k, err := fault.NewLink(name, "127.0.0.1", 1, fault.Faults{}, func(ctx context.Context) (net.Conn, error) {
			addr, _ := p.addr[i].Load().(string)
			if addr == "" {
				return nil, errors.New("server is stopped")
			}
			return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(k.Close)
		return k
	}
	p.httpLink, p.raftLink = link(0), link(1)
	return p
}

func (p *testServer) start(t *testing.T) {
	t.Helper()
	s, err := Open(Options{Name: p.name, Dir: p.dir, Listen: "127.0.0.1:0", Raft: "127.0.0.1:0", AdvertiseHTTP: p.httpLink.Addr(), AdvertiseRaft: p.raftLink.Addr(),
		Servers: p.initial, Join: p.join, HistoryLength: 64, HeartbeatTimeout: 300 * time.Millisecond, SnapshotThreshold: 64, FS: p.fs})
	if err != nil {
		t.Fatal(err)
	}
	p.server = s
	p.addr[0].Store(s.httpListener.Addr().String())
	p.addr[1].Store(s.stream.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	p.stop, p.done = cancel, make(chan error, 1)
	go func() { p.done <- s.Run(ctx) }()
	t.Cleanup(func() { p.shutdown(t) })
}

// shutdown stops the server, if it runs, and returns the result of Run.
func (p *testServer) shutdown(t *testing.T) (err error) {
	t.Helper()
	if p.stop == nil {
		return nil
	}
	p.stop()
	select {
	case err = <-p.done:
	case <-time.After(20 * time.Second):
		t.Fatalf("server %s does not stop", p.name)
	}
	p.stop, p.server = nil, nil
	p.addr[0].Store("")
	p.addr[1].Store("")
	p.httpLink.Reset()
	p.raftLink.Reset()
	return err
}

// startCluster starts n servers that found a cluster.
func startCluster(t *testing.T, n int) []*testServer {
	t.Helper()
	var servers []*testServer
	for i := range n {
		servers = append(servers, newTestServer(t, fmt.Sprintf("l%d", i)))
	}
	for _, p := range servers {
		for _, q := range servers {
			p.initial = append(p.initial, InitialServer{q.name, q.httpLink.Addr()})
		}
	}
	for i := range servers {
		servers[len(servers)-1-i].start(t) // start the founder last
	}
	return servers
}

// eventually waits until condition holds. The test fails after 30 s.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for: " + what)
		}
	}
}

// request sends a request until the status of the response is not 503.
func (p *testServer) request(t *testing.T, method, path, body string, header ...string) (status int, text string, h http.Header) {
	t.Helper()
	eventually(t, method+" "+path+" at "+p.name, func() bool {
		req, err := http.NewRequest(method, "http://"+p.httpLink.Addr()+path, strings.NewReader(body))
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

func (p *testServer) put(t *testing.T, id string) {
	t.Helper()
	if status, text, _ := p.request(t, "PUT", "/catalog/members/"+id, entryJSON, "Idempotency-Key", id); status != 200 {
		t.Fatalf("%s at %s: %d %s", id, p.name, status, text)
	}
}

func (p *testServer) ids(t *testing.T, query string) (ids []string) {
	t.Helper()
	_, text, _ := p.request(t, "GET", "/catalog/members"+query, "")
	var l catalog.List
	if err := json.Unmarshal([]byte(text), &l); err != nil {
		t.Fatal(err)
	}
	for _, e := range l.Servers {
		ids = append(ids, e.ID)
	}
	return ids
}

func leaderOf(servers []*testServer) *testServer {
	for _, p := range servers {
		if p.server != nil && p.server.readyTerm.Load() != 0 && p.server.Report().Role == "leader" {
			return p
		}
	}
	return nil
}

// Three initial servers found one cluster. A write at any of them reaches all, and consistent reads include it at once.
func TestInitialServersFoundOneCluster(t *testing.T) {
	servers := startCluster(t, 3)
	for i, p := range servers {
		id := fmt.Sprintf("s-%d", i)
		p.put(t, id)
		for _, q := range servers {
			if got := q.ids(t, "?consistent=1"); !slices.Contains(got, id) {
				t.Errorf("%s was written at %s, but a consistent read at %s returns %v", id, p.name, q.name, got)
			}
		}
	}
	for _, p := range servers {
		eventually(t, "the full list at "+p.name, func() bool { return len(p.ids(t, "")) == 3 })
		if r := p.server.Report(); r.Cluster != servers[0].server.Report().Cluster || r.Cluster == "" || len(r.Members) != 3 || r.ListCluster != r.Cluster {
			t.Errorf("%+v", r)
		}
	}
}

// A leader that shuts down transfers leadership first, and rejoins after a restart without losing writes.
func TestShutdownTransfersLeadership(t *testing.T) {
	servers := startCluster(t, 3)
	var written []string
	for round := range 3 {
		id := fmt.Sprintf("s-%d", round)
		servers[round].put(t, id)
		written = append(written, id)
		var l *testServer
		eventually(t, "a leader", func() bool { l = leaderOf(servers); return l != nil })
		term := l.server.raft.CurrentTerm()
		if err := l.shutdown(t); err != nil {
			t.Fatalf("%s: %v", l.name, err)
		}
		eventually(t, "another leader", func() bool { n := leaderOf(servers); return n != nil && n.server.raft.CurrentTerm() > term })
		l.start(t)
	}
	for _, p := range servers {
		if got := p.ids(t, "?consistent=1"); !slices.Equal(got, written) {
			t.Errorf("at %s: %v, want %v", p.name, got, written)
		}
	}
}

// A server that lost its directory cannot continue as a member. It joins as a new server, which replaces the old one.
func TestServerWithLostDirectoryIsReplaced(t *testing.T) {
	servers := startCluster(t, 3)
	for i := range 200 { // more than the trailing log holds, so the new server needs a snapshot
		servers[i%3].put(t, fmt.Sprintf("s-%03d", i))
	}
	lost := servers[2]
	old := lost.server.Report().ID
	lost.shutdown(t)
	if err := os.RemoveAll(lost.dir); err != nil {
		t.Fatal(err)
	}
	lost.start(t)
	if err := <-lost.done; !errors.Is(err, ErrClusterExists) {
		t.Fatalf("Run with an empty directory: %v", err)
	}
	lost.done <- nil
	lost.shutdown(t)
	lost.initial, lost.join = nil, []string{servers[0].httpLink.Addr(), servers[1].httpLink.Addr()}
	lost.start(t)
	eventually(t, "the new server to become a voter", func() bool {
		r := lost.server.Report()
		return slices.ContainsFunc(r.Members, func(m Member) bool { return m.ID == r.ID && m.Voter && m.Name == "l2" })
	})
	r := lost.server.Report()
	if r.ID == old || len(r.Members) != 3 || slices.ContainsFunc(r.Members, func(m Member) bool { return m.ID == old }) {
		t.Errorf("old ID %s, new report %+v", old, r)
	}
	if got := lost.ids(t, "?consistent=1"); len(got) != 200 {
		t.Errorf("%d entries", len(got))
	}
	// A second running server of the same name is rejected, and the first stays.
	namesake := newTestServer(t, "l2")
	namesake.join = lost.join
	namesake.start(t)
	body, _ := json.Marshal(namesake.server.ownPeer()) // cannot fail: the fields are strings
	if status, text, _ := servers[0].request(t, "POST", "/cluster/servers", string(body)); status != 409 || !strings.Contains(text, `a server named \"l2\" is running`) {
		t.Errorf("%d %s", status, text)
	}
	if got := lost.server.Report(); got.ID != r.ID || len(got.Members) != 3 {
		t.Errorf("%+v", got)
	}
}

// A removed server asks every server that may know of its removal. If it was removed before the replicated records reached
// it, these are the configured ones.
func TestPeerAddressesIncludeConfiguredServers(t *testing.T) {
	own := Peer{ID: "i", Name: "l2", HTTP: "10.0.0.2:80"}
	first := []InitialServer{{"l0", "10.0.0.0:80"}, {"l1", "10.0.0.1:80"}, {"l2", "10.0.0.2:80"}}
	got := peerAddresses(own, []Peer{own}, first, []string{"10.0.0.9:80"})
	if !slices.Equal(got, []string{"10.0.0.0:80", "10.0.0.1:80", "10.0.0.9:80"}) {
		t.Errorf("%v", got)
	}
	got = peerAddresses(own, []Peer{own, {ID: "j", HTTP: "10.0.0.1:80"}, {ID: "k"}}, first, nil)
	if !slices.Equal(got, []string{"10.0.0.1:80", "10.0.0.0:80"}) {
		t.Errorf("%v", got)
	}
}

// A server whose replicated records name no other server learns from the configured servers that it was removed. It does not
// trust a server of another cluster or one without a leader, nor one that still lists it as a member or knows no members yet: the founder
// of a cluster ended by itself when a follower knew that it led and had not received the members.
func TestRemovalIsDetectedThroughConfiguredServers(t *testing.T) {
	var report atomic.Pointer[Report]
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(report.Load()) }))
	defer other.Close()
	p := newTestServer(t, "l2")
	p.initial = []InitialServer{{"l0", other.Listener.Addr().String()}, {"l1", "127.0.0.1:1"}, {"l2", p.httpLink.Addr()}}
	report.Store(&Report{Name: "l0", Role: RoleNew}) // keeps the server from founding a cluster
	p.start(t)
	if err := p.server.updateIdentity(func(i *identity) error { i.Cluster = "c1"; return nil }); err != nil {
		t.Fatal(err)
	}
	own := p.server.ownPeer()
	others := []Member{{Peer: Peer{ID: "x", Name: "l0"}, Voter: true}, {Peer: Peer{ID: "y", Name: "l1"}, Voter: true}}
	for name, c := range map[string]struct {
		report  Report
		removed bool
	}{
		"removed":          {Report{Name: "l0", Role: "follower", Cluster: "c1", Leader: "x", Commit: 9, Members: others}, true},
		"still a member":   {Report{Name: "l0", Role: "follower", Cluster: "c1", Leader: "x", Commit: 9, Members: append(others, Member{Peer: own})}, false},
		"another cluster":  {Report{Name: "l0", Role: "follower", Cluster: "c2", Leader: "x", Commit: 9, Members: others}, false},
		"no leader":        {Report{Name: "l0", Role: "follower", Cluster: "c1", Commit: 9, Members: others}, false},
		"just founded":     {Report{Name: "l0", Role: RoleNew, Cluster: "c1", Leader: own.ID}, false},
		"just joined":      {Report{Name: "l0", Role: RoleNew, Cluster: "c1", Leader: "x", Commit: 9}, false},
		"failed while new": {Report{Name: "l0", Role: RoleFailed, Cluster: "c1", Failure: "disk"}, false},
	} {
		report.Store(&c.report)
		if err := p.server.checkRemoved(t.Context(), own); errors.Is(err, ErrRemoved) != c.removed {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A server that takes part in a founding waits for one whose disk has failed before it had any members, and doesn't take it for a member
// of another cluster.
func TestFoundingWaitsForServerWithFailedDisk(t *testing.T) {
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(Report{Name: "l0", Role: RoleFailed, Failure: "disk"})
	}))
	defer other.Close()
	p := newTestServer(t, "l2")
	p.initial = []InitialServer{{"l0", other.Listener.Addr().String()}, {"l1", "127.0.0.1:1"}, {"l2", p.httpLink.Addr()}}
	p.start(t)
	err := p.server.foundCluster(t.Context())
	if err == nil || errors.Is(err, ErrClusterExists) {
		t.Errorf("%v", err)
	}
}

// A removed server stops by itself, and the others continue.
func TestRemovedServerStops(t *testing.T) {
	servers := startCluster(t, 3)
	servers[0].put(t, "s-1")
	var removed *testServer
	eventually(t, "a follower", func() bool {
		l := leaderOf(servers)
		for _, p := range servers {
			if l != nil && p != l {
				removed = p
			}
		}
		return removed != nil
	})
	remaining := slices.DeleteFunc(slices.Clone(servers), func(p *testServer) bool { return p == removed })
	eventually(t, "the removal", func() bool {
		status, _, _ := remaining[0].request(t, "DELETE", "/cluster/servers/"+removed.name, "")
		return status == 200 || status == 404
	})
	if err := <-removed.done; !errors.Is(err, ErrRemoved) {
		t.Errorf("Run of the removed server: %v", err)
	}
	removed.done <- nil
	remaining[0].put(t, "s-2")
	if got := remaining[1].ids(t, "?consistent=1"); len(got) != 2 {
		t.Errorf("%v", got)
	}
	if status, _, _ := remaining[0].request(t, "DELETE", "/cluster/servers/l9", ""); status != 404 {
		t.Errorf("removal of an unknown server: %d", status)
	}
}

// A server whose disk fails accepts no more writes, reports the failure and continues to serve reads. Acknowledged writes are
// kept by the others, one of which leads.
func TestLeaderDiskFailure(t *testing.T) {
	var failing atomic.Bool
	servers := []*testServer{newTestServer(t, "l0"), newTestServer(t, "l1"), newTestServer(t, "l2")}
	for _, p := range servers {
		for _, q := range servers {
			p.initial = append(p.initial, InitialServer{q.name, q.httpLink.Addr()})
		}
		p.fs = vfs.NewMem()
	}
	failed := servers[0]
	failed.fs = errorfs.Wrap(vfs.NewMem(), errorfs.InjectorFunc(func(op errorfs.Op) error {
		if failing.Load() && op.Kind.ReadOrWrite() == errorfs.OpIsWrite {
			return errors.New("no space left on device")
		}
		return nil
	}))
	for _, p := range servers {
		p.start(t)
	}
	servers[1].put(t, "s-1")
	eventually(t, "the list at l0", func() bool { return len(failed.ids(t, "")) == 1 })
	failing.Store(true)
	servers[1].put(t, "s-2")
	servers[2].put(t, "s-3")
	eventually(t, "the report of the disk failure", func() bool { return failed.server.Report().Role == RoleFailed })
	if r := failed.server.Report(); !strings.Contains(r.Failure, "no space left on device") {
		t.Errorf("%+v", r)
	}
	if got := failed.ids(t, ""); len(got) == 0 {
		t.Errorf("reads after the disk failure return %v", got)
	}
	res, err := http.Get("http://" + failed.httpLink.Addr() + "/catalog/members?consistent=1")
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" {
		t.Errorf("consistent read: %d %v", res.StatusCode, res.Header)
	}
	for _, p := range servers[1:] {
		if got := p.ids(t, "?consistent=1"); !slices.Equal(got, []string{"s-1", "s-2", "s-3"}) {
			t.Errorf("at %s: %v", p.name, got)
		}
	}
}

// A restored backup is a new list with its own cluster ID, which readers of the old list receive in full.
func TestRestoredBackupIsNewList(t *testing.T) {
	p := newTestServer(t, "l0")
	p.start(t)
	p.put(t, "s-1")
	p.put(t, "s-2")
	_, backup, h := p.request(t, "GET", "/cluster/snapshot", "")
	oldCluster := h.Get("X-Catalog-Cluster")
	p.put(t, "s-3")
	for name, damage := range map[string]string{"cut": backup[:len(backup)-9], "flipped": strings.Replace(backup, "s-1", "s-7", 1), "none": "", "another": "wallflow list backup 9 2 00\n{}"} {
		if status, text, _ := p.request(t, "PUT", "/cluster/snapshot?replace="+oldCluster, damage); status != 400 || !strings.Contains(text, "backup") {
			t.Errorf("%s: %d %s", name, status, text)
		}
	}
	if status, text, _ := p.request(t, "PUT", "/cluster/snapshot?replace=other", backup); status != 412 || !strings.Contains(text, oldCluster) {
		t.Errorf("%d %s", status, text)
	}
	if got := p.ids(t, ""); len(got) != 3 {
		t.Fatalf("entries after a rejected restore: %v", got)
	}
	res, err := http.Get("http://" + p.httpLink.Addr() + "/catalog/members?stream=1&index=3&cluster=" + oldCluster)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	lines := json.NewDecoder(res.Body)
	if status, text, _ := p.request(t, "PUT", "/cluster/snapshot?replace="+oldCluster, backup); status != 200 {
		t.Fatalf("%d %s", status, text)
	}
	var l catalog.List
	if err := lines.Decode(&l); err != nil || !l.Full || len(l.Servers) != 2 || l.Version <= 3 {
		t.Errorf("a watch of the old list received %+v, %v", l, err)
	}
	if st := p.server.machine.Status(); st.Cluster == oldCluster || st.Version != l.Version {
		t.Errorf("%+v", st)
	}
	p.shutdown(t)
	p.start(t)
	if got := p.ids(t, "?consistent=1"); !slices.Equal(got, []string{"s-1", "s-2"}) {
		t.Errorf("after a restart: %v", got)
	}
}

func TestFoundingPromiseIsPermanent(t *testing.T) {
	servers := []Peer{{"a", "l0", "h0", "r0"}, {"b", "l1", "h1", "r1"}, {"c", "l2", "h2", "r2"}}
	first := &Founding{Cluster: "x", Founder: "a", Round: 1, Servers: servers}
	names := []string{"l0", "l1", "l2"}
	own := identity{ID: "b", Name: "l1"}
	promised := identity{ID: "b", Name: "l1", Cluster: "x", Founding: first}
	modified := func(edit func(*Founding)) *Founding {
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
		{"a later round of the founder", promised, modified(func(f *Founding) { f.Round, f.Cluster = 2, "y" }), names, false, ""},
		{"another in the same round", promised, modified(func(f *Founding) { f.Cluster = "y" }), names, false, "has promised itself"},
		{"another founder of the name", promised, modified(func(f *Founding) { f.Founder, f.Round, f.Servers[0].ID = "z", 7, "z" }), names, false, "has promised itself"},
		{"part of a cluster", own, first, names, true, "is part of cluster"},
		{"taken into one", identity{ID: "b", Name: "l1", Cluster: "w"}, first, names, false, "is part of cluster w"},
		{"another folder", own, modified(func(f *Founding) { f.Servers[1].ID = "bb" }), names, false, "its folder is another one"},
		{"other servers", own, first, []string{"l0", "l1", "l2", "l3", "l4"}, false, "was told of the servers"},
		{"without it", own, modified(func(f *Founding) { f.Servers = f.Servers[:1] }), []string{"l0"}, false, "was told of the servers"},
	} {
		err := c.f.check(c.own, c.names, c.state)
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.what, err)
		}
	}
}

func TestInvalidOptions(t *testing.T) {
	three := []InitialServer{{"l0", "h0"}, {"l1", "h1"}, {"l2", "h2"}}
	for _, c := range []struct {
		o    Options
		want string
	}{
		{Options{Dir: "d"}, "name: is missing"},
		{Options{Name: "l0"}, "dir: is missing"},
		{Options{Name: "l0", Dir: "d", Servers: three[:2]}, "wanted are 1, 3 or 5"},
		{Options{Name: "l9", Dir: "d", Servers: three}, `this server, "l9", is not among them`},
		{Options{Name: "l0", Dir: "d", Servers: []InitialServer{three[0], three[0], three[1]}}, `"l0" is listed twice`},
		{Options{Name: "l0", Dir: "d", Servers: []InitialServer{three[0], three[1], {"l2", ""}}}, "number 3: name and http"},
		{Options{Name: "l0", Dir: "d", Servers: three, Join: []string{"h"}}, "join: "},
	} {
		if _, err := Open(c.o); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%+v: %v", c.o, err)
		}
	}
	// A directory belongs to one server.
	p := newTestServer(t, "l0")
	p.start(t)
	p.shutdown(t)
	if _, err := Open(Options{Name: "l1", Dir: p.dir, Listen: "127.0.0.1:0", Raft: "127.0.0.1:0"}); err == nil || !strings.Contains(err.Error(), `belongs to server "l0"`) {
		t.Errorf("%v", err)
	}
}

// An address may have been reassigned to another server, so a connection is only accepted by the intended server of the
// intended cluster.
func TestStreamHandshakeChecksIdentity(t *testing.T) {
	listen := func(cluster, id string) *raftStream {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := newRaftStream(l, slog.New(slog.DiscardHandler), func() (string, string) { return cluster, id }, func(a string) string { return a })
		t.Cleanup(func() { s.Close() })
		return s
	}
	to, from := listen("x", "b"), listen("x", "a")
	dial := func(s *raftStream, id string) (net.Conn, error) {
		return s.Dial(dialTarget(raft.ServerID(id), raft.ServerAddress(to.Addr().String())), time.Second)
	}
	for _, c := range []struct {
		s    *raftStream
		id   string
		want string
	}{
		{from, "c", "this is server b, not c"}, {listen("y", "a"), "b", "part of cluster x, not of y"},
	} {
		if _, err := dial(c.s, c.id); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.id, err)
		}
	}
	silent, err := net.Dial("tcp", to.Addr().String()) // sends nothing and must not block other connections
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
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
