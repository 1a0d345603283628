package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// ErrLocked is returned while another process holds the lock of the log.
var ErrLocked = errors.New("wal: another process holds the log")

const lockFileName = "wal.lock"

// Lock is the exclusive right to write the log in a folder. The operating system releases it when the process that holds it
// exits, even after a crash.
type Lock struct{ file *os.File }

// Acquire locks the log in the folder, or returns ErrLocked. It locks a separate file, because each compaction replaces the
// log file.
func Acquire(dir string) (*Lock, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockFileName), os.O_RDWR|os.O_CREATE, 0o600)
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

// Release gives up the lock, so that another process can acquire it. The log must not be written afterwards.
func (l *Lock) Release() error { return l.file.Close() }

// CheckUnmodified returns an error if the log file has been replaced or changed in size since this Log last wrote it.
func (l *Log) CheckUnmodified() error {
	opened, err := l.file.Stat()
	if err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	current, err := os.Stat(filepath.Join(l.dir, logFileName))
	if err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	if !os.SameFile(opened, current) || current.Size() != l.size {
		return errors.New("wal: the log was written by another process")
	}
	return nil
}

// CloseUnflushed closes the file without writing anything more. It is called once another process owns the log.
func (l *Log) CloseUnflushed() error { return l.file.Close() }
