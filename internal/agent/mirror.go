// Package agent is the agent beside a relay: it follows the list service, keeps the last list and the notices that are not
// handed on yet on its own disk, and serves the relay in the platform's protocol whether the service is there or not.
package agent

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"wallflow/internal/catalog"
)

// changesKept is how many changes a mirror remembers, for relays that were away for a moment.
const changesKept = 4096

// shrinkMost is the least part of its entries that a list of another cluster may have in the place of the one that is held: one
// with fewer is a cluster that was founded anew, rather than one whose endpoints all went.
const shrinkMost = 0.5

// Errors of a line that is not taken on.
var (
	ErrBehind = errors.New("the server is behind what is held")
	ErrPart   = errors.New("changes to another list than the one that is held")
	ErrShrunk = errors.New("a new list with less than half of the entries that are held: not taken on")
)

// Mirror is the list as it was told last. It has no sockets and no clock, and its methods may not be called at the same time.
type Mirror struct {
	list    string // of which cluster
	version int64
	held    map[string]catalog.Entry
	steps   []step // the changes after floor, in their order
	floor   int64
	kept    int
}

// step is a line: what changed from the version before to this one.
type step struct {
	to      int64
	entries []catalog.Entry
}

// NewMirror returns a mirror that holds nothing.
func NewMirror() *Mirror { return &Mirror{held: map[string]catalog.Entry{}} }

// List and Version are those of what is held; Len is how many entries there are.
func (m *Mirror) List() string   { return m.list }
func (m *Mirror) Version() int64 { return m.version }
func (m *Mirror) Len() int       { return len(m.held) }

// Take takes a line of a server on, or leaves all as it is. takeOn is the id of a list that a person has said to take, however short.
func (m *Mirror) Take(list string, l catalog.List, takeOn string) (changed bool, err error) {
	switch {
	case list == "":
		return false, errors.New("the server does not say whose list it has")
	case list != m.list && !l.Full:
		return false, ErrPart
	case list != m.list && list != takeOn && float64(len(l.Servers)) < shrinkMost*float64(len(m.held)):
		return false, fmt.Errorf("%w: list %s has %d entries, and %d of list %s are held", ErrShrunk, list, len(l.Servers), len(m.held), m.list)
	case list == m.list && l.Version < m.version:
		return false, fmt.Errorf("%w: version %d, and %d is held", ErrBehind, l.Version, m.version)
	case list == m.list && l.Version == m.version:
		return false, nil
	case list != m.list:
		m.list, m.version, m.held = list, l.Version, catalog.Follow(nil, l)
		m.steps, m.kept, m.floor = nil, 0, l.Version // nobody has changes to this one
		return true, nil
	}
	changes := l.Servers
	if l.Full {
		changes = m.differences(l)
	}
	m.held = catalog.Follow(m.held, l)
	m.version = l.Version
	m.steps = append(m.steps, step{l.Version, changes})
	for m.kept += len(changes); m.kept > changesKept && len(m.steps) > 1; m.steps = m.steps[1:] {
		m.kept -= len(m.steps[0].entries)
		m.floor = m.steps[0].to
	}
	return true, nil
}

// differences are what a whole list changes of what is held, what is gone among it.
func (m *Mirror) differences(l catalog.List) (all []catalog.Entry) {
	there := make(map[string]bool, len(l.Servers))
	for _, e := range l.Servers {
		there[e.ID] = true
		if was, ok := m.held[e.ID]; !ok || !was.Equal(e) {
			all = append(all, e)
		}
	}
	for id, e := range m.held {
		if !there[id] {
			e.State = catalog.Gone
			all = append(all, e)
		}
	}
	return all
}

// Since returns what changed after a version, each entry once and as it is now, or the whole list.
func (m *Mirror) Since(version int64) (l catalog.List, changed bool) {
	switch {
	case m.list == "":
		return l, false
	case version == m.version:
		return catalog.List{Version: m.version}, false
	case version <= 0 || version < m.floor || version > m.version:
		return m.Whole(), true
	}
	last := map[string]catalog.Entry{}
	for _, s := range m.steps {
		if s.to <= version {
			continue
		}
		for _, e := range s.entries {
			last[e.ID] = e
		}
	}
	l = catalog.List{Version: m.version, Servers: make([]catalog.Entry, 0, len(last))}
	for _, e := range last {
		l.Servers = append(l.Servers, e)
	}
	byID(l.Servers)
	return l, true
}

// Whole is the list.
func (m *Mirror) Whole() catalog.List {
	l := catalog.List{Version: m.version, Full: true, Servers: make([]catalog.Entry, 0, len(m.held))}
	for _, e := range m.held {
		l.Servers = append(l.Servers, e)
	}
	byID(l.Servers)
	return l
}

func byID(all []catalog.Entry) {
	slices.SortFunc(all, func(a, b catalog.Entry) int { return cmp.Compare(a.ID, b.ID) })
}

// saved is a mirror as it lies on disk.
type saved struct {
	List    string          `json:"list"`
	Version int64           `json:"version"`
	Entries []catalog.Entry `json:"entries"`
}

func (m *Mirror) save() saved { return saved{m.list, m.version, m.Whole().Servers} }

// load takes a saved mirror on, whole or not at all.
func (m *Mirror) load(s saved) error {
	if s.List == "" || s.Version < 0 || s.Version > catalog.VersionMost {
		return fmt.Errorf("version %d of list %q is none", s.Version, s.List)
	}
	for _, e := range s.Entries {
		if err := e.Check(); err != nil {
			return err
		}
	}
	n := NewMirror()
	if _, err := n.Take(s.List, catalog.List{Version: s.Version, Full: true, Servers: s.Entries}, s.List); err != nil {
		return err
	}
	*m = *n
	return nil
}
