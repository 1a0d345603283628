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
	// MaxVersion is the highest version. Readers may hold numbers as 64-bit floating point, which represents integers
	// exactly only up to this value.
	MaxVersion = 1<<53 - 1
	// RestoreVersionOffset is added to the version of a backup when it is restored.
	RestoreVersionOffset = 1 << 32

	MaxChangesPerWrite   = 1024   // changes in one write
	MaxEntries           = 200000 // entries in a catalog
	maxIdempotencyKeys   = 4096   // idempotency keys whose results are kept, the most recent ones
	maxKeyBytes          = 256    // length of an idempotency key in bytes
	defaultHistoryLength = 8192   // changes kept in the history unless configured otherwise
)

// Errors of a write. A write that fails changes nothing.
var (
	ErrVersion   = errors.New("the list has another version")
	ErrExhausted = errors.New("versions are used up: restore a snapshot into a new cluster")
	ErrKeyReused = errors.New("the idempotency key was used for another write")
	ErrTooMany   = errors.New("too many entries")
)

// Change sets one entry to the given values, or removes the entry with the given ID if Remove is set.
type Change struct {
	Entry  Entry `json:"entry"`
	Remove bool  `json:"remove,omitempty"`
}

// Write is a set of changes that is applied atomically.
type Write struct {
	Key     string   `json:"key,omitempty"`      // idempotency key; empty: none
	IfMatch *int64   `json:"if_match,omitempty"` // the version that the list must have
	Changes []Change `json:"changes"`
}

// Result is the outcome of a successful write.
type Result struct {
	Version  int64 `json:"version"`            // version after the write
	Changed  int   `json:"changed"`            // number of entries that the write altered
	Repeated bool  `json:"repeated,omitempty"` // already applied under its key; the other fields are those of the first time
}

// List is the list of endpoints in the platform's format: either the full list or the changes since a version.
type List struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Catalog holds the list of endpoints with its recent history. It is not safe for concurrent use.
type Catalog struct {
	cluster       string
	version       int64
	floor         int64 // the history contains every change after this version
	historyLength int   // number of changes to keep in the history
	entries       map[string]Entry
	history       []VersionedEntry
	results       map[string]KeyedResult
	keyOrder      []string // idempotency keys, the oldest first
}

// VersionedEntry is an entry of the history: a change and the version that it produced.
type VersionedEntry struct {
	Version int64 `json:"version"`
	Entry   Entry `json:"entry"` // state "gone" if the entry was removed
}

// KeyedResult is the stored result of a write with an idempotency key.
type KeyedResult struct {
	Digest string `json:"digest"`
	Result Result `json:"result"`
}

// New returns an empty catalog of a cluster. It keeps historyLength changes in its history, or the default number if
// historyLength is 0.
func New(cluster string, historyLength int) *Catalog {
	if historyLength <= 0 {
		historyLength = defaultHistoryLength
	}
	return &Catalog{cluster: cluster, historyLength: historyLength, entries: map[string]Entry{}, results: map[string]KeyedResult{}}
}

// Cluster returns the ID of the cluster that assigned the versions. Versions of different clusters are unrelated.
func (c *Catalog) Cluster() string { return c.cluster }

// Version returns the version of the last change, or 0 if there has been none.
func (c *Catalog) Version() int64 { return c.version }

// Len returns the number of entries.
func (c *Catalog) Len() int { return len(c.entries) }

// Get returns the entry with the given ID.
func (c *Catalog) Get(id string) (Entry, bool) {
	e, ok := c.entries[id]
	return e, ok
}

// Apply applies a write atomically. An entry that already has the values of the write does not count as a change, so
// writing the same values repeatedly creates no versions.
func (c *Catalog) Apply(w Write) (Result, error) {
	digest := ""
	if w.Key != "" {
		if len(w.Key) > maxKeyBytes {
			return Result{}, fmt.Errorf("idempotency key: %d bytes, at most are %d", len(w.Key), maxKeyBytes)
		}
		digest = w.digest()
		if previous, ok := c.results[w.Key]; ok {
			if previous.Digest != digest {
				return Result{}, ErrKeyReused
			}
			r := previous.Result
			r.Repeated = true
			return r, nil
		}
	}
	if w.IfMatch != nil && *w.IfMatch != c.version {
		return Result{}, fmt.Errorf("%w: %d, not %d", ErrVersion, c.version, *w.IfMatch)
	}
	changes, err := c.effectiveChanges(w.Changes)
	if err != nil {
		return Result{}, err
	}
	if c.version > MaxVersion-int64(len(changes)) {
		return Result{}, ErrExhausted
	}
	for _, e := range changes {
		c.version++
		if e.State == Gone {
			delete(c.entries, e.ID)
		} else {
			c.entries[e.ID] = e
		}
		c.history = append(c.history, VersionedEntry{c.version, e})
	}
	c.trimHistory()
	r := Result{Version: c.version, Changed: len(changes)}
	if w.Key != "" {
		c.storeResult(w.Key, KeyedResult{digest, r})
	}
	return r, nil
}

