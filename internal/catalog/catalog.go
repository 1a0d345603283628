package catalog

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

const (
	// VersionMost is the last version: what reads a list may hold numbers as floating point, which tells whole ones
	// apart up to here. A restored catalog begins RestoreJump above its backup.
	VersionMost = 1<<53 - 1
	RestoreJump = 1 << 32

	ChangesMost = 1024   // in one write
	EntriesMost = 200000 // in a catalog
	keysKept    = 4096   // idempotency keys, the last ones
	keyMost     = 256    // bytes of one
	historyKept = 8192   // changes, by default
)

// Errors of a write. None of them leaves a part of it behind.
var (
	ErrVersion   = errors.New("the list has another version")
	ErrExhausted = errors.New("versions are used up: restore a snapshot into a new cluster")
	ErrKeyReused = errors.New("the idempotency key was used for another write")
	ErrTooMany   = errors.New("too many entries")
)

// Change is one entry as it is to be, or, where Remove is set, the id of one that is to go.
type Change struct {
	Entry  Entry `json:"entry"`
	Remove bool  `json:"remove,omitempty"`
}

// Write is several changes that are taken on together or not at all.
type Write struct {
	Key     string   `json:"key,omitempty"`      // idempotency key; empty: none
	IfMatch *int64   `json:"if_match,omitempty"` // the version that the list has to have
	Changes []Change `json:"changes"`
}

// Result is what came of a write.
type Result struct {
	Version  int64 `json:"version"`            // after it
	Changed  int   `json:"changed"`            // entries that were not as the write has them already
	Repeated bool  `json:"repeated,omitempty"` // it had been taken on before, under its key; the rest is of that time
}

// List is a list in the platform's form: whole, or the changes since a version.
type List struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Catalog is the list. Its methods may not be called at the same time.
type Catalog struct {
	cluster string
	version int64
	floor   int64 // the history has every change after this version
	keep    int   // changes of the history
	entries map[string]Entry
	history []Stamped
	keys    map[string]Keyed
	order   []string // of keys, the oldest first
}

// Stamped is a change under its version.
type Stamped struct {
	Version int64 `json:"version"`
	Entry   Entry `json:"entry"` // state gone: removed
}

// Keyed is what came of a write with an idempotency key.
type Keyed struct {
	Digest string `json:"digest"`
	Result Result `json:"result"`
}

// New returns an empty catalog of a cluster, which keeps so many changes; 0: as many as is usual.
func New(cluster string, keep int) *Catalog {
	if keep <= 0 {
		keep = historyKept
	}
	return &Catalog{cluster: cluster, keep: keep, entries: map[string]Entry{}, keys: map[string]Keyed{}}
}

// Cluster is the id of the cluster whose versions these are. Versions of two clusters have nothing to do with each other.
func (c *Catalog) Cluster() string { return c.cluster }

// Version is that of the last change; 0: there was none.
func (c *Catalog) Version() int64 { return c.version }

// Len is how many entries there are.
func (c *Catalog) Len() int { return len(c.entries) }

// Get returns an entry.
func (c *Catalog) Get(id string) (Entry, bool) {
	e, ok := c.entries[id]
	return e, ok
}

// Apply takes a write on, whole or not at all. An entry that is already as the write has it is no change: who writes
// the same again and again makes no versions.
func (c *Catalog) Apply(w Write) (Result, error) {
	digest := ""
	if w.Key != "" {
		if len(w.Key) > keyMost {
			return Result{}, fmt.Errorf("idempotency key: %d bytes, at most are %d", len(w.Key), keyMost)
		}
		digest = w.digest()
		if was, ok := c.keys[w.Key]; ok {
			if was.Digest != digest {
				return Result{}, ErrKeyReused
			}
			r := was.Result
			r.Repeated = true
			return r, nil
		}
	}
	if w.IfMatch != nil && *w.IfMatch != c.version {
		return Result{}, fmt.Errorf("%w: %d, not %d", ErrVersion, c.version, *w.IfMatch)
	}
	changes, err := c.effective(w.Changes)
	if err != nil {
		return Result{}, err
	}
	if c.version > VersionMost-int64(len(changes)) {
		return Result{}, ErrExhausted
	}
	for _, e := range changes {
		c.version++
		if e.State == Gone {
			delete(c.entries, e.ID)
		} else {
			c.entries[e.ID] = e
		}
		c.history = append(c.history, Stamped{c.version, e})
	}
	c.trim()
	r := Result{Version: c.version, Changed: len(changes)}
	if w.Key != "" {
		c.remember(w.Key, Keyed{digest, r})
	}
	return r, nil
}

