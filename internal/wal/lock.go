package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// ErrLocked tells that another process writes the log.
var ErrLocked = errors.New("wal: another process holds the log")

const lockName = "wal.lock"

// Lock is the right to write the log in a folder. It ends with the process that holds it, however that ends.
type Lock struct{ file *os.File }

// Acquire takes the folder's lock, or returns ErrLocked. The log's own file is no place for it: each compaction
// puts another in its place.
func Acquire(dir string) (*Lock, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("wal: lock: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, fmt.Errorf("wal: lock: %w", err)
	}
	return &Lock{f}, nil
}

// Release lets another process have the log. Nothing may be written after it.
func (k *Lock) Release() error { return k.file.Close() }

// Untouched tells whether the log on disk is as this one left it.
func (l *Log) Untouched() error {
	ours, err := l.file.Stat()
	if err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	theirs, err := os.Stat(filepath.Join(l.dir, name))
	if err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	if !os.SameFile(ours, theirs) || theirs.Size() != l.size {
		return errors.New("wal: written by another process")
	}
	return nil
}

// Leave closes the file without a further write: another process has the log.
func (l *Log) Leave() error { return l.file.Close() }
