package catalog

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
)

// SnapshotFormat is the version of the snapshot format that this package writes and reads.
const SnapshotFormat = 1

// Snapshot is the complete state of a catalog. Framing and checksums are left to the code that stores it.
type Snapshot struct {
	Format  int                    `json:"format"`
	Cluster string                 `json:"cluster"`
	Version int64                  `json:"version"`
	Floor   int64                  `json:"floor"`
	Entries []Entry                `json:"entries"`
	History []VersionedEntry       `json:"history,omitempty"`
	Keys    []string               `json:"keys,omitempty"` // idempotency keys, the oldest first
	Results map[string]KeyedResult `json:"results,omitempty"`
}

// Snapshot returns a copy of the state, which later writes do not affect.
func (c *Catalog) Snapshot() Snapshot {
	return Snapshot{Format: SnapshotFormat, Cluster: c.cluster, Version: c.version, Floor: c.floor, Entries: c.FullList().Servers,
		History: slices.Clone(c.history), Keys: slices.Clone(c.keyOrder), Results: maps.Clone(c.results)}
}

// WriteTo writes the snapshot as JSON.
func (s Snapshot) WriteTo(w io.Writer) (int64, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return 0, fmt.Errorf("snapshot: %w", err)
	}
	n, err := w.Write(data)
	return int64(n), err
}

// ReadSnapshot decodes a snapshot and validates it.
func ReadSnapshot(r io.Reader) (s Snapshot, err error) {
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, fmt.Errorf("snapshot: %w", err)
	}
	return s, s.check()
}

// check validates that the parts of a snapshot are consistent with each other.
func (s *Snapshot) check() error {
	switch {
	case s.Format != SnapshotFormat:
		return fmt.Errorf("snapshot: format %d, this build reads %d", s.Format, SnapshotFormat)
	case s.Cluster == "":
		return fmt.Errorf("snapshot: cluster: is missing")
	case s.Version < 0 || s.Version > MaxVersion:
		return fmt.Errorf("snapshot: version: %d, wanted is 0 to %d", s.Version, int64(MaxVersion))
	case s.Floor < 0 || s.Floor > s.Version:
		return fmt.Errorf("snapshot: floor: %d, and the version is %d", s.Floor, s.Version)
	case int64(len(s.History)) != s.Version-s.Floor:
		return fmt.Errorf("snapshot: history: %d changes from version %d to %d", len(s.History), s.Floor, s.Version)
	}
	for i, e := range s.Entries {
		if err := e.Check(); err != nil {
			return fmt.Errorf("snapshot: %w", err)
		}
		if i > 0 && s.Entries[i-1].ID >= e.ID {
			return fmt.Errorf("snapshot: entries: %q stands after %q", truncate(e.ID), truncate(s.Entries[i-1].ID))
		}
	}
	for i, h := range s.History {
		if want := s.Floor + int64(i) + 1; h.Version != want {
			return fmt.Errorf("snapshot: history: version %d in the place of %d", h.Version, want)
		}
	}
	if len(s.Keys) != len(s.Results) {
		return fmt.Errorf("snapshot: keys: %d, with %d results", len(s.Keys), len(s.Results))
	}
	for _, k := range s.Keys {
		if _, ok := s.Results[k]; !ok {
			return fmt.Errorf("snapshot: results: none of key %q", truncate(k))
		}
	}
	return nil
}

// Load returns a catalog with the state of a snapshot.
func Load(s Snapshot, historyLength int) (*Catalog, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	c := New(s.Cluster, historyLength)
	c.version, c.floor = s.Version, s.Floor
	for _, e := range s.Entries {
		c.entries[e.ID] = e
	}
	c.history, c.keyOrder = slices.Clone(s.History), slices.Clone(s.Keys)
	if s.Results != nil {
		c.results = maps.Clone(s.Results)
	}
	return c, nil
}

// NewFromBackup returns a catalog for a new cluster with the entries of a backup. Its version is higher than any that the old
// cluster can have published since the backup, and its history is empty, so that readers of the old cluster get the full
// list and never a mix of both.
func NewFromBackup(s Snapshot, cluster string, historyLength int) (*Catalog, error) {
	switch {
	case cluster == "" || cluster == s.Cluster:
		return nil, fmt.Errorf("restore: the new cluster needs an id of its own, not %q", cluster)
	case s.Version > MaxVersion-RestoreVersionOffset:
		return nil, fmt.Errorf("restore: %w", ErrExhausted)
	}
	c, err := Load(s, historyLength)
	if err != nil {
		return nil, err
	}
	c.cluster = cluster
	c.version += RestoreVersionOffset
	c.floor, c.history = c.version, nil
	c.results, c.keyOrder = map[string]KeyedResult{}, nil
	return c, nil
}
