package durable

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/hashicorp/raft"
)

// Key prefixes. The rest of a key, given below, is encoded so that keys sort in numerical order.
const (
	prefixLog           = 'l' // log index, 8 bytes big-endian
	prefixStable        = 's' // name that raft gives the value
	prefixSnapshotMeta  = 'm' // snapshot ID; written last, and a snapshot exists only once this is written
	prefixSnapshotChunk = 'd' // snapshot ID, a zero byte, chunk number
)

const (
	memTableBytes   = 4 << 20       // size of pebble's memtable
	blockCacheBytes = 8 << 20       // size of pebble's block cache
	logHeaderSize   = 8 + 1 + 8 + 4 // bytes of term, type, time and data length
)

// Options configure a store.
type Options struct {
	Dir string
	FS  vfs.FS // nil means the operating system's
	Log *slog.Logger

	// OnFailure is called once, in its own goroutine, when a write to the disk fails, so that the process can step down. If it is
	// nil, the failure is only reported to callers of the store.
	OnFailure func(error)
}

// Store stores raft's log, stable values and snapshots. A write that returned without an error survives a loss of power.
type Store struct {
	db     *pebble.DB
	fs     *failStopFS
	log    *slog.Logger
	cache  *pebble.Cache
	closed chan struct{} // closed by Close

	mu          sync.Mutex
	failure     error  // permanent error: a failed write or Close
	first, last uint64 // indexes of the oldest and newest log entry; 0 if the log is empty
}

var (
	_ raft.LogStore      = (*Store)(nil)
	_ raft.StableStore   = (*Store)(nil)
	_ raft.SnapshotStore = (*Store)(nil)
)

// Open opens or creates a store and verifies its whole log, because a server with a damaged log must not vote.
func Open(o Options) (*Store, error) {
	if o.FS == nil {
		o.FS = vfs.Default
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	s := &Store{fs: newFailStopFS(o.FS), log: o.Log, cache: pebble.NewCache(blockCacheBytes), closed: make(chan struct{})}
	opts := &pebble.Options{FS: s.fs, Logger: pebbleLogger{o.Log}, Cache: s.cache, MemTableSize: memTableBytes,
		FormatMajorVersion: pebble.FormatNewest}
	db, err := pebble.Open(o.Dir, opts)
	if err != nil {
		s.cache.Unref()
		return nil, fmt.Errorf("store %s: %w", o.Dir, err)
	}
	s.db = db
	if err := s.scanLog(); err != nil {
		return nil, errors.Join(fmt.Errorf("store %s: %w", o.Dir, err), s.Close())
	}
	s.fs.armed.Store(true)
	go func() { // ends when the store is closed or the disk fails
		select {
		case <-s.closed:
		case <-s.fs.failed:
			s.log.Error("disk failed", "err", s.fs.err)
			if o.OnFailure != nil {
				o.OnFailure(fmt.Errorf("%w: %w", ErrFailed, s.fs.err))
			}
		}
	}()
	return s, nil
}

// scanLog reads the whole log once: it finds the first and last index and verifies that there is no gap and that every
// checksum matches.
func (s *Store) scanLog() error {
	it, err := s.db.NewIter(&pebble.IterOptions{LowerBound: []byte{prefixLog}, UpperBound: []byte{prefixLog + 1}})
	if err != nil {
		return err
	}
	for ok := it.First(); ok; ok = it.Next() {
		index, err := logIndex(it.Key())
		if err == nil {
			_, err = unframe(it.Key(), it.Value())
		}
		if err == nil && s.last != 0 && index != s.last+1 {
			err = fmt.Errorf("%w: log entry %d follows %d", ErrDamaged, index, s.last)
		}
		if err != nil {
			return errors.Join(fmt.Errorf("log: %w", err), it.Close())
		}
		if s.first == 0 {
			s.first = index
		}
		s.last = index
	}
	return it.Close()
}

// Close closes the store. After a disk failure it does nothing, because closing would write.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.checkUsable() != nil {
		return nil
	}
	s.failure = errors.New("the store is closed")
	close(s.closed)
	s.fs.armed.Store(false)
	err := s.db.Close()
	s.cache.Unref()
	return err
}

