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

// The kinds of key. What follows one sorts as its numbers do.
const (
	keyLog    = 'l' // index
	keyStable = 's' // raft's own name
	keyMeta   = 'm' // snapshot's id: written last, and only then is there a snapshot
	keyData   = 'd' // snapshot's id, 0, place
)

const (
	memTable   = 4 << 20
	blockCache = 8 << 20
	logHead    = 8 + 1 + 8 + 4 // term, type, time, length of the data
)

// Options say where and how a store is kept.
type Options struct {
	Dir string
	FS  vfs.FS // nil: the machine's
	Log *slog.Logger

	// Failed is called once, in a goroutine of its own, when the disk has failed a write: the process is to step down, to
	// say so and to end. Nil: only those hear of it who use the store.
	Failed func(error)
}

// Store keeps raft's log, stable values and snapshots. All that was answered without an error lasts over a loss of power.
type Store struct {
	db    *pebble.DB
	fs    *stopFS
	log   *slog.Logger
	cache *pebble.Cache
	over  chan struct{} // closed by Close

	mu          sync.Mutex
	failed      error // set by the first write that failed, for good
	first, last uint64
}

var (
	_ raft.LogStore      = (*Store)(nil)
	_ raft.StableStore   = (*Store)(nil)
	_ raft.SnapshotStore = (*Store)(nil)
)

// Open opens or makes a store, and looks through its log: a server whose log is damaged must not vote on it.
func Open(o Options) (*Store, error) {
	if o.FS == nil {
		o.FS = vfs.Default
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	s := &Store{fs: newStopFS(o.FS), log: o.Log, cache: pebble.NewCache(blockCache), over: make(chan struct{})}
	opts := &pebble.Options{FS: s.fs, Logger: logger{o.Log}, Cache: s.cache, MemTableSize: memTable,
		FormatMajorVersion: pebble.FormatNewest}
	db, err := pebble.Open(o.Dir, opts)
	if err != nil {
		s.cache.Unref()
		return nil, fmt.Errorf("store %s: %w", o.Dir, err)
	}
	s.db = db
	if err := s.look(); err != nil {
		return nil, errors.Join(fmt.Errorf("store %s: %w", o.Dir, err), s.Close())
	}
	s.fs.armed.Store(true)
	go func() { // ends with the store, or with its disk
		select {
		case <-s.over:
		case <-s.fs.failed:
			s.log.Error("disk failed", "err", s.fs.err)
			if o.Failed != nil {
				o.Failed(fmt.Errorf("%w: %w", ErrFailed, s.fs.err))
			}
		}
	}()
	return s, nil
}

// look reads the whole log once: its ends, that it has no gap, and every checksum.
func (s *Store) look() error {
	it, err := s.db.NewIter(&pebble.IterOptions{LowerBound: []byte{keyLog}, UpperBound: []byte{keyLog + 1}})
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

// Close closes the store. One whose disk failed is left as it is: closing would write.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken() != nil {
		return nil
	}
	s.failed = errors.New("the store is closed")
	close(s.over)
	s.fs.armed.Store(false)
	err := s.db.Close()
	s.cache.Unref()
	return err
}

// broken tells whether the disk has failed, or the store is closed.
func (s *Store) broken() error {
	select {
	case <-s.fs.failed:
		if s.failed == nil {
			s.failed = fmt.Errorf("%w: %w", ErrFailed, s.fs.err)
		}
	default:
	}
	return s.failed
}

// do uses the database. Where the disk fails meanwhile the database stands still, for good, and its user does not.
func (s *Store) do(use func() error) error {
	if err := s.broken(); err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() { done <- use() }() // ends with use, or never: see stopFS
	select {
	case err := <-done:
		return err
	case <-s.fs.failed:
		return s.broken()
	}
}

// commit writes a batch, and returns once it lasts. A write that failed may lie there in part: whatever comes after it
// would build on that, so that nothing comes after it.
// A batch whose commit never returns is in the database's hands for good: it must not go back to the pool of batches, and
// so is closed only where its commit has returned.
func (s *Store) commit(b *pebble.Batch) error {
	return s.do(func() error { return errors.Join(b.Commit(pebble.Sync), b.Close()) })
}

