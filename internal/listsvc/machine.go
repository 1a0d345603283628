// Package listsvc implements the list service: list servers that replicate the catalog of endpoints with raft.
package listsvc

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"wallflow/internal/accord"
	"wallflow/internal/catalog"
)

// Kinds of command in raft's log.
const (
	cmdFound   = "found"  // sets the cluster's ID, once, and its initial servers
	cmdWrite   = "write"  // a write to the catalog
	cmdServer  = "server" // a server that joined or changed its addresses
	cmdRemoved = "left"   // a server that was removed
	cmdFleet   = "fleet"  // a batch of agents' reports and policy operations
)

// command is an entry of raft's log. A server of an older build that does not know a kind stops. If it skipped the command,
// its list would differ from the others' under the same version.
type command struct {
	Kind    string         `json:"kind"`
	Cluster string         `json:"cluster,omitempty"`
	Servers []Peer         `json:"servers,omitempty"`
	Write   *catalog.Write `json:"write,omitempty"`
	Fleet   []accord.Op    `json:"fleet,omitempty"`
}

// Peer is a server of the cluster. Its ID is generated with a new directory and stored there. A server that restarts under its
// name with an empty directory gets a new ID, because it must not vote a second time in place of the old one.
type Peer struct {
	ID   string `json:"id"`
	Name string `json:"name"`
	HTTP string `json:"http"`
	Raft string `json:"raft"`
}

// Errors of a command that was applied and rejected. They are deterministic: every server returns the same.
var (
	ErrAlreadyFounded = errors.New("the cluster has an id already")
	ErrNotFounded     = errors.New("the cluster has no id yet: it was never set up")
)

// commandResult is the value that Apply returns to the caller of raft.Apply.
type commandResult struct {
	result   catalog.Result
	err      error
	fleetOps []fleetOpResult // one result per operation
}

// fleetOpResult is the outcome of one operation on the fleet's state.
type fleetOpResult struct {
	number int64
	err    error
}

// Machine is raft's state machine. It applies commands to the catalog and the fleet's state, and wakes readers on changes.
type Machine struct {
	historyLength int // number of changes that the catalog keeps

	mu      sync.RWMutex
	catalog *catalog.Catalog // nil until the cluster is founded
	servers map[string]Peer  // by ID
	removed map[string]bool  // IDs of removed servers, which may not join again
	index   uint64           // log index of the last applied command
	changed chan struct{}    // closed and replaced at each change of the catalog

	fleet         *accord.State // nil until the cluster is founded
	fleetRevision int64         // number of changes of fleet on this server; not replicated
	fleetChanged  chan struct{} // closed and replaced at each change of fleet
	lastPromise   time.Time     // when the last promise was applied on this server, or a snapshot restored
	policyStart   time.Time     // from when requests may be accepted under the policy in force
	now           func() time.Time
}

var _ raft.FSM = (*Machine)(nil)

// NewMachine returns an empty state machine.
func NewMachine(historyLength int) *Machine {
	return &Machine{historyLength: historyLength, servers: map[string]Peer{}, removed: map[string]bool{}, changed: make(chan struct{}), fleetChanged: make(chan struct{}), now: time.Now}
}

// Apply applies a command. A command that this build cannot decode makes it panic with the index of the log entry, which ends
// the server, because its list would diverge from the others' if it continued.
func (m *Machine) Apply(l *raft.Log) any {
	var c command
	d := json.NewDecoder(bytes.NewReader(l.Data))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		panic(fmt.Sprintf("log entry %d: %v: this build cannot follow the cluster", l.Index, err))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.index = l.Index
	switch {
	case c.Kind == cmdFound && m.catalog != nil:
		return commandResult{err: fmt.Errorf("%w: %s", ErrAlreadyFounded, m.catalog.Cluster())}
	case c.Kind == cmdFound:
		m.catalog = catalog.New(c.Cluster, m.historyLength)
		m.fleet = accord.New(c.Cluster)
		m.setServers(c.Servers)
		m.notifyChanged()
		return commandResult{}
	case c.Kind == cmdServer:
		m.setServers(c.Servers)
		return commandResult{}
	case c.Kind == cmdRemoved:
		for _, p := range c.Servers {
			delete(m.servers, p.ID)
			m.removed[p.ID] = true
		}
		return commandResult{}
	case c.Kind == cmdWrite && c.Write != nil && m.catalog == nil:
		return commandResult{err: ErrNotFounded}
	case c.Kind == cmdWrite && c.Write != nil:
		r, err := m.catalog.Apply(*c.Write)
		if err == nil && r.Changed > 0 && !r.Repeated {
			m.notifyChanged()
		}
		return commandResult{result: r, err: err}
	case c.Kind == cmdFleet && m.fleet == nil:
		return commandResult{err: ErrNotFounded}
	case c.Kind == cmdFleet:
		return commandResult{fleetOps: m.applyFleet(c.Fleet)}
	}
	panic(fmt.Sprintf("log entry %d: kind %q: this build cannot follow the cluster", l.Index, c.Kind))
}