// checkUsable returns an error if the disk has failed or the store is closed.
func (s *Store) checkUsable() error {
	select {
	case <-s.fs.failed:
		if s.failure == nil {
			s.failure = fmt.Errorf("%w: %w", ErrFailed, s.fs.err)
		}
	default:
	}
	return s.failure
}

// run executes op on the database. If the disk fails meanwhile, op blocks forever in the background and run returns an error.
func (s *Store) run(op func() error) error {
	if err := s.checkUsable(); err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() { done <- op() }() // ends with op, or never after a disk failure: see failStopFS
	select {
	case err := <-done:
		return err
	case <-s.fs.failed:
		return s.checkUsable()
	}
}

// commit writes a batch and returns once it is synced to disk. A failed write may have reached the disk in part, so no
// write may follow it.
// If a commit never returns, the database still owns the batch. It must not return to the pool of batches, so a batch is
// closed only after its commit has returned.
func (s *Store) commit(b *pebble.Batch) error {
	return s.run(func() error { return errors.Join(b.Commit(pebble.Sync), b.Close()) })
}

// get reads and verifies a value. It returns nil if the key does not exist.
func (s *Store) get(key []byte) (value []byte, err error) {
	err = s.run(func() error {
		raw, closer, err := s.db.Get(key)
		if errors.Is(err, pebble.ErrNotFound) {
			return nil
		} else if err != nil {
			return err
		}
		checked, err := unframe(key, raw)
		value = append([]byte{}, checked...)
		return errors.Join(err, closer.Close())
	})
	if err != nil {
		return nil, err
	}
	return value, nil
}

// FirstIndex returns the index of the oldest log entry, or 0 if the log is empty.
func (s *Store) FirstIndex() (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.first, s.checkUsable()
}

// LastIndex returns the index of the newest log entry, or 0 if the log is empty.
func (s *Store) LastIndex() (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last, s.checkUsable()
}

// GetLog reads a log entry.
func (s *Store) GetLog(index uint64, l *raft.Log) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkUsable(); err != nil {
		return err
	}
	value, err := s.get(logKey(index))
	if err != nil {
		return fmt.Errorf("log entry %d: %w", index, err)
	}
	if value == nil {
		return raft.ErrLogNotFound
	}
	return decodeLog(index, value, l)
}

// StoreLog appends a log entry; see StoreLogs.
func (s *Store) StoreLog(l *raft.Log) error { return s.StoreLogs([]*raft.Log{l}) }

// StoreLogs appends log entries atomically, replacing entries of the same index.
func (s *Store) StoreLogs(logs []*raft.Log) error {
	if len(logs) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkUsable(); err != nil {
		return err
	}
	b := s.db.NewBatch()
	first, last := s.first, s.last
	for _, l := range logs {
		if last != 0 && (l.Index > last+1 || l.Index < first) {
			return fmt.Errorf("log entry %d does not fit to entries %d to %d", l.Index, first, last)
		}
		key := logKey(l.Index)
		if err := b.Set(key, frame(key, encodeLog(l)), nil); err != nil {
			return err
		}
		if first == 0 {
			first = l.Index
		}
		last = max(last, l.Index)
	}
	if err := s.commit(b); err != nil {
		return fmt.Errorf("log entries %d to %d: %w", logs[0].Index, logs[len(logs)-1].Index, err)
	}
	s.first, s.last = first, last
	return nil
}

// DeleteRange deletes the log entries from from to to, inclusive. The range must include the start or the end of the log.
func (s *Store) DeleteRange(from, to uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkUsable(); err != nil {
		return err
	}
	if s.last == 0 || to < s.first || from > s.last {
		return nil
	}
	if from > s.first && to < s.last {
		return fmt.Errorf("cannot delete log entries %d to %d from the middle of %d to %d", from, to, s.first, s.last)
	}
	b := s.db.NewBatch()
	if err := b.DeleteRange(logKey(from), append(logKey(to), 0), nil); err != nil {
		return err
	}
	if err := s.commit(b); err != nil {
		return fmt.Errorf("delete log entries %d to %d: %w", from, to, err)
	}
	switch {
	case from <= s.first && to >= s.last:
		s.first, s.last = 0, 0
	case from <= s.first:
		s.first = to + 1
	default:
		s.last = from - 1
	}
	return nil
}

// IsMonotonic tells raft that the log must not have gaps, so that raft clears it after installing a snapshot.
func (s *Store) IsMonotonic() bool { return true }

