package durable

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
	"github.com/hashicorp/raft"
)

func open(t testing.TB, fs vfs.FS) *Store {
	t.Helper()
	s, err := Open(Options{Dir: "store", FS: fs})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func logEntry(index, term uint64, size int) *raft.Log {
	data := bytes.Repeat([]byte{byte(index), byte(term)}, size)
	return &raft.Log{Index: index, Term: term, Type: raft.LogCommand, Data: data, AppendedAt: time.Unix(int64(index), int64(term))}
}

// contents returns the log, stable values and snapshots of a store as text.
func contents(s *Store) (string, error) {
	var b strings.Builder
	first, err1 := s.FirstIndex()
	last, err2 := s.LastIndex()
	if err := errors.Join(err1, err2); err != nil {
		return "", err
	}
	fmt.Fprintf(&b, "log %d to %d:", first, last)
	for i := first; i != 0 && i <= last; i++ {
		var l raft.Log
		if err := s.GetLog(i, &l); err != nil {
			return "", err
		}
		fmt.Fprintf(&b, " %d/%d/%x/%x", l.Index, l.Term, l.Data, l.Extensions)
	}
	for _, name := range []string{"CurrentTerm", "LastVoteTerm"} {
		n, err := s.GetUint64([]byte(name))
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, " %s=%d", name, n)
	}
	all, err := s.List()
	if err != nil {
		return "", err
	}
	for _, m := range all {
		_, r, err := s.Open(m.ID)
		if err != nil {
			return "", err
		}
		data, err := io.ReadAll(r)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, " snapshot %d/%d %d bytes of %x", m.Index, m.Term, len(data), data[:min(1, len(data))])
	}
	return b.String(), nil
}

// randomOps returns n random operations as raft performs them on a store. The same seed gives the same operations.
func randomOps(seed uint64, n int) (ops []func(*Store) error) {
	rng := rand.New(rand.NewPCG(seed, 1))
	first, last, term := uint64(0), uint64(0), uint64(1)
	for range n {
		switch kind := rng.IntN(10); {
		case kind < 5 || last == 0:
			var logs []*raft.Log
			for range 1 + rng.IntN(4) {
				last++
				if first == 0 {
					first = last
				}
				logs = append(logs, logEntry(last, term, 1+rng.IntN(40)))
			}
			ops = append(ops, func(s *Store) error { return s.StoreLogs(logs) })
		case kind == 5: // a new leader overwrites the end of the log
			term++
			from := first + rng.Uint64N(last-first+1)
			to := last
			ops = append(ops, func(s *Store) error { return s.DeleteRange(from, to) })
			if last = from - 1; from == first {
				first, last = 0, to // the log is empty now, and raft continues with the next index
			}
		case kind == 6 && last > first: // compaction after a snapshot
			from, to := first, first+rng.Uint64N(last-first)
			ops = append(ops, func(s *Store) error { return s.DeleteRange(from, to) })
			first = to + 1
		case kind == 7 || kind == 6:
			n := term + rng.Uint64N(3)
			ops = append(ops, func(s *Store) error { return s.SetUint64([]byte("CurrentTerm"), n) })
		case kind == 8:
			n := term
			ops = append(ops, func(s *Store) error { return s.SetUint64([]byte("LastVoteTerm"), n) })
		default:
			index, term, size, fill := last, term, rng.IntN(chunkSize+chunkSize/4), byte(rng.IntN(256))
			ops = append(ops, func(s *Store) error {
				kind, err := s.Create(1, index, term, raft.Configuration{}, 1, nil)
				if err != nil {
					return err
				}
				if _, err := kind.Write(bytes.Repeat([]byte{fill}, size)); err != nil {
					return errors.Join(err, kind.Cancel())
				}
				return kind.Close()
			})
		}
	}
	return ops
}

