// Package agent implements the agent that runs beside a relay. It follows the list service, keeps the latest list of endpoints on its
// own disk and serves it to the relay in the platform's membership protocol, whether or not the service is reachable. It also
// spools the relay's notices (final results of messages) on disk until they are forwarded, and takes part in the fleet's policy
// changes for the relay.
package agent

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"wallflow/internal/catalog"
)

// maxHistoryEntries limits the changes that a mirror remembers for relays that reconnect.
const maxHistoryEntries = 4096

// minReplacementRatio is the minimum size of another cluster's list, as a fraction of the current list, for it to replace the current
// one. A shorter list points to a cluster that was created anew and is not filled yet, not to endpoints that all went away.
const minReplacementRatio = 0.5

// Errors of a line that is rejected.
var (
	ErrBehind      = errors.New("the server is behind what is held")
	ErrPartialList = errors.New("changes to another list than the one that is held")
	ErrShrunk      = errors.New("a new list with less than half of the entries that are held: not taken on")
)

// Mirror is a local copy of the service's list with its recent changes. It uses no sockets and no clock, and its methods are not safe
// for concurrent use.
type Mirror struct {
	list           string // id of the cluster whose list this is; empty: none yet
	version        int64
	entries        map[string]catalog.Entry
	history        []versionChanges // changes after historyStart, the oldest first
	historyStart   int64            // version after which the history is complete
	historyEntries int              // entries in history
}

// versionChanges are the entries that changed from the previous version to this one.
type versionChanges struct {
	atVersion int64
	delta     []catalog.Entry
}

// NewMirror returns an empty mirror.
func NewMirror() *Mirror { return &Mirror{entries: map[string]catalog.Entry{}} }

// List returns the id of the list's cluster; empty if there is no list yet.
func (m *Mirror) List() string { return m.list }

// Version returns the version of the list.
func (m *Mirror) Version() int64 { return m.version }

// Len returns the number of entries.
func (m *Mirror) Len() int { return len(m.entries) }

// Apply applies a line from a server, or returns an error and changes nothing. forceList is the id of a list that an operator has
// ordered to accept even if it is much shorter than the current one.
func (m *Mirror) Apply(list string, l catalog.List, forceList string) (changed bool, err error) {
	switch {
	case list == "":
		return false, errors.New("the server does not say whose list it has")
	case list != m.list && !l.Full:
		return false, ErrPartialList
	case list != m.list && list != forceList && float64(len(l.Servers)) < minReplacementRatio*float64(len(m.entries)):
		return false, fmt.Errorf("%w: list %s has %d entries, and %d of list %s are held", ErrShrunk, list,
			len(l.Servers), len(m.entries), m.list)
	case list == m.list && l.Version < m.version:
		return false, fmt.Errorf("%w: version %d, and %d is held", ErrBehind, l.Version, m.version)
	case list == m.list && l.Version == m.version:
		return false, nil
	case list != m.list:
		m.list, m.version, m.entries = list, l.Version, catalog.Merge(nil, l)
		m.history, m.historyEntries, m.historyStart = nil, 0, l.Version // there are no changes from the previous list to this one
		return true, nil
	}
	changes := l.Servers
	if l.Full {
		changes = m.differences(l)
	}
	m.entries = catalog.Merge(m.entries, l)
	m.version = l.Version
	m.history = append(m.history, versionChanges{l.Version, changes})
	for m.historyEntries += len(changes); m.historyEntries > maxHistoryEntries && len(m.history) > 1; m.history = m.history[1:] {
		m.historyEntries -= len(m.history[0].delta)
		m.historyStart = m.history[0].atVersion
	}
	return true, nil
}

// differences returns the entries that a whole list adds, changes or removes; removed ones have state Gone.
func (m *Mirror) differences(l catalog.List) (all []catalog.Entry) {
	present := make(map[string]bool, len(l.Servers))
	for _, e := range l.Servers {
		present[e.ID] = true
		if old, ok := m.entries[e.ID]; !ok || !old.Equal(e) {
			all = append(all, e)
		}
	}
	for id, e := range m.entries {
		if !present[id] {
			e.State = catalog.Gone
			all = append(all, e)
		}
	}
	return all
}

// Since returns the changes after a version, with each entry once and in its current state. It returns the whole list if the
// history does not reach back that far.
func (m *Mirror) Since(version int64) (l catalog.List, changed bool) {
	switch {
	case m.list == "":
		return l, false
	case version == m.version:
		return catalog.List{Version: m.version}, false
	case version <= 0 || version < m.historyStart || version > m.version:
		return m.Whole(), true
	}
	last := map[string]catalog.Entry{}
	for _, s := range m.history {
		if s.atVersion <= version {
			continue
		}
		for _, e := range s.delta {
			last[e.ID] = e
		}
	}
	l = catalog.List{Version: m.version, Servers: make([]catalog.Entry, 0, len(last))}
	for _, e := range last {
		l.Servers = append(l.Servers, e)
	}
	sortByID(l.Servers)
	return l, true
}

// Whole returns the whole list.
func (m *Mirror) Whole() catalog.List {
	l := catalog.List{Version: m.version, Full: true, Servers: make([]catalog.Entry, 0, len(m.entries))}
	for _, e := range m.entries {
		l.Servers = append(l.Servers, e)
	}
	sortByID(l.Servers)
	return l
}

func sortByID(all []catalog.Entry) {
	slices.SortFunc(all, func(a, b catalog.Entry) int { return cmp.Compare(a.ID, b.ID) })
}

// savedList is the form in which a mirror is stored on disk.
type savedList struct {
	List    string          `json:"list"`
	Version int64           `json:"version"`
	Entries []catalog.Entry `json:"entries"`
}

func (m *Mirror) save() savedList { return savedList{m.list, m.version, m.Whole().Servers} }

// load restores a saved mirror, or returns an error and changes nothing.
func (m *Mirror) load(s savedList) error {
	if s.List == "" || s.Version < 0 || s.Version > catalog.MaxVersion {
		return fmt.Errorf("invalid version %d of list %q", s.Version, s.List)
	}
	for _, e := range s.Entries {
		if err := e.Check(); err != nil {
			return err
		}
	}
	n := NewMirror()
	if _, err := n.Apply(s.List, catalog.List{Version: s.Version, Full: true, Servers: s.Entries}, s.List); err != nil {
		return err
	}
	*m = *n
	return nil
}