// Set stores one of raft's stable values.
func (s *Store) Set(name, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkUsable(); err != nil {
		return err
	}
	b := s.db.NewBatch()
	key := append([]byte{prefixStable}, name...)
	if err := b.Set(key, frame(key, value), nil); err != nil {
		return err
	}
	if err := s.commit(b); err != nil {
		return fmt.Errorf("value %q: %w", name, err)
	}
	return nil
}

// Get reads a stable value. It returns nil if there is none.
func (s *Store) Get(name []byte) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkUsable(); err != nil {
		return nil, err
	}
	value, err := s.get(append([]byte{prefixStable}, name...))
	if err != nil {
		return nil, fmt.Errorf("value %q: %w", name, err)
	}
	return value, nil
}

// SetUint64 stores a stable value that is a number.
func (s *Store) SetUint64(name []byte, n uint64) error {
	return s.Set(name, binary.BigEndian.AppendUint64(nil, n))
}

// GetUint64 reads a stable value that is a number. It returns 0 if there is none.
func (s *Store) GetUint64(name []byte) (uint64, error) {
	value, err := s.Get(name)
	switch {
	case err != nil || value == nil:
		return 0, err
	case len(value) != 8:
		return 0, fmt.Errorf("value %q: %w: %d bytes for a number", name, ErrDamaged, len(value))
	}
	return binary.BigEndian.Uint64(value), nil
}

func logKey(index uint64) []byte { return binary.BigEndian.AppendUint64([]byte{prefixLog}, index) }

// logIndex returns the index in the key of a log entry.
func logIndex(key []byte) (uint64, error) {
	if len(key) != 9 {
		return 0, fmt.Errorf("%w: key %x", ErrDamaged, key)
	}
	return binary.BigEndian.Uint64(key[1:]), nil
}

// encodeLog encodes a log entry: term, type, time in Unix nanoseconds, length of the data, data, extensions.
func encodeLog(l *raft.Log) []byte {
	encoded := make([]byte, 0, logHeaderSize+len(l.Data)+len(l.Extensions))
	encoded = binary.BigEndian.AppendUint64(encoded, l.Term)
	encoded = append(encoded, byte(l.Type))
	unixNano := int64(0)
	if !l.AppendedAt.IsZero() {
		unixNano = l.AppendedAt.UnixNano()
	}
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(unixNano))
	encoded = binary.BigEndian.AppendUint32(encoded, uint32(len(l.Data)))
	return append(append(encoded, l.Data...), l.Extensions...)
}

// decodeLog decodes into l the value of the log entry at index. l refers to value afterwards.
func decodeLog(index uint64, value []byte, l *raft.Log) error {
	if len(value) < logHeaderSize {
		return fmt.Errorf("log entry %d: %w: %d bytes", index, ErrDamaged, len(value))
	}
	n := uint64(binary.BigEndian.Uint32(value[17:]))
	rest := value[logHeaderSize:]
	if n > uint64(len(rest)) {
		return fmt.Errorf("log entry %d: %w: data of %d bytes in %d", index, ErrDamaged, n, len(rest))
	}
	*l = raft.Log{Index: index, Term: binary.BigEndian.Uint64(value), Type: raft.LogType(value[8])}
	if unixNano := int64(binary.BigEndian.Uint64(value[9:])); unixNano != 0 {
		l.AppendedAt = time.Unix(0, unixNano)
	}
	if n > 0 {
		l.Data = rest[:n:n]
	}
	if uint64(len(rest)) > n {
		l.Extensions = rest[n:]
	}
	return nil
}

// pebbleLogger forwards the database's log messages.
type pebbleLogger struct{ log *slog.Logger }

func (l pebbleLogger) Infof(format string, args ...any) {
	l.log.Debug("database", "says", fmt.Sprintf(format, args...))
}
func (l pebbleLogger) Errorf(format string, args ...any) {
	l.log.Warn("database", "says", fmt.Sprintf(format, args...))
}

// Fatalf panics. Pebble calls it when it detects an internal inconsistency, after which it must not continue. Failed
// writes do not get here: see failStopFS.
func (l pebbleLogger) Fatalf(format string, args ...any) {
	panic(fmt.Sprintf("database: "+format, args...))
}

var _ io.Closer = (*Store)(nil)
