package listsvc

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"wallflow/internal/catalog"
	"wallflow/internal/durable"
)

func entry(id string, cell int) catalog.Change {
	return catalog.Change{Entry: catalog.Entry{ID: id, Addr: "10.1.0.18:3000", Zone: "a", Kind: "m2", Cell: cell, State: catalog.Ready, Weight: 1}}
}

func encode(t *testing.T, c command) []byte {
	t.Helper()
	data, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func listText(t *testing.T, m *Machine) string {
	t.Helper()
	l, cluster := m.FullList()
	data, err := json.Marshal(l)
	if err != nil {
		t.Fatal(err)
	}
	return cluster + " " + string(data)
}

func TestClusterIsFoundedOnce(t *testing.T) {
	m := NewMachine(0)
	apply := func(c command) commandResult { return m.Apply(&raft.Log{Data: encode(t, c)}).(commandResult) }
	w := command{Kind: cmdWrite, Write: &catalog.Write{Changes: []catalog.Change{entry("s-1", 1)}}}
	if o := apply(w); !errors.Is(o.err, ErrNotFounded) {
		t.Errorf("write before the founding: %v", o.err)
	}
	if l, changed, _ := m.Since("", 0); changed {
		t.Errorf("list before the founding: %+v", l)
	}
	if o := apply(command{Kind: cmdFound, Cluster: "c1"}); o.err != nil {
		t.Fatal(o.err)
	}
	if o := apply(command{Kind: cmdFound, Cluster: "c2"}); !errors.Is(o.err, ErrAlreadyFounded) || !strings.Contains(o.err.Error(), "c1") {
		t.Errorf("second founding: %v", o.err)
	}
	if o := apply(w); o.err != nil || o.result.Version != 1 {
		t.Errorf("%+v", o)
	}
	if s := m.Status(); s.Cluster != "c1" || s.Version != 1 || s.Entries != 1 {
		t.Errorf("%+v", s)
	}
}

// Waiting readers are woken only by changes, and a reader with a version of another cluster gets the full list.
func TestReadersWakeOnlyOnChanges(t *testing.T) {
	m := NewMachine(0)
	apply := func(c command) { m.Apply(&raft.Log{Data: encode(t, c)}) }
	apply(command{Kind: cmdFound, Cluster: "c1"})
	put := command{Kind: cmdWrite, Write: &catalog.Write{Key: "k", Changes: []catalog.Change{entry("s-1", 1)}}}
	apply(put)
	l, changed, next := m.Since("c1", 1)
	if changed {
		t.Errorf("change reported without a write: %+v", l)
	}
	apply(put) // repeated
	apply(command{Kind: cmdWrite, Write: &catalog.Write{Changes: []catalog.Change{entry("s-1", 1)}}})
	apply(command{Kind: cmdWrite, Write: &catalog.Write{Changes: []catalog.Change{entry("s-1", 2)}}}) // rejected: the cell differs
	select {
	case <-next:
		t.Error("woken without a change")
	default:
	}
	apply(command{Kind: cmdWrite, Write: &catalog.Write{Changes: []catalog.Change{entry("s-2", 1)}}})
	select {
	case <-next:
	default:
		t.Error("not woken by a change")
	}
	if l, changed, _ := m.Since("c1", 1); !changed || l.Full || len(l.Servers) != 1 || l.Version != 2 {
		t.Errorf("%+v", l)
	}
	if l, changed, _ := m.Since("c0", 2); !changed || !l.Full {
		t.Errorf("version of another cluster: %+v", l)
	}
}

// A command that this build does not know ends the server. If it skipped the command, its list would differ from the others'.
func TestUnknownCommandPanics(t *testing.T) {
	for _, data := range []string{`{"kind":"fly"}`, `{"kind":"write"}`, `{"kind":"found","cluster":"c","rack":1}`, `{`} {
		func() {
			defer func() {
				if p := recover(); p == nil || !strings.Contains(fmt.Sprint(p), "log entry 7") {
					t.Errorf("%s: %v", data, p)
				}
			}()
			NewMachine(0).Apply(&raft.Log{Index: 7, Data: []byte(data)})
		}()
	}
}

func TestRestoreOfInvalidSnapshotChangesNothing(t *testing.T) {
	m := NewMachine(0)
	m.Apply(&raft.Log{Data: encode(t, command{Kind: cmdFound, Cluster: "c1"})})
	m.Apply(&raft.Log{Data: encode(t, command{Kind: cmdWrite, Write: &catalog.Write{Changes: []catalog.Change{entry("s-1", 1)}}})})
	before := listText(t, m)
	s, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	for _, bad := range [][]byte{nil, data[:len(data)/2], bytes.Replace(data, []byte(`"version":1`), []byte(`"version":9`), 1)} {
		if err := m.Restore(io.NopCloser(bytes.NewReader(bad))); err == nil {
			t.Errorf("accepted: %s", bad)
		}
		if got := listText(t, m); got != before {
			t.Errorf("partially restored: %s", got)
		}
	}
	other := NewMachine(0)
	if err := other.Restore(io.NopCloser(bytes.NewReader(data))); err != nil {
		t.Fatal(err)
	}
	if got := listText(t, other); got != before {
		t.Errorf("%s\nwant\n%s", got, before)
	}
}

// raftServer is a raft node with a state machine and a disk that can lose unsynced data.
type raftServer struct {
	name      string
	fs        *vfs.MemFS
	store     *durable.Store
	machine   *Machine
	raft      *raft.Raft
	transport *raft.InmemTransport
}

// raftCluster is three raft servers in this process, connected by in-memory transports.
type raftCluster struct {
	t       *testing.T
	servers []*raftServer
}

func newRaftCluster(t *testing.T) *raftCluster {
	c := &raftCluster{t: t}
	var members raft.Configuration
	for i := range 3 {
		name := fmt.Sprintf("l%d", i)
		members.Servers = append(members.Servers, raft.Server{ID: raft.ServerID(name), Address: raft.ServerAddress(name)})
		c.servers = append(c.servers, &raftServer{name: name, fs: vfs.NewCrashableMem()})
	}
	for i, s := range c.servers {
		c.start(s)
		if i == 0 {
			if err := s.raft.BootstrapCluster(members).Error(); err != nil {
				t.Fatal(err)
			}
		}
	}
	t.Cleanup(func() {
		for _, s := range c.servers {
			c.stop(s)
		}
	})
	return c
}

func (c *raftCluster) start(s *raftServer) {
	c.t.Helper()
	store, err := durable.Open(durable.Options{Dir: "store", FS: s.fs})
	if err != nil {
		c.t.Fatal(err)
	}
	_, trans := raft.NewInmemTransportWithTimeout(raft.ServerAddress(s.name), 200*time.Millisecond)
	conf := raft.DefaultConfig()
	conf.LocalID = raft.ServerID(s.name)
	conf.HeartbeatTimeout, conf.ElectionTimeout, conf.LeaderLeaseTimeout = 150*time.Millisecond, 150*time.Millisecond, 100*time.Millisecond
	conf.CommitTimeout = 5 * time.Millisecond
	conf.SnapshotThreshold, conf.SnapshotInterval, conf.TrailingLogs = 20, 100*time.Millisecond, 5
	conf.Logger = hclog.NewNullLogger()
	s.store, s.machine, s.transport = store, NewMachine(16), trans
	if s.raft, err = raft.NewRaft(conf, s.machine, store, store, store, trans); err != nil {
		c.t.Fatal(err)
	}
	for _, o := range c.servers {
		if o != s && o.transport != nil {
			o.transport.Connect(s.transport.LocalAddr(), s.transport)
			s.transport.Connect(o.transport.LocalAddr(), o.transport)
		}
	}
}

func (c *raftCluster) stop(s *raftServer) {
	if s.raft == nil {
		return
	}
	s.raft.Shutdown().Error()
	s.transport.DisconnectAll()
	for _, o := range c.servers {
		if o != s && o.transport != nil {
			o.transport.Disconnect(s.transport.LocalAddr())
		}
	}
	s.store.Close()
	s.raft, s.transport = nil, nil
}

// powerLoss replaces a server's disk by a copy with the synced data and a random share of the unsynced data.
func (c *raftCluster) powerLoss(s *raftServer, rng *rand.Rand) {
	s.fs = s.fs.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: rng.IntN(101), RNG: rng})
}