// runWithCrashPoints performs random operations on a store. It calls onWrite before each write or sync with the number of
// operations completed so far, and returns the contents of the store at the start and after each operation.
func runWithCrashPoints(t *testing.T, seed uint64, n int, onWrite func(fs *vfs.MemFS, completed int)) (states []string) {
	t.Helper()
	mem := vfs.NewCrashableMem()
	completed := -1 // onWrite is not called yet
	fs := errorfs.Wrap(mem, errorfs.InjectorFunc(func(op errorfs.Op) error {
		if completed >= 0 && op.Kind.ReadOrWrite() == errorfs.OpIsWrite {
			onWrite(mem, completed)
		}
		return nil
	}))
	s := open(t, fs)
	defer s.Close()
	state, err := contents(s)
	if err != nil {
		t.Fatal(err)
	}
	states = append(states, state)
	completed = 0
	for i, op := range randomOps(seed, n) {
		if err := op(s); err != nil {
			t.Fatalf("operation %d: %v", i, err)
		}
		completed++
		if state, err = contents(s); err != nil {
			t.Fatal(err)
		}
		states = append(states, state)
	}
	completed = -1
	return states
}

// checkRecovery opens a store after a power loss and checks that it has one of two states and can be written.
func checkRecovery(fs vfs.FS, want, next string) error {
	s, err := Open(Options{Dir: "store", FS: fs})
	if err != nil {
		return err
	}
	got, err := contents(s)
	if err != nil {
		return err
	}
	if got != want && got != next {
		return fmt.Errorf("\n%.300s\nwant\n%.300s\nor\n%.300s", got, want, next)
	}
	return errors.Join(s.SetUint64([]byte("CurrentTerm"), 99), s.Close())
}

// A power loss before any write or sync, with any share of the unsynced data kept, loses no completed operation, and the
// operation in progress is either complete or absent.
func TestPowerLossAtEveryWrite(t *testing.T) {
	type crash struct {
		fs        *vfs.MemFS
		completed int
	}
	points := 0
	for seed := range uint64(3) {
		var crashes []crash
		rng := rand.New(rand.NewPCG(seed, 2))
		states := runWithCrashPoints(t, seed, 45, func(fs *vfs.MemFS, completed int) {
			for _, percent := range []int{0, 50, 100} {
				crashes = append(crashes, crash{fs.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: percent, RNG: rng}), completed})
			}
		})
		var wg sync.WaitGroup
		slots := make(chan struct{}, runtime.GOMAXPROCS(0))
		for i, c := range crashes {
			slots <- struct{}{}
			wg.Go(func() {
				defer func() { <-slots }()
				if err := checkRecovery(c.fs, states[c.completed], states[min(c.completed+1, len(states)-1)]); err != nil {
					t.Errorf("seed %d, crash %d, after %d operations: %v", seed, i, c.completed, err)
				}
			})
		}
		wg.Wait()
		points += len(crashes)
	}
	if points < 1000 {
		t.Errorf("power was lost at only %d points", points)
	}
	t.Logf("%d power losses", points)
}

// After any write fails, the store rejects all further operations, also once the disk works again, and everything completed
// before is there at the next start.
func TestFailedWriteStopsStore(t *testing.T) {
	for _, cause := range []error{syscall.ENOSPC, syscall.EIO} {
		for failAt := 1; failAt <= 120; failAt += 7 {
			mem := vfs.NewCrashableMem()
			writes, failing := 0, false
			fs := errorfs.Wrap(mem, errorfs.InjectorFunc(func(op errorfs.Op) error {
				if !failing || op.Kind.ReadOrWrite() != errorfs.OpIsWrite {
					return nil
				}
				if writes++; writes >= failAt {
					return cause
				}
				return nil
			}))
			s := open(t, fs)
			states := []string{}
			state, err := contents(s)
			if err != nil {
				t.Fatal(err)
			}
			states = append(states, state)
			failing = true
			var failed error
			ops := randomOps(uint64(failAt), 60)
			for i, op := range ops {
				if failed = op(s); failed != nil {
					ops = ops[i:]
					break
				}
				if state, err = contents(s); err != nil {
					t.Fatal(err)
				}
				states = append(states, state)
			}
			if failed == nil {
				t.Fatalf("write %d never failed", failAt)
			}
			if !errors.Is(failed, ErrFailed) || !errors.Is(failed, cause) {
				t.Errorf("write %d: %v", failAt, failed)
			}
			failing = false // the disk works again, but the store must stay stopped
			for _, op := range ops {
				if err := op(s); !errors.Is(err, ErrFailed) {
					t.Fatalf("write %d: a later operation returned %v", failAt, err)
				}
			}
			if _, err := contents(s); !errors.Is(err, ErrFailed) {
				t.Fatalf("write %d: a later read returned %v", failAt, err)
			}
			again := open(t, mem.CrashClone(vfs.CrashCloneCfg{}))
			got, err := contents(again)
			if err != nil {
				t.Fatal(err)
			}
			if got != states[len(states)-1] {
				t.Errorf("write %d:\n%.300s\nwant\n%.300s", failAt, got, states[len(states)-1])
			}
			again.Close()
		}
	}
}