// setServers adds servers or updates their addresses.
func (m *Machine) setServers(all []Peer) {
	for _, p := range all {
		m.servers[p.ID] = p
	}
}

// Servers returns the servers of the cluster, sorted by name.
func (m *Machine) Servers() []Peer {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return slices.SortedFunc(maps.Values(m.servers), byName)
}

func byName(a, b Peer) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.ID, b.ID)) }

// Removed reports whether a server was removed from the cluster.
func (m *Machine) Removed(id string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.removed[id]
}

// Server returns the server with the given ID.
func (m *Machine) Server(id string) (Peer, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	p, ok := m.servers[id]
	return p, ok
}

// notifyChanged wakes all that wait for a change of the catalog. The caller holds m.mu.
func (m *Machine) notifyChanged() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Status describes the list on a server.
type Status struct {
	Cluster string
	Version int64
	Entries int
	Index   uint64 // index of the last applied log entry
}

// Status returns the status of the list. Only Index is set if the cluster has not been founded yet.
func (m *Machine) Status() Status {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.catalog == nil {
		return Status{Index: m.index}
	}
	return Status{m.catalog.Cluster(), m.catalog.Version(), m.catalog.Len(), m.index}
}

// Since returns the changes after a version of a cluster's list, or the full list if the version belongs to another cluster.
// next is closed at the next change of the catalog.
func (m *Machine) Since(cluster string, version int64) (l catalog.List, changed bool, next <-chan struct{}) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.catalog == nil {
		return catalog.List{}, false, m.changed
	}
	if cluster != m.catalog.Cluster() {
		version = 0
	}
	l, changed = m.catalog.Since(version)
	return l, changed, m.changed
}

// FullList returns the full list and the ID of its cluster.
func (m *Machine) FullList() (catalog.List, string) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.catalog == nil {
		return catalog.List{Full: true}, ""
	}
	return m.catalog.FullList(), m.catalog.Cluster()
}

// machineState is the content of a raft snapshot.
type machineState struct {
	Index   uint64            `json:"index"`
	Catalog *catalog.Snapshot `json:"catalog"` // nil until the cluster is founded
	Servers []Peer            `json:"servers,omitempty"`
	Removed []string          `json:"left,omitempty"`
	Fleet   *accord.State     `json:"fleet,omitempty"`
}

// Snapshot returns a copy of the state, so that writing it does not block the machine.
func (m *Machine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := machineState{Index: m.index, Servers: slices.SortedFunc(maps.Values(m.servers), byName), Removed: slices.Sorted(maps.Keys(m.removed))}
	if m.catalog != nil {
		c := m.catalog.Snapshot()
		s.Catalog = &c
	}
	if m.fleet != nil {
		s.Fleet = m.fleet.Clone()
	}
	return &s, nil
}

// encodeWithCatalog encodes the state with its catalog replaced, in the format that Restore reads.
func (m *Machine) encodeWithCatalog(cat *catalog.Catalog, index uint64) ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	c := cat.Snapshot()
	s := machineState{Index: index, Catalog: &c, Servers: slices.SortedFunc(maps.Values(m.servers), byName), Removed: slices.Sorted(maps.Keys(m.removed))}
	// A backup of the list does not contain the policy, so the current policy stays. A change in flight is dropped.
	if m.fleet != nil {
		s.Fleet = m.fleet.Clone()
		if c := s.Fleet.Change; c != nil {
			if _, err := s.Fleet.Apply(accord.Op{Drop: &accord.Drop{Number: c.Number, Why: "a backup of the list was restored"}}); err != nil {
				return nil, err
			}
		}
	}
	return json.Marshal(s)
}

// Persist writes the state to sink.
func (s *machineState) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(s); err != nil {
		return errors.Join(fmt.Errorf("snapshot: %w", err), sink.Cancel())
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (s *machineState) Release() {}

// Restore replaces the state by a snapshot. On an error the state is unchanged.
func (m *Machine) Restore(in io.ReadCloser) error {
	defer in.Close()
	var s machineState
	d := json.NewDecoder(in)
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	var cat *catalog.Catalog
	if s.Catalog != nil {
		var err error
		if cat, err = catalog.Load(*s.Catalog, m.historyLength); err != nil {
			return err
		}
	}
	if s.Fleet == nil && cat != nil { // written by a build without policies
		s.Fleet = accord.New(cat.Cluster())
	}
	if s.Fleet != nil {
		if err := s.Fleet.Check(); err != nil {
			return fmt.Errorf("snapshot: %w", err)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fleet, m.lastPromise = s.Fleet, m.now()
	if m.fleet != nil {
		m.policyStart = m.lastPromise.Add(m.holdDuration())
	}
	m.notifyFleetChanged()
	m.catalog, m.index, m.servers, m.removed = cat, s.Index, map[string]Peer{}, map[string]bool{}
	m.setServers(s.Servers)
	for _, id := range s.Removed {
		m.removed[id] = true
	}
	m.notifyChanged()
	return nil
}