// get reads and checks a value; nil if there is none.
func (s *Store) get(key []byte) (value []byte, err error) {
	err = s.do(func() error {
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

// FirstIndex is that of the oldest entry; 0: there is none.
func (s *Store) FirstIndex() (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.first, s.broken()
}

// LastIndex is that of the newest entry; 0: there is none.
func (s *Store) LastIndex() (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last, s.broken()
}

// GetLog reads an entry.
func (s *Store) GetLog(index uint64, l *raft.Log) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.broken(); err != nil {
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

// StoreLog adds an entry.
func (s *Store) StoreLog(l *raft.Log) error { return s.StoreLogs([]*raft.Log{l}) }

// StoreLogs adds entries, all or none. One that is there already gives way.
func (s *Store) StoreLogs(logs []*raft.Log) error {
	if len(logs) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.broken(); err != nil {
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

// DeleteRange removes entries from least to most. They are one end of the log, or all of it.
func (s *Store) DeleteRange(least, most uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.broken(); err != nil {
		return err
	}
	if s.last == 0 || most < s.first || least > s.last {
		return nil
	}
	if least > s.first && most < s.last {
		return fmt.Errorf("log entries %d to %d are neither end of %d to %d", least, most, s.first, s.last)
	}
	b := s.db.NewBatch()
	if err := b.DeleteRange(logKey(least), append(logKey(most), 0), nil); err != nil {
		return err
	}
	if err := s.commit(b); err != nil {
		return fmt.Errorf("delete log entries %d to %d: %w", least, most, err)
	}
	switch {
	case least <= s.first && most >= s.last:
		s.first, s.last = 0, 0
	case least <= s.first:
		s.first = most + 1
	default:
		s.last = least - 1
	}
	return nil
}

// IsMonotonic tells raft that the log has no gaps: a snapshot that was installed begins it anew.
func (s *Store) IsMonotonic() bool { return true }

// Set keeps one of raft's own values.
func (s *Store) Set(name, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.broken(); err != nil {
		return err
	}
	b := s.db.NewBatch()
	key := append([]byte{keyStable}, name...)
	if err := b.Set(key, frame(key, value), nil); err != nil {
		return err
	}
	if err := s.commit(b); err != nil {
		return fmt.Errorf("value %q: %w", name, err)
	}
	return nil
}

// Get reads one of them; nothing if there is none.
func (s *Store) Get(name []byte) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.broken(); err != nil {
		return nil, err
	}
	value, err := s.get(append([]byte{keyStable}, name...))
	if err != nil {
		return nil, fmt.Errorf("value %q: %w", name, err)
	}
	return value, nil
}

// SetUint64 keeps a number.
func (s *Store) SetUint64(name []byte, n uint64) error {
	return s.Set(name, binary.BigEndian.AppendUint64(nil, n))
}

// GetUint64 reads a number; 0 if there is none.
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

func logKey(index uint64) []byte { return binary.BigEndian.AppendUint64([]byte{keyLog}, index) }

func logIndex(key []byte) (uint64, error) {
	if len(key) != 9 {
		return 0, fmt.Errorf("%w: key %x", ErrDamaged, key)
	}
	return binary.BigEndian.Uint64(key[1:]), nil
}

func encodeLog(l *raft.Log) []byte {
	out := make([]byte, 0, logHead+len(l.Data)+len(l.Extensions))
	out = binary.BigEndian.AppendUint64(out, l.Term)
	out = append(out, byte(l.Type))
	at := int64(0)
	if !l.AppendedAt.IsZero() {
		at = l.AppendedAt.UnixNano()
	}
	out = binary.BigEndian.AppendUint64(out, uint64(at))
	out = binary.BigEndian.AppendUint32(out, uint32(len(l.Data)))
	return append(append(out, l.Data...), l.Extensions...)
}

func decodeLog(index uint64, value []byte, l *raft.Log) error {
	if len(value) < logHead {
		return fmt.Errorf("log entry %d: %w: %d bytes", index, ErrDamaged, len(value))
	}
	n := uint64(binary.BigEndian.Uint32(value[17:]))
	rest := value[logHead:]
	if n > uint64(len(rest)) {
		return fmt.Errorf("log entry %d: %w: data of %d bytes in %d", index, ErrDamaged, n, len(rest))
	}
	*l = raft.Log{Index: index, Term: binary.BigEndian.Uint64(value), Type: raft.LogType(value[8])}
	if at := int64(binary.BigEndian.Uint64(value[9:])); at != 0 {
		l.AppendedAt = time.Unix(0, at)
	}
	if n > 0 {
		l.Data = rest[:n:n]
	}
	if uint64(len(rest)) > n {
		l.Extensions = rest[n:]
	}
	return nil
}

// logger passes the database's words on.
type logger struct{ log *slog.Logger }

func (l logger) Infof(format string, args ...any) {
	l.log.Debug("database", "says", fmt.Sprintf(format, args...))
}
func (l logger) Errorf(format string, args ...any) {
	l.log.Warn("database", "says", fmt.Sprintf(format, args...))
}

// Fatalf is called where the database finds itself wrong. Failures of the disk do not come to it; what does is a fault
// that no more work may build on.
func (l logger) Fatalf(format string, args ...any) {
	panic(fmt.Sprintf("database: "+format, args...))
}

var _ io.Closer = (*Store)(nil)