// A flipped bit in a file of the store either causes an error or changes nothing that is read.
func TestFlippedBitIsDetected(t *testing.T) {
	mem := vfs.NewMem()
	s := open(t, mem)
	for i, op := range randomOps(3, 30) {
		if err := op(s); err != nil {
			t.Fatalf("operation %d: %v", i, err)
		}
	}
	want, err := contents(s)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(7, 7))
	names, err := mem.List("store")
	if err != nil {
		t.Fatal(err)
	}
	detected, flips := 0, 0
	for _, name := range names {
		path := mem.PathJoin("store", name)
		intact := readFile(t, mem, path)
		for range min(len(intact), 10) {
			flips++
			corrupt := bytes.Clone(intact)
			corrupt[rng.IntN(len(corrupt))] ^= 1 << rng.IntN(8)
			copied := vfs.NewMem()
			if err := copied.MkdirAll("store", 0o700); err != nil {
				t.Fatal(err)
			}
			for _, other := range names {
				data := readFile(t, mem, mem.PathJoin("store", other))
				if other == name {
					data = corrupt
				}
				writeFile(t, copied, mem.PathJoin("store", other), data)
			}
			s, err := Open(Options{Dir: "store", FS: copied})
			if err != nil {
				detected++
				continue
			}
			got, err := contents(s)
			s.Close()
			if err != nil {
				detected++
			} else if got != want {
				// Pebble truncates its write-ahead log at an unreadable record, as after a power loss.
				if !strings.HasSuffix(name, ".log") {
					t.Errorf("%s: read\n%.300s\nwant\n%.300s", name, got, want)
				}
			}
		}
	}
	if detected == 0 {
		t.Errorf("none of %d flipped bits was detected", flips)
	}
	t.Logf("%d flipped bits, %d detected", flips, detected)
}

