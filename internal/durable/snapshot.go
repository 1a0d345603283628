package durable

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/cockroachdb/pebble/v2"
	"github.com/hashicorp/raft"
)

const (
	pieceSize     = 128 << 10
	snapshotsKept = 2 // the last one, and the one before in case it cannot be read
)

// meta is what is kept of a snapshot beside its pieces.
type meta struct {
	Raft   raft.SnapshotMeta `json:"raft"`
	Pieces uint32            `json:"pieces"`
}

func metaKey(id string) []byte { return append([]byte{keyMeta}, id...) }

func pieceKey(id string, n uint32) []byte {
	return binary.BigEndian.AppendUint32(append(append([]byte{keyData}, id...), 0), n)
}

// Create begins a snapshot. There is none until it is closed: what a crash leaves of one is cleared away at the next.
func (s *Store) Create(version raft.SnapshotVersion, index, term uint64, configuration raft.Configuration, configurationIndex uint64,
	_ raft.Transport) (raft.SnapshotSink, error) {
	if version != 1 {
		return nil, fmt.Errorf("snapshot: version %d, this build writes 1", version)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.broken(); err != nil {
		return nil, err
	}
	all, err := s.metas()
	if err != nil {
		return nil, err
	}
	// Sorted as text they are sorted by index; the number tells two of one index apart.
	number := 0
	for _, m := range all {
		if m.Raft.Index == index {
			number++
		}
	}
	id := fmt.Sprintf("%020d-%010d-%04d", index, term, number)
	if err := s.clear(id); err != nil {
		return nil, err
	}
	return &sink{store: s, meta: meta{Raft: raft.SnapshotMeta{Version: version, ID: id, Index: index, Term: term, Configuration: configuration,
		ConfigurationIndex: configurationIndex}}}, nil
}

// clear removes what is left of a snapshot.
func (s *Store) clear(id string) error {
	b := s.db.NewBatch()
	if err := remove(b, id); err != nil {
		return err
	}
	if err := s.commit(b); err != nil {
		return fmt.Errorf("snapshot %s: %w", id, err)
	}
	return nil
}

// remove adds a snapshot's end to a batch.
func remove(b *pebble.Batch, id string) error {
	return errors.Join(b.Delete(metaKey(id), nil), b.DeleteRange(pieceKey(id, 0), append([]byte{keyData}, id+"\x01"...), nil))
}

// metas returns what snapshots there are, the newest first. One whose description is damaged is passed over with a word:
// an older one may be whole.
func (s *Store) metas() (all []meta, err error) {
	err = s.do(func() (err error) {
		all, err = s.readMetas()
		return err
	})
	if err != nil {
		return nil, err
	}
	return all, nil
}

func (s *Store) readMetas() (all []meta, err error) {
	it, err := s.db.NewIter(&pebble.IterOptions{LowerBound: []byte{keyMeta}, UpperBound: []byte{keyMeta + 1}})
	if err != nil {
		return nil, err
	}
	for ok := it.First(); ok; ok = it.Next() {
		var m meta
		value, err := unframe(it.Key(), it.Value())
		if err == nil {
			err = json.Unmarshal(value, &m)
		}
		if err != nil {
			s.log.Error("snapshot passed over", "id", string(it.Key()[1:]), "err", err)
			continue
		}
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b meta) int {
		return cmp.Or(cmp.Compare(b.Raft.Term, a.Raft.Term), cmp.Compare(b.Raft.Index, a.Raft.Index), strings.Compare(b.Raft.ID, a.Raft.ID))
	})
	return all, it.Close()
}

// List returns the snapshots, the newest first.
func (s *Store) List() ([]*raft.SnapshotMeta, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.broken(); err != nil {
		return nil, err
	}
	all, err := s.metas()
	if err != nil {
		return nil, err
	}
	out := make([]*raft.SnapshotMeta, len(all))
	for i := range all {
		out[i] = &all[i].Raft
	}
	return out, nil
}

