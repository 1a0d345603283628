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
	chunkSize    = 128 << 10 // bytes
	maxSnapshots = 2         // the latest, and the previous one in case the latest cannot be read
)

// snapshotMeta is the stored description of a snapshot; the content is stored in chunks.
type snapshotMeta struct {
	Raft   raft.SnapshotMeta `json:"raft"`
	Chunks uint32            `json:"pieces"`
}

func metaKey(id string) []byte { return append([]byte{prefixSnapshotMeta}, id...) }

func chunkKey(id string, n uint32) []byte {
	return binary.BigEndian.AppendUint32(append(append([]byte{prefixSnapshotChunk}, id...), 0), n)
}

// Create starts writing a snapshot, which does not exist until it is closed. Chunks that an interrupted attempt left under
// the same ID are deleted first.
func (s *Store) Create(version raft.SnapshotVersion, index, term uint64, configuration raft.Configuration, configurationIndex uint64,
	_ raft.Transport) (raft.SnapshotSink, error) {
	if version != 1 {
		return nil, fmt.Errorf("snapshot: version %d, this build writes 1", version)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkUsable(); err != nil {
		return nil, err
	}
	all, err := s.snapshotMetas()
	if err != nil {
		return nil, err
	}
	// IDs sort as text in the order of their index. The number distinguishes snapshots of the same index.
	number := 0
	for _, m := range all {
		if m.Raft.Index == index {
			number++
		}
	}
	id := fmt.Sprintf("%020d-%010d-%04d", index, term, number)
	if err := s.deleteSnapshot(id); err != nil {
		return nil, err
	}
	return &snapshotSink{store: s, meta: snapshotMeta{Raft: raft.SnapshotMeta{Version: version, ID: id, Index: index, Term: term, Configuration: configuration,
		ConfigurationIndex: configurationIndex}}}, nil
}

// deleteSnapshot deletes the description and the chunks of a snapshot.
func (s *Store) deleteSnapshot(id string) error {
	b := s.db.NewBatch()
	if err := addSnapshotDeletion(b, id); err != nil {
		return err
	}
	if err := s.commit(b); err != nil {
		return fmt.Errorf("snapshot %s: %w", id, err)
	}
	return nil
}

// addSnapshotDeletion adds the deletion of a snapshot to a batch.
func addSnapshotDeletion(b *pebble.Batch, id string) error {
	return errors.Join(b.Delete(metaKey(id), nil), b.DeleteRange(chunkKey(id, 0), append([]byte{prefixSnapshotChunk}, id+"\x01"...), nil))
}

// snapshotMetas returns the descriptions of all snapshots, the newest first. Damaged descriptions are logged and skipped,
// because an older snapshot may be intact.
func (s *Store) snapshotMetas() (all []snapshotMeta, err error) {
	err = s.run(func() (err error) {
		all, err = s.readSnapshotMetas()
		return err
	})
	if err != nil {
		return nil, err
	}
	return all, nil
}

// readSnapshotMetas reads the descriptions from the database; see snapshotMetas.
func (s *Store) readSnapshotMetas() (all []snapshotMeta, err error) {
	it, err := s.db.NewIter(&pebble.IterOptions{LowerBound: []byte{prefixSnapshotMeta}, UpperBound: []byte{prefixSnapshotMeta + 1}})
	if err != nil {
		return nil, err
	}
	for ok := it.First(); ok; ok = it.Next() {
		var m snapshotMeta
		value, err := unframe(it.Key(), it.Value())
		if err == nil {
			err = json.Unmarshal(value, &m)
		}
		if err != nil {
			s.log.Error("skipping damaged snapshot", "id", string(it.Key()[1:]), "err", err)
			continue
		}
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b snapshotMeta) int {
		return cmp.Or(cmp.Compare(b.Raft.Term, a.Raft.Term), cmp.Compare(b.Raft.Index, a.Raft.Index), strings.Compare(b.Raft.ID, a.Raft.ID))
	})
	return all, it.Close()
}

// List returns the metadata of all snapshots, the newest first.
func (s *Store) List() ([]*raft.SnapshotMeta, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkUsable(); err != nil {
		return nil, err
	}
	all, err := s.snapshotMetas()
	if err != nil {
		return nil, err
	}
	metas := make([]*raft.SnapshotMeta, len(all))
	for i := range all {
		metas[i] = &all[i].Raft
	}
	return metas, nil
}

