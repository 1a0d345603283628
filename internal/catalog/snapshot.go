package catalog

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
)

// SnapshotFormat is the form of snapshot that this package writes and reads.
const SnapshotFormat = 1

// Snapshot is all of a catalog. Framing and checksums are for who keeps it.
type Snapshot struct {
	Format  int              `json:"format"`
	Cluster string           `json:"cluster"`
	Version int64            `json:"version"`
	Floor   int64            `json:"floor"`
	Entries []Entry          `json:"entries"`
	History []Stamped        `json:"history,omitempty"`
	Keys    []string         `json:"keys,omitempty"` // in their order
	Results map[string]Keyed `json:"results,omitempty"`
}

// Snapshot copies the catalog: what is done to it later does not show.
func (c *Catalog) Snapshot() Snapshot {
	return Snapshot{Format: SnapshotFormat, Cluster: c.cluster, Version: c.version, Floor: c.floor, Entries: c.Whole().Servers,
		History: slices.Clone(c.history), Keys: slices.Clone(c.order), Results: maps.Clone(c.keys)}
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

// ReadSnapshot reads and judges a snapshot: nothing of one that does not fit together is taken on.
func ReadSnapshot(r io.Reader) (s Snapshot, err error) {
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, fmt.Errorf("snapshot: %w", err)
	}
	return s, s.check()
}

func (s *Snapshot) check() error {
	switch {
	case s.Format != SnapshotFormat:
		return fmt.Errorf("snapshot: format %d, this build reads %d", s.Format, SnapshotFormat)
	case s.Cluster == "":
		return fmt.Errorf("snapshot: cluster: is missing")
	case s.Version < 0 || s.Version > VersionMost:
		return fmt.Errorf("snapshot: version: %d, wanted is 0 to %d", s.Version, int64(VersionMost))
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
			return fmt.Errorf("snapshot: entries: %q stands after %q", clip(e.ID), clip(s.Entries[i-1].ID))
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
			return fmt.Errorf("snapshot: results: none of key %q", clip(k))
		}
	}
	return nil
}

// Load returns the catalog of a snapshot.
func Load(s Snapshot, keep int) (*Catalog, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	c := New(s.Cluster, keep)
	c.version, c.floor = s.Version, s.Floor
	for _, e := range s.Entries {
		c.entries[e.ID] = e
	}
	c.history, c.order = slices.Clone(s.History), slices.Clone(s.Keys)
	if s.Results != nil {
		c.keys = maps.Clone(s.Results)
	}
	return c, nil
}

// Rebuild returns the catalog of a backup, for a new cluster. Its version lies above any that the old one may have told
// since, and its history is empty: whoever followed the old cluster gets the whole list, and never a mix.
func Rebuild(s Snapshot, cluster string, keep int) (*Catalog, error) {
	switch {
	case cluster == "" || cluster == s.Cluster:
		return nil, fmt.Errorf("restore: the new cluster needs an id of its own, not %q", cluster)
	case s.Version > VersionMost-RestoreJump:
		return nil, fmt.Errorf("restore: %w", ErrExhausted)
	}
	c, err := Load(s, keep)
	if err != nil {
		return nil, err
	}
	c.cluster = cluster
	c.version += RestoreJump
	c.floor, c.history = c.version, nil
	c.keys, c.order = map[string]Keyed{}, nil
	return c, nil
}