// Open reads a snapshot. It is read whole before any of it is passed on: a state machine must not be given the half of
// one that turns out to be damaged.
func (s *Store) Open(id string) (*raft.SnapshotMeta, io.ReadCloser, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.broken(); err != nil {
		return nil, nil, err
	}
	value, err := s.get(metaKey(id))
	if err != nil || value == nil {
		return nil, nil, fmt.Errorf("snapshot %s: %w", id, cmp.Or(err, errors.New("there is none")))
	}
	var m meta
	if err := json.Unmarshal(value, &m); err != nil {
		return nil, nil, fmt.Errorf("snapshot %s: %w", id, err)
	}
	data := make([]byte, 0, m.Raft.Size)
	for n := range m.Pieces {
		piece, err := s.get(pieceKey(id, n))
		if err != nil {
			return nil, nil, fmt.Errorf("snapshot %s: piece %d: %w", id, n, err)
		}
		data = append(data, piece...)
	}
	if int64(len(data)) != m.Raft.Size {
		return nil, nil, fmt.Errorf("snapshot %s: %w: %d bytes of %d", id, ErrDamaged, len(data), m.Raft.Size)
	}
	return &m.Raft, io.NopCloser(bytes.NewReader(data)), nil
}

// sink takes a snapshot in.
type sink struct {
	store *Store
	meta  meta
	piece []byte
	over  bool
}

func (k *sink) ID() string { return k.meta.Raft.ID }

func (k *sink) Write(p []byte) (int, error) {
	if k.over {
		return 0, errors.New("the snapshot is closed")
	}
	for rest := p; len(rest) > 0; {
		n := min(len(rest), pieceSize-len(k.piece))
		k.piece = append(k.piece, rest[:n]...)
		rest = rest[n:]
		if len(k.piece) == pieceSize {
			if err := k.flush(); err != nil {
				return 0, err
			}
		}
	}
	return len(p), nil
}

// flush writes a piece. It need not last before the description does, which comes after it in the same log of writes.
func (k *sink) flush() error {
	s := k.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.broken(); err != nil {
		return err
	}
	key := pieceKey(k.ID(), k.meta.Pieces)
	b := s.db.NewBatch()
	if err := b.Set(key, frame(key, k.piece), nil); err != nil {
		return err
	}
	if err := s.commit(b); err != nil {
		return fmt.Errorf("snapshot %s: piece %d: %w", k.ID(), k.meta.Pieces, err)
	}
	k.meta.Raft.Size += int64(len(k.piece))
	k.meta.Pieces++
	k.piece = k.piece[:0]
	return nil
}

// Close makes the snapshot one, and lets those go that are too old.
func (k *sink) Close() error {
	if k.over {
		return nil
	}
	k.over = true
	if len(k.piece) > 0 {
		if err := k.flush(); err != nil {
			return err
		}
	}
	value, err := json.Marshal(k.meta)
	if err != nil {
		return fmt.Errorf("snapshot %s: %w", k.ID(), err)
	}
	s := k.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.broken(); err != nil {
		return err
	}
	all, err := s.metas()
	if err != nil {
		return err
	}
	// At one moment the new one is there and the oldest is not.
	b := s.db.NewBatch()
	if err := b.Set(metaKey(k.ID()), frame(metaKey(k.ID()), value), nil); err != nil {
		return err
	}
	for _, m := range all[min(len(all), snapshotsKept-1):] {
		if err := remove(b, m.Raft.ID); err != nil {
			return err
		}
	}
	if err := s.commit(b); err != nil {
		return fmt.Errorf("snapshot %s: %w", k.ID(), err)
	}
	return nil
}

// Cancel gives the snapshot up.
func (k *sink) Cancel() error {
	if k.over {
		return nil
	}
	k.over = true
	k.store.mu.Lock()
	defer k.store.mu.Unlock()
	if err := k.store.broken(); err != nil {
		return err
	}
	return k.store.clear(k.ID())
}
