package wal

import (
	"errors"
	"testing"
	"time"
)

// Only one process can hold the lock, and a previous holder detects whether the log has been written since.
func TestOneWriterAtATime(t *testing.T) {
	dir := t.TempDir()
	lock, err := Acquire(dir)
	if err != nil {
		t.Fatal(err)
	}
	log, _, err := Open(dir, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	defer log.CloseUnflushed()
	if _, err := Acquire(dir); !errors.Is(err, ErrLocked) {
		t.Errorf("second Acquire: %v, want ErrLocked", err)
	}
	if err := log.Accept(&Message{ID: 1, Deadline: time.Now()}); err != nil {
		t.Fatal(err)
	}
	if err := lock.Release(); err != nil {
		t.Fatal(err)
	}
	nextLock, err := Acquire(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer nextLock.Release()
	nextLog, _, err := Open(dir, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	defer nextLog.Close()
	if err := log.CheckUnmodified(); err != nil {
		t.Errorf("Untouched after another process only read the log: %v", err)
	}
	if err := nextLog.Accept(&Message{ID: 2, Deadline: time.Now()}); err != nil {
		t.Fatal(err)
	}
	if log.CheckUnmodified() == nil {
		t.Error("Untouched does not detect the write of another process")
	}
}
