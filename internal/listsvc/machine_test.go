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

func whole(t *testing.T, m *Machine) string {
	t.Helper()
	l, cluster := m.Whole()
	data, err := json.Marshal(l)
	if err != nil {
		t.Fatal(err)
	}
	return cluster + " " + string(data)
}

func TestAClusterIsFoundedOnce(t *testing.T) {
	m := NewMachine(0)
	apply := func(c command) outcome { return m.Apply(&raft.Log{Data: encode(t, c)}).(outcome) }
	w := command{Kind: cmdWrite, Write: &catalog.Write{Changes: []catalog.Change{entry("s-1", 1)}}}
	if o := apply(w); !errors.Is(o.err, ErrNotFounded) {
		t.Errorf("a write before: %v", o.err)
	}
	if l, changed, _ := m.Since("", 0); changed {
		t.Errorf("a list before: %+v", l)
	}
	if o := apply(command{Kind: cmdFound, Cluster: "c1"}); o.err != nil {
		t.Fatal(o.err)
	}
	if o := apply(command{Kind: cmdFound, Cluster: "c2"}); !errors.Is(o.err, ErrFounded) || !strings.Contains(o.err.Error(), "c1") {
		t.Errorf("founded again: %v", o.err)
	}
	if o := apply(w); o.err != nil || o.result.Version != 1 {
		t.Errorf("%+v", o)
	}
	if s := m.Status(); s.Cluster != "c1" || s.Version != 1 || s.Entries != 1 {
		t.Errorf("%+v", s)
	}
}

// Who waits is woken by a change and by nothing else, and a version of another cluster gets the whole list.
func TestReadersAreToldOfChangesAlone(t *testing.T) {
	m := NewMachine(0)
	apply := func(c command) { m.Apply(&raft.Log{Data: encode(t, c)}) }
	apply(command{Kind: cmdFound, Cluster: "c1"})
	put := command{Kind: cmdWrite, Write: &catalog.Write{Key: "k", Changes: []catalog.Change{entry("s-1", 1)}}}
	apply(put)
	l, changed, next := m.Since("c1", 1)
	if changed {
		t.Errorf("nothing has changed: %+v", l)
	}
	apply(put) // repeated
	apply(command{Kind: cmdWrite, Write: &catalog.Write{Changes: []catalog.Change{entry("s-1", 1)}}})
	apply(command{Kind: cmdWrite, Write: &catalog.Write{Changes: []catalog.Change{entry("s-1", 2)}}}) // turned down
	select {
	case <-next:
		t.Error("woken by nothing")
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
		t.Errorf("another cluster's version: %+v", l)
	}
}

// A command that this build does not know ends the server: to pass it over would part its list from the others'.
func TestAnUnknownCommandIsNotPassedOver(t *testing.T) {
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

func TestASnapshotThatDoesNotFitChangesNothing(t *testing.T) {
	m := NewMachine(0)
	m.Apply(&raft.Log{Data: encode(t, command{Kind: cmdFound, Cluster: "c1"})})
	m.Apply(&raft.Log{Data: encode(t, command{Kind: cmdWrite, Write: &catalog.Write{Changes: []catalog.Change{entry("s-1", 1)}}})})
	before := whole(t, m)
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
			t.Errorf("taken on: %s", bad)
		}
		if got := whole(t, m); got != before {
			t.Errorf("half taken on: %s", got)
		}
	}
	other := NewMachine(0)
	if err := other.Restore(io.NopCloser(bytes.NewReader(data))); err != nil {
		t.Fatal(err)
	}
	if got := whole(t, other); got != before {
		t.Errorf("%s\nwant\n%s", got, before)
	}
}

// server is a list server's raft, with its disk.
type server struct {
	name    string
	fs      *vfs.MemFS
	store   *durable.Store
	machine *Machine
	raft    *raft.Raft
	trans   *raft.InmemTransport
}

// cluster is three of them in this process, over a network that can be cut.
type cluster struct {
	t       *testing.T
	servers []*server
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t}
	var members raft.Configuration
	for i := range 3 {
		name := fmt.Sprintf("l%d", i)
		members.Servers = append(members.Servers, raft.Server{ID: raft.ServerID(name), Address: raft.ServerAddress(name)})
		c.servers = append(c.servers, &server{name: name, fs: vfs.NewCrashableMem()})
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

func (c *cluster) start(s *server) {
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
	s.store, s.machine, s.trans = store, NewMachine(16), trans
	if s.raft, err = raft.NewRaft(conf, s.machine, store, store, store, trans); err != nil {
		c.t.Fatal(err)
	}
	for _, o := range c.servers {
		if o != s && o.trans != nil {
			o.trans.Connect(s.trans.LocalAddr(), s.trans)
			s.trans.Connect(o.trans.LocalAddr(), o.trans)
		}
	}
}

func (c *cluster) stop(s *server) {
	if s.raft == nil {
		return
	}
	s.raft.Shutdown().Error()
	s.trans.DisconnectAll()
	for _, o := range c.servers {
		if o != s && o.trans != nil {
			o.trans.Disconnect(s.trans.LocalAddr())
		}
	}
	s.store.Close()
	s.raft, s.trans = nil, nil
}

// powerLoss takes what of a server's disk was synced, and starts it again from that.
func (c *cluster) powerLoss(s *server, rng *rand.Rand) {
	s.fs = s.fs.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: rng.IntN(101), RNG: rng})
}

// write has some server take a write on, whoever leads; false if none did within a while. With false it may still have
// been, or come to be, taken on.
func (c *cluster) write(cmd command) (catalog.Result, bool) {
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
			o := f.Response().(outcome)
			if o.err != nil && !errors.Is(o.err, ErrFounded) {
				c.t.Fatal(o.err)
			}
			return o.result, true
		}
	}
	return catalog.Result{}, false
}

// Whatever is done to one of three servers, stopped in order or by a loss of power with any part of the unsynced kept, and
// then to all of them at once: what was acknowledged is there, versions rise, and all end with the same list.
func TestAcknowledgedWritesOutliveTheirServers(t *testing.T) {
	c := newCluster(t)
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
			t.Fatalf("write %d was never taken on", i)
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
			c.stop(s) // what it still writes goes to the disk that was lost
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
		want = whole(t, c.servers[0].machine)
		for _, s := range c.servers[1:] {
			same = same && whole(t, s.machine) == want
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
			t.Errorf("%s was acknowledged and is gone", id)
		}
	}
	if entries := c.servers[0].machine.Status().Entries; entries != len(acknowledged) {
		t.Errorf("%d entries, %d were acknowledged", entries, len(acknowledged))
	}
}