// write commits a command on the current leader. It returns false if that did not succeed within 10 s; the command may then
// still be applied.
func (c *raftCluster) write(cmd command) (catalog.Result, bool) {
	data := encode(c.t, cmd)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, s := range c.servers {
			if s.raft == nil || s.raft.State() != raft.Leader {
				continue
			}
			f := s.raft.Apply(data, time.Second)
			if f.Error() != nil {
				continue
			}
			o := f.Response().(commandResult)
			if o.err != nil && !errors.Is(o.err, ErrAlreadyFounded) {
				c.t.Fatal(o.err)
			}
			return o.result, true
		}
	}
	return catalog.Result{}, false
}

// Servers are stopped one at a time, cleanly or by a power loss that keeps any share of the unsynced data, and finally all at
// once. Acknowledged writes survive, versions increase, and all servers end with the same list.
func TestAcknowledgedWritesSurviveServerFailures(t *testing.T) {
	c := newRaftCluster(t)
	rng := rand.New(rand.NewPCG(11, 11))
	if _, ok := c.write(command{Kind: cmdFound, Cluster: "c1"}); !ok {
		t.Fatal("no leader")
	}
	acknowledged := map[string]int64{}
	last := int64(0)
	put := func(i int) {
		t.Helper()
		id := fmt.Sprintf("s-%03d", i)
		r, ok := c.write(command{Kind: cmdWrite, Write: &catalog.Write{Key: "k" + id, Changes: []catalog.Change{entry(id, i)}}})
		if !ok {
			t.Fatalf("write %d was not committed", i)
		}
		if r.Version <= last && !r.Repeated {
			t.Fatalf("version %d after %d", r.Version, last)
		}
		last = max(last, r.Version)
		acknowledged[id] = r.Version
	}
	n := 0
	for range 12 {
		for range 8 {
			put(n)
			n++
		}
		s := c.servers[rng.IntN(len(c.servers))]
		if rng.IntN(2) == 0 {
			c.powerLoss(s, rng)
			c.stop(s) // its last writes go to the discarded disk
		} else {
			c.stop(s)
		}
		for range 4 {
			put(n)
			n++
		}
		c.start(s)
	}
	for _, s := range c.servers { // all at once
		c.powerLoss(s, rng)
	}
	for _, s := range c.servers {
		c.stop(s)
	}
	for _, s := range c.servers {
		c.start(s)
	}
	put(n)
	want := ""
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		same := true
		want = listText(t, c.servers[0].machine)
		for _, s := range c.servers[1:] {
			same = same && listText(t, s.machine) == want
		}
		if same && c.servers[0].machine.Status().Version == last {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("the servers end with different lists: %+v %+v %+v", c.servers[0].machine.Status(), c.servers[1].machine.Status(), c.servers[2].machine.Status())
		}
	}
	for id := range acknowledged {
		if !strings.Contains(want, `"`+id+`"`) {
			t.Errorf("acknowledged entry %s is missing", id)
		}
	}
	if entries := c.servers[0].machine.Status().Entries; entries != len(acknowledged) {
		t.Errorf("%d entries, want the %d acknowledged ones", entries, len(acknowledged))
	}
}