// Open returns the content of a snapshot. It is read and verified completely first, so that a state machine is never given
// part of a damaged snapshot.
func (s *Store) Open(id string) (*raft.SnapshotMeta, io.ReadCloser, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkUsable(); err != nil {
		return nil, nil, err
	}
	value, err := s.get(metaKey(id))
	if err != nil || value == nil {
		return nil, nil, fmt.Errorf("snapshot %s: %w", id, cmp.Or(err, errors.New("there is none")))
	}
	var m snapshotMeta
	if err := json.Unmarshal(value, &m); err != nil {
		return nil, nil, fmt.Errorf("snapshot %s: %w", id, err)
	}
	data := make([]byte, 0, m.Raft.Size)
	for n := range m.Chunks {
		chunk, err := s.get(chunkKey(id, n))
		if err != nil {
			return nil, nil, fmt.Errorf("snapshot %s: piece %d: %w", id, n, err)
		}
		data = append(data, chunk...)
	}
	if int64(len(data)) != m.Raft.Size {
		return nil, nil, fmt.Errorf("snapshot %s: %w: %d bytes of %d", id, ErrDamaged, len(data), m.Raft.Size)
	}
	return &m.Raft, io.NopCloser(bytes.NewReader(data)), nil
}

// snapshotSink writes a snapshot in chunks; it implements raft.SnapshotSink.
type snapshotSink struct {
	store  *Store
	meta   snapshotMeta
	chunk  []byte // buffered content of the current chunk
	closed bool   // by Close or Cancel
}

func (sink *snapshotSink) ID() string { return sink.meta.Raft.ID }

func (sink *snapshotSink) Write(p []byte) (int, error) {
	if sink.closed {
		return 0, errors.New("the snapshot is closed")
	}
	for rest := p; len(rest) > 0; {
		n := min(len(rest), chunkSize-len(sink.chunk))
		sink.chunk = append(sink.chunk, rest[:n]...)
		rest = rest[n:]
		if len(sink.chunk) == chunkSize {
			if err := sink.flushChunk(); err != nil {
				return 0, err
			}
		}
	}
	return len(p), nil
}

// flushChunk writes the buffered chunk. The description follows it in the database's write-ahead log, so the chunk is
// durable whenever the description is.
func (sink *snapshotSink) flushChunk() error {
	s := sink.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkUsable(); err != nil {
		return err
	}
	key := chunkKey(sink.ID(), sink.meta.Chunks)
	b := s.db.NewBatch()
	if err := b.Set(key, frame(key, sink.chunk), nil); err != nil {
		return err
	}
	if err := s.commit(b); err != nil {
		return fmt.Errorf("snapshot %s: piece %d: %w", sink.ID(), sink.meta.Chunks, err)
	}
	sink.meta.Raft.Size += int64(len(sink.chunk))
	sink.meta.Chunks++
	sink.chunk = sink.chunk[:0]
	return nil
}

// Close completes the snapshot and deletes the oldest ones beyond maxSnapshots.
func (sink *snapshotSink) Close() error {
	if sink.closed {
		return nil
	}
	sink.closed = true
	if len(sink.chunk) > 0 {
		if err := sink.flushChunk(); err != nil {
			return err
		}
	}
	value, err := json.Marshal(sink.meta)
	if err != nil {
		return fmt.Errorf("snapshot %s: %w", sink.ID(), err)
	}
	s := sink.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkUsable(); err != nil {
		return err
	}
	all, err := s.snapshotMetas()
	if err != nil {
		return err
	}
	// One batch adds the new snapshot and deletes the old ones atomically.
	b := s.db.NewBatch()
	if err := b.Set(metaKey(sink.ID()), frame(metaKey(sink.ID()), value), nil); err != nil {
		return err
	}
	for _, m := range all[min(len(all), maxSnapshots-1):] {
		if err := addSnapshotDeletion(b, m.Raft.ID); err != nil {
			return err
		}
	}
	if err := s.commit(b); err != nil {
		return fmt.Errorf("snapshot %s: %w", sink.ID(), err)
	}
	return nil
}

// Cancel discards the snapshot.
func (sink *snapshotSink) Cancel() error {
	if sink.closed {
		return nil
	}
	sink.closed = true
	sink.store.mu.Lock()
	defer sink.store.mu.Unlock()
	if err := sink.store.checkUsable(); err != nil {
		return err
	}
	return sink.store.deleteSnapshot(sink.ID())
}