func readFile(t *testing.T, fs vfs.FS, path string) []byte {
	t.Helper()
	f, err := fs.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	data, err := io.ReadAll(f)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func writeFile(t *testing.T, fs vfs.FS, path string, data []byte) {
	t.Helper()
	f, err := fs.Create(path, vfs.WriteCategoryUnspecified)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Write(data); err != nil {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
}

// A value stored under another key, as after a misdirected write, is detected by its checksum.
func TestValueUnderAnotherKeyIsDetected(t *testing.T) {
	s := open(t, vfs.NewMem())
	defer s.Close()
	if err := s.StoreLogs([]*raft.Log{logEntry(1, 1, 4), logEntry(2, 1, 4)}); err != nil {
		t.Fatal(err)
	}
	raw, closer, err := s.db.Get(logKey(1))
	if err != nil {
		t.Fatal(err)
	}
	moved := bytes.Clone(raw)
	closer.Close()
	if err := s.db.Set(logKey(2), moved, nil); err != nil {
		t.Fatal(err)
	}
	var l raft.Log
	if err := s.GetLog(2, &l); !errors.Is(err, ErrDamaged) || !strings.Contains(err.Error(), "log entry 2") {
		t.Errorf("read %+v, %v", l, err)
	}
	if err := s.GetLog(1, &l); err != nil {
		t.Error(err)
	}
	if err := s.GetLog(3, &l); !errors.Is(err, raft.ErrLogNotFound) {
		t.Errorf("missing entry: %v", err)
	}
}

// A snapshot exists only once it is closed. Opening one with a damaged chunk is an error, and the others stay readable.
func TestSnapshotsAreAtomic(t *testing.T) {
	s := open(t, vfs.NewMem())
	defer s.Close()
	writeSnapshot := func(index uint64, data []byte) string {
		t.Helper()
		k, err := s.Create(1, index, 1, raft.Configuration{Servers: []raft.Server{{ID: "a"}}}, 1, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := k.Write(data); err != nil {
			t.Fatal(err)
		}
		if err := k.Close(); err != nil {
			t.Fatal(err)
		}
		return k.ID()
	}
	big := bytes.Repeat([]byte("0123456789abcdef"), chunkSize/16*2+1)
	first := writeSnapshot(10, big[:chunkSize])
	second := writeSnapshot(20, big)
	unfinished, err := s.Create(1, 30, 1, raft.Configuration{}, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := unfinished.Write(big); err != nil {
		t.Fatal(err)
	}
	check := func(want ...string) {
		t.Helper()
		all, err := s.List()
		if err != nil || len(all) != len(want) {
			t.Fatalf("%d snapshots, %v; want %v", len(all), err, want)
		}
		for i, m := range all {
			if m.ID != want[i] {
				t.Errorf("snapshot %d is %s, want %s", i, m.ID, want[i])
			}
		}
	}
	check(second, first)
	if err := unfinished.Cancel(); err != nil {
		t.Fatal(err)
	}
	check(second, first)
	m, r, err := s.Open(second)
	if err != nil {
		t.Fatal(err)
	}
	if data, err := io.ReadAll(r); err != nil || !bytes.Equal(data, big) || m.Size != int64(len(big)) || m.Configuration.Servers[0].ID != "a" {
		t.Errorf("%d bytes, %v, %+v", len(data), err, m)
	}
	third := writeSnapshot(20, nil) // same index as the second, and empty
	check(third, second)
	if _, _, err := s.Open(first); err == nil {
		t.Error("a deleted snapshot can be opened")
	}
	raw, closer, err := s.db.Get(chunkKey(second, 1))
	if err != nil {
		t.Fatal(err)
	}
	corrupt := bytes.Clone(raw)
	closer.Close()
	corrupt[len(corrupt)-1] ^= 1
	if err := s.db.Set(chunkKey(second, 1), corrupt, nil); err != nil {
		t.Fatal(err)
	}
	if _, _, err := s.Open(second); !errors.Is(err, ErrDamaged) || !strings.Contains(err.Error(), "piece 1") {
		t.Errorf("damaged chunk: %v", err)
	}
	if _, _, err := s.Open(third); err != nil {
		t.Error(err)
	}
}

// The log rejects an entry that would leave a gap, and deletes entries only at its ends.
func TestLogRejectsGaps(t *testing.T) {
	s := open(t, vfs.NewMem())
	defer s.Close()
	if err := s.StoreLogs([]*raft.Log{logEntry(5, 1, 1), logEntry(6, 1, 1), logEntry(7, 1, 1), logEntry(8, 1, 1)}); err != nil {
		t.Fatal(err)
	}
	for what, err := range map[string]error{
		"an entry beyond the end":     s.StoreLog(logEntry(10, 1, 1)),
		"an entry before the start":   s.StoreLog(logEntry(4, 1, 1)),
		"a range in the middle":       s.DeleteRange(6, 7),
		"an unknown snapshot version": func() error { _, err := s.Create(0, 1, 1, raft.Configuration{}, 1, nil); return err }(),
		"a missing snapshot":          func() error { _, _, err := s.Open("none"); return err }(),
	} {
		if err == nil || errors.Is(err, ErrFailed) {
			t.Errorf("%s: %v", what, err)
		}
	}
	if err := s.DeleteRange(1, 3); err != nil { // none of these entries exists
		t.Fatal(err)
	}
	first, _ := s.FirstIndex()
	last, _ := s.LastIndex()
	if first != 5 || last != 8 {
		t.Errorf("the log goes from %d to %d", first, last)
	}
}