// effective checks changes and returns those that change anything.
func (c *Catalog) effective(changes []Change) ([]Entry, error) {
	if len(changes) > ChangesMost {
		return nil, fmt.Errorf("%d changes in one write, at most are %d", len(changes), ChangesMost)
	}
	var all []Entry
	seen := make(map[string]bool, len(changes))
	more := 0
	for i, ch := range changes {
		e := ch.Entry
		if seen[e.ID] {
			return nil, &FieldError{fmt.Sprintf("%d", i+1), "id", fmt.Sprintf("%q stands twice in one write", clip(e.ID))}
		}
		seen[e.ID] = true
		was, there := c.entries[e.ID]
		if ch.Remove {
			if there {
				was.State = Gone
				all = append(all, was)
				more--
			}
			continue
		}
		if err := e.Check(); err != nil {
			return nil, err
		}
		if there && was.Cell != e.Cell {
			// A relay that has calls out to it would take one partner's endpoint for another's.
			return nil, &FieldError{fmt.Sprintf("%q", clip(e.ID)), "cell", fmt.Sprintf("%d, but the list has it in cell %d: remove it first", e.Cell, was.Cell)}
		}
		if there && was.Equal(e) {
			continue
		}
		if !there {
			more++
		}
		all = append(all, e)
	}
	if len(c.entries)+more > EntriesMost {
		return nil, fmt.Errorf("%w: %d and %d more, at most are %d", ErrTooMany, len(c.entries), more, EntriesMost)
	}
	return all, nil
}

// digest tells one write from another under the same key.
func (w Write) digest() string {
	w.Key = ""
	data, err := json.Marshal(w)
	if err != nil { // an entry with a weight that is no number: it is turned down before it is kept
		return "unreadable"
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func (c *Catalog) remember(key string, k Keyed) {
	c.keys[key] = k
	c.order = append(c.order, key)
	if more := len(c.order) - keysKept; more > 0 {
		for _, old := range c.order[:more] {
			delete(c.keys, old)
		}
		c.order = slices.Clone(c.order[more:])
	}
}

// trim lets the oldest changes go, a quarter at a time.
func (c *Catalog) trim() {
	if len(c.history) <= c.keep+c.keep/4 {
		return
	}
	cut := len(c.history) - c.keep
	c.floor = c.history[cut-1].Version
	c.history = slices.Clone(c.history[cut:])
}

// Whole returns all entries, by id.
func (c *Catalog) Whole() List {
	l := List{Version: c.version, Full: true, Servers: make([]Entry, 0, len(c.entries))}
	for _, e := range c.entries {
		l.Servers = append(l.Servers, e)
	}
	byID(l.Servers)
	return l
}

// Since returns what has changed after a version, each entry once and as it is now, or the whole list where the history
// does not reach back so far or the version is none of this catalog's. changed is false if there is nothing to tell.
func (c *Catalog) Since(version int64) (l List, changed bool) {
	if version == c.version && version > 0 {
		return List{Version: c.version}, false
	}
	if version <= 0 || version < c.floor || version > c.version {
		return c.Whole(), true
	}
	from, _ := slices.BinarySearchFunc(c.history, version+1, func(s Stamped, v int64) int { return cmp.Compare(s.Version, v) })
	last := make(map[string]Entry)
	for _, s := range c.history[from:] {
		last[s.Entry.ID] = s.Entry
	}
	l = List{Version: c.version, Servers: make([]Entry, 0, len(last))}
	for _, e := range last {
		l.Servers = append(l.Servers, e)
	}
	byID(l.Servers)
	return l, true
}

func byID(all []Entry) {
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
}

// Follow takes a list on in the place of one who follows: whole, or changes to what it holds.
func Follow(held map[string]Entry, l List) map[string]Entry {
	if l.Full {
		held = make(map[string]Entry, len(l.Servers))
	}
	for _, e := range l.Servers {
		if e.State == Gone {
			delete(held, e.ID)
		} else {
			held[e.ID] = e
		}
	}
	return held
}