// effectiveChanges validates changes and returns those that alter the list.
func (c *Catalog) effectiveChanges(changes []Change) ([]Entry, error) {
	if len(changes) > MaxChangesPerWrite {
		return nil, fmt.Errorf("%d changes in one write, at most are %d", len(changes), MaxChangesPerWrite)
	}
	var effective []Entry
	seen := make(map[string]bool, len(changes))
	added := 0
	for i, ch := range changes {
		e := ch.Entry
		if seen[e.ID] {
			return nil, &FieldError{fmt.Sprintf("%d", i+1), "id", fmt.Sprintf("%q stands twice in one write", truncate(e.ID))}
		}
		seen[e.ID] = true
		current, exists := c.entries[e.ID]
		if ch.Remove {
			if exists {
				current.State = Gone
				effective = append(effective, current)
				added--
			}
			continue
		}
		if err := e.Check(); err != nil {
			return nil, err
		}
		if exists && current.Cell != e.Cell {
			// A relay with calls in flight to the entry would mistake one partner's endpoint for another's.
			return nil, &FieldError{fmt.Sprintf("%q", truncate(e.ID)), "cell", fmt.Sprintf("%d, but the list has it in cell %d: remove it first", e.Cell, current.Cell)}
		}
		if exists && current.Equal(e) {
			continue
		}
		if !exists {
			added++
		}
		effective = append(effective, e)
	}
	if len(c.entries)+added > MaxEntries {
		return nil, fmt.Errorf("%w: %d and %d more, at most are %d", ErrTooMany, len(c.entries), added, MaxEntries)
	}
	return effective, nil
}

// digest returns a hash of the write without its key, which detects a key that is reused for a different write.
func (w Write) digest() string {
	w.Key = ""
	data, err := json.Marshal(w)
	if err != nil { // a weight is NaN or infinite; Apply rejects the write before the digest is stored
		return "unreadable"
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// storeResult keeps the result of a keyed write and drops the oldest results beyond maxIdempotencyKeys.
func (c *Catalog) storeResult(key string, k KeyedResult) {
	c.results[key] = k
	c.keyOrder = append(c.keyOrder, key)
	if excess := len(c.keyOrder) - maxIdempotencyKeys; excess > 0 {
		for _, old := range c.keyOrder[:excess] {
			delete(c.results, old)
		}
		c.keyOrder = slices.Clone(c.keyOrder[excess:])
	}
}

// trimHistory drops the oldest changes once the history exceeds its length by a quarter, which amortizes the copying.
func (c *Catalog) trimHistory() {
	if len(c.history) <= c.historyLength+c.historyLength/4 {
		return
	}
	cut := len(c.history) - c.historyLength
	c.floor = c.history[cut-1].Version
	c.history = slices.Clone(c.history[cut:])
}

// FullList returns the full list, sorted by ID.
func (c *Catalog) FullList() List {
	l := List{Version: c.version, Full: true, Servers: make([]Entry, 0, len(c.entries))}
	for _, e := range c.entries {
		l.Servers = append(l.Servers, e)
	}
	sortByID(l.Servers)
	return l
}

// Since returns the entries that changed after a version, each once and with its current values. It returns the full list
// if the history does not reach back to the version or the catalog never had it. changed is false if the version is current.
func (c *Catalog) Since(version int64) (l List, changed bool) {
	if version == c.version && version > 0 {
		return List{Version: c.version}, false
	}
	if version <= 0 || version < c.floor || version > c.version {
		return c.FullList(), true
	}
	from, _ := slices.BinarySearchFunc(c.history, version+1, func(s VersionedEntry, v int64) int { return cmp.Compare(s.Version, v) })
	latest := make(map[string]Entry)
	for _, s := range c.history[from:] {
		latest[s.Entry.ID] = s.Entry
	}
	l = List{Version: c.version, Servers: make([]Entry, 0, len(latest))}
	for _, e := range latest {
		l.Servers = append(l.Servers, e)
	}
	sortByID(l.Servers)
	return l, true
}

// sortByID sorts entries by ID, so that equal lists are encoded equally.
func sortByID(all []Entry) {
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
}

// Merge applies a list, full or incremental, to a reader's copy of the entries and returns the updated copy.
func Merge(entries map[string]Entry, l List) map[string]Entry {
	if l.Full {
		entries = make(map[string]Entry, len(l.Servers))
	}
	for _, e := range l.Servers {
		if e.State == Gone {
			delete(entries, e.ID)
		} else {
			entries[e.ID] = e
		}
	}
	return entries
}
