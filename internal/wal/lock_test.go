package wal

import (
	"errors"
	"testing"
	"time"
)

// One holds the log at a time, and whoever let it go sees whether another has written to it.
func TestOneWriterAtATime(t *testing.T) {
	dir := t.TempDir()
	held, err := Acquire(dir)
	if err != nil {
		t.Fatal(err)
	}
	ours, _, err := Open(dir, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	defer ours.Leave()
	if _, err := Acquire(dir); !errors.Is(err, ErrLocked) {
		t.Errorf("a second holder: %v", err)
	}
	if err := ours.Accept(&Message{ID: 1, Deadline: time.Now()}); err != nil {
		t.Fatal(err)
	}
	if err := held.Release(); err != nil {
		t.Fatal(err)
	}
	next, err := Acquire(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer next.Release()
	theirs, _, err := Open(dir, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	defer theirs.Close()
	if err := ours.Untouched(); err != nil {
		t.Errorf("only read by another: %v", err)
	}
	if err := theirs.Accept(&Message{ID: 2, Deadline: time.Now()}); err != nil {
		t.Fatal(err)
	}
	if ours.Untouched() == nil {
		t.Error("another wrote, and nothing tells")
	}
}
